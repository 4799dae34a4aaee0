package conductor

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"samphirewharf/internal/decision/reducer"
	"samphirewharf/internal/fleet/matcher"
	"samphirewharf/internal/fleet/registrar"
)

// A simulatedEngine keeps the true state of an engine.
type simulatedEngine struct {
	entry registrar.Entry
	// models holds the loaded adapters by loaded model, including those whose unload waits for their requests.
	models map[string]map[string]bool
	// pending holds the adapters that are being loaded, by name.
	pending map[string]bool
	// loading is the model that is being loaded, empty if none is.
	loading string
	busy    bool
	orders  int64
	// states are the reports of the last second, oldest first.
	states []timedReport
}

type timedReport struct {
	at     time.Duration
	report registrar.Report
}

// A roomSimulation plays the arrivals of entries, reports, orders and their answers at a leader in a random order, and records
// the orders that exceed an engine's room.
type roomSimulation struct {
	now      time.Duration
	rng      *rand.Rand
	t        *testing.T
	machine  *Machine
	settings *matcher.Engine
	engines  map[string]*simulatedEngine
	// due are actions at later times, in no order.
	due      []timedAction
	requests int
	revision int64
	token    int64
	// outageEnds is when the store's outage ends; entries that are written before arrive after it.
	outageEnds time.Duration
	// lastDelivery is when the last entry arrives. Entries arrive in the order of their revisions.
	lastDelivery time.Duration
	exceeded     []string
	disturbances
}

// The disturbances of a simulation.
type disturbances struct {
	// slowLoads makes some adapters load slowly, waitingUnloads makes some unloads wait for requests.
	slowLoads      bool
	waitingUnloads bool
	// outages has the store go away now and then, lostAnswers has answers to orders lost, and newLeaders changes the leader.
	outages     bool
	lostAnswers bool
	newLeaders  bool
}

type timedAction struct {
	at  time.Duration
	run func()
}

func newRoomSimulation(t *testing.T, seed uint64, d disturbances) *roomSimulation {
	t.Helper()
	s := &roomSimulation{rng: rand.New(rand.NewPCG(seed, 7)), t: t, engines: make(map[string]*simulatedEngine), token: 1, revision: 100, disturbances: d}
	s.settings = testConfiguration(t, 1).Services[engineService].Engine
	for i := range 3 {
		id := fmt.Sprintf("e%d", i)
		s.engines[id] = &simulatedEngine{
			entry:  registrar.Entry{ID: id, StartedAt: 1, Service: engineService, Address: id + ":80", Zone: "a", Slots: 4},
			models: map[string]map[string]bool{"m1": {}}, pending: make(map[string]bool),
		}
	}
	s.newLeader()
	return s
}

// newLeader replaces the leader by one that knows the entries that have arrived by now.
func (s *roomSimulation) newLeader() {
	s.machine = New(testSettings())
	s.token++
	s.step(ConfigurationChanged{Configuration: testConfiguration(s.t, 1)})
	var list []registrar.Entry
	for _, id := range s.engineIDs() {
		list = append(list, s.engines[id].entryAt(s.revision))
	}
	s.step(ServersListed{Entries: list, Revision: s.revision})
	s.step(DaemonsListed{})
	s.step(LeaseRenewed{SentAt: s.now, OK: true, Lost: true})
	s.step(RegisterEnded{OK: true})
	s.step(LeaderChanged{Leader: Leader{Name: "d1", Instance: "before", FencingToken: s.token}})
	s.step(LeaderRemoved{})
	s.token++
	s.step(BecomeLeaderEnded{FencingToken: s.token})
}

func (s *roomSimulation) engineIDs() []string { return slices.Sorted(maps.Keys(s.engines)) }

// entryAt returns the engine's entry with its current weights.
func (e *simulatedEngine) entryAt(revision int64) registrar.Entry {
	entry := e.entry
	entry.Weights, entry.Revision = e.weights(), revision
	return entry
}

func (e *simulatedEngine) weights() registrar.Weights {
	var w registrar.Weights
	for _, model := range slices.Sorted(maps.Keys(e.models)) {
		w = w.WithModel(model, "")
		for _, adapter := range slices.Sorted(maps.Keys(e.models[model])) {
			w = w.WithModel(model, adapter)
		}
	}
	w.OnDisk = []string{"m1", "m2", "m3"}
	return w
}

func (s *roomSimulation) after(d time.Duration, run func()) {
	s.due = append(s.due, timedAction{s.now + d, run})
}

// between returns a random duration.
func (s *roomSimulation) between(least, most time.Duration) time.Duration {
	return least + time.Duration(s.rng.Int64N(int64(most-least)))
}

func (s *roomSimulation) step(e Event) {
	machine := s.machine
	for _, effect := range slices.Clone(machine.Step(s.now, e)) {
		switch e := effect.(type) {
		case SendOrder:
			s.sendOrder(machine, e.Order)
		case PollServer:
			s.poll(machine, e.Server)
		case Send:
			s.serve(machine, e)
		case RenewLease:
			s.step(LeaseRenewed{SentAt: s.now, OK: true})
		}
	}
}

// post passes an event to the machine unless another one leads by now.
func (s *roomSimulation) post(machine *Machine, e Event) {
	if machine == s.machine {
		s.step(e)
	}
}

// sendOrder carries out an order, whose answer may be lost, and which may then be carried out late.
func (s *roomSimulation) sendOrder(machine *Machine, o registrar.Order) {
	fate := s.rng.Float64()
	switch {
	case s.lostAnswers && fate < 0.03:
		s.after(s.between(time.Second, 6*time.Second), func() { s.execute(o) })
		s.after(time.Second, func() { s.post(machine, OrderEnded{Order: o, Result: registrar.OrderUnknown}) })
	case s.lostAnswers && fate < 0.06:
		s.execute(o)
		s.after(time.Second, func() { s.post(machine, OrderEnded{Order: o, Result: registrar.OrderUnknown}) })
	default:
		s.after(2*time.Millisecond, func() {
			result := s.execute(o)
			s.after(2*time.Millisecond, func() { s.post(machine, OrderEnded{Order: o, Result: result}) })
		})
	}
}

func (s *roomSimulation) execute(o registrar.Order) registrar.OrderResult {
	e := s.engines[o.Server]
	switch {
	case o.FencingToken < s.token-1:
		return registrar.OrderFenced
	case e.busy || o.ExpectedOrders != e.orders:
		return registrar.OrderConflict
	}
	e.orders++
	load := o.Operation == registrar.OperationLoad
	switch {
	case o.Adapter != "" && load:
		return s.loadAdapter(e, o)
	case o.Adapter != "":
		return s.unloadAdapter(e, o)
	case load:
		return s.loadModel(e, o.Model)
	default:
		return s.unloadModel(e, o.Model)
	}
}

// usedSlots returns the number of adapters that are loaded or being loaded.
func (e *simulatedEngine) usedSlots() int {
	n := len(e.pending)
	for _, adapters := range e.models {
		n += len(adapters)
	}
	return n
}

func (s *roomSimulation) usedMegabytes(e *simulatedEngine) float64 {
	used := 0.0
	for model := range e.models {
		used += s.settings.Models[model].Megabytes
	}
	if e.loading != "" {
		used += s.settings.Models[e.loading].Megabytes
	}
	return used + 10*float64(e.usedSlots())
}

func (s *roomSimulation) exceed(e *simulatedEngine, name string) {
	s.exceeded = append(s.exceeded, fmt.Sprintf("%v: %s loads %s besides %v, on their way %v %s", s.now, e.entry.ID, name, e.models, e.pending, e.loading))
}

func (s *roomSimulation) loadAdapter(e *simulatedEngine, o registrar.Order) registrar.OrderResult {
	name := modelName(o.Model, o.Adapter)
	adapters, ok := e.models[o.Model]
	switch {
	case !ok:
		return registrar.OrderInvalid
	case adapters[o.Adapter] || e.pending[name]:
		return registrar.OrderAlreadyDone
	}
	if e.usedSlots() >= s.settings.AdapterSlots || s.usedMegabytes(e)+10 > s.settings.WeightMegabytes {
		s.exceed(e, name)
	}
	e.pending[name] = true
	duration := s.between(5*time.Millisecond, 12*time.Millisecond)
	if s.slowLoads && s.rng.Float64() < 0.2 {
		// Many adapters are on their way to all engines.
		duration = s.between(100*time.Millisecond, 2*time.Second)
	}
	s.after(duration, func() {
		delete(e.pending, name)
		if adapters, ok := e.models[o.Model]; ok {
			adapters[o.Adapter] = true
		}
	})
	return registrar.OrderAccepted
}

func (s *roomSimulation) unloadAdapter(e *simulatedEngine, o registrar.Order) registrar.OrderResult {
	adapters := e.models[o.Model]
	if adapters == nil || !s.waitingUnloads || s.rng.Float64() < 0.6 {
		delete(adapters, o.Adapter)
		return registrar.OrderAlreadyDone
	}
	// The unload waits for the adapter's requests.
	s.after(s.between(50*time.Millisecond, 2*time.Second), func() { delete(adapters, o.Adapter) })
	return registrar.OrderAccepted
}

func (s *roomSimulation) loadModel(e *simulatedEngine, model string) registrar.OrderResult {
	if _, ok := e.models[model]; ok {
		return registrar.OrderAlreadyDone
	}
	if s.usedMegabytes(e)+s.settings.Models[model].Megabytes > s.settings.WeightMegabytes {
		s.exceed(e, model)
	}
	e.busy, e.loading = true, model
	s.after(s.between(300*time.Millisecond, 1500*time.Millisecond), func() {
		e.busy, e.loading = false, ""
		e.models[model] = make(map[string]bool)
		s.write(e)
	})
	return registrar.OrderAccepted
}

func (s *roomSimulation) unloadModel(e *simulatedEngine, model string) registrar.OrderResult {
	if _, ok := e.models[model]; !ok {
		return registrar.OrderAlreadyDone
	}
	e.busy = true
	s.after(s.between(5*time.Millisecond, time.Second), func() {
		e.busy = false
		delete(e.models, model)
		s.write(e)
	})
	return registrar.OrderAccepted
}

// write writes an engine's entry, which arrives after an outage of the store, or shortly after.
func (s *roomSimulation) write(e *simulatedEngine) {
	s.revision++
	entry := e.entryAt(s.revision)
	s.lastDelivery = max(s.lastDelivery, max(s.now, s.outageEnds)+s.between(5*time.Millisecond, 400*time.Millisecond))
	s.after(s.lastDelivery-s.now, func() { s.step(ServerChanged{Entry: entry}) })
}

// poll answers with the engine's state of some hundred milliseconds before.
func (s *roomSimulation) poll(machine *Machine, id string) {
	e, sentAt := s.engines[id], s.now
	s.after(2*time.Millisecond, func() {
		asOf := s.now - s.between(0, 450*time.Millisecond)
		report := e.report()
		for _, state := range e.states {
			if state.at <= asOf {
				report = state.report
			}
		}
		s.after(2*time.Millisecond, func() {
			s.post(machine, ServerReported{Server: id, StartedAt: 1, SentAt: sentAt, OK: true, Report: report})
		})
	})
}

func (e *simulatedEngine) report() registrar.Report {
	return registrar.Report{
		Weights: e.weights(), Busy: e.busy, OrdersAccepted: e.orders, PendingAdapters: slices.Sorted(maps.Keys(e.pending)),
	}
}

// serve answers a request: its model or adapter may be absent.
func (s *roomSimulation) serve(machine *Machine, send Send) {
	e, r := s.engines[send.Server], machine.requestOf(send.Request)
	ended := AttemptEnded{Request: send.Request, Attempt: send.Attempt, Outcome: reducer.AttemptDone, Latency: 20 * time.Millisecond}
	if adapters, ok := e.models[r.Model]; !ok || r.Adapter != "" && !adapters[r.Adapter] {
		ended.Outcome, ended.Cause = reducer.AttemptNotRun, CauseAbsent
	}
	s.after(s.between(5*time.Millisecond, 100*time.Millisecond), func() { s.post(machine, ended) })
}

func (s *roomSimulation) request() {
	s.requests++
	model := []string{"m1", "m1", "m2", "m3"}[s.rng.IntN(4)]
	adapter := ""
	if s.rng.IntN(3) > 0 {
		adapter = fmt.Sprintf("a%d", 1+s.rng.IntN(6))
	}
	s.step(RequestArrived{
		Request: reducer.RequestID(s.requests), ID: "r", Route: quick, Version: 1, Service: engineService, Model: model, Adapter: adapter,
		TimeLimit: quick.Timeout, Fingerprint: uint64(s.requests),
	})
}

func (s *roomSimulation) run(duration time.Duration) {
	const (
		tick          = 2 * time.Millisecond
		stateInterval = 10 * time.Millisecond
	)
	for end := s.now + duration; s.now < end; s.now += tick {
		due := slices.DeleteFunc(slices.Clone(s.due), func(a timedAction) bool { return a.at > s.now })
		s.due = slices.DeleteFunc(s.due, func(a timedAction) bool { return a.at <= s.now })
		slices.SortStableFunc(due, func(a, b timedAction) int { return int(a.at - b.at) })
		for _, a := range due {
			a.run()
		}
		for _, id := range s.engineIDs() {
			if s.now%stateInterval != 0 {
				break
			}
			e := s.engines[id]
			e.states = append(e.states, timedReport{s.now, e.report()})
			e.states = slices.DeleteFunc(e.states, func(state timedReport) bool { return state.at < s.now-time.Second })
		}
		if s.rng.Float64() < 0.06 {
			s.request()
		}
		s.disturb()
		if s.now >= s.machine.NextWake() {
			s.step(Ticked{})
		}
	}
}

// disturb starts an outage of the store or a change of leader now and then.
func (s *roomSimulation) disturb() {
	switch {
	case s.outages && s.now >= s.outageEnds && s.rng.Float64() < 0.0002:
		s.outageEnds = s.now + s.between(2*time.Second, 8*time.Second)
		s.step(StoreLost{Reason: "outage"})
		s.after(s.outageEnds-s.now, func() { s.step(StoreReached{}) })
	case s.newLeaders && s.now >= s.outageEnds && s.rng.Float64() < 0.0001:
		s.newLeader()
	}
}

func TestRoom(t *testing.T) {
	const seeds = 4
	for _, c := range []struct {
		name string
		disturbances
	}{
		{"in calm", disturbances{}},
		{"while adapters load slowly", disturbances{slowLoads: true}},
		{"while unloads wait for requests", disturbances{waitingUnloads: true}},
		{"when entries arrive after outages", disturbances{outages: true}},
		{"when answers are lost and leaders change", disturbances{lostAnswers: true, newLeaders: true}},
		{"under all disturbances", disturbances{true, true, true, true, true}},
	} {
		for seed := range uint64(seeds) {
			t.Run(fmt.Sprintf("no order exceeds an engine's room %s, seed %d", c.name, seed), func(t *testing.T) {
				s := newRoomSimulation(t, seed, c.disturbances)
				s.run(20 * time.Second)
				if len(s.exceeded) > 0 {
					t.Errorf("got %d orders over the room, want none; the first: %s", len(s.exceeded), s.exceeded[0])
				}
			})
		}
	}
}

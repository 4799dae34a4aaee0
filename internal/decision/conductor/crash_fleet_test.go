package conductor

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"samphirewharf/internal/decision/reducer"
	"samphirewharf/internal/fleet/registrar"
	"samphirewharf/internal/peer/messenger"
)

// An action is something that happens in a crashFleet.
type action struct {
	at     time.Duration
	number int
	do     func()
}

type actionQueue []action

func (q actionQueue) Len() int { return len(q) }
func (q actionQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].number < q[j].number
}
func (q actionQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *actionQueue) Push(a any)   { *q = append(*q, a.(action)) }
func (q *actionQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

const (
	fleetPeerDelay    = 2 * time.Millisecond
	fleetRelayDelay   = 25 * time.Millisecond
	fleetConnectDelay = 3 * time.Millisecond
	fleetFirstEvent   = 80 * time.Millisecond
	fleetRestartDelay = 3 * time.Second
	fleetEntryTTL     = 3600 * time.Millisecond
)

// A crashServer is an engine of a crashFleet.
type crashServer struct {
	entry   registrar.Entry
	up      bool
	running map[reducer.RequestID]crashAttempt
}

type crashAttempt struct {
	daemon *crashDaemon
	send   Send
}

type crashDaemon struct {
	machine *Machine
	down    bool
}

// A crashRequest is a request that a crashFleet's caller has sent.
type crashRequest struct {
	poison    bool
	arrivedAt time.Duration
	begun     bool
	refused   RefusalReason
	ended     bool
}

// A crashFleet plays daemons and engines in virtual time. Requests with the part poisonPart crash the engines that run them.
type crashFleet struct {
	t        *testing.T
	now      time.Duration
	queue    actionQueue
	actions  int
	rng      *rand.Rand
	daemons  []*crashDaemon
	servers  map[string]*crashServer
	revision int64
	// upstreams holds the address that each daemon subscribes to, by its own.
	upstreams map[string]string
	requests  map[reducer.RequestID]*crashRequest
	attempts  int
	// crashes and poisonSends hold the times at which engines crashed and at which they got a request that crashes them.
	crashes     []time.Duration
	poisonSends []time.Duration
	withoutLead bool
	// convictions are the records in the store; storeAway reports whether the store takes none.
	convictions map[string]Conviction
	storeAway   bool
}

const (
	firstPart  = 1
	poisonPart = 66
)

func newCrashFleet(t *testing.T, daemons, servers int, seed uint64) *crashFleet {
	t.Helper()
	f := &crashFleet{
		t: t, rng: rand.New(rand.NewPCG(seed, seed)), servers: make(map[string]*crashServer), revision: 100,
		upstreams: make(map[string]string), requests: make(map[reducer.RequestID]*crashRequest),
	}
	for range servers {
		f.startServer()
	}
	for range daemons {
		f.daemons = append(f.daemons, &crashDaemon{})
	}
	for i := range daemons {
		f.startDaemon(i)
	}
	return f
}

func (f *crashFleet) record(i int) Daemon {
	name := fmt.Sprintf("d%03d", i)
	return Daemon{Name: name, Instance: name, PeerAddress: name + ":2", Zone: fmt.Sprintf("z%d", i%3)}
}

// startDaemon starts a daemon, which knows nothing but what is in the store.
func (f *crashFleet) startDaemon(i int) {
	settings := testSettings()
	settings.Self, settings.Seed, settings.EntryTTL = f.record(i), uint64(i+1), fleetEntryTTL
	d := f.daemons[i]
	d.machine, d.down = New(settings), false
	f.step(d, ConfigurationChanged{Configuration: testConfiguration(f.t, 1)})
	f.step(d, ServersListed{Entries: f.entries(), Revision: f.revision})
	f.step(d, f.shared())
	f.step(d, LeaseRenewed{SentAt: f.now, OK: true, Lost: true})
	f.step(d, RegisterEnded{OK: true})
	f.wake(d)
}

// shared returns what the daemons share in the store.
func (f *crashFleet) shared() DaemonsListed {
	list := DaemonsListed{Revision: f.revision}
	for _, c := range f.convictions {
		list.Convictions = append(list.Convictions, c)
	}
	for i := range f.daemons {
		list.Daemons = append(list.Daemons, DaemonChanged{Daemon: f.record(i), Revision: int64(i + 1)})
	}
	if !f.withoutLead {
		list.Leader = &Leader{Name: f.record(0).Name, Instance: f.record(0).Instance, FencingToken: 50}
	}
	return list
}

func (f *crashFleet) entries() []registrar.Entry {
	var list []registrar.Entry
	for _, id := range f.serverIDs() {
		list = append(list, f.servers[id].entry)
	}
	return list
}

func (f *crashFleet) serverIDs() []string {
	var list []string
	for id := range f.servers {
		list = append(list, id)
	}
	slices.Sort(list)
	return list
}

func (f *crashFleet) startServer() {
	f.revision++
	id := fmt.Sprintf("e%d", f.revision)
	s := &crashServer{up: true, running: make(map[reducer.RequestID]crashAttempt), entry: registrar.Entry{
		ID: id, StartedAt: f.revision, Service: engineService, Address: id + ":80", Zone: "z0", Slots: 32, Revision: f.revision,
		Weights: registrar.Weights{Models: []registrar.LoadedModel{loadedModel("m1")}},
	}}
	f.servers[id] = s
	f.tell(ServerChanged{Entry: s.entry})
}

// tell passes a change of the store to all daemons.
func (f *crashFleet) tell(e Event) {
	for _, d := range f.daemons {
		f.after(fleetRelayDelay, func() { f.step(d, e) })
	}
}

func (f *crashFleet) after(delay time.Duration, do func()) {
	f.actions++
	heap.Push(&f.queue, action{at: f.now + delay, number: f.actions, do: do})
}

// wake ticks a daemon when it asks for it.
func (f *crashFleet) wake(d *crashDaemon) {
	machine := d.machine
	f.after(max(time.Millisecond, machine.NextWake()-f.now), func() {
		if d.machine != machine || d.down {
			return
		}
		f.step(d, Ticked{})
		f.wake(d)
	})
}

func (f *crashFleet) run(duration time.Duration) {
	for end := f.now + duration; len(f.queue) > 0 && f.queue[0].at <= end; {
		a := heap.Pop(&f.queue).(action)
		f.now = max(f.now, a.at)
		a.do()
	}
}

func (f *crashFleet) step(d *crashDaemon, e Event) {
	if d.machine == nil || d.down {
		return
	}
	for _, effect := range slices.Clone(d.machine.Step(f.now, e)) {
		f.carryOut(d, effect)
	}
}

func (f *crashFleet) carryOut(d *crashDaemon, effect Effect) {
	self := d.machine.settings.Self
	switch e := effect.(type) {
	case Send:
		f.sent(d, e)
	case Refuse:
		r := f.requests[e.Request]
		r.refused, r.ended = e.Reason, true
	case Cancel:
		f.step(d, AttemptEnded{Request: e.Request, Attempt: e.Attempt, Outcome: reducer.AttemptCancelled})
	case RenewLease:
		f.step(d, LeaseRenewed{SentAt: f.now, OK: true})
	case PollServer:
		f.after(fleetConnectDelay, func() { f.polled(d, e) })
	case SendPeer:
		for _, other := range f.daemons {
			if other.machine != nil && other.machine.settings.Self.PeerAddress == e.Address {
				f.after(fleetPeerDelay, func() { f.step(other, PeerReceived{Message: e.Message}) })
			}
		}
	case StoreConviction:
		f.after(fleetConnectDelay, func() { f.storeConviction(d, e.Conviction) })
	case DeleteConviction:
		delete(f.convictions, fmt.Sprint(e.Conviction.Trait))
	case Subscribe:
		f.upstreams[self.PeerAddress] = e.Address
	case Forward:
		f.relay(self, messenger.Message{From: self.Name, Fleet: e.Fleet, Feed: &messenger.Feed{Evidence: e.Evidence}})
	}
}

func (f *crashFleet) storeConviction(d *crashDaemon, c Conviction) {
	if f.storeAway {
		f.step(d, StoreConvictionEnded{Trait: c.Trait})
		return
	}
	f.revision++
	c.Revision = f.revision
	if f.convictions == nil {
		f.convictions = make(map[string]Conviction)
	}
	f.convictions[fmt.Sprint(c.Trait)] = c
	f.step(d, StoreConvictionEnded{Trait: c.Trait, OK: true})
	f.tell(ConvictionChanged{Conviction: c})
}

// kill ends a daemon and starts another process in its place after a delay.
func (f *crashFleet) kill(i int, delay time.Duration) {
	f.daemons[i].down = true
	f.after(delay, func() { f.startDaemon(i) })
}

// relay passes a message to the daemons that subscribe to the sender.
func (f *crashFleet) relay(from Daemon, message messenger.Message) {
	for _, other := range f.daemons {
		if other.machine != nil && f.upstreams[other.machine.settings.Self.PeerAddress] == from.PeerAddress {
			f.after(fleetRelayDelay, func() { f.step(other, PeerReceived{Message: message}) })
		}
	}
}

func (f *crashFleet) polled(d *crashDaemon, e PollServer) {
	s, ok := f.servers[e.Server]
	reported := ServerReported{Server: e.Server, SentAt: f.now - fleetConnectDelay, OK: ok && s.up, Refused: !ok || !s.up}
	if reported.OK {
		reported.StartedAt, reported.Report = s.entry.StartedAt, registrar.Report{Weights: s.entry.Weights}
	}
	f.step(d, reported)
}

// sent plays a request at an engine.
func (f *crashFleet) sent(d *crashDaemon, e Send) {
	request := f.requests[e.Request]
	s, ok := f.servers[e.Server]
	if !ok || !s.up {
		f.after(fleetConnectDelay, func() {
			f.step(d, AttemptEnded{Request: e.Request, Attempt: e.Attempt, Outcome: reducer.AttemptNotSent, Cause: CauseConnect})
		})
		return
	}
	if request.poison {
		f.poisonSends = append(f.poisonSends, f.now)
	}
	s.running[e.Request] = crashAttempt{daemon: d, send: e}
	running := func() bool { a, ok := s.running[e.Request]; return ok && a.send.Attempt == e.Attempt }
	f.after(fleetFirstEvent, func() {
		switch {
		case !running():
		case request.poison:
			f.crash(s)
		default:
			request.begun = request.begun || e.Attempt == 1
			f.step(d, AttemptStarted{Request: e.Request, Attempt: e.Attempt})
		}
	})
	f.after(fleetFirstEvent+time.Duration(200+f.rng.IntN(2500))*time.Millisecond, func() {
		if running() {
			delete(s.running, e.Request)
			request.ended = true
			f.step(d, AttemptEnded{Request: e.Request, Attempt: e.Attempt, Outcome: reducer.AttemptDone, Latency: fleetFirstEvent, Status: 200})
		}
	})
}

// crash ends an engine. Another incarnation starts after some seconds.
func (f *crashFleet) crash(s *crashServer) {
	f.crashes = append(f.crashes, f.now)
	s.up = false
	for id, a := range s.running {
		f.after(fleetPeerDelay, func() {
			f.step(a.daemon, AttemptEnded{Request: id, Attempt: a.send.Attempt, Outcome: reducer.AttemptFailed, Cause: CauseBroken, Status: 200})
		})
	}
	clear(s.running)
	f.after(fleetEntryTTL, func() {
		f.revision++
		delete(f.servers, s.entry.ID)
		f.tell(ServerRemoved{ID: s.entry.ID, Revision: f.revision})
	})
	f.after(fleetRestartDelay, f.startServer)
}

// arrive sends a request of a caller to a random daemon.
func (f *crashFleet) arrive(parts ...uint64) {
	d := f.daemons[f.rng.IntN(len(f.daemons))]
	if d.machine == nil || d.down {
		return
	}
	f.attempts++
	id := reducer.RequestID(f.attempts)
	f.requests[id] = &crashRequest{poison: slices.Contains(parts, poisonPart), arrivedAt: f.now}
	e := RequestArrived{
		Request: id, ID: "r", Route: quick, Version: 1, Service: engineService, Model: "m1", TimeLimit: quick.Timeout, Fingerprint: uint64(id) << 8,
	}
	for _, p := range append(slices.Clone(parts), uint64(1<<32+f.attempts)) {
		e.Parts = append(e.Parts, PromptPart{ID: p, Tokens: 100})
	}
	f.step(d, e)
}

// press sends sound requests, a few of them with rare parts, and requests with poisonPart from a time on.
func (f *crashFleet) press(duration time.Duration, soundPerSecond, poisonPerSecond float64) {
	const tick = 10 * time.Millisecond
	for at := time.Duration(0); at < duration; at += tick {
		if f.rng.Float64() < soundPerSecond*tick.Seconds() {
			subject := uint64(100 + f.rng.IntN(1+f.rng.IntN(40)))
			f.after(at, func() { f.arrive(firstPart, subject) })
		}
		if f.rng.Float64() < poisonPerSecond*tick.Seconds() {
			f.after(at, func() { f.arrive(firstPart, poisonPart) })
		}
	}
	f.run(duration)
}

// begunShare returns the share of sound requests of a time whose first attempt began, and their number.
func (f *crashFleet) begunShare(from, to time.Duration) (share float64, all int) {
	begun := 0
	for _, r := range f.requests {
		if r.poison || r.arrivedAt < from || r.arrivedAt >= to {
			continue
		}
		all++
		if r.begun {
			begun++
		}
	}
	return float64(begun) / float64(max(all, 1)), all
}

const (
	// crashContact is how long after the fifth crash daemons may take to know of the part.
	crashContact = 3 * time.Second
	// crashesKnown is the number of crashes after which a part must be known, latePoisonSends how many requests with it may
	// reach engines later.
	crashesKnown    = 5
	latePoisonSends = 3
	// leastBegunShare is the least share of sound requests that begin, relative to the share without crashes.
	leastBegunShare = 0.5
	// mostSoundRefused is the share of sound requests that may be refused by mistake, until it is clear which part crashes servers.
	mostSoundRefused = 0.01
)

// assertPartHeldBack checks what callers and engines saw while requests with poisonPart came.
func (f *crashFleet) assertPartHeldBack(t *testing.T, calmFrom, calmTo time.Duration) {
	t.Helper()
	if len(f.crashes) == 0 {
		t.Fatal("got no crash, want some")
	}
	known := f.crashes[min(crashesKnown, len(f.crashes))-1] + crashContact
	late := len(slices.DeleteFunc(slices.Clone(f.poisonSends), func(at time.Duration) bool { return at <= known }))
	if late > latePoisonSends {
		t.Errorf("got %d requests with the part at engines later than %v after crash %d (%d crashes), want at most %d", late, crashContact, crashesKnown, len(f.crashes), latePoisonSends)
	}
	sound, refused := 0, 0
	for _, r := range f.requests {
		sound += boolToInt(!r.poison)
		refused += boolToInt(!r.poison && r.refused == RefusedPoison)
	}
	if got, want := float64(refused), mostSoundRefused*float64(sound); got > want {
		t.Errorf("got %v of %d sound requests refused for their parts, want at most %v", got, sound, want)
	}
	calm, _ := f.begunShare(calmFrom, calmTo)
	got, all := f.begunShare(known+crashContact, f.now-2*time.Second)
	t.Logf("%d crashes, %d requests with the part at engines, %d of them late; begun at the first attempt %.2f, %.2f without crashes", len(f.crashes), len(f.poisonSends), late, got, calm)
	if want := leastBegunShare * calm; got < want || all < 20 {
		t.Errorf("got a share of %.2f of %d sound requests begun at the first attempt, want at least %.2f", got, all, want)
	}
}

func TestPartThatCrashesServers(t *testing.T) {
	for _, c := range []struct {
		daemons, servers int
		poisonPerSecond  float64
	}{{7, 18, 3}, {7, 18, 0.7}, {3, 6, 1}, {60, 60, 4}, {420, 120, 5}} {
		t.Run(fmt.Sprintf("%d daemons, %v requests with the part a second", c.daemons, c.poisonPerSecond), func(t *testing.T) {
			f := newCrashFleet(t, c.daemons, c.servers, 7)
			f.press(4*time.Second, 40, 0)
			f.press(20*time.Second, 40, c.poisonPerSecond)
			f.assertPartHeldBack(t, 0, 4*time.Second)
		})
	}
	for _, c := range []struct {
		name    string
		daemons int
		disturb func(f *crashFleet)
	}{
		{"no leader", 7, func(f *crashFleet) { f.withoutLead = true }},
		{"no leader among 420 daemons", 420, func(f *crashFleet) { f.withoutLead = true }},
		{"the store is away", 7, func(f *crashFleet) { f.storeAway = true }},
		{"no leader and the store is away", 7, func(f *crashFleet) { f.withoutLead, f.storeAway = true, true }},
		{"all daemons are killed after the crashes", 7, func(f *crashFleet) {
			for i := range f.daemons {
				f.after(8*time.Second, func() { f.kill(i, time.Second) })
			}
		}},
		{"daemons are killed in turn", 7, func(f *crashFleet) {
			for i := range f.daemons {
				f.after(time.Duration(500+2000*i)*time.Millisecond, func() { f.kill(i, time.Second) })
			}
		}},
		{"the first keeper is killed amid the crashes", 7, func(f *crashFleet) {
			f.after(4800*time.Millisecond, func() { f.kill(0, time.Second) })
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(8) {
				f := newCrashFleet(t, c.daemons, max(18, c.daemons/4), seed)
				c.disturb(f)
				if f.withoutLead {
					for i := range f.daemons {
						f.startDaemon(i)
					}
				}
				f.press(4*time.Second, 40, 0)
				f.press(20*time.Second, 40, 2)
				f.assertPartHeldBack(t, 0, 4*time.Second)
				if testing.Short() || c.daemons > 100 && seed > 0 {
					break
				}
			}
		})
	}
}

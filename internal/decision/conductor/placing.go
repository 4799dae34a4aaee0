package conductor

import (
	"maps"
	"slices"
	"time"

	"samphirewharf/internal/decision/allotter"
	"samphirewharf/internal/decision/placer"
	"samphirewharf/internal/fleet/matcher"
	"samphirewharf/internal/fleet/registrar"
	"samphirewharf/internal/peer/messenger"
)

// A placingState is the holder's view of the engines.
type placingState struct {
	running  bool
	controls map[string]*control
	// dirty tells that a plan may come out otherwise than the last one; planAt is when the next is made in any case.
	dirty     bool
	planAt    time.Duration
	plannedAt time.Duration
	// storeLoads are the starts of loads from the weight store by service, oldest first.
	storeLoads map[string][]time.Duration
	// lanes are what is known by service of how many loads the weight store serves at once. They outlast the role.
	lanes map[string]*allotter.ConcurrencyLimiter
	// forecasts tell by service and name when models and adapters that get no order can be there. They were begun anew
	// at forecastAt; stale are those before.
	forecasts  map[string]map[string]time.Duration
	stale      map[string]map[string]time.Duration
	forecastAt map[string]time.Duration
}

// planInterval is how often a plan is made while nothing new is known.
const planInterval = 200 * time.Millisecond

// planGap is the least time between two plans, so that news that come together are planned for together. It grows by
// planGapPerEngine, so that plans take a small part of the processor on sites of any size: an engine adds a few
// microseconds to a plan (BenchmarkPlan) and about as much to the preparation of its input.
const (
	planGap          = 8 * time.Millisecond
	planGapPerEngine = 200 * time.Microsecond
)

func newPlacingState() placingState {
	return placingState{
		controls: make(map[string]*control), lanes: make(map[string]*allotter.ConcurrencyLimiter), storeLoads: make(map[string][]time.Duration),
		forecasts: make(map[string]map[string]time.Duration), stale: make(map[string]map[string]time.Duration),
		forecastAt: make(map[string]time.Duration),
	}
}

func (p *placingState) forget(id string) { delete(p.controls, id) }

func (p *placingState) stop() {
	p.running = false
	clear(p.controls)
	clear(p.forecasts)
	clear(p.stale)
	clear(p.forecastAt)
}

func (p *placingState) ids() []string {
	return slices.Sorted(maps.Keys(p.controls))
}

func (p *placingState) nextAt(m *Machine) time.Duration {
	if !p.running {
		return never
	}
	next := p.planAt
	for _, c := range p.controls {
		if !c.polling {
			next = min(next, c.reportAt)
		}
		for _, a := range c.coming {
			next = min(next, a.at)
		}
	}
	if p.dirty && m.mayOrder() {
		next = min(next, p.dirtyPlanAt())
	}
	return next
}

// dirtyPlanAt returns when the next plan may be made if there is news.
func (p *placingState) dirtyPlanAt() time.Duration {
	return p.plannedAt + planGap + time.Duration(len(p.controls))*planGapPerEngine
}

func (p *placingState) loadingUntil(k modelKey) (time.Duration, bool) {
	for _, id := range p.ids() {
		c := p.controls[id]
		if k.adapter == "" && c.loading == k.model {
			return c.loadEnds, true
		}
		for _, a := range c.coming {
			if a.model == k.model && a.adapter == k.adapter {
				return a.at, true
			}
		}
	}
	at, ok := p.forecasts[k.service][modelName(k.model, k.adapter)]
	return at, ok
}

// loadings returns what is being loaded, and when what can't be loaded yet can be there, for the other daemons.
func (m *Machine) loadings() []messenger.Loading {
	var list []messenger.Loading
	for _, id := range m.placing.ids() {
		c, s := m.placing.controls[id], m.servers[id]
		if s == nil {
			continue
		}
		if c.loading != "" {
			list = append(list, messenger.Loading{Service: s.entry.Service, Model: c.loading, ReadyIn: max(0, c.loadEnds-m.now)})
		}
		for _, a := range c.coming {
			list = append(list, messenger.Loading{Service: s.entry.Service, Model: a.model, Adapter: a.adapter, ReadyIn: max(0, a.at-m.now)})
		}
	}
	for _, service := range slices.Sorted(maps.Keys(m.placing.forecasts)) {
		for _, name := range slices.Sorted(maps.Keys(m.placing.forecasts[service])) {
			model, adapter := splitName(name)
			ready := max(0, m.placing.forecasts[service][name]-m.now)
			list = append(list, messenger.Loading{Service: service, Model: model, Adapter: adapter, ReadyIn: ready})
		}
	}
	return list
}

// startPlacing begins the work of the holder with what the servers' entries say.
func (m *Machine) startPlacing() {
	p := &m.placing
	p.stop()
	p.running = true
	p.planAt = m.now
	for _, s := range m.servers {
		m.engineChanged(s)
	}
	m.fleet.wholeAt = 0
	m.fleet.changedAt = m.now
}

// changed notes that the other daemons have to be told of a server.
func (m *Machine) changed(c *control) {
	c.changed = true
	m.tellFleetSoon()
}

// passPlacing polls, lets adapters arrive, and gives orders.
func (m *Machine) passPlacing() {
	p := &m.placing
	if !p.running {
		return
	}
	for _, id := range p.ids() {
		m.passControl(id, p.controls[id])
	}
	if !m.mayOrder() {
		p.planAt = max(p.planAt, m.now+planInterval/4)
		return
	}
	if m.now < p.planAt && (!p.dirty || m.now < p.dirtyPlanAt()) {
		return
	}
	p.dirty = false
	p.plannedAt, p.planAt = m.now, m.now+planInterval
	for _, service := range m.engineServices() {
		m.plan(service)
	}
}

func (m *Machine) passControl(id string, c *control) {
	s, ok := m.servers[id]
	if !ok {
		return
	}
	c.coming = slices.DeleteFunc(c.coming, func(a comingAdapter) bool {
		if m.now < a.at {
			return false
		}
		c.holdings = c.holdings.WithModel(a.model, a.adapter)
		c.added[modelName(a.model, a.adapter)] = m.now
		delete(c.dropped, modelName(a.model, a.adapter))
		delete(c.hidden, modelName(a.model, a.adapter))
		c.usedAt[modelName(a.model, a.adapter)] = m.now
		m.changed(c)
		m.pump(s.entry.Service)
		return true
	})
	if !c.polling && m.now >= c.reportAt {
		c.polling = true
		m.emit(PollServer{Server: id, Address: s.entry.Address})
	}
}

func (m *Machine) engineServices() []string {
	var names []string
	for name, s := range m.configuration.Services {
		if s.Engine != nil {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// plan makes a plan for one service and gives its orders.
func (m *Machine) plan(service string) {
	engine := m.engine(service)
	in := placer.Input{Now: m.now, Engine: *engine, Demands: m.demands(service)}
	running := m.runningByServer(service)
	for _, s := range m.serversOf(service) {
		c, ok := m.placing.controls[s.entry.ID]
		if !ok || !s.usable() || s.doubtUntil > 0 || s.downUntil > m.now {
			continue
		}
		if c.loadsFromStore() {
			in.StoreLoads++
		}
		in.Servers = append(in.Servers, plannerServer(m.now, s, c, running, in.Demands))
	}
	m.watchLoads(service)
	in.StoreConcurrencyLimit = m.lanes(service).Limit()
	in.StoreBudget = m.storeBudget(service, engine)
	in.HasForecast = m.foretold(service)
	result := placer.Plan(in)
	for _, step := range result.Steps {
		m.take(service, step)
	}
	m.takeForecasts(service, result.Forecasts)
}

// foretold returns the models and adapters with a forecast that needn't be made again yet. Now and then all are.
func (m *Machine) foretold(service string) map[string]bool {
	p := &m.placing
	if p.forecasts[service] == nil || m.now >= p.forecastAt[service]+forecastInterval {
		p.forecastAt[service] = m.now
		p.stale[service] = p.forecasts[service]
		p.forecasts[service] = make(map[string]time.Duration)
	}
	foretold := make(map[string]bool)
	for model := range p.forecasts[service] {
		foretold[model] = true
	}
	return foretold
}

// takeForecasts notes when the models that get no order can be there, and has the other daemons told soon, so that no
// request waits for one that comes too late for it.
func (m *Machine) takeForecasts(service string, list []placer.Forecast) {
	p := &m.placing
	for _, f := range list {
		name := modelName(f.Model, f.Adapter)
		p.forecasts[service][name] = m.now + f.ReadyIn
		if _, known := p.stale[service][name]; !known {
			m.emit(LogStateChange{Subject: "Model " + name, Change: "Delayed", Reason: f.Reason, Detail: f.ReadyIn.Round(time.Millisecond).String()})
			m.tellFleetSoon()
		}
	}
	if len(list) > 0 {
		m.pump(service)
	}
}

// tellFleetSoon has the other daemons told what the holder believes.
func (m *Machine) tellFleetSoon() {
	if m.fleet.changedAt == 0 {
		m.fleet.changedAt = m.now
	}
}

// runningByServer returns how many requests of each model and adapter this daemon has at each server.
func (m *Machine) runningByServer(service string) map[string]map[string]int {
	counts := make(map[string]map[string]int)
	for _, s := range m.serversOf(service) {
		byModel := make(map[string]int)
		for _, r := range s.runs {
			byModel[r.Model]++
			byModel[modelName(r.Model, r.Adapter)] += boolToInt(r.Adapter != "")
		}
		counts[s.entry.ID] = byModel
	}
	return counts
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// plannerServer returns what the planner needs of a server. A model counts as running there if any daemon has requests
// for it.
func plannerServer(now time.Duration, s *server, c *control, running map[string]map[string]int, demands []placer.Demand) placer.Server {
	idle := c.countKnown && c.order == nil && !c.doubtful && !c.busy && c.loading == "" && c.unloading == ""
	ps := placer.Server{
		ID: s.entry.ID, Zone: s.entry.Zone, Slots: s.entry.Slots,
		Free:           idle,
		FreeForAdapter: idle && len(c.coming) < maxAdaptersComing,
		FreeIn:         c.freeIn(now),
		Loading:        c.loading,
		InMemory:       s.entry.Weights.InMemory, OnDisk: s.entry.Weights.OnDisk,
		Goal: c.goal, GoalAt: c.goalAt,
	}
	for _, a := range c.coming {
		ps.PendingAdapters = append(ps.PendingAdapters, modelName(a.model, a.adapter))
	}
	if o := c.order; o != nil && o.Adapter != "" && o.Operation == registrar.OperationLoad {
		ps.PendingAdapters = append(ps.PendingAdapters, modelName(o.Model, o.Adapter))
	}
	asked := make(map[string]placer.Demand, len(demands))
	for _, d := range demands {
		asked[modelName(d.Model, d.Adapter)] = d
	}
	for _, held := range c.holdings.Models {
		model := placer.Model{Name: held.Name, LoadedAt: c.loadedAt[held.Name]}
		model.Running = max(running[s.entry.ID][held.Name], min(asked[held.Name].Running, 1))
		for _, a := range held.Adapters {
			name := modelName(held.Name, a)
			d := asked[name]
			model.Adapters = append(model.Adapters, placer.Adapter{
				Name: a, Busy: d.Running+d.Waiting > 0, UsedAt: c.usedAt[name] + time.Duration(d.Rate*float64(time.Second)),
			})
		}
		ps.Models = append(ps.Models, model)
	}
	if c.unloading != "" {
		// Its memory is not free yet.
		ps.Models = append(ps.Models, placer.Model{Name: c.unloading})
	}
	return ps
}

// storeBudget returns how many loads from the weight store may begin now.
func (m *Machine) storeBudget(service string, engine *matcher.Engine) int {
	starts := m.placing.storeLoads[service]
	starts = slices.DeleteFunc(starts, func(at time.Duration) bool { return m.now > at+m.settings.LoadWindow })
	m.placing.storeLoads[service] = starts
	return max(0, int(engine.LoadsPerSecond*m.settings.LoadWindow.Seconds()*m.settings.LoadOverage)-len(starts))
}

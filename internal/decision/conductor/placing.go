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

// A placementState is the leader's state of all engines.
type placementState struct {
	running bool
	engines map[string]*engineState
	// dirty reports whether a new plan may differ from the last one; planAt is when the next one is due in any case.
	dirty     bool
	planAt    time.Duration
	plannedAt time.Duration
	// weightStoreLoadStarts holds the start times of loads from the weight store by service, oldest first.
	weightStoreLoadStarts map[string][]time.Duration
	// weightStoreConcurrency holds the estimate by service of how many loads the weight store serves at once. It is
	// kept when this daemon stops being the leader.
	weightStoreConcurrency map[string]*allotter.ConcurrencyLimiter
	// forecasts holds by service and name when models and adapters that get no order can be ready. It was last reset
	// at forecastAt; previousForecasts holds the forecasts before that.
	forecasts         map[string]map[string]time.Duration
	previousForecasts map[string]map[string]time.Duration
	forecastAt        map[string]time.Duration
	// earlier are the models that configurations no longer have, or had otherwise. They are kept when this daemon stops being the leader.
	earlier placer.Earlier
}

// planInterval is the interval between plans if nothing changes.
const planInterval = 200 * time.Millisecond

// minPlanInterval is the minimum time between two plans, so that changes that come together are planned for together.
// It grows by planIntervalPerEngine, so that planning takes a small share of the CPU on sites of any size: each engine
// adds a few microseconds to a plan (BenchmarkPlan) and about as much to the preparation of its input.
const (
	minPlanInterval       = 8 * time.Millisecond
	planIntervalPerEngine = 200 * time.Microsecond
)

func newPlacementState() placementState {
	return placementState{
		engines: make(map[string]*engineState), weightStoreConcurrency: make(map[string]*allotter.ConcurrencyLimiter), weightStoreLoadStarts: make(map[string][]time.Duration),
		forecasts: make(map[string]map[string]time.Duration), previousForecasts: make(map[string]map[string]time.Duration),
		forecastAt: make(map[string]time.Duration),
	}
}

func (p *placementState) removeEngine(id string) { delete(p.engines, id) }

func (p *placementState) stop() {
	p.running = false
	clear(p.engines)
	clear(p.forecasts)
	clear(p.previousForecasts)
	clear(p.forecastAt)
}

func (p *placementState) engineIDs() []string {
	return slices.Sorted(maps.Keys(p.engines))
}

func (p *placementState) nextAt(m *Machine) time.Duration {
	if !p.running {
		return never
	}
	next := p.planAt
	for _, engine := range p.engines {
		if !engine.polling {
			next = min(next, engine.pollAt)
		}
		for _, a := range engine.adapterLoads {
			next = min(next, a.readyAt)
		}
	}
	if p.dirty && m.mayOrder() {
		next = min(next, p.dirtyPlanAt())
	}
	return next
}

// dirtyPlanAt returns when the next plan may be made after a change.
func (p *placementState) dirtyPlanAt() time.Duration {
	return p.plannedAt + minPlanInterval + time.Duration(len(p.engines))*planIntervalPerEngine
}

// loadingUntilByOrders returns when a model or adapter is loaded that this leader has ordered or forecast.
func (m *Machine) loadingUntilByOrders(k modelKey) (time.Duration, bool) {
	p := &m.placement
	for _, id := range p.engineIDs() {
		engine, s := p.engines[id], m.servers[id]
		if k.pinned && (s == nil || s.entry.SoftwareVersion != k.softwareVersion) {
			continue
		}
		if k.adapter == "" && engine.loading == k.model {
			return engine.loadEndsAt, true
		}
		for _, a := range engine.adapterLoads {
			if a.model == k.model && a.adapter == k.adapter {
				return a.readyAt, true
			}
		}
	}
	if k.pinned {
		return 0, false
	}
	at, ok := p.forecasts[k.service][modelName(k.model, k.adapter)]
	return at, ok
}

// loadings returns for the other daemons what is being loaded and the forecasts of what can't be loaded yet.
func (m *Machine) loadings() []messenger.Loading {
	var list []messenger.Loading
	for _, id := range m.placement.engineIDs() {
		engine, s := m.placement.engines[id], m.servers[id]
		if s == nil {
			continue
		}
		if engine.loading != "" {
			list = append(list, messenger.Loading{Service: s.entry.Service, Model: engine.loading, SoftwareVersion: s.entry.SoftwareVersion, ReadyIn: max(0, engine.loadEndsAt-m.now)})
		}
		for _, a := range engine.adapterLoads {
			list = append(list, messenger.Loading{Service: s.entry.Service, Model: a.model, Adapter: a.adapter, SoftwareVersion: s.entry.SoftwareVersion, ReadyIn: max(0, a.readyAt-m.now)})
		}
	}
	for _, service := range slices.Sorted(maps.Keys(m.placement.forecasts)) {
		for _, name := range slices.Sorted(maps.Keys(m.placement.forecasts[service])) {
			model, adapter := splitName(name)
			ready := max(0, m.placement.forecasts[service][name]-m.now)
			list = append(list, messenger.Loading{Service: service, Model: model, Adapter: adapter, ReadyIn: ready})
		}
	}
	return list
}

// startPlacement initializes the leader's state of the engines from the servers' entries.
func (m *Machine) startPlacement() {
	p := &m.placement
	p.stop()
	p.running = true
	p.planAt = m.now
	m.addEngines()
	m.fleet.sending.changes, m.fleet.sending.countedAt = false, 0
	m.fleet.sending.pendingSince = m.now
}

// addEngines has the leader follow the servers with engines that it doesn't follow yet. Their entries may not change for long, also after
// a configuration has brought their service back.
func (m *Machine) addEngines() {
	for _, s := range m.servers {
		if _, ok := m.placement.engines[s.entry.ID]; !ok {
			m.engineChanged(s)
		}
	}
}

// markUnreported records that an engine's state has to be sent to the other daemons.
func (m *Machine) markUnreported(engine *engineState) {
	engine.unreported = true
	m.scheduleFleetMessage()
}

// tickPlacement polls engines, completes adapter loads and gives orders.
func (m *Machine) tickPlacement() {
	p := &m.placement
	if !p.running {
		return
	}
	for _, id := range p.engineIDs() {
		m.tickEngine(id, p.engines[id])
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
	for _, service := range m.configuration.EngineServices() {
		m.plan(service)
	}
}

func (m *Machine) tickEngine(id string, engine *engineState) {
	s, ok := m.servers[id]
	if !ok {
		return
	}
	engine.adapterLoads = slices.DeleteFunc(engine.adapterLoads, func(a adapterLoad) bool {
		if m.now < a.readyAt {
			return false
		}
		engine.weights = engine.weights.WithModel(a.model, a.adapter)
		engine.added[modelName(a.model, a.adapter)] = m.now
		delete(engine.removed, modelName(a.model, a.adapter))
		delete(engine.absentUntil, modelName(a.model, a.adapter))
		engine.usedAt[modelName(a.model, a.adapter)] = m.now
		m.markUnreported(engine)
		m.dispatchQueue(s.entry.Service)
		return true
	})
	if m.now < s.pausedUntil {
		engine.pollAt = max(engine.pollAt, s.pausedUntil)
	}
	if !engine.polling && m.now >= engine.pollAt {
		engine.polling, engine.polledAt = true, m.now
		m.countSend(s)
		m.emit(PollServer{Server: id, Address: s.entry.Address})
	}
}

func (e *engineState) isUnconfirmed(name string) bool {
	_, ok := e.unconfirmed[name]
	return ok
}

// plan makes a plan for one service and gives its orders.
func (m *Machine) plan(service string) {
	settings := m.engineSettings(service)
	in := placer.Input{Now: m.now, Engine: *settings, Earlier: m.placement.earlier.Models(), Demands: m.placerDemands(service)}
	running := m.runningByServer(service)
	for _, s := range m.serversOf(service) {
		engine, ok := m.placement.engines[s.entry.ID]
		if !ok || !s.usable() || s.keepUntil > 0 || s.downUntil > m.now {
			continue
		}
		if engine.loadsFromWeightStore(m.now) {
			in.StoreLoads++
		}
		ps := placerServer(m.now, s, engine, running, in.Demands)
		if at, ok := engine.confirmAt(); ok && ps.UsedAdapterSlots() >= settings.AdapterSlots {
			// Its unconfirmed adapters can't make way for others.
			engine.pollAt = min(engine.pollAt, max(at, engine.polledAt+reportInterval))
		}
		in.Servers = append(in.Servers, ps)
	}
	m.observeLoads(service)
	in.StoreConcurrencyLimit = m.weightStoreConcurrency(service).Limit()
	in.StoreBudget = m.loadBudget(service, settings)
	in.HasForecast = m.currentForecasts(service)
	m.planPinned(service, &in)
	result := placer.Plan(in)
	for _, step := range result.Steps {
		m.giveOrder(service, step)
	}
	m.recordForecasts(service, result.Forecasts)
}

// currentForecasts returns the models and adapters whose forecasts are still valid. All forecasts are reset every
// forecastInterval.
func (m *Machine) currentForecasts(service string) map[string]bool {
	p := &m.placement
	if p.forecasts[service] == nil || m.now >= p.forecastAt[service]+forecastInterval {
		p.forecastAt[service] = m.now
		p.previousForecasts[service] = p.forecasts[service]
		p.forecasts[service] = make(map[string]time.Duration)
	}
	forecasts := make(map[string]bool)
	for model := range p.forecasts[service] {
		forecasts[model] = true
	}
	return forecasts
}

// recordForecasts records when models that get no order can be ready, and sends this to the other daemons early, so
// that no request waits for a model that is ready too late for it.
func (m *Machine) recordForecasts(service string, list []placer.Forecast) {
	p := &m.placement
	for _, f := range list {
		name := modelName(f.Model, f.Adapter)
		p.forecasts[service][name] = m.now + f.ReadyIn
		if _, known := p.previousForecasts[service][name]; !known {
			m.emit(LogStateChange{Subject: "Model " + name, Change: "Delayed", Reason: f.Reason, Detail: f.ReadyIn.Round(time.Millisecond).String()})
			m.scheduleFleetMessage()
		}
	}
	if len(list) > 0 {
		m.dispatchQueue(service)
	}
}

// scheduleFleetMessage schedules an early message of the leader to the other daemons.
func (m *Machine) scheduleFleetMessage() {
	if m.fleet.sending.pendingSince == 0 {
		m.fleet.sending.pendingSince = m.now
	}
}

// runningByServer returns the number of this daemon's requests by server and by model or adapter.
func (m *Machine) runningByServer(service string) map[string]map[string]int {
	counts := make(map[string]map[string]int)
	for _, s := range m.serversOf(service) {
		byModel := make(map[string]int)
		for _, r := range s.requests {
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

// placerServer returns a server as input of placer.Plan. A model counts as running there if any daemon has requests
// for it.
func placerServer(now time.Duration, s *server, engine *engineState, running map[string]map[string]int, demands []placer.Demand) placer.Server {
	idle := now >= s.pausedUntil && engine.countKnown && engine.pendingOrder == nil && !engine.outcomeUnknown && !engine.busy && engine.loading == "" && engine.unloading == ""
	ps := placer.Server{
		ID: s.entry.ID, Zone: s.entry.Zone, Slots: s.entry.Slots,
		Free:           idle,
		FreeForAdapter: idle && len(engine.adapterLoads) < maxAdapterLoads,
		FreeIn:         engine.freeIn(now),
		Loading:        engine.loading,
		InMemory:       s.entry.Weights.InMemory, OnDisk: s.entry.Weights.OnDisk,
		Goal: engine.goal, GoalAt: engine.goalAt, UnloadingAdapters: slices.Sorted(maps.Keys(engine.unloadingAdapters)),
	}
	for _, a := range engine.adapterLoads {
		ps.PendingAdapters = append(ps.PendingAdapters, modelName(a.model, a.adapter))
	}
	if o := engine.pendingOrder; o != nil && o.Adapter != "" && o.Operation == registrar.OperationLoad {
		ps.PendingAdapters = append(ps.PendingAdapters, modelName(o.Model, o.Adapter))
	}
	for _, name := range engine.pendingAdapters {
		model, adapter := splitName(name)
		if !engine.weights.HasLoaded(model, adapter) && !slices.Contains(ps.PendingAdapters, name) {
			ps.PendingAdapters = append(ps.PendingAdapters, name)
		}
	}
	demandByName := make(map[string]placer.Demand, len(demands))
	for _, d := range demands {
		demandByName[modelName(d.Model, d.Adapter)] = d
	}
	for _, loaded := range engine.weights.Models {
		model := placer.Model{Name: loaded.Name, OrderedAt: engine.acceptedAt[loaded.Name], LoadedAt: engine.loadedAt[loaded.Name]}
		model.Running = max(running[s.entry.ID][loaded.Name], min(demandByName[loaded.Name].Running, 1))
		for _, a := range loaded.Adapters {
			name := modelName(loaded.Name, a)
			d := demandByName[name]
			model.Adapters = append(model.Adapters, placer.Adapter{
				Name: a, Busy: d.Running+d.Waiting > 0, Unconfirmed: engine.isUnconfirmed(name), UsedAt: engine.usedAt[name] + time.Duration(d.Rate*float64(time.Second)),
			})
		}
		ps.Models = append(ps.Models, model)
	}
	if engine.unloading != "" {
		// The memory of the model is not free yet.
		ps.Models = append(ps.Models, placer.Model{Name: engine.unloading})
	}
	return ps
}

// loadBudget returns how many loads from the weight store may start now.
func (m *Machine) loadBudget(service string, settings *matcher.Engine) int {
	starts := m.placement.weightStoreLoadStarts[service]
	starts = slices.DeleteFunc(starts, func(at time.Duration) bool { return m.now > at+m.settings.LoadWindow })
	m.placement.weightStoreLoadStarts[service] = starts
	return max(0, int(settings.LoadsPerSecond*m.settings.LoadWindow.Seconds()*m.settings.LoadOverage)-len(starts))
}

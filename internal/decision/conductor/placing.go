package conductor

import (
	"slices"
	"time"

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
}

// conflictPause is how long an engine that refused an order is left alone before its report is read.
const conflictPause = 300 * time.Millisecond

// maxAdaptersComing is how many adapters a server takes at the same time.
const maxAdaptersComing = 4

// planInterval is how often a plan is made while nothing new is known.
const planInterval = 200 * time.Millisecond

// planGap is the least time between two plans, so that news that come together are planned for together.
const planGap = 8 * time.Millisecond

// A control is what the holder knows of one engine.
type control struct {
	startedAt int64
	// holdings is what takes the engine's memory. It loses only what the engine says is gone.
	holdings registrar.Holdings
	// changed tells that the other daemons have not been told of the latest.
	changed bool
	// hidden are models and adapters that requests found missing, until when they are doubted.
	hidden map[string]time.Duration
	// accepted is the engine's count of accepted orders, if countKnown.
	accepted   int64
	countKnown bool
	// changedAt is when an order may have changed the engine last.
	changedAt time.Duration
	// saidAt is when the engine's entry changed last. Reports lag behind it.
	saidAt   time.Duration
	reportAt time.Duration
	polling  bool

	// busy tells that the engine said that it works on an order, whoever gave it.
	busy bool
	// order is on its way; doubtful tells that an order's outcome is not known.
	order    *registrar.Order
	doubtful bool
	// loading and unloading are models that the engine is busy with.
	loading   string
	tier      placer.Tier
	loadEnds  time.Duration
	unloading string
	coming    []comingAdapter
	// added and dropped are what own orders changed lately, by name.
	added   map[string]time.Duration
	dropped map[string]time.Duration

	loadedAt map[string]time.Duration
	usedAt   map[string]time.Duration
	goal     string
	goalAt   time.Duration
}

// A comingAdapter is an adapter that is on its way to an engine.
type comingAdapter struct {
	model   string
	adapter string
	at      time.Duration
}

func newPlacingState() placingState {
	return placingState{controls: make(map[string]*control), storeLoads: make(map[string][]time.Duration)}
}

func newControl(s *server) *control {
	return &control{
		startedAt: s.entry.StartedAt, holdings: s.entry.Holdings, hidden: make(map[string]time.Duration),
		added: make(map[string]time.Duration), dropped: make(map[string]time.Duration),
		loadedAt: make(map[string]time.Duration), usedAt: make(map[string]time.Duration),
	}
}

// serving returns what requests find at the engine.
func (c *control) serving(now time.Duration) registrar.Holdings {
	h := c.holdings
	for name, until := range c.hidden {
		if now > until {
			delete(c.hidden, name)
			continue
		}
		model, adapter := splitName(name)
		h = h.WithoutModel(model, adapter)
	}
	return h
}

func (p *placingState) forget(id string) { delete(p.controls, id) }

func (p *placingState) stop() {
	p.running = false
	clear(p.controls)
}

func (p *placingState) ids() []string {
	ids := make([]string, 0, len(p.controls))
	for id := range p.controls {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
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
		next = min(next, p.plannedAt+planGap)
	}
	return next
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
	return 0, false
}

// loadings returns what is being loaded, for the other daemons.
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

// engineChanged takes a server's entry at the holder.
func (m *Machine) engineChanged(s *server) {
	if !m.placing.running || m.engine(s.entry.Service) == nil {
		return
	}
	c, ok := m.placing.controls[s.entry.ID]
	if !ok || c.startedAt != s.entry.StartedAt {
		c = newControl(s)
		c.reportAt = m.now
		m.placing.controls[s.entry.ID] = c
	}
	c.saidAt = s.seenAt
	m.takeHoldings(s, c, s.entry.Holdings, true)
	m.placing.dirty = true
	m.changed(c)
}

// takeHoldings takes what an engine says that it has. What own orders changed lately may be missing from an entry.
func (m *Machine) takeHoldings(s *server, c *control, said registrar.Holdings, mayLag bool) {
	h := said
	if mayLag {
		h = m.withOwnOrders(c, said)
	}
	if c.loading != "" && said.Has(c.loading, "") {
		m.emit(Believed{Subject: "Server " + s.entry.ID, Change: "Loaded", Reason: c.loading, Age: m.now - c.changedAt})
		c.loadedAt[c.loading] = m.now
		delete(c.hidden, c.loading)
		c.loading = ""
	}
	if c.unloading != "" && !said.Has(c.unloading, "") {
		m.emit(Believed{Subject: "Server " + s.entry.ID, Change: "Unloaded", Reason: c.unloading, Age: m.now - c.changedAt})
		c.unloading = ""
	}
	if c.unloading != "" {
		h = h.WithoutModel(c.unloading, "")
	}
	c.holdings = h
}

func (m *Machine) withOwnOrders(c *control, h registrar.Holdings) registrar.Holdings {
	for name, at := range c.added {
		if m.now > at+ownOrderTrust {
			delete(c.added, name)
			continue
		}
		if model, adapter := splitName(name); h.Has(model, "") {
			h = h.WithModel(model, adapter)
		}
	}
	for name, at := range c.dropped {
		if m.now > at+ownOrderTrust {
			delete(c.dropped, name)
			continue
		}
		model, adapter := splitName(name)
		h = h.WithoutModel(model, adapter)
	}
	return h
}

// changed notes that the other daemons have to be told of a server.
func (m *Machine) changed(c *control) {
	c.changed = true
	if m.fleet.changedAt == 0 {
		m.fleet.changedAt = m.now
	}
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
	if m.now < p.planAt && (!p.dirty || m.now < p.plannedAt+planGap) {
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
		if c.loading != "" && c.tier == placer.TierStore {
			in.StoreLoads++
		}
		in.Servers = append(in.Servers, plannerServer(s, c, running, in.Demands))
	}
	in.StoreBudget = m.storeBudget(service, engine)
	for _, step := range placer.Plan(in) {
		m.take(service, step)
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
func plannerServer(s *server, c *control, running map[string]map[string]int, demands []placer.Demand) placer.Server {
	idle := c.countKnown && c.order == nil && !c.doubtful && !c.busy && c.loading == "" && c.unloading == ""
	ps := placer.Server{
		ID: s.entry.ID, Zone: s.entry.Zone, Slots: s.entry.Slots,
		Free:           idle,
		FreeForAdapter: idle && len(c.coming) < maxAdaptersComing,
		Loading:        c.loading,
		InMemory:       s.entry.Holdings.InMemory, OnDisk: s.entry.Holdings.OnDisk,
		Goal: c.goal, GoalAt: c.goalAt,
	}
	for _, a := range c.coming {
		ps.Coming = append(ps.Coming, modelName(a.model, a.adapter))
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

// take carries out one step of a plan.
func (m *Machine) take(service string, step placer.Step) {
	c, s := m.placing.controls[step.Server], m.servers[step.Server]
	if c == nil || s == nil {
		return
	}
	if step.Adapter == "" && step.Goal != c.goal {
		c.goal, c.goalAt = step.Goal, m.now
	}
	if step.Model == "" {
		return
	}
	order := registrar.Order{
		Server: step.Server, Address: s.entry.Address, Operation: step.Operation, Model: step.Model, Adapter: step.Adapter,
		After: c.accepted, Holder: m.settings.Self.Name, Fence: m.role.holder.Fence,
	}
	c.order = &order
	name := modelName(step.Model, step.Adapter)
	if step.Operation == registrar.OperationUnload {
		// The daemons stop sending before the server stops taking.
		c.dropped[name] = m.now
		delete(c.added, name)
		c.holdings = c.holdings.WithoutModel(step.Model, step.Adapter)
		m.changed(c)
	} else if step.Adapter == "" {
		c.tier = step.Tier
		if step.Tier == placer.TierStore {
			m.placing.storeLoads[service] = append(m.placing.storeLoads[service], m.now)
		}
	}
	m.emit(Believed{
		Subject: "Server " + step.Server, Change: "Order" + step.Operation.String(), Reason: step.Reason, Version: order.Fence,
		Detail: name + " from " + step.Tier.String() + " for " + step.Goal + ", after order " + itoa(order.After) + ", next best " + step.Other,
	})
	m.emit(SendOrder{Order: order, Expires: min(m.now+orderLife, m.orderLimit())})
}

// orderLimit returns when this process stops being allowed to give orders, without news.
func (m *Machine) orderLimit() time.Duration {
	if m.lease.valid(m.now) {
		return m.lease.validUntil
	}
	return m.now + orderLife
}

func (m *Machine) orderEnded(e OrderEnded) {
	c, ok := m.placing.controls[e.Order.Server]
	if !ok || c.order == nil || *c.order != e.Order {
		return
	}
	s := m.servers[e.Order.Server]
	c.order = nil
	m.placing.dirty = true
	m.emit(Believed{
		Subject: "Server " + e.Order.Server, Change: "OrderEnded", Reason: e.Result.String(), Version: e.Order.Fence,
		Detail: e.Order.Operation.String() + " " + modelName(e.Order.Model, e.Order.Adapter),
	})
	switch e.Result {
	case registrar.OrderAccepted:
		c.changedAt = m.now
		c.accepted++
		m.orderAccepted(s, c, e.Order)
	case registrar.OrderHeld:
		m.orderHeld(s, c, e.Order)
	case registrar.OrderFenced:
		m.depose("an engine has seen a higher fencing number")
	case registrar.OrderUnknown:
		c.changedAt = m.now
		c.doubtful = true
		c.reportAt = m.now + reportLag
	case registrar.OrderNotSent:
		m.undo(c, e.Order)
	case registrar.OrderConflict, registrar.OrderInvalid, registrar.OrderMisdirected:
		m.undo(c, e.Order)
		c.countKnown = false
		c.goal = ""
		c.reportAt = max(m.now+conflictPause, c.changedAt+reportLag)
	}
}

// undo takes back what was believed ahead of an order that has no effect.
func (m *Machine) undo(c *control, o registrar.Order) {
	if o.Operation == registrar.OperationUnload {
		delete(c.dropped, modelName(o.Model, o.Adapter))
		c.holdings = c.holdings.WithModel(o.Model, o.Adapter)
		m.changed(c)
	}
}

func (m *Machine) orderAccepted(s *server, c *control, o registrar.Order) {
	switch {
	case o.Operation == registrar.OperationLoad && o.Adapter != "":
		c.coming = append(c.coming, comingAdapter{model: o.Model, adapter: o.Adapter, at: m.now + adapterTime})
	case o.Operation == registrar.OperationLoad:
		c.loading = o.Model
		c.goal = ""
		delete(c.dropped, o.Model)
		c.loadEnds = m.now + m.loadTime(s, c.tier, o.Model)
		c.reportAt = c.loadEnds + loadSlack
	case o.Adapter == "":
		c.unloading = o.Model
		c.reportAt = m.now + reportLag
	}
	m.changed(c)
}

// orderHeld takes the answer that nothing had to wait. An adapter without requests is dropped at once with it.
func (m *Machine) orderHeld(s *server, c *control, o registrar.Order) {
	c.changedAt = m.now
	if o.Adapter != "" && o.Operation == registrar.OperationUnload {
		c.accepted++
		return
	}
	if o.Operation == registrar.OperationLoad {
		c.holdings = c.holdings.WithModel(o.Model, o.Adapter)
		c.goal = ""
		m.changed(c)
		m.pump(s.entry.Service)
	}
	c.countKnown = false
	c.reportAt = m.now + reportLag
}

func (m *Machine) loadTime(s *server, tier placer.Tier, name string) time.Duration {
	model := m.engine(s.entry.Service).Models[name]
	t := placer.LoadTime(model, tier)
	if tier != placer.TierStore {
		return t
	}
	running := 0
	for _, c := range m.placing.controls {
		if c.loading != "" && c.tier == placer.TierStore {
			running++
		}
	}
	return t * time.Duration(max(running, storeLoadsAtFullSpeed)) / storeLoadsAtFullSpeed
}

// storeLoadsAtFullSpeed is how many loads the weight store serves without slowing them, by the deployments' sheets.
const storeLoadsAtFullSpeed = 4

// serverReported takes an engine's report. Its values may be older than the answer, so those of a report that was asked
// for too soon after an order don't count.
func (m *Machine) serverReported(e ServerReported) {
	c, ok := m.placing.controls[e.Server]
	s := m.servers[e.Server]
	if !ok || s == nil {
		return
	}
	c.polling = false
	if !e.OK || e.StartedAt != 0 && e.StartedAt != c.startedAt {
		c.reportAt = m.now + reportInterval
		return
	}
	if c.order != nil || c.changedAt > 0 && e.SentAt < c.changedAt+reportLag {
		c.reportAt = max(m.now, c.changedAt) + reportLag
		if c.countKnown && !c.doubtful && !c.busy && c.loading == "" && c.unloading == "" {
			c.reportAt = m.now + idleReportInterval
		}
		return
	}
	if e.SentAt < c.saidAt+reportLag {
		// The entry is newer than the report may be.
		c.reportAt = c.saidAt + reportLag
		return
	}
	c.accepted, c.countKnown, c.doubtful, c.busy = e.Report.OrdersAccepted, true, false, e.Report.Busy
	m.takeHoldings(s, c, e.Report.Holdings, len(c.coming) > 0)
	c.reportAt = m.now + reportInterval
	if !e.Report.Busy {
		m.endWork(s, c, e.Report)
		c.reportAt = m.now + idleReportInterval
	}
	m.placing.dirty = true
	m.changed(c)
	m.pump(s.entry.Service)
}

// endWork settles what an engine that isn't busy was believed to be doing.
func (m *Machine) endWork(s *server, c *control, report registrar.Report) {
	if c.loading != "" && !report.Has(c.loading, "") {
		m.emit(Believed{Subject: "Server " + s.entry.ID, Change: "LoadLost", Reason: c.loading, Warning: true})
		c.loading = ""
	}
	if c.unloading != "" && report.Has(c.unloading, "") {
		c.unloading = ""
		c.holdings = report.Holdings
	}
}

// absenceReported takes a daemon's word that an engine lacks what it was believed to have.
func (m *Machine) absenceReported(a messenger.Absence) {
	c, ok := m.placing.controls[a.Server]
	if ok && c.startedAt == a.StartedAt && a.Model == "" {
		m.serverDown(m.servers[a.Server])
		return
	}
	if !ok || c.startedAt != a.StartedAt || !c.holdings.Has(a.Model, a.Adapter) {
		return
	}
	if at, added := c.added[modelName(a.Model, a.Adapter)]; added && m.now < at+reportLag {
		return
	}
	c.hidden[modelName(a.Model, a.Adapter)] = m.now + absentPause
	c.reportAt = min(c.reportAt, max(m.now, c.changedAt+reportLag))
	m.placing.dirty = true
	m.changed(c)
}

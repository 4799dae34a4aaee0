package conductor

import (
	"time"

	"samphirewharf/internal/decision/allotter"
	"samphirewharf/internal/decision/placer"
	"samphirewharf/internal/fleet/registrar"
)

// conflictPause is how long an engine that refused an order is left alone before its report is read.
const conflictPause = 300 * time.Millisecond

// maxAdaptersComing is how many adapters a server takes at the same time.
const maxAdaptersComing = 4

// take carries out one step of a plan.
func (m *Machine) take(service string, step placer.Step) {
	c, s := m.placing.controls[step.Server], m.servers[step.Server]
	if c == nil || s == nil {
		return
	}
	if step.Adapter == "" && step.Goal != c.goal {
		c.goal, c.goalAt = step.Goal, m.now
	}
	delete(m.placing.forecasts[service], step.Goal)
	delete(m.placing.forecasts[service], modelName(step.Model, step.Adapter))
	if step.Model == "" {
		return
	}
	order := registrar.Order{
		Server: step.Server, Address: s.entry.Address, Operation: step.Operation, Model: step.Model, Adapter: step.Adapter,
		ExpectedOrders: c.accepted, Leader: m.settings.Self.Name, FencingToken: m.role.holder.FencingToken,
	}
	c.order = &order
	name := modelName(step.Model, step.Adapter)
	if step.Operation == registrar.OperationUnload {
		// The daemons stop sending before the server stops taking.
		c.dropped[name] = m.now
		delete(c.added, name)
		delete(c.loadedAt, name)
		c.holdings = c.holdings.WithoutModel(step.Model, step.Adapter)
		m.changed(c)
	} else if step.Adapter == "" {
		c.tier = step.Tier
		if step.Tier == placer.TierStore {
			m.placing.storeLoads[service] = append(m.placing.storeLoads[service], m.now)
		}
	}
	m.emit(LogStateChange{
		Subject: "Server " + step.Server, Change: "Order" + step.Operation.String(), Reason: step.Reason, Version: order.FencingToken,
		Detail: name + " from " + step.Tier.String() + " for " + step.Goal + ", after order " + itoa(order.ExpectedOrders) + ", next best " + step.Other,
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
	m.emit(LogStateChange{
		Subject: "Server " + e.Order.Server, Change: "OrderEnded", Reason: e.Result.String(), Version: e.Order.FencingToken,
		Detail: e.Order.Operation.String() + " " + modelName(e.Order.Model, e.Order.Adapter),
	})
	switch e.Result {
	case registrar.OrderAccepted:
		c.changedAt = m.now
		c.accepted++
		m.orderAccepted(s, c, e.Order)
	case registrar.OrderAlreadyDone:
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
		c.loadBegan, c.loadsBeside = m.now, 0
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
	lanes := m.lanes(s.entry.Service).Limit()
	return t * time.Duration(max(m.storeLoads(s.entry.Service), lanes)) / time.Duration(lanes)
}

// storeLoads returns how many loads from the weight store run for a service.
func (m *Machine) storeLoads(service string) int {
	running := 0
	for _, s := range m.serversOf(service) {
		if c, ok := m.placing.controls[s.entry.ID]; ok && c.loadsFromStore() {
			running++
		}
	}
	return running
}

// lanes returns what is known of how many loads the weight store serves at once for a service.
func (m *Machine) lanes(service string) *allotter.ConcurrencyLimiter {
	l, ok := m.placing.lanes[service]
	if !ok {
		l = &allotter.ConcurrencyLimiter{}
		m.placing.lanes[service] = l
	}
	return l
}

// watchLoads notes how long the loads from the weight store take, before a plan relies on it.
func (m *Machine) watchLoads(service string) {
	running := m.storeLoads(service)
	for _, s := range m.serversOf(service) {
		c, ok := m.placing.controls[s.entry.ID]
		if !ok || !c.loadsFromStore() {
			continue
		}
		c.loadsBeside = max(c.loadsBeside, running)
		m.lanes(service).ObserveRunning(m.now-c.loadBegan, m.engine(service).Models[c.loading].StoreLoadTime, c.loadsBeside)
	}
}

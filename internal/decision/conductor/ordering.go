package conductor

import (
	"time"

	"samphirewharf/internal/decision/allotter"
	"samphirewharf/internal/decision/placer"
	"samphirewharf/internal/fleet/registrar"
)

// conflictDelay is the delay before the report of an engine that refused an order is read.
const conflictDelay = 300 * time.Millisecond

// maxAdapterLoads is the maximum number of adapters that a server loads at once.
const maxAdapterLoads = 4

// giveOrder carries out one step of a plan.
func (m *Machine) giveOrder(service string, step placer.Step) {
	engine, s := m.placement.engines[step.Server], m.servers[step.Server]
	if engine == nil || s == nil {
		return
	}
	if step.Adapter == "" && step.Goal != engine.goal {
		engine.goal, engine.goalAt = step.Goal, m.now
	}
	delete(m.placement.forecasts[service], step.Goal)
	delete(m.placement.forecasts[service], modelName(step.Model, step.Adapter))
	if step.Model == "" {
		return
	}
	order := registrar.Order{
		Server: step.Server, Address: s.entry.Address, Operation: step.Operation, Model: step.Model, Adapter: step.Adapter,
		ExpectedOrders: engine.ordersAccepted, Leader: m.settings.Self.Name, FencingToken: m.election.Leader().FencingToken,
	}
	engine.pendingOrder = &order
	name := modelName(step.Model, step.Adapter)
	if step.Operation == registrar.OperationUnload {
		// Daemons stop sending requests before the server stops accepting them.
		engine.removed[name] = m.now
		delete(engine.added, name)
		delete(engine.loadedAt, name)
		engine.weights = engine.weights.WithoutModel(step.Model, step.Adapter)
		m.markUnreported(engine)
	} else if step.Adapter == "" {
		engine.loadTier = step.Tier
		if step.Tier == placer.TierStore {
			m.countWeightStoreLoad(service)
		}
	}
	m.emit(LogStateChange{
		Subject: "Server " + step.Server, Change: "Order" + step.Operation.String(), Reason: step.Reason, Version: order.FencingToken,
		Detail: name + " from " + step.Tier.String() + " for " + step.Goal + ", after order " + itoa(order.ExpectedOrders) + ", next best " + step.Other,
	})
	m.countSend(s)
	m.emit(SendOrder{Order: order, Expires: min(m.now+orderTTL, m.orderDeadline())})
}

// countWeightStoreLoad counts a load from the weight store that starts now.
func (m *Machine) countWeightStoreLoad(service string) {
	m.placement.weightStoreLoadStarts[service] = append(m.placement.weightStoreLoadStarts[service], m.now)
}

// orderDeadline returns until when this process may send an order without further renewal of its lease.
func (m *Machine) orderDeadline() time.Duration {
	if m.lease.valid(m.now) {
		return m.lease.validUntil
	}
	return m.now + orderTTL
}

func (m *Machine) orderEnded(e OrderEnded) {
	engine, ok := m.placement.engines[e.Order.Server]
	if !ok || engine.pendingOrder == nil || *engine.pendingOrder != e.Order {
		return
	}
	s := m.servers[e.Order.Server]
	engine.pendingOrder = nil
	m.placement.dirty = true
	m.emit(LogStateChange{
		Subject: "Server " + e.Order.Server, Change: "OrderEnded", Reason: e.Result.String(), Version: e.Order.FencingToken,
		Detail: e.Order.Operation.String() + " " + modelName(e.Order.Model, e.Order.Adapter),
	})
	switch e.Result {
	case registrar.OrderAccepted:
		engine.orderedAt = m.now
		engine.ordersAccepted++
		m.orderAccepted(s, engine, e.Order)
	case registrar.OrderAlreadyDone:
		m.orderAlreadyDone(s, engine, e.Order)
	case registrar.OrderFenced:
		m.stopLeading("an engine has seen a higher fencing token")
	case registrar.OrderUnknown:
		engine.orderedAt = m.now
		engine.outcomeUnknown = true
		engine.pollAt = m.now + reportLag
	case registrar.OrderNotSent:
		m.revertOrder(engine, e.Order)
	case registrar.OrderConflict, registrar.OrderInvalid, registrar.OrderMisdirected:
		m.revertOrder(engine, e.Order)
		engine.countKnown = false
		engine.goal = ""
		engine.pollAt = max(m.now+conflictDelay, engine.orderedAt+reportLag)
	}
}

// revertOrder undoes the change of the engine's state that was made ahead of an unload order that had no effect.
func (m *Machine) revertOrder(engine *engineState, o registrar.Order) {
	if o.Operation == registrar.OperationUnload {
		delete(engine.removed, modelName(o.Model, o.Adapter))
		engine.weights = engine.weights.WithModel(o.Model, o.Adapter)
		m.markUnreported(engine)
	}
}

func (m *Machine) orderAccepted(s *server, engine *engineState, o registrar.Order) {
	switch {
	case o.Operation == registrar.OperationLoad && o.Adapter != "":
		engine.unconfirmed[modelName(o.Model, o.Adapter)] = m.now
		engine.adapterLoads = append(engine.adapterLoads, adapterLoad{model: o.Model, adapter: o.Adapter, readyAt: m.now + adapterLoadTime})
	case o.Operation == registrar.OperationLoad:
		engine.loading = o.Model
		engine.goal = ""
		delete(engine.removed, o.Model)
		engine.acceptedAt[o.Model], engine.loadStartedAt, engine.concurrentLoads = m.now, m.now, 0
		engine.loadEndsAt = m.now + m.loadTime(s, engine.loadTier, o.Model)
		engine.pollAt = engine.loadEndsAt + loadTimeMargin
	case o.Adapter == "":
		engine.unloading = o.Model
		engine.pollAt = m.now + reportLag
	default:
		engine.unloadingAdapters[modelName(o.Model, o.Adapter)] = true
		engine.pollAt = m.now + reportLag
	}
	m.markUnreported(engine)
}

// orderAlreadyDone handles the answer that the engine was already in the ordered state. The unload of an adapter
// without requests also ends so, as it takes effect at once.
func (m *Machine) orderAlreadyDone(s *server, engine *engineState, o registrar.Order) {
	engine.orderedAt = m.now
	if o.Adapter != "" && o.Operation == registrar.OperationUnload {
		engine.ordersAccepted++
		return
	}
	if o.Operation == registrar.OperationLoad {
		engine.weights = engine.weights.WithModel(o.Model, o.Adapter)
		engine.goal = ""
		m.markUnreported(engine)
		m.dispatchQueue(s.entry.Service)
	}
	engine.countKnown = false
	engine.pollAt = m.now + reportLag
}

func (m *Machine) loadTime(s *server, tier placer.Tier, name string) time.Duration {
	model, _ := m.engineModel(s.entry.Service, name)
	t := placer.LoadTime(model, tier)
	if tier != placer.TierStore {
		return t
	}
	limit := m.weightStoreConcurrency(s.entry.Service).Limit()
	return t * time.Duration(max(m.runningWeightStoreLoads(s.entry.Service), limit)) / time.Duration(limit)
}

// runningWeightStoreLoads returns the number of running loads from the weight store for a service.
func (m *Machine) runningWeightStoreLoads(service string) int {
	running := 0
	for _, s := range m.serversOf(service) {
		if engine, ok := m.placement.engines[s.entry.ID]; ok && engine.loadsFromWeightStore(m.now) {
			running++
		}
	}
	return running
}

// weightStoreConcurrency returns the estimate of how many loads the weight store serves at once for a service.
func (m *Machine) weightStoreConcurrency(service string) *allotter.ConcurrencyLimiter {
	l, ok := m.placement.weightStoreConcurrency[service]
	if !ok {
		l = &allotter.ConcurrencyLimiter{}
		m.placement.weightStoreConcurrency[service] = l
	}
	return l
}

// observeLoads feeds the durations of running loads from the weight store into the concurrency estimate before it is
// used for a plan.
func (m *Machine) observeLoads(service string) {
	running := m.runningWeightStoreLoads(service)
	for _, s := range m.serversOf(service) {
		engine, ok := m.placement.engines[s.entry.ID]
		if !ok || !engine.loadsFromWeightStore(m.now) || engine.loading == "" {
			continue
		}
		engine.concurrentLoads = max(engine.concurrentLoads, running)
		if model, ok := m.engineModel(service, engine.loading); ok {
			m.weightStoreConcurrency(service).ObserveRunning(m.now-engine.loadStartedAt, model.StoreLoadTime, engine.concurrentLoads)
		}
	}
}

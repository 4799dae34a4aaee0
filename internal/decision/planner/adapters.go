package planner

import (
	"slices"
	"time"

	"samphirewharf/internal/backend/orderer"
	"samphirewharf/internal/config/cataloger"
	"samphirewharf/internal/decision/observer"
)

// adapterRetryDelay is the delay after an adapter order without effect before another may be sent.
const adapterRetryDelay = 2 * time.Second

// An adapterOrder is a pending order to load or unload an adapter, keyed by replica and adapter.
type adapterOrder struct {
	id      string
	replica string
	server  string
	adapter string
	load    bool
	sentAt  time.Duration
	ended   bool
	endedAt time.Duration
	outcome orderer.Outcome
}

// planAdapters sends adapter orders for requests that wait for adapters of ready replicas. The record
// reserves adapter slots together with the replica, so it is not written.
func (m *Machine) planAdapters(v View) {
	m.finishAdapterOrders(v)
	if !m.canSendOrders(v) {
		return
	}
	for _, total := range m.demand.totals(v.Now) {
		d, ok := v.Catalog.Deployment(total.deployment)
		if !ok || d.Service != m.Cell {
			continue
		}
		for _, a := range total.adapters {
			m.planAdapterOrder(v, d, a)
		}
	}
}

func (m *Machine) planAdapterOrder(v View, d *cataloger.Deployment, a adapterDemand) {
	var best *observer.Replica
	for _, r := range v.Fleet.Replicas(d.Name) {
		if r.HasAdapter(a.name) && r.Usable() || m.adapterOrders[adapterOrderKey(r.ID, a.name)] != nil {
			return
		}
		if !r.Usable() || !m.isDecided(r.ID) {
			continue
		}
		if best == nil || m.usedSlots(r) < m.usedSlots(best) {
			best = r
		}
	}
	if best == nil {
		return
	}
	if m.usedSlots(best) < d.AdapterSlots {
		m.sendAdapterOrder(v, best, a.name, true)
		return
	}
	if victim, ok := m.adapterToUnload(v, best); ok {
		m.sendAdapterOrder(v, best, victim, false)
	}
}

// isDecided reports whether the replica is in the record and not marked as unloading.
func (m *Machine) isDecided(id string) bool {
	r, ok := m.record.Replica(id)
	return ok && r.State == StateDecided
}

func (m *Machine) sendAdapterOrder(v View, r *observer.Replica, adapter string, load bool) {
	id := m.nextOrderID()
	kind := orderer.KindUnloadAdapter
	if load {
		kind = orderer.KindLoadAdapter
		if m.LoadLimits.StartAdapter != nil && !m.LoadLimits.StartAdapter(v.Now, id, m.adapterLoadTime(v)) {
			return
		}
	}
	m.adapterOrders[adapterOrderKey(r.ID, adapter)] = &adapterOrder{
		id: id, replica: r.ID, server: r.Server.Host.Server, adapter: adapter, load: load, sentAt: v.Now,
	}
	m.emit(Decision{
		Action: string(kind), Deployment: r.Deployment, Replica: r.ID, Server: r.Server.Host.Server, Reason: adapter,
	})
	m.emit(Send{Server: r.Server, Expires: v.Now + orderTTL, Order: orderer.Order{
		OrderID:    id,
		Kind:       kind,
		Fence:      m.record.Fence,
		Replica:    r.ID,
		Deployment: r.Deployment,
		Adapter:    adapter,
	}})
}

// finishAdapterOrders removes adapter orders that have taken effect, whose replica is gone, or that ended
// without effect at least adapterRetryDelay ago.
func (m *Machine) finishAdapterOrders(v View) {
	for key, order := range m.adapterOrders {
		r, ok := v.Fleet.Replica(order.replica)
		done := !ok || r.HasAdapter(order.adapter) == order.load
		expired := order.ended && v.Now >= order.endedAt+adapterRetryDelay
		if !done && !expired {
			continue
		}
		if order.load && m.LoadLimits.FinishAdapter != nil {
			m.LoadLimits.FinishAdapter(v.Now, order.id)
		}
		delete(m.adapterOrders, key)
	}
}

// adapterToUnload returns the least recently used adapter of the replica that no request waits for.
func (m *Machine) adapterToUnload(v View, r *observer.Replica) (string, bool) {
	inDemand := make(map[string]bool)
	for _, total := range m.demand.totals(v.Now) {
		if total.deployment != r.Deployment {
			continue
		}
		for _, a := range total.adapters {
			inDemand[a.name] = true
		}
	}
	var victim string
	var oldest time.Duration
	for _, name := range r.Adapters {
		if inDemand[name] || m.adapterOrders[adapterOrderKey(r.ID, name)] != nil {
			continue
		}
		at := m.lastUsed[name]
		if victim == "" || at < oldest {
			victim, oldest = name, at
		}
	}
	return victim, victim != ""
}

// adapterLoadTime returns the duration of an adapter's load at full speed.
func (m *Machine) adapterLoadTime(v View) time.Duration {
	service, ok := v.Catalog.Service(m.Cell)
	if !ok {
		return 0
	}
	return service.Store.AdapterLoad.D()
}

func (m *Machine) adapterOrderPending(s *observer.Server) bool {
	for _, order := range m.adapterOrders {
		if order.server == s.Host.Server {
			return true
		}
	}
	return false
}

// usedSlots returns the number of the replica's adapter slots that are in use or being loaded.
func (m *Machine) usedSlots(r *observer.Replica) int {
	used := len(r.Adapters)
	for _, order := range m.adapterOrders {
		if order.replica == r.ID && order.load && !slices.Contains(r.Adapters, order.adapter) {
			used++
		}
	}
	return used
}

func adapterOrderKey(replica, adapter string) string { return replica + "/" + adapter }

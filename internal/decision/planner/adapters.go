package planner

import (
	"slices"
	"time"

	"samphirewharf/internal/backend/orderer"
	"samphirewharf/internal/config/cataloger"
	"samphirewharf/internal/decision/observer"
)

// slotRetry is how long after an adapter order that had no effect another is sent.
const slotRetry = 2 * time.Second

// A slotOrder is an adapter order on its way, keyed by replica and adapter.
type slotOrder struct {
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

// planAdapters sends adapter orders for requests that wait for adapters of ready replicas. Slots are
// reserved with the replica, so that no write of the record is needed.
func (m *Machine) planAdapters(v View) {
	m.settleSlots(v)
	if !m.maySend(v) {
		return
	}
	for _, w := range m.demand.wants(v.Now) {
		d, ok := v.Catalog.Deployment(w.deployment)
		if !ok || d.Service != m.Cell {
			continue
		}
		for _, a := range w.adapters {
			m.planAdapter(v, d, a)
		}
	}
}

func (m *Machine) planAdapter(v View, d *cataloger.Deployment, a adapterWant) {
	var best *observer.Replica
	for _, r := range v.Fleet.Replicas(d.Name) {
		if r.HasAdapter(a.name) && r.Usable() || m.slots[slotKey(r.ID, a.name)] != nil {
			return
		}
		if !r.Usable() || !m.decided(r.ID) {
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
		m.orderSlot(v, best, a.name, true)
		return
	}
	if victim, ok := m.slotVictim(v, best); ok {
		m.orderSlot(v, best, victim, false)
	}
}

// decided reports whether the record holds the replica as usable.
func (m *Machine) decided(id string) bool {
	r, ok := m.record.Replica(id)
	return ok && r.State == StateDecided
}

func (m *Machine) orderSlot(v View, r *observer.Replica, adapter string, load bool) {
	id := m.nextOrderID()
	kind := orderer.KindUnloadAdapter
	if load {
		kind = orderer.KindLoadAdapter
		if m.LoadLimits.StartAdapter != nil && !m.LoadLimits.StartAdapter(v.Now, id, m.adapterLoad(v)) {
			return
		}
	}
	m.slots[slotKey(r.ID, adapter)] = &slotOrder{
		id: id, replica: r.ID, server: r.Server.Host.Server, adapter: adapter, load: load, sentAt: v.Now,
	}
	m.act(Decision{
		Action: string(kind), Deployment: r.Deployment, Replica: r.ID, Server: r.Server.Host.Server, Reason: adapter,
	})
	m.act(Send{Server: r.Server, Expires: v.Now + orderLife, Order: orderer.Order{
		OrderID:    id,
		Kind:       kind,
		Fence:      m.record.Fence,
		Replica:    r.ID,
		Deployment: r.Deployment,
		Adapter:    adapter,
	}})
}

// settleSlots ends adapter orders whose effect is seen, whose replica is gone, or that had none in time.
func (m *Machine) settleSlots(v View) {
	for key, slot := range m.slots {
		r, ok := v.Fleet.Replica(slot.replica)
		done := !ok || r.HasAdapter(slot.adapter) == slot.load
		expired := slot.ended && v.Now >= slot.endedAt+slotRetry
		if !done && !expired {
			continue
		}
		if slot.load && m.LoadLimits.FinishAdapter != nil {
			m.LoadLimits.FinishAdapter(v.Now, slot.id)
		}
		delete(m.slots, key)
	}
}

// slotVictim returns an adapter that no request waits for.
func (m *Machine) slotVictim(v View, r *observer.Replica) (string, bool) {
	wanted := make(map[string]bool)
	for _, w := range m.demand.wants(v.Now) {
		if w.deployment != r.Deployment {
			continue
		}
		for _, a := range w.adapters {
			wanted[a.name] = true
		}
	}
	var victim string
	var oldest time.Duration
	for _, name := range r.Adapters {
		if wanted[name] || m.slots[slotKey(r.ID, name)] != nil {
			continue
		}
		at := m.used[name]
		if victim == "" || at < oldest {
			victim, oldest = name, at
		}
	}
	return victim, victim != ""
}

// adapterLoad returns how long an adapter's load takes at full speed.
func (m *Machine) adapterLoad(v View) time.Duration {
	service, ok := v.Catalog.Service(m.Cell)
	if !ok {
		return 0
	}
	return service.Store.AdapterLoad.D()
}

func (m *Machine) slotPending(s *observer.Server) bool {
	for _, slot := range m.slots {
		if slot.server == s.Host.Server {
			return true
		}
	}
	return false
}

// usedSlots returns the slots taken or being taken.
func (m *Machine) usedSlots(r *observer.Replica) int {
	used := len(r.Adapters)
	for _, slot := range m.slots {
		if slot.replica == r.ID && slot.load && !slices.Contains(r.Adapters, slot.adapter) {
			used++
		}
	}
	return used
}

func slotKey(replica, adapter string) string { return replica + "/" + adapter }

package planner

import (
	"slices"
	"time"

	"samphirewharf/internal/backend/orderer"
	"samphirewharf/internal/config/cataloger"
	"samphirewharf/internal/decision/observer"
)

// plan does one round of planning as the cell's placer: it makes decisions if no write is pending, and sends
// the orders that the known record requires.
func (m *Machine) plan(v View) {
	if m.pendingWrite == nil && m.canSendOrders(v) {
		m.planRecord(v)
	}
	m.sendLoads(v)
	m.sendUnloads(v)
	m.raiseFences(v)
	m.planAdapters(v)
	m.pollServers(v)
}

func (m *Machine) planRecord(v View) {
	m.raiseFence = false
	var decisions []Action
	report := func(d Decision) { decisions = append(decisions, d) }
	next := m.release(v, m.record, report)
	next = m.retire(v, next, report)
	next = m.decide(v, next, report)
	next = m.preload(v, next, report)
	if m.raiseFence {
		next = next.WithFence(m.record.Fence + 1)
		report(Decision{Action: "RaiseFence", Reason: "an order's outcome is unknown"})
	}
	if len(decisions) > 0 {
		m.startWrite(v, next, decisions)
	}
}

// retire marks idle and outdated replicas, and those whose deployment was removed, as unloading.
func (m *Machine) retire(v View, next Record, report func(Decision)) Record {
	for _, r := range next.Replicas {
		if r.State != StateDecided {
			continue
		}
		reason := m.retireReason(v, next, r)
		if reason == "" {
			continue
		}
		r.State = StateUnloading
		next = next.WithReplica(r)
		report(Decision{Action: "Unload", Deployment: r.Deployment, Replica: r.ID, Server: r.Server, Reason: reason})
	}
	return next
}

func (m *Machine) retireReason(v View, next Record, r Replica) string {
	d, ok := v.Catalog.Deployment(r.Deployment)
	if !ok || d.Service != m.Cell {
		return "deployment is not in the configuration"
	}
	view, ok := v.Fleet.Replica(r.ID)
	if !ok || view.State != orderer.StateReady {
		return ""
	}
	if d.ModelVersion != r.ModelVersion && m.readyWithVersion(v, next, d) {
		return "a newer model version is ready"
	}
	if view.Running+view.Waiting+view.InFlight > 0 {
		return ""
	}
	if m.preloadUnused(r) && !m.KeepPreloaded {
		return "its checkpoint is in memory now"
	}
	idle := m.idleTime(v.Now, r)
	if idle < m.keepAlive(d) {
		return ""
	}
	return "idle longer than its keep-alive"
}

func (m *Machine) readyWithVersion(v View, next Record, d *cataloger.Deployment) bool {
	for _, view := range v.Fleet.Replicas(d.Name) {
		r, ok := next.Replica(view.ID)
		if ok && r.State == StateDecided && r.ModelVersion == d.ModelVersion && view.Usable() {
			return true
		}
	}
	return false
}

func (m *Machine) idleTime(now time.Duration, r Replica) time.Duration {
	since := m.idleSince[r.ID]
	return now - max(since, m.lastUsed[r.Deployment])
}

func (m *Machine) keepAlive(d *cataloger.Deployment) time.Duration {
	if m.KeepAlive == nil {
		return time.Minute
	}
	return m.KeepAlive(d)
}

// sendLoads sends the load orders of replicas that this process decided, each at most once.
func (m *Machine) sendLoads(v View) {
	if !m.canSendOrders(v) {
		return
	}
	for _, r := range m.record.Replicas {
		_, renounced := m.renounced[r.ID]
		if r.State != StateDecided || r.Instance != m.Instance || m.loadOrders[r.ID] != nil || renounced || m.pendingWriteReleases(r.ID) {
			continue
		}
		s, ok := v.Fleet.Server(r.Server)
		d, known := v.Catalog.Deployment(r.Deployment)
		if !ok || !known || !s.AcceptsWork() {
			continue
		}
		o := &sentLoadOrder{id: m.nextOrderID(), server: r.Server, sentAt: v.Now}
		m.loadOrders[r.ID] = o
		m.emit(Send{Server: s, Order: m.loadOrder(o.id, r, d), Expires: v.Now + orderTTL})
	}
}

// pendingWriteReleases reports whether the pending write releases the replica or marks it as unloading.
func (m *Machine) pendingWriteReleases(id string) bool {
	if m.pendingWrite == nil {
		return false
	}
	r, ok := m.pendingWrite.next.Replica(id)
	return !ok || r.State != StateDecided
}

func (m *Machine) loadOrder(id string, r Replica, d *cataloger.Deployment) orderer.Order {
	return orderer.Order{
		OrderID:      id,
		Kind:         orderer.KindLoad,
		Fence:        r.Fence,
		Replica:      r.ID,
		Deployment:   r.Deployment,
		ModelVersion: r.ModelVersion,
		Role:         d.Role,
		Bytes:        r.Bytes,
		AdapterSlots: r.AdapterSlots,
		MaxInFlight:  d.MaxInFlight,
		LoadMilliseconds: [3]int64{
			d.Load.D().Milliseconds(),
			d.LoadFromDisk.D().Milliseconds(),
			d.LoadFromMemory.D().Milliseconds(),
		},
	}
}

// canSendOrders reports whether orders may be sent now. Engines that ignore fencing tokens are sent nothing
// once the lease has expired, because another daemon may have become the placer.
func (m *Machine) canSendOrders(v View) bool {
	return v.LeaseValid || m.checksFencing(v.Catalog)
}

// sendUnloads sends unload orders for drained replicas and for replicas that are not in the record.
func (m *Machine) sendUnloads(v View) {
	if !m.canSendOrders(v) {
		return
	}
	for _, r := range m.record.Replicas {
		if r.State == StateUnloading {
			m.sendUnload(v, r.ID, r.Server, r.Deployment)
		}
	}
	for _, s := range v.Fleet.Servers(m.Cell) {
		for _, view := range s.Replicas() {
			_, decided := m.record.Replica(view.ID)
			if !decided && m.pendingWrite == nil && m.decidedBefore(view.ID) {
				m.sendUnload(v, view.ID, s.Host.Server, view.Deployment)
			}
		}
	}
}

// sendUnload sends an unload order once the replica has no requests and other daemons have received the
// record.
func (m *Machine) sendUnload(v View, id, server, deployment string) {
	s, ok := v.Fleet.Server(server)
	if !ok || !s.Reachable() {
		return
	}
	u, ok := m.unloads[id]
	if !ok {
		u = unloadState{startedAt: v.Now}
		m.unloads[id] = u
	}
	state, polled := m.polledState(s)
	if !polled || !state.present[id] || state.lastPollSentAt < u.startedAt+drainDelay {
		return
	}
	view, ok := v.Fleet.Replica(id)
	if !ok || view.Running+view.Waiting+view.InFlight > 0 {
		return
	}
	if u.orderID != "" && v.Now < u.sentAt+unloadRetryInterval {
		return
	}
	u.sentAt = v.Now
	u.orderID = m.nextOrderID()
	m.unloads[id] = u
	m.emit(Send{Server: s, Expires: v.Now + orderTTL, Order: orderer.Order{
		OrderID:    u.orderID,
		Kind:       orderer.KindUnload,
		Fence:      m.record.Fence,
		Replica:    id,
		Deployment: deployment,
	}})
}

// raiseFences raises the fencing token of engines that check it, so that they refuse orders of former
// placers.
func (m *Machine) raiseFences(v View) {
	if !m.checksFencing(v.Catalog) {
		return
	}
	for _, s := range v.Fleet.Servers(m.Cell) {
		state := m.stateOf(s.Host.Server)
		if state.raiseOrderID != "" || v.Now < state.raiseRetryAt || !s.Reachable() {
			continue
		}
		if state.polled && state.fence >= m.record.Fence && !m.restarted(s, state) {
			continue
		}
		state.raiseOrderID = m.nextOrderID()
		m.emit(Send{Server: s, Expires: v.Now + orderTTL, Order: orderer.Order{
			OrderID: state.raiseOrderID,
			Kind:    orderer.KindRaiseFence,
			Fence:   m.record.Fence,
		}})
	}
}

// pollServers polls the servers whose state the placer needs.
func (m *Machine) pollServers(v View) {
	for _, s := range v.Fleet.Servers(m.Cell) {
		state := m.stateOf(s.Host.Server)
		if state.polling || v.Now < state.nextPollAt {
			continue
		}
		if state.polled && s.HasReport && s.Report.Instance != state.engineInstance {
			// The engine has restarted: its polled state, including its fencing token, is out of date.
			state.polled = false
		}
		if state.polled && !m.needsPoll(v, s, state) {
			continue
		}
		state.polling = true
		m.emit(Poll{Server: s})
	}
}

func (m *Machine) needsPoll(v View, s *observer.Server, state *serverState) bool {
	if m.restarted(s, state) {
		return true
	}
	if m.checksFencing(v.Catalog) && state.fence < m.record.Fence {
		return true
	}
	for _, view := range s.Replicas() {
		if _, decided := m.record.Replica(view.ID); !decided {
			return true
		}
	}
	return slices.ContainsFunc(m.record.Replicas, func(r Replica) bool {
		return r.Server == s.Host.Server && m.awaitsEngine(v, r)
	}) || m.adapterOrderPending(s)
}

// restarted reports whether the newest report is of another engine process than the placer's last poll.
func (m *Machine) restarted(s *observer.Server, state *serverState) bool {
	return s.HasReport && s.Report.Instance != state.engineInstance
}

// awaitsEngine reports whether the placer waits for its engine to finish loading or unloading the replica.
func (m *Machine) awaitsEngine(v View, r Replica) bool {
	if r.State == StateUnloading {
		return true
	}
	view, ok := v.Fleet.Replica(r.ID)
	return !ok || view.State != orderer.StateReady
}

// decidedBefore reports whether a replica was decided under the record's fencing token or an earlier one.
func (m *Machine) decidedBefore(id string) bool {
	fence, ok := fenceFromID(m.Cell, id)
	return ok && fence <= m.record.Fence
}

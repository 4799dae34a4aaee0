package planner

import (
	"samphirewharf/internal/backend/orderer"
	"samphirewharf/internal/config/cataloger"
	"samphirewharf/internal/decision/observer"
)

// release removes the reservations of replicas that are proved to be neither loaded nor able to be loaded
// later.
func (m *Machine) release(v View, next Record, report func(Decision)) Record {
	for _, r := range m.record.Replicas {
		reason := m.releaseReason(v, r)
		if reason == "" {
			continue
		}
		next = next.WithoutReplica(r.ID)
		report(Decision{Action: "Release", Deployment: r.Deployment, Replica: r.ID, Server: r.Server, Reason: reason})
	}
	return next
}

// releaseReason returns why a reservation may be released, or "" if it must stay.
func (m *Machine) releaseReason(v View, r Replica) string {
	s, listed := v.Fleet.Server(r.Server)
	if !listed {
		return m.absenceReason(v, r)
	}
	delete(m.absentSince, r.Server)
	o := m.loadOrders[r.ID]
	if r.Instance == m.Instance {
		if reason := m.unsentReason(r, s, o); reason != "" {
			return reason
		}
	}
	state, ok := m.polledState(s)
	if !ok || state.present[r.ID] {
		return ""
	}
	return m.notLoadedReason(v, r, state, o)
}

// absenceReason returns the release reason of a replica whose server has been missing from the host list for
// absenceTimeout.
func (m *Machine) absenceReason(v View, r Replica) string {
	if !v.Fleet.HasHostList(m.Cell) {
		return ""
	}
	since, ok := m.absentSince[r.Server]
	if !ok {
		m.absentSince[r.Server] = v.Now
		return ""
	}
	if v.Now-since < absenceTimeout {
		return ""
	}
	return "server is no longer in the host list"
}

// unsentReason returns the release reason of a replica of this process whose order was not sent or was
// refused.
func (m *Machine) unsentReason(r Replica, s *observer.Server, o *sentLoadOrder) string {
	if o == nil {
		unsendable := !s.AcceptsWork() || r.State == StateUnloading
		if unsendable && !m.seen[r.ID] {
			return "order was not sent"
		}
		return ""
	}
	if !o.ended {
		return ""
	}
	switch o.outcome {
	case orderer.OutcomeNotSent:
		return "order could not be sent"
	case orderer.OutcomeRefused, orderer.OutcomeStaleFence:
		return "engine refused the order"
	default:
		return ""
	}
}

// notLoadedReason returns the release reason of a replica that the newest poll by this process does not show
// and whose order can't take effect later.
func (m *Machine) notLoadedReason(v View, r Replica, state *serverState, o *sentLoadOrder) string {
	if m.seen[r.ID] {
		return "engine no longer has the replica"
	}
	if since, ok := m.renounced[r.ID]; ok && state.lastPollSentAt >= since {
		return "sender has renounced the order"
	}
	if m.checksFencing(v.Catalog) && state.fence > r.Fence {
		return "engine refuses the order by its fencing token"
	}
	if o != nil {
		return m.ownOrderReason(v, r, state, o)
	}
	if r.Instance == m.Instance || v.DeadSince == nil {
		return ""
	}
	since, dead := v.DeadSince(r.Daemon, r.Instance)
	if !dead || state.lastPollSentAt < since+maxOrderDelay {
		return ""
	}
	return "sender is dead and its order has expired"
}

func (m *Machine) ownOrderReason(v View, r Replica, state *serverState, o *sentLoadOrder) string {
	if !o.ended {
		return ""
	}
	if o.outcome == orderer.OutcomeAccepted && state.lastPollSentAt >= o.endedAt {
		return "load failed"
	}
	if o.outcome != orderer.OutcomeUnknown {
		return ""
	}
	if m.checksFencing(v.Catalog) {
		m.raiseFence = m.raiseFence || m.record.Fence <= r.Fence
		return ""
	}
	if state.lastPollSentAt < o.endedAt {
		return ""
	}
	if o.engineInstance == "" {
		o.engineInstance = state.engineInstance
	}
	if o.engineInstance != state.engineInstance {
		return "engine restarted after the order"
	}
	if state.lastPollSentAt >= o.endedAt+maxOrderDelay {
		return "order has expired"
	}
	return ""
}

func (m *Machine) checksFencing(c *cataloger.Catalog) bool {
	service, ok := c.Service(m.Cell)
	return ok && service.ChecksFencing
}

// prune drops the state of replicas that are no longer in the record. Their IDs are never reused.
func (m *Machine) prune() {
	for id := range m.startedLoads {
		if _, ok := m.record.Replica(id); !ok {
			m.LoadLimits.abandon(id)
		}
	}
	pruneMap(m.record, m.startedLoads)
	pruneMap(m.record, m.loadOrders)
	pruneMap(m.record, m.seen)
	pruneMap(m.record, m.idleSince)
	pruneMap(m.record, m.unloads)
	pruneMap(m.record, m.renounced)
	pruneMap(m.record, m.preloadState.unusedReplicas)
}

func pruneMap[V any](record Record, byReplica map[string]V) {
	for id := range byReplica {
		if _, ok := record.Replica(id); !ok {
			delete(byReplica, id)
		}
	}
}

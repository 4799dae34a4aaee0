package conductor

import (
	"maps"
	"slices"
	"time"

	"samphirewharf/internal/fleet/matcher"
)

// stopPollInterval is how often the progress of a planned stop is checked.
const stopPollInterval = 50 * time.Millisecond

// addressTTLsKept is for how many TTLs of an address some callers keep using it.
const addressTTLsKept = 3

// A stopState is the progress of a planned stop. The daemon is removed from the published addresses at once, serves
// the requests that still arrive, and exits when callers' copies of its address have expired and its requests have
// ended.
type stopState struct {
	requested   bool
	requestedAt time.Duration
	// addressesExpireAt is when callers no longer use the address, exitBy when the process exits in any case.
	addressesExpireAt time.Duration
	exitBy            time.Duration
	exited            bool
	// lastRequestEnd is when the last request ended.
	lastRequestEnd time.Duration
}

func (s *stopState) nextAt(now time.Duration) time.Duration {
	if !s.requested || s.exited {
		return never
	}
	return now + stopPollInterval
}

// rejects reports whether a request arrives too late because it might not end before the process exits.
func (s *stopState) rejects(r *request, now time.Duration) bool {
	if !s.requested {
		return false
	}
	if r.Route.Kind == matcher.KindStream {
		return now > s.requestedAt+stopStreamWindow
	}
	return r.deadline+stopAnswerMargin > s.exitBy
}

func (m *Machine) stopRequested() {
	s := &m.stop
	if s.requested {
		return
	}
	s.requested = true
	s.requestedAt = m.now
	s.addressesExpireAt = m.now + addressTTLsKept*m.settings.AddressTTL + stopIdleTime
	s.exitBy = m.now + m.settings.StopTimeout - stopExitMargin
	m.emit(LogStateChange{Subject: "Daemon " + m.settings.Self.Name, Change: "Stopping", Detail: "ends within " + (s.exitBy - s.requestedAt).String()})
	m.emit(SetKeepAlive{KeepAlive: false})
	if !m.leadsWhileStopping() {
		m.leaveCell()
	}
	for _, name := range m.serviceNames() {
		for _, r := range slices.Clone(m.service(name).queue) {
			m.dequeue(r)
			m.giveUp(r, RefusedStopping, stopRetryDelay)
		}
	}
}

// leadsWhileStopping reports whether a stopping leader continues to give orders. During an outage of the store no other
// daemon can become the leader, so that no model could be loaded or unloaded until the outage is over.
func (m *Machine) leadsWhileStopping() bool {
	return m.isLeader() && m.store.unavailable && m.settings.EnginesCheckFencing
}

// leaveCell gives up the leadership and the lease, so that other daemons take over.
func (m *Machine) leaveCell() {
	if m.lease.revoked {
		return
	}
	if m.isLeader() {
		m.emit(Resign{FencingToken: m.election.Leader().FencingToken})
		m.stopLeading("planned stop")
	}
	m.lease.revoked = true
	m.emit(RevokeLease{})
}

func (m *Machine) tickStop() {
	s := &m.stop
	if !s.requested || s.exited {
		return
	}
	if !m.leadsWhileStopping() {
		m.leaveCell()
	}
	idle := m.now >= s.addressesExpireAt && len(m.requests) == 0 && m.now >= s.lastRequestEnd+stopIdleTime
	if idle || m.now >= s.exitBy {
		s.exited = true
		m.refuseUnanswered()
		m.leaveCell()
		m.emit(LogStateChange{Subject: "Daemon " + m.settings.Self.Name, Change: "Stopped", Version: int64(len(m.requests))})
		m.emit(Exit{})
	}
}

// refuseUnanswered refuses the requests whose answers haven't begun, since their callers would get none. Streams that have begun are cut.
func (m *Machine) refuseUnanswered() {
	for _, id := range slices.Sorted(maps.Keys(m.requests)) {
		r := m.requests[id]
		if r.answerStarted || r.state == stateAnswered {
			continue
		}
		switch r.state {
		case stateRunning:
			m.emit(Cancel{Request: r.Request, Attempt: r.attempt})
		case stateAsking:
			m.stopAsking(r)
		case stateMetered:
			m.stopMetering(r)
		case stateQueued:
			m.dequeue(r)
		}
		m.giveUp(r, RefusedStopping, stopRetryDelay)
	}
}

package conductor

import (
	"slices"
	"time"

	"samphirewharf/internal/fleet/matcher"
)

// stopPoll is how often it is looked whether a planned stop is done.
const stopPollInterval = 50 * time.Millisecond

// addressKeepings is for how many lives of an address answer some callers keep it.
const addressTTLsKept = 3

// A stopState is the progress of a planned stop: the daemon stops being named to callers at once, serves those that
// come all the same, and ends when kept answers have expired and its requests are done.
type stopState struct {
	requested bool
	at        time.Duration
	// quietFrom is when callers have forgotten the address, endBy when the process ends in any case.
	addressesExpireAt time.Duration
	exitBy            time.Duration
	exited            bool
	// lastEnd is when the last request ended.
	lastRequestEnd time.Duration
}

func (s *stopState) nextAt(now time.Duration) time.Duration {
	if !s.requested || s.exited {
		return never
	}
	return now + stopPollInterval
}

// rejects tells that a request comes too late for this daemon: it might not end in time.
func (s *stopState) rejects(r *request, now time.Duration) bool {
	if !s.requested {
		return false
	}
	if r.Route.Kind == matcher.KindStream {
		return now > s.at+stopStreamWindow
	}
	return r.deadline+stopAnswerMargin > s.exitBy
}

func (m *Machine) stopRequested() {
	s := &m.stop
	if s.requested {
		return
	}
	s.requested = true
	s.at = m.now
	s.addressesExpireAt = m.now + addressTTLsKept*m.settings.AddressTTL + stopIdleTime
	s.exitBy = m.now + m.settings.StopTimeout - stopExitMargin
	m.emit(LogStateChange{Subject: "Daemon " + m.settings.Self.Name, Change: "Stopping", Detail: "ends within " + (s.exitBy - s.at).String()})
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

// leadsWhileStopping tells that a stopping holder goes on giving orders. While the key-value service can't be reached nobody
// else can take the role, so that models would stay where they are until the outage is over.
func (m *Machine) leadsWhileStopping() bool {
	return m.isLeader() && m.store.unavailable && m.settings.EnginesCheckFencing
}

// leaveCell gives up the role and the lease, so that others take over what this daemon had.
func (m *Machine) leaveCell() {
	if m.lease.revoked {
		return
	}
	if m.isLeader() {
		m.emit(Resign{FencingToken: m.election.leader.FencingToken})
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
		m.leaveCell()
		m.emit(LogStateChange{Subject: "Daemon " + m.settings.Self.Name, Change: "Stopped", Version: int64(len(m.requests))})
		m.emit(Exit{})
	}
}

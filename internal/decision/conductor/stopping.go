package conductor

import (
	"slices"
	"time"

	"samphirewharf/internal/fleet/matcher"
)

// stopPoll is how often it is looked whether a planned stop is done.
const stopPoll = 50 * time.Millisecond

// addressKeepings is for how many lives of an address answer some callers keep it.
const addressKeepings = 3

// A stopState is the progress of a planned stop: the daemon stops being named to callers at once, serves those that
// come all the same, and ends when kept answers have expired and its requests are done.
type stopState struct {
	requested bool
	at        time.Duration
	// quietFrom is when callers have forgotten the address, endBy when the process ends in any case.
	quietFrom time.Duration
	endBy     time.Duration
	exited    bool
	// lastEnd is when the last request ended.
	lastEnd time.Duration
}

func (s *stopState) nextAt(now time.Duration) time.Duration {
	if !s.requested || s.exited {
		return never
	}
	return now + stopPoll
}

// refuses tells that a request comes too late for this daemon: it might not end in time.
func (s *stopState) refuses(r *request, now time.Duration) bool {
	if !s.requested {
		return false
	}
	if r.Route.Kind == matcher.KindStream {
		return now > s.at+stopStreams
	}
	return r.giveUpAt+stopSlack > s.endBy
}

func (m *Machine) stopRequested() {
	s := &m.stop
	if s.requested {
		return
	}
	s.requested = true
	s.at = m.now
	s.quietFrom = m.now + addressKeepings*m.settings.AddressTTL + stopQuiet
	s.endBy = m.now + m.settings.StopTimeout - stopMargin
	m.emit(LogStateChange{Subject: "Daemon " + m.settings.Self.Name, Change: "Stopping", Detail: "ends within " + (s.endBy - s.at).String()})
	m.emit(SetKeepAlive{KeepAlive: false})
	if !m.keepsRoleInStop() {
		m.leave()
	}
	for _, name := range m.poolNames() {
		for _, r := range slices.Clone(m.pool(name).queue) {
			m.dequeue(r)
			m.giveUp(r, RefusedStopping, stopRetry)
		}
	}
}

// keepsRoleInStop tells that a stopping holder goes on giving orders. While the key-value service can't be reached nobody
// else can take the role, so that models would stay where they are until the outage is over.
func (m *Machine) keepsRoleInStop() bool {
	return m.holdsRole() && m.store.lost && m.settings.EnginesCheckFencing
}

// leave gives up the role and the lease, so that others take over what this daemon had.
func (m *Machine) leave() {
	if m.lease.ended {
		return
	}
	if m.holdsRole() {
		m.emit(Resign{FencingToken: m.role.holder.FencingToken})
		m.depose("planned stop")
	}
	m.lease.ended = true
	m.emit(RevokeLease{})
}

func (m *Machine) passStop() {
	s := &m.stop
	if !s.requested || s.exited {
		return
	}
	if !m.keepsRoleInStop() {
		m.leave()
	}
	quiet := m.now >= s.quietFrom && len(m.requests) == 0 && m.now >= s.lastEnd+stopQuiet
	if quiet || m.now >= s.endBy {
		s.exited = true
		m.leave()
		m.emit(LogStateChange{Subject: "Daemon " + m.settings.Self.Name, Change: "Stopped", Version: int64(len(m.requests))})
		m.emit(Exit{})
	}
}

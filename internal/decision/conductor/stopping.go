package conductor

import (
	"maps"
	"slices"
)

func (m *Machine) applyStop(event Event) {
	switch event.(type) {
	case StopRequested:
		m.stopRequested()
	case ConnectionsClosed:
		m.stop.Closed()
	}
}

func (m *Machine) stopRequested() {
	within, ok := m.stop.Begin(m.now)
	if !ok {
		return
	}
	m.emit(LogStateChange{Subject: "Daemon " + m.settings.Self.Name, Change: "Stopping", Detail: "ends within " + within.String()})
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
	if !m.stop.Proceeds() {
		return
	}
	if !m.leadsWhileStopping() {
		m.leaveCell()
	}
	if m.stop.Closes(m.now, len(m.requests)) {
		m.emit(LogStateChange{Subject: "Daemon " + m.settings.Self.Name, Change: "ClosingConnections"})
		m.emit(CloseConnections{})
	}
	if m.stop.Exits(m.now, len(m.requests)) {
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

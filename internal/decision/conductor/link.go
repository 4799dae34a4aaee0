package conductor

import (
	"slices"
	"time"
)

// A daemon that fails to reach one server can't tell from that whether the server or its own link has failed. It checks other
// servers before it draws conclusions, and before it passes any on. Without links it has other daemons serve its callers.

// A linkState is what this daemon knows of its own links to the servers.
type linkState struct {
	// down reports whether the daemon reaches no server, downSince since when it is known.
	down      bool
	downSince time.Duration
	// contactAt is when a server last showed life. Open connections may live on in a host that can't open others.
	contactAt time.Duration
	// pending holds the servers whose checks haven't ended, tried those that were checked since the last conclusion.
	pending map[string]bool
	tried   map[string]bool
	// checkAt is when the next check is due while the links are down.
	checkAt time.Duration
	// unreachable holds the servers that weren't reached, until a check tells whether the link is the reason.
	unreachable []unreachableServer
}

// An unreachableServer is a server that couldn't be reached.
type unreachableServer struct {
	id        string
	startedAt int64
	// timedOut reports whether the server was silent rather than refusing, so that it may still live.
	timedOut bool
}

// A CheckServer effect asks whether a server can be reached over a new connection. It is answered by ServerChecked.
type CheckServer struct {
	Server  string
	Address string
	// HealthPath is the path of the health check, empty for an engine, which has a cheaper report.
	HealthPath string
}

// A ServerChecked event answers CheckServer.
type ServerChecked struct {
	Server string
	OK     bool
}

func (CheckServer) effect()  {}
func (ServerChecked) event() {}

func (l *linkState) nextAt() time.Duration {
	if !l.down || len(l.pending) > 0 {
		return never
	}
	return l.checkAt
}

// serverUnreachable handles a server that couldn't be reached. What that says of the server waits for a check of the link.
func (m *Machine) serverUnreachable(s *server, timedOut bool) {
	l := &m.link
	if l.down {
		return
	}
	u := unreachableServer{id: s.entry.ID, startedAt: s.entry.StartedAt, timedOut: timedOut}
	if !slices.Contains(l.unreachable, u) {
		l.unreachable = append(l.unreachable, u)
	}
	m.doubtLink(s)
}

// doubtLink checks the link after a failure at a server.
func (m *Machine) doubtLink(failed *server) {
	l := &m.link
	if l.down || len(l.pending) > 0 {
		return
	}
	l.tried = map[string]bool{failed.entry.ID: true}
	if !m.checkServers(1) {
		// There is no other server to compare with.
		m.linkSound()
	}
}

// checkServers checks some servers that weren't tried yet. It returns false if there are none.
func (m *Machine) checkServers(count int) bool {
	l := &m.link
	var list []*server
	for _, id := range m.serverIDs() {
		if s := m.servers[id]; s.keepUntil == 0 && !l.tried[id] {
			list = append(list, s)
		}
	}
	for _, i := range m.rng.Perm(len(list))[:min(count, len(list))] {
		s := list[i]
		l.tried[s.entry.ID] = true
		if l.pending == nil {
			l.pending = make(map[string]bool)
		}
		l.pending[s.entry.ID] = true
		check := CheckServer{Server: s.entry.ID, Address: s.entry.Address}
		if m.engineSettings(s.entry.Service) == nil && m.configuration != nil {
			check.HealthPath = m.configuration.Services[s.entry.Service].HealthPath
		}
		m.countSend(s)
		m.emit(check)
	}
	return len(list) > 0
}

// serverChecked handles the result of a check. One server that is reached shows that the link is sound; if none is, it is down.
func (m *Machine) serverChecked(e ServerChecked) {
	l := &m.link
	if !l.pending[e.Server] {
		return
	}
	delete(l.pending, e.Server)
	if e.OK {
		clear(l.pending)
		m.linkSound()
		return
	}
	if len(l.pending) > 0 {
		return
	}
	if !l.down && len(l.tried) < maxLinkChecks && m.checkServers(len(l.tried)*linkCheckGrowth) {
		return
	}
	m.linkFailed()
}

// linkSound records that this daemon reaches a server, so that the servers that it didn't reach are to blame.
func (m *Machine) linkSound() {
	l := &m.link
	if l.down {
		m.emit(LogStateChange{Subject: "Link", Change: "Regained", Age: m.now - l.downSince})
		l.down = false
		m.publishLink()
		m.dispatchQueues()
	}
	unreachable := l.unreachable
	l.unreachable = nil
	for _, u := range unreachable {
		s, ok := m.servers[u.id]
		if !ok || s.entry.StartedAt != u.startedAt {
			continue
		}
		m.serverDown(s)
		m.reportDown(s)
		if !u.timedOut {
			m.serverCrashed(s)
		}
	}
}

// linkFailed records that this daemon reaches no server. What it has concluded from failed connections is dropped; that connections
// broke still counts if the store tells that a server has ended.
func (m *Machine) linkFailed() {
	l := &m.link
	l.checkAt = m.now + linkCheckInterval
	if l.down {
		return
	}
	l.down, l.downSince = true, m.now
	l.unreachable = nil
	m.emit(LogStateChange{Subject: "Link", Change: "Lost", Reason: itoa(int64(len(l.tried))) + " servers can't be reached", Warning: true})
	m.crashes.polls = nil
	m.demand.absences = slices.DeleteFunc(m.demand.absences, isServerAbsence)
	for _, s := range m.servers {
		s.breaker, s.downUntil = s.breaker.WithoutBackoff(), 0
		s.ended = slices.DeleteFunc(s.ended, func(e endedAttempt) bool { return !e.answered })
	}
	m.publishLink()
	if m.isLeader() && !m.store.unavailable {
		m.emit(Resign{FencingToken: m.election.Leader().FencingToken})
		m.stopLeading("no link to the servers")
	}
	m.routeQueues()
}

// publishLink has the other daemons learn of a change of the link by this daemon's record.
func (m *Machine) publishLink() {
	m.settings.Self.LinkDown = m.link.down
	m.lease.registered = false
	m.lease.outdated = m.lease.registering
	m.lease.registerAt = m.now
}

// tickLink checks again while the links are down.
func (m *Machine) tickLink() {
	l := &m.link
	if !l.down || len(l.pending) > 0 || m.now < l.checkAt {
		return
	}
	l.tried = make(map[string]bool)
	if !m.checkServers(linkRechecks) {
		m.linkSound()
	}
}

package conductor

import (
	"slices"
	"time"
)

// A roleState is what the daemon knows of the role of giving orders. One daemon has it at a time: the one whose record
// stands in the key-value service. Its fencing number is the record's revision, so that it rises with each change.
type roleState struct {
	// known tells that the record's presence or absence was read once.
	known  bool
	holder *Leader
	// last is the holder before, if any was seen.
	last Leader
	// takeAt is when the daemon tries to take the free role; taking tells that it is doing so.
	takeAt time.Duration
	taking bool
	// ordersFrom is when the holder, this daemon or another, may give its first order.
	ordersFrom time.Duration
	// deposed is the fencing number that was lost for good, by a refusal or the lease's end.
	deposed int64
}

func (s *roleState) nextAt(now time.Duration) time.Duration {
	if s.holder != nil || s.taking || s.takeAt <= now {
		return never
	}
	return s.takeAt
}

// holdsRole tells that this process has the role, as far as it knows.
func (m *Machine) holdsRole() bool {
	h := m.role.holder
	return h != nil && h.Instance == m.settings.Self.Instance && h.FencingToken > m.role.deposed
}

// mayOrder tells that this process may give orders now: it has the role, the orders of the one before lie far enough
// back, and nobody else can have it. Where engines check fencing numbers, an outage of the key-value service, in
// which nobody can take the role, doesn't end it.
func (m *Machine) mayOrder() bool {
	if !m.holdsRole() || m.now < m.role.ordersFrom {
		return false
	}
	if m.lease.valid(m.now) {
		return true
	}
	return m.settings.EnginesCheckFencing && m.store.lost && m.now < m.store.lostAt+outageLead
}

func (m *Machine) passRole() {
	r := &m.role
	if r.holder != nil || !r.known || r.taking || m.stop.requested || !m.lease.registered || !m.lease.valid(m.now) {
		return
	}
	if r.takeAt == 0 {
		r.takeAt = m.now + m.rank()*roleStagger
	}
	if m.now < r.takeAt {
		return
	}
	r.taking = true
	m.emit(BecomeLeader{Leader: Leader{Name: m.settings.Self.Name, Instance: m.settings.Self.Instance}})
}

// rank returns how many live daemons come before this one, the strongest first.
func (m *Machine) rank() time.Duration {
	list := m.liveDaemons()
	slices.SortFunc(list, stronger)
	at := slices.IndexFunc(list, func(d Daemon) bool { return d.Name == m.settings.Self.Name })
	return time.Duration(max(at, 0))
}

func (m *Machine) roleAnswered(e BecomeLeaderEnded) {
	m.role.taking = false
	if e.FencingToken == 0 {
		m.role.takeAt = m.now + roleRetry
		return
	}
	m.holderSeen(Leader{Name: m.settings.Self.Name, Instance: m.settings.Self.Instance, FencingToken: e.FencingToken})
}

func (m *Machine) holderSeen(h Leader) {
	r := &m.role
	r.known = true
	if r.holder != nil && h.FencingToken <= r.holder.FencingToken || h.FencingToken < r.last.FencingToken {
		return
	}
	before := r.last
	if r.holder != nil {
		before = *r.holder
	}
	r.holder = &h
	r.last = h
	r.takeAt = 0
	m.emit(LogStateChange{Subject: "Role", Change: "HeldBy", Reason: h.Name, Version: h.FencingToken})
	m.demand.tellAll()
	own := h.Instance == m.settings.Self.Instance
	r.ordersFrom = m.now + m.settings.TakeoverDelay + turnMargin
	if before.Name == h.Name || before.Name == "" && !own {
		// Orders of one host are those of one holder. One that this daemon finds has had the role for long, most likely.
		r.ordersFrom = m.now
	}
	if !own {
		m.placing.stop()
		return
	}
	m.startPlacing()
}

func (m *Machine) holderGone(revision int64) {
	r := &m.role
	r.known = true
	if r.holder == nil || revision > 0 && revision < r.holder.FencingToken {
		return
	}
	m.emit(LogStateChange{Subject: "Role", Change: "Free", Reason: r.holder.Name, Version: r.holder.FencingToken})
	r.last = *r.holder
	r.holder = nil
	r.takeAt = 0
	m.placing.stop()
}

// leaseLost ends the role, whose record has gone with the lease.
func (m *Machine) leaseLost() {
	if !m.holdsRole() {
		return
	}
	m.depose("lease ended")
}

// depose ends the role for this fencing number, whatever the record says.
func (m *Machine) depose(reason string) {
	r := &m.role
	m.emit(LogStateChange{Subject: "Role", Change: "Lost", Reason: reason, Version: r.holder.FencingToken, Warning: true})
	r.deposed = r.holder.FencingToken
	r.last = *r.holder
	r.holder = nil
	r.takeAt = m.now + roleRetry
	m.placing.stop()
}

func (m *Machine) daemonsListed(e DaemonsListed) {
	present := make(map[string]bool, len(e.Daemons))
	for _, d := range e.Daemons {
		present[d.Daemon.Name] = true
		m.daemonSeen(d)
	}
	for _, name := range m.daemonNames() {
		if !present[name] && (e.Revision == 0 || m.daemonRevisions[name] <= e.Revision) {
			m.daemonGone(name, e.Revision)
		}
	}
	if e.Leader != nil {
		m.holderSeen(*e.Leader)
	} else {
		m.holderGone(e.Revision)
	}
}

func (m *Machine) daemonSeen(e DaemonChanged) {
	d := e.Daemon
	if m.isOld(daemonKey(d.Name), e.Revision) || e.Revision < m.daemonRevisions[d.Name] {
		return
	}
	m.daemonRevisions[d.Name] = e.Revision
	if known, ok := m.daemons[d.Name]; ok && known == d {
		return
	}
	m.daemons[d.Name] = d
	m.daemonSetChanged()
	m.emit(LogStateChange{Subject: "Daemon " + d.Name, Change: "Seen", Version: e.Revision, Detail: d.PeerAddress + " " + d.Zone})
}

func (m *Machine) daemonGone(name string, revision int64) {
	if _, ok := m.daemons[name]; !ok || revision > 0 && revision < m.daemonRevisions[name] {
		return
	}
	delete(m.daemons, name)
	delete(m.daemonRevisions, name)
	m.daemonSetChanged()
	delete(m.demand.byDaemon, name)
	m.noteGone(daemonKey(name), revision)
	m.emit(LogStateChange{Subject: "Daemon " + name, Change: "Gone", Version: revision})
	if name == m.settings.Self.Name && !m.stop.requested {
		m.lease.registered = false
	}
}

// daemonKey names a daemon among what may be gone.
func daemonKey(name string) string { return "daemon " + name }

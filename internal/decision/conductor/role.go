package conductor

import (
	"slices"
	"time"
)

// A electionState is what the daemon knows of the role of giving orders. One daemon has it at a time: the one whose record
// stands in the key-value service. Its fencing number is the record's revision, so that it rises with each change.
type electionState struct {
	// known tells that the record's presence or absence was read once.
	loaded bool
	leader *Leader
	// last is the holder before, if any was seen.
	previous Leader
	// takeAt is when the daemon tries to take the free role; taking tells that it is doing so.
	campaignAt  time.Duration
	campaigning bool
	// ordersFrom is when the holder, this daemon or another, may give its first order.
	ordersFrom time.Duration
	// deposed is the fencing number that was lost for good, by a refusal or the lease's end.
	lostToken int64
}

func (s *electionState) nextAt(now time.Duration) time.Duration {
	if s.leader != nil || s.campaigning || s.campaignAt <= now {
		return never
	}
	return s.campaignAt
}

// isLeader tells that this process has the role, as far as it knows.
func (m *Machine) isLeader() bool {
	h := m.election.leader
	return h != nil && h.Instance == m.settings.Self.Instance && h.FencingToken > m.election.lostToken
}

// mayOrder tells that this process may give orders now: it has the role, the orders of the one before lie far enough
// back, and nobody else can have it. Where engines check fencing numbers, an outage of the key-value service, in
// which nobody can take the role, doesn't end it.
func (m *Machine) mayOrder() bool {
	if !m.isLeader() || m.now < m.election.ordersFrom {
		return false
	}
	if m.lease.valid(m.now) {
		return true
	}
	return m.settings.EnginesCheckFencing && m.store.unavailable && m.now < m.store.lostAt+maxOutageLeadership
}

func (m *Machine) tickElection() {
	r := &m.election
	if r.leader != nil || !r.loaded || r.campaigning || m.stop.requested || !m.lease.registered || !m.lease.valid(m.now) {
		return
	}
	if r.campaignAt == 0 {
		r.campaignAt = m.now + m.electionRank()*electionStagger
	}
	if m.now < r.campaignAt {
		return
	}
	r.campaigning = true
	m.emit(BecomeLeader{Leader: Leader{Name: m.settings.Self.Name, Instance: m.settings.Self.Instance}})
}

// electionRank returns how many live daemons come before this one, the strongest first.
func (m *Machine) electionRank() time.Duration {
	list := m.registeredDaemons()
	slices.SortFunc(list, compareStrength)
	at := slices.IndexFunc(list, func(d Daemon) bool { return d.Name == m.settings.Self.Name })
	return time.Duration(max(at, 0))
}

func (m *Machine) becomeLeaderEnded(e BecomeLeaderEnded) {
	m.election.campaigning = false
	if e.FencingToken == 0 {
		m.election.campaignAt = m.now + electionRetryDelay
		return
	}
	m.leaderChanged(Leader{Name: m.settings.Self.Name, Instance: m.settings.Self.Instance, FencingToken: e.FencingToken})
}

func (m *Machine) leaderChanged(h Leader) {
	r := &m.election
	r.loaded = true
	if r.leader != nil && h.FencingToken <= r.leader.FencingToken || h.FencingToken < r.previous.FencingToken {
		return
	}
	before := r.previous
	if r.leader != nil {
		before = *r.leader
	}
	r.leader = &h
	r.previous = h
	r.campaignAt = 0
	m.emit(LogStateChange{Subject: "Role", Change: "HeldBy", Reason: h.Name, Version: h.FencingToken})
	m.demand.reportNow()
	own := h.Instance == m.settings.Self.Instance
	r.ordersFrom = m.now + m.settings.TakeoverDelay + takeoverMargin
	if before.Name == h.Name || before.Name == "" && !own {
		// Orders of one host are those of one holder. One that this daemon finds has had the role for long, most likely.
		r.ordersFrom = m.now
	}
	if !own {
		m.placement.stop()
		return
	}
	m.startPlacement()
}

func (m *Machine) leaderRemoved(revision int64) {
	r := &m.election
	r.loaded = true
	if r.leader == nil || revision > 0 && revision < r.leader.FencingToken {
		return
	}
	m.emit(LogStateChange{Subject: "Role", Change: "Free", Reason: r.leader.Name, Version: r.leader.FencingToken})
	r.previous = *r.leader
	r.leader = nil
	r.campaignAt = 0
	m.placement.stop()
}

// leaseLost ends the role, whose record has gone with the lease.
func (m *Machine) leaseLost() {
	if !m.isLeader() {
		return
	}
	m.stopLeading("lease ended")
}

// stopLeading ends the role for this fencing number, whatever the record says.
func (m *Machine) stopLeading(reason string) {
	r := &m.election
	m.emit(LogStateChange{Subject: "Role", Change: "Lost", Reason: reason, Version: r.leader.FencingToken, Warning: true})
	r.lostToken = r.leader.FencingToken
	r.previous = *r.leader
	r.leader = nil
	r.campaignAt = m.now + electionRetryDelay
	m.placement.stop()
}

func (m *Machine) daemonsListed(e DaemonsListed) {
	present := make(map[string]bool, len(e.Daemons))
	for _, d := range e.Daemons {
		present[d.Daemon.Name] = true
		m.daemonChanged(d)
	}
	for _, name := range m.daemonNames() {
		if !present[name] && (e.Revision == 0 || m.daemonRevisions[name] <= e.Revision) {
			m.daemonRemoved(name, e.Revision)
		}
	}
	if e.Leader != nil {
		m.leaderChanged(*e.Leader)
	} else {
		m.leaderRemoved(e.Revision)
	}
}

func (m *Machine) daemonChanged(e DaemonChanged) {
	d := e.Daemon
	if m.predatesRemoval(daemonKey(d.Name), e.Revision) || e.Revision < m.daemonRevisions[d.Name] {
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

func (m *Machine) daemonRemoved(name string, revision int64) {
	if _, ok := m.daemons[name]; !ok || revision > 0 && revision < m.daemonRevisions[name] {
		return
	}
	delete(m.daemons, name)
	delete(m.daemonRevisions, name)
	m.daemonSetChanged()
	delete(m.demand.byDaemon, name)
	m.recordRemoval(daemonKey(name), revision)
	m.emit(LogStateChange{Subject: "Daemon " + name, Change: "Gone", Version: revision})
	if name == m.settings.Self.Name && !m.stop.requested {
		m.lease.registered = false
	}
}

// daemonKey names a daemon among what may be gone.
func daemonKey(name string) string { return "daemon " + name }

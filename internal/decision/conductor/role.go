package conductor

import (
	"slices"
	"time"

	"samphirewharf/internal/fleet/sequencer"
)

// An electionState is the daemon's view of the leader, the one daemon that gives orders to engines. The leader is the
// daemon whose leader record is in the store. Its fencing token is the revision of that record, so that it rises with
// each change of leader.
type electionState struct {
	// loaded reports whether the record or its absence has been read once.
	loaded bool
	leader *Leader
	// previous is the leader before the current one, if any was seen.
	previous Leader
	// campaignAt is when the daemon tries to become the leader; campaigning reports whether an attempt is in progress.
	campaignAt  time.Duration
	campaigning bool
	// ordersFrom is when the leader, this daemon or another, may give its first order.
	ordersFrom time.Duration
	// lostToken is the fencing token of this daemon's last leadership that ended by a refusal, the end of the lease or
	// a planned stop.
	lostToken int64
}

func (s *electionState) nextAt(now time.Duration) time.Duration {
	if s.leader != nil || s.campaigning || s.campaignAt <= now {
		return never
	}
	return s.campaignAt
}

// isLeader reports whether this process is the leader, to its knowledge.
func (m *Machine) isLeader() bool {
	leader := m.election.leader
	return leader != nil && leader.Instance == m.settings.Self.Instance && leader.FencingToken > m.election.lostToken
}

// mayOrder reports whether this process may give orders now: it is the leader, enough time has passed since the orders
// of the previous one, and no other process can be the leader. If engines check fencing tokens, an outage of the store
// doesn't end this, since nobody can become the leader during it.
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
	s := &m.election
	if s.leader != nil || !s.loaded || s.campaigning || m.stop.requested || m.link.down || !m.lease.registered || !m.lease.valid(m.now) {
		return
	}
	if s.campaignAt == 0 {
		s.campaignAt = m.now + m.electionRank()*electionStagger
	}
	if m.now < s.campaignAt {
		return
	}
	s.campaigning = true
	m.emit(BecomeLeader{Leader: Leader{Name: m.settings.Self.Name, Instance: m.settings.Self.Instance}})
}

// electionRank returns the number of registered daemons that come before this one in an election, by CPU and name.
func (m *Machine) electionRank() time.Duration {
	list := m.registeredDaemons()
	slices.SortFunc(list, compareByCPU)
	index := slices.IndexFunc(list, func(d Daemon) bool { return d.Name == m.settings.Self.Name })
	return time.Duration(max(index, 0))
}

func (m *Machine) becomeLeaderEnded(e BecomeLeaderEnded) {
	m.election.campaigning = false
	if e.FencingToken == 0 {
		m.election.campaignAt = m.now + electionRetryDelay
		return
	}
	m.leaderChanged(Leader{Name: m.settings.Self.Name, Instance: m.settings.Self.Instance, FencingToken: e.FencingToken})
}

func (m *Machine) leaderChanged(leader Leader) {
	s := &m.election
	s.loaded = true
	if m.isRestoredOwnRecord(leader) {
		m.emit(Resign{FencingToken: leader.FencingToken})
		return
	}
	if s.leader != nil && leader.FencingToken <= s.leader.FencingToken || leader.FencingToken < s.previous.FencingToken {
		return
	}
	if s.leader == nil && leader.FencingToken <= m.daemonsRevision && leader.Instance != m.settings.Self.Instance {
		// A later list lacked the record.
		return
	}
	previous := s.previous
	if s.leader != nil {
		previous = *s.leader
	}
	s.leader = &leader
	s.previous = leader
	s.campaignAt = 0
	m.emit(LogStateChange{Subject: "Role", Change: "HeldBy", Reason: leader.Name, Version: leader.FencingToken})
	m.demand.reportNow()
	isSelf := leader.Instance == m.settings.Self.Instance
	s.ordersFrom = m.now + m.settings.TakeoverDelay + takeoverMargin
	if previous.Name != "" && sequencer.Epoch(leader.FencingToken) > sequencer.Epoch(previous.FencingToken) {
		// The restoration has removed the previous leader's record while its lease lasted.
		s.ordersFrom += m.settings.LeaseTTL
	}
	if previous.Name == leader.Name || previous.Name == "" && !isSelf {
		// Two processes on one host count as one leader. A leader that this daemon finds at its start has most likely
		// been the leader for long.
		s.ordersFrom = m.now
	}
	if !isSelf {
		m.placement.stop()
		return
	}
	m.startPlacement()
}

// isRestoredOwnRecord reports whether a leader's record is that of this process's last leadership, which a restoration of
// the store has brought back. The lease that it is tied to isn't renewed any more.
func (m *Machine) isRestoredOwnRecord(leader Leader) bool {
	lost := m.election.lostToken
	return leader.Instance == m.settings.Self.Instance && leader.FencingToken > lost && sequencer.Number(leader.FencingToken) == sequencer.Number(lost)
}

func (m *Machine) leaderRemoved(revision int64) {
	s := &m.election
	s.loaded = true
	if s.leader == nil || revision > 0 && revision < s.leader.FencingToken {
		return
	}
	m.emit(LogStateChange{Subject: "Role", Change: "Free", Reason: s.leader.Name, Version: s.leader.FencingToken})
	s.previous = *s.leader
	s.leader = nil
	s.campaignAt = 0
	m.placement.stop()
}

// leaseLost ends the leadership, whose record was removed with the lease. A restoration of the store may have brought the
// record back.
func (m *Machine) leaseLost() {
	if !m.isLeader() {
		return
	}
	m.emit(Resign{FencingToken: m.election.leader.FencingToken})
	m.stopLeading("lease ended")
}

// stopLeading ends the leadership under the current fencing token, even if the record is still there.
func (m *Machine) stopLeading(reason string) {
	s := &m.election
	m.emit(LogStateChange{Subject: "Role", Change: "Lost", Reason: reason, Version: s.leader.FencingToken, Warning: true})
	s.lostToken = s.leader.FencingToken
	s.previous = *s.leader
	s.leader = nil
	s.campaignAt = m.now + electionRetryDelay
	m.placement.stop()
}

func (m *Machine) daemonsListed(e DaemonsListed) {
	m.observeEpoch(e.Revision)
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
	m.quarantinesListed(e.Quarantines)
	m.versionsListed(e.MixedServices)
	if e.Leader != nil {
		m.leaderChanged(*e.Leader)
	} else {
		m.leaderRemoved(e.Revision)
	}
	m.daemonsRevision = max(m.daemonsRevision, e.Revision)
}

func (m *Machine) daemonChanged(e DaemonChanged) {
	d := e.Daemon
	if m.predatesRemoval(daemonKey(d.Name), e.Revision) || e.Revision < m.daemonRevisions[d.Name] {
		return
	}
	if _, ok := m.daemons[d.Name]; !ok && e.Revision > 0 && e.Revision <= m.daemonsRevision {
		// A later list lacked it.
		return
	}
	m.daemonRevisions[d.Name] = e.Revision
	if known, ok := m.daemons[d.Name]; ok && known == d {
		return
	}
	m.daemons[d.Name] = d
	delete(m.departed, d.Name)
	m.daemonSetChanged()
	m.emit(LogStateChange{Subject: "Daemon " + d.Name, Change: "Seen", Version: e.Revision, Detail: d.PeerAddress + " " + d.Zone})
}

func (m *Machine) daemonRemoved(name string, revision int64) {
	if _, ok := m.daemons[name]; !ok || revision > 0 && revision < m.daemonRevisions[name] {
		return
	}
	delete(m.daemons, name)
	delete(m.daemonRevisions, name)
	m.departed[name] = m.now
	m.daemonSetChanged()
	delete(m.demand.byDaemon, name)
	m.recordRemoval(daemonKey(name), revision)
	m.emit(LogStateChange{Subject: "Daemon " + name, Change: "Gone", Version: revision})
	if name == m.settings.Self.Name && !m.stop.requested {
		m.lease.registered = false
	}
}

// daemonKey returns the key of a daemon in removals.
func daemonKey(name string) string { return "daemon " + name }

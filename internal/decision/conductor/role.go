package conductor

import (
	"slices"
	"time"

	"samphirewharf/internal/decision/elector"
)

// isLeader reports whether this process is the leader, to its knowledge.
func (m *Machine) isLeader() bool { return m.election.Leads() }

// mayOrder reports whether this process may give orders now: it is the leader, enough time has passed since the orders
// of the previous one, and no other process can be the leader. If engines check fencing tokens, an outage of the store
// doesn't end this, since nobody can become the leader during it.
func (m *Machine) mayOrder() bool {
	if !m.isLeader() || m.now < m.election.OrdersFrom() {
		return false
	}
	if m.lease.valid(m.now) {
		return true
	}
	return m.settings.EnginesCheckFencing && m.store.unavailable && m.now < m.store.lostAt+maxOutageLeadership
}

func (m *Machine) tickElection() {
	if !m.election.Vacant() || m.stop.Requested() || m.link.down || !m.lease.registered || !m.lease.valid(m.now) {
		return
	}
	if m.election.Campaign(m.now, m.electionDelay) {
		m.emit(BecomeLeader{Leader: Leader{Name: m.settings.Self.Name, Instance: m.settings.Self.Instance}})
	}
}

// electionDelay returns how long this daemon waits in an election for the registered daemons before it, by CPU and name.
func (m *Machine) electionDelay() time.Duration {
	list := m.registeredDaemons()
	slices.SortFunc(list, compareByCPU)
	index := slices.IndexFunc(list, func(d Daemon) bool { return d.Name == m.settings.Self.Name })
	return time.Duration(max(index, 0)) * electionStagger
}

func (m *Machine) leaderChanged(leader Leader) {
	m.electionChanged(m.election.Recorded(m.now, leader, m.daemonsRevision))
}

// electionChanged carries out what follows from an event of the election.
func (m *Machine) electionChanged(o elector.Outcome) {
	if o.Resign > 0 {
		m.emit(Resign{FencingToken: o.Resign})
	}
	if !o.Changed {
		return
	}
	leader := m.election.Leader()
	m.emit(LogStateChange{
		Subject: "Role", Change: "HeldBy", Reason: leader.Name, Version: leader.FencingToken,
		Detail: "first order in " + itoa(max(0, m.election.OrdersFrom()-m.now).Milliseconds()) + " ms",
	})
	m.demand.reportNow()
	if leader.Instance != m.settings.Self.Instance {
		m.placement.stop()
		return
	}
	m.startPlacement()
}

func (m *Machine) leaderRemoved(revision int64) {
	if removed := m.election.Removed(m.now, revision); removed != nil {
		m.emit(LogStateChange{Subject: "Role", Change: "Free", Reason: removed.Name, Version: removed.FencingToken})
		m.placement.stop()
	}
}

// leaseLost ends the leadership, whose record was removed with the lease. A restoration of the store may have brought the
// record back.
func (m *Machine) leaseLost() {
	m.election.LeaseEnded()
	if !m.isLeader() {
		return
	}
	m.emit(Resign{FencingToken: m.election.Leader().FencingToken})
	m.stopLeading("lease ended")
}

// stopLeading ends the leadership under the current fencing token, even if the record is still there.
func (m *Machine) stopLeading(reason string) {
	m.emit(LogStateChange{Subject: "Role", Change: "Lost", Reason: reason, Version: m.election.Leader().FencingToken, Warning: true})
	m.election.Stop(m.now)
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
	m.historiesListed(e.Histories, e.Revision)
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
	if name == m.settings.Self.Name && !m.stop.Requested() {
		m.lease.registered = false
	}
}

// daemonKey returns the key of a daemon in removals.
func daemonKey(name string) string { return "daemon " + name }

package reducer

import (
	"slices"
	"time"

	"samphirewharf/internal/decision/tracker"
	"samphirewharf/internal/external/storer"
	"samphirewharf/internal/peer/messenger"
)

const membersPrefix = tracker.KeyPrefix

// A registration is the state of the daemon's own key below membersPrefix, and what is known of its peers.
type registration struct {
	// writePending reports whether the key must be written, inFlight whether a call is in flight.
	writePending bool
	inFlight     bool
	revision     int64
	retryAt      time.Duration
	// nextListAt is when the members are listed again, 0 if no list is due.
	nextListAt time.Duration
	listing    bool
	// watching reports whether the watches have been started.
	watching bool
	// trackerVersion is the version of the tracker at the last update of the cells.
	trackerVersion uint64
	// deadSince is when each dead process was found to be dead, by instance.
	deadSince map[string]time.Duration
	// peerInstances are the instances of the daemons that sent heartbeats, by daemon.
	peerInstances map[string]string
	// leavingInstances are the instances that announced a planned stop in a heartbeat.
	leavingInstances map[string]bool
}

// startMembership initializes the membership state.
func (m *Machine) startMembership() {
	s := m.settings
	self := tracker.Daemon{ID: s.Daemon, Instance: s.Instance, Address: s.Address, Zone: s.Zone, Region: s.Region}
	m.members = tracker.New(self, m.rng)
	m.lease = tracker.NewLease(m.rng)
	m.self = self
	m.registration.nextListAt = 1
	m.registration.deadSince = make(map[string]time.Duration)
	m.registration.leavingInstances = make(map[string]bool)
	m.registration.peerInstances = make(map[string]string)
}

// tickMembership renews the lease, sends heartbeats, and updates the cells when the membership has changed.
func (m *Machine) tickMembership() {
	now := m.now.Monotonic
	m.startWatches()
	if m.lease.Due(now) && !m.stop.leaseRevoked {
		m.emit(LeaseRenew{TimeToLive: tracker.LeaseTTL})
	}
	m.listMembers()
	m.registerSelf()
	m.members.Tick(now)
	m.sendHeartbeats()
	if now >= m.next.heartbeat || m.registration.trackerVersion != m.members.Version() {
		m.next.heartbeat = now + tracker.HeartbeatInterval
		m.registration.trackerVersion = m.members.Version()
		m.updateCells()
	}
}

// startWatches starts the watches that every daemon needs.
func (m *Machine) startWatches() {
	if m.registration.watching {
		return
	}
	m.registration.watching = true
	m.emit(StoreWatch{Prefix: configurationHeadKey})
	m.emit(StoreWatch{Prefix: membersPrefix})
	m.loadConfiguration("")
}

func (m *Machine) heartbeat() *messenger.Heartbeat {
	placements := make(map[string]int64)
	for _, name := range m.cellNames {
		if _, revision := m.cells[name].planner.Record(); revision > 0 {
			placements[name] = revision
		}
	}
	return &messenger.Heartbeat{
		ConfigurationVersion: m.configurationVersion(),
		Placements:           placements,
		Leaving:              m.stop.requested,
		InFlight:             len(m.requests),
	}
}

func (m *Machine) listMembers() {
	if m.registration.listing || m.registration.nextListAt == 0 || m.now.Monotonic < m.registration.nextListAt {
		return
	}
	m.registration.listing = true
	m.emit(StoreList{Op: m.newOp(operation{kind: operationMembers}), Prefix: membersPrefix})
}

func (m *Machine) handleMembersListed(result storer.Result, entries []storer.Entry, revision int64) {
	m.registration.listing = false
	if result != storer.ResultOK && result != storer.ResultNotFound {
		m.members.SetStoreUnavailable(m.now.Monotonic)
		m.registration.nextListAt = m.now.Monotonic + m.backoffs.members.Next(m.rng)
		return
	}
	m.backoffs.members.Reset()
	m.registration.nextListAt = 0
	if err := m.members.ApplySnapshot(m.now.Monotonic, entries, revision); err != nil {
		m.emit(Noted{Message: "members could not be read", Detail: err.Error(), Warning: true})
	}
}

func (m *Machine) handleMemberChange(e StoreChanged) {
	if err := m.members.ApplyChange(m.now.Monotonic, e.Entry, e.Deleted); err != nil {
		m.emit(Noted{Message: "member could not be read", Subject: e.Entry.Key, Detail: err.Error(), Warning: true})
	}
	if e.Entry.Key == m.self.Key() && e.Deleted {
		m.registration.revision = 0
		m.registration.writePending = true
	}
}

func (m *Machine) handleLeaseRenewed(e LeaseRenewed) {
	m.lease.ApplyRenewal(e.SentAt, e.Result, e.Lost)
	if e.Result != storer.ResultOK {
		m.members.SetStoreUnavailable(m.now.Monotonic)
		if m.registration.nextListAt == 0 {
			m.registration.nextListAt = m.now.Monotonic + m.backoffs.members.Next(m.rng)
		}
		return
	}
	if e.Lost {
		m.registration.writePending = true
	}
}

// registerSelf writes the daemon's own key.
func (m *Machine) registerSelf() {
	r := &m.registration
	if !r.writePending || r.inFlight || m.now.Monotonic < r.retryAt || m.stop.leaseRevoked {
		return
	}
	value, err := m.self.Encode()
	if err != nil {
		m.emit(Noted{Message: "registration could not be encoded", Detail: err.Error(), Warning: true})
		r.writePending = false
		return
	}
	r.inFlight = true
	r.writePending = false
	op := m.newOp(operation{kind: operationRegister})
	m.emit(StoreSwap{Op: op, Key: m.self.Key(), Value: value, Revision: r.revision, Leased: true})
}

func (m *Machine) handleRegistered(result storer.Result, revision int64) {
	r := &m.registration
	r.inFlight = false
	switch result {
	case storer.ResultOK:
		m.backoffs.registration.Reset()
		r.revision = revision
	case storer.ResultConflict, storer.ResultUnknown:
		r.writePending = true
		r.inFlight = true
		m.emit(StoreGet{Op: m.newOp(operation{kind: operationRegisterGet}), Key: m.self.Key()})
	default:
		r.writePending = true
		r.retryAt = m.now.Monotonic + m.backoffs.registration.Next(m.rng)
	}
}

// handleRegistrationRead records the current revision of the daemon's own key, for the next write.
func (m *Machine) handleRegistrationRead(result storer.Result, revision int64) {
	r := &m.registration
	r.inFlight = false
	switch result {
	case storer.ResultOK:
		r.revision = revision
	case storer.ResultNotFound:
		r.revision = 0
	default:
		r.retryAt = m.now.Monotonic + m.backoffs.registration.Next(m.rng)
	}
}

// announceLeaving announces this daemon's planned stop to the other daemons.
func (m *Machine) announceLeaving() {
	m.self.Leaving = true
	m.registration.writePending = true
	m.members.SetLeaving(m.now.Monotonic)
	for _, d := range m.members.Live() {
		if d.ID != m.settings.Daemon {
			m.emit(SendPeer{Daemon: d.ID, Address: d.Address, Message: messenger.Message{Heartbeat: m.heartbeat()}})
		}
	}
	m.updateCells()
}

// handlePeerMessage handles a message from another daemon.
func (m *Machine) handlePeerMessage(message messenger.Message) {
	if message.From == m.settings.Daemon {
		return
	}
	if h := message.Heartbeat; h != nil {
		m.handleHeartbeat(message, h)
	}
	m.applyPeerReports(message.Reports)
	if n := message.Needs; n != nil {
		m.handleNeeds(message.From, message.Instance, n)
	}
	if p := message.Placement; p != nil {
		m.handlePlacement(p)
	}
	if v := message.Verdict; v != nil {
		m.isolator.Merge(v.Hashes, v.Suspects, m.now.Monotonic+v.Expires, m.now.Monotonic)
		if len(v.Hashes) > 0 {
			m.refusePoisonous()
		}
	}
	for _, f := range message.Forecasts {
		m.handleForecast(f)
	}
}

func (m *Machine) handleHeartbeat(message messenger.Message, h *messenger.Heartbeat) {
	m.members.HandleHeartbeat(m.now.Monotonic, message)
	if m.registration.peerInstances[message.From] != message.Instance {
		m.registration.peerInstances[message.From] = message.Instance
		m.scheduleReportsFor(message.From)
	}
	if h.Leaving {
		m.registration.leavingInstances[message.Instance] = true
	}
	m.handlePeerVersion(message.Address, h.ConfigurationVersion)
	for _, name := range m.cellNames {
		c := m.cells[name]
		if _, revision := c.planner.Record(); h.Placements[name] > revision {
			m.applyPlannerActions(c, c.planner.Refresh(m.view(c)))
		}
	}
}

func (m *Machine) handlePlacement(p *messenger.Placement) {
	c := m.cells[p.Cell]
	if c == nil {
		return
	}
	m.applyPlannerActions(c, c.planner.UpdateRecord(m.view(c), p.Record, p.Revision))
	m.markDraining(c)
}

// cellMembers returns the daemons that serve a cell, including those in a planned stop, but without those
// that have stopped sending heartbeats.
func (m *Machine) cellMembers(name string) []tracker.Daemon {
	var list []tracker.Daemon
	for _, d := range m.members.Daemons(name) {
		if d.ID == m.settings.Daemon {
			d.Leaving = m.stop.requested
		} else if m.members.HeartbeatOverdue(m.now.Monotonic, d.ID) {
			continue
		}
		d.Leaving = d.Leaving || m.registration.leavingInstances[d.Instance]
		list = append(list, d)
	}
	return list
}

// activeDaemons returns the sorted IDs of the daemons of a cell that are not in a planned stop.
func (m *Machine) activeDaemons(name string) []string {
	var ids []string
	for _, d := range m.cellMembers(name) {
		if !d.Leaving {
			ids = append(ids, d.ID)
		}
	}
	slices.Sort(ids)
	return ids
}

// shouldLead reports whether this daemon should be the cell's placer: the first of the active daemons.
func (m *Machine) shouldLead(c *cell) bool {
	for _, d := range m.cellMembers(c.name) {
		if !d.Leaving {
			return d.ID == m.settings.Daemon
		}
	}
	return false
}

// placerAlive reports whether a placer's process is live, sends heartbeats, and is not in a planned stop.
func (m *Machine) placerAlive(daemon, instance string) bool {
	if daemon == m.settings.Daemon {
		return instance == m.settings.Instance && !m.stop.requested
	}
	for _, d := range m.members.Live() {
		if d.ID == daemon {
			leaving := d.Leaving || m.registration.leavingInstances[instance]
			return d.Instance == instance && !leaving && !m.members.HeartbeatOverdue(m.now.Monotonic, daemon)
		}
	}
	return false
}

// deadSince returns when a daemon process was found to be dead. ok is false if it isn't proved to be dead.
func (m *Machine) deadSince(daemon, instance string) (time.Duration, bool) {
	if !m.members.KnownDead(instance) && !m.members.Replaced(daemon, instance) {
		return 0, false
	}
	since, ok := m.registration.deadSince[instance]
	if !ok {
		since = m.now.Monotonic
		m.registration.deadSince[instance] = since
	}
	return since, true
}

// sendToCell sends a message to the other daemons of a cell.
func (m *Machine) sendToCell(name string, message messenger.Message) {
	for _, d := range m.cellMembers(name) {
		if d.ID != m.settings.Daemon {
			m.emit(SendPeer{Daemon: d.ID, Address: d.Address, Message: message})
		}
	}
}

// sendToDaemon sends a message to one daemon if it is live.
func (m *Machine) sendToDaemon(daemon string, message messenger.Message) {
	for _, d := range m.members.Live() {
		if d.ID == daemon && daemon != m.settings.Daemon {
			m.emit(SendPeer{Daemon: d.ID, Address: d.Address, Message: message})
			return
		}
	}
}

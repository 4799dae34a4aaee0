package reducer

import (
	"slices"
	"time"

	"samphirewharf/internal/decision/tracker"
	"samphirewharf/internal/external/storer"
	"samphirewharf/internal/peer/messenger"
)

const membersPrefix = tracker.KeyPrefix

// A registration is the daemon's own key below membersPrefix.
type registration struct {
	// wanted tells that the key must be written, inCall that a call is in flight.
	wanted   bool
	inCall   bool
	revision int64
	retryAt  time.Duration
	// listAt is when the members are read anew, 0 if that is not wanted.
	listAt  time.Duration
	listing bool
	// watching tells that the watches have been started.
	watching bool
	// version is the tracker's version that the cells were made from.
	version uint64
	// dead are the processes known to be dead and since when.
	dead map[string]time.Duration
	// heard are the processes of the daemons that heartbeats came from, by daemon.
	heard map[string]string
	// leaving are daemons that said in a heartbeat that they are in a planned stop, by instance.
	leaving map[string]bool
}

// startMembership prepares the membership of the daemon itself.
func (m *Machine) startMembership() {
	s := m.settings
	self := tracker.Daemon{ID: s.Daemon, Instance: s.Instance, Address: s.Address, Zone: s.Zone, Region: s.Region}
	m.members = tracker.New(self, m.rng)
	m.lease = tracker.NewLease(m.rng)
	m.self = self
	m.register.listAt = 1
	m.register.dead = make(map[string]time.Duration)
	m.register.leaving = make(map[string]bool)
	m.register.heard = make(map[string]string)
}

// tickMembership renews the lease, sends heartbeats, and adapts the cells to the membership.
func (m *Machine) tickMembership() {
	now := m.now.Since
	m.watchPlatform()
	if m.lease.Due(now) && !m.stop.revoked {
		m.emit(LeaseRenew{TimeToLive: tracker.LeaseTimeToLive})
	}
	m.listMembers()
	m.registerSelf()
	m.members.Tick(now)
	m.sendHeartbeats()
	if now >= m.next.heartbeat || m.register.version != m.members.Version() {
		m.next.heartbeat = now + tracker.HeartbeatInterval
		m.register.version = m.members.Version()
		m.updateCells()
	}
}

// watchPlatform starts the watches that every daemon holds.
func (m *Machine) watchPlatform() {
	if m.register.watching {
		return
	}
	m.register.watching = true
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
		ConfigurationVersion: m.version(),
		Placements:           placements,
		Leaving:              m.stop.requested,
		InFlight:             len(m.requests),
	}
}

func (m *Machine) listMembers() {
	if m.register.listing || m.register.listAt == 0 || m.now.Since < m.register.listAt {
		return
	}
	m.register.listing = true
	m.emit(StoreList{Op: m.op(operation{kind: operationMembers}), Prefix: membersPrefix})
}

func (m *Machine) membersListed(result storer.Result, entries []storer.Entry, revision int64) {
	m.register.listing = false
	if result != storer.ResultOK && result != storer.ResultNotFound {
		m.members.SetStoreUnavailable(m.now.Since)
		m.register.listAt = m.now.Since + m.pacing.members.Next(m.rng)
		return
	}
	m.pacing.members.Reset()
	m.register.listAt = 0
	if err := m.members.ApplySnapshot(m.now.Since, entries, revision); err != nil {
		m.emit(Noted{Message: "members could not be read", Detail: err.Error(), Warning: true})
	}
}

func (m *Machine) memberChanged(e StoreChanged) {
	if err := m.members.ApplyChange(m.now.Since, e.Entry, e.Deleted); err != nil {
		m.emit(Noted{Message: "member could not be read", Subject: e.Entry.Key, Detail: err.Error(), Warning: true})
	}
	if e.Entry.Key == m.self.Key() && e.Deleted {
		m.register.revision = 0
		m.register.wanted = true
	}
}

func (m *Machine) leaseRenewed(e LeaseRenewed) {
	m.lease.ApplyRenewal(e.SentAt, e.Result, e.Lost)
	if e.Result != storer.ResultOK {
		m.members.SetStoreUnavailable(m.now.Since)
		if m.register.listAt == 0 {
			m.register.listAt = m.now.Since + m.pacing.members.Next(m.rng)
		}
		return
	}
	if e.Lost {
		m.register.wanted = true
	}
}

// registerSelf writes the daemon's own key.
func (m *Machine) registerSelf() {
	r := &m.register
	if !r.wanted || r.inCall || m.now.Since < r.retryAt || m.stop.revoked {
		return
	}
	value, err := m.self.Encode()
	if err != nil {
		m.emit(Noted{Message: "registration could not be encoded", Detail: err.Error(), Warning: true})
		r.wanted = false
		return
	}
	r.inCall = true
	r.wanted = false
	op := m.op(operation{kind: operationRegister})
	m.emit(StoreSwap{Op: op, Key: m.self.Key(), Value: value, Revision: r.revision, Leased: true})
}

func (m *Machine) registered(result storer.Result, revision int64) {
	r := &m.register
	r.inCall = false
	switch result {
	case storer.ResultOK:
		m.pacing.registration.Reset()
		r.revision = revision
	case storer.ResultConflict, storer.ResultUnknown:
		r.wanted = true
		r.inCall = true
		m.emit(StoreGet{Op: m.op(operation{kind: operationRegisterGet}), Key: m.self.Key()})
	default:
		r.wanted = true
		r.retryAt = m.now.Since + m.pacing.registration.Next(m.rng)
	}
}

// registrationRead learns the revision at which the daemon's own key is to be replaced.
func (m *Machine) registrationRead(result storer.Result, revision int64) {
	r := &m.register
	r.inCall = false
	switch result {
	case storer.ResultOK:
		r.revision = revision
	case storer.ResultNotFound:
		r.revision = 0
	default:
		r.retryAt = m.now.Since + m.pacing.registration.Next(m.rng)
	}
}

// announceLeaving tells the other daemons that this one is in a planned stop.
func (m *Machine) announceLeaving() {
	m.self.Leaving = true
	m.register.wanted = true
	m.members.SetLeaving(m.now.Since)
	for _, d := range m.members.Live() {
		if d.ID != m.settings.Daemon {
			m.emit(SendPeer{Daemon: d.ID, Address: d.Address, Message: messenger.Message{Heartbeat: m.heartbeat()}})
		}
	}
	m.updateCells()
}

// peerReceived takes a message from another daemon.
func (m *Machine) peerReceived(message messenger.Message) {
	if message.From == m.settings.Daemon {
		return
	}
	if h := message.Heartbeat; h != nil {
		m.heard(message, h)
	}
	m.takeReports(message.Reports)
	if n := message.Needs; n != nil {
		m.takeNeeds(message.From, message.Instance, n)
	}
	if p := message.Placement; p != nil {
		m.takePlacement(p)
	}
	if v := message.Verdict; v != nil {
		m.isolator.Merge(v.Hashes, v.Suspects, m.now.Since+v.Expires, m.now.Since)
		if len(v.Hashes) > 0 {
			m.refuseConvicted()
		}
	}
	for _, f := range message.Forecasts {
		m.takeForecast(f)
	}
}

func (m *Machine) heard(message messenger.Message, h *messenger.Heartbeat) {
	m.members.HandleHeartbeat(m.now.Since, message)
	if m.register.heard[message.From] != message.Instance {
		m.register.heard[message.From] = message.Instance
		m.shareWith(message.From)
	}
	if h.Leaving {
		m.register.leaving[message.Instance] = true
	}
	m.heardVersion(message.Address, h.ConfigurationVersion)
	for _, name := range m.cellNames {
		c := m.cells[name]
		if _, revision := c.planner.Record(); h.Placements[name] > revision {
			m.applyPlan(c, c.planner.Refresh(m.view(c)))
		}
	}
}

func (m *Machine) takePlacement(p *messenger.Placement) {
	c := m.cells[p.Cell]
	if c == nil {
		return
	}
	m.applyPlan(c, c.planner.UpdateRecord(m.view(c), p.Record, p.Revision))
	m.markDraining(c)
}

// cellMembers returns the daemons that serve a cell, leaving ones included and silent ones left out.
func (m *Machine) cellMembers(name string) []tracker.Daemon {
	var list []tracker.Daemon
	for _, d := range m.members.Daemons(name) {
		if d.ID == m.settings.Daemon {
			d.Leaving = m.stop.requested
		} else if m.members.Silent(m.now.Since, d.ID) {
			continue
		}
		d.Leaving = d.Leaving || m.register.leaving[d.Instance]
		list = append(list, d)
	}
	return list
}

// activeDaemons returns the IDs of the daemons that take roles in a cell, ordered.
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

// leads reports whether this daemon should be the cell's placer: the first choice among the active ones.
func (m *Machine) leads(c *cell) bool {
	for _, d := range m.cellMembers(c.name) {
		if !d.Leaving {
			return d.ID == m.settings.Daemon
		}
	}
	return false
}

// placerAlive reports whether a placer's process is live, heard, and not leaving.
func (m *Machine) placerAlive(daemon, instance string) bool {
	if daemon == m.settings.Daemon {
		return instance == m.settings.Instance && !m.stop.requested
	}
	for _, d := range m.members.Live() {
		if d.ID == daemon {
			leaving := d.Leaving || m.register.leaving[instance]
			return d.Instance == instance && !leaving && !m.members.Silent(m.now.Since, daemon)
		}
	}
	return false
}

// deadSince returns when a daemon process was found to be proved dead.
func (m *Machine) deadSince(daemon, instance string) (time.Duration, bool) {
	if !m.members.KnownDead(instance) && !m.members.Replaced(daemon, instance) {
		return 0, false
	}
	since, ok := m.register.dead[instance]
	if !ok {
		since = m.now.Since
		m.register.dead[instance] = since
	}
	return since, true
}

// sendCell sends a message to the other daemons of a cell.
func (m *Machine) sendCell(name string, message messenger.Message) {
	for _, d := range m.cellMembers(name) {
		if d.ID != m.settings.Daemon {
			m.emit(SendPeer{Daemon: d.ID, Address: d.Address, Message: message})
		}
	}
}

// sendTo sends a message to one daemon if it is live.
func (m *Machine) sendTo(daemon string, message messenger.Message) {
	for _, d := range m.members.Live() {
		if d.ID == daemon && daemon != m.settings.Daemon {
			m.emit(SendPeer{Daemon: d.ID, Address: d.Address, Message: message})
			return
		}
	}
}

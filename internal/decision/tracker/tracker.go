// Package tracker decides which daemons are members, which of them serve each cell, and which of them get heartbeats.
//
// A daemon is live while its leased key is in the key-value service or it sends heartbeats. It is removed when its key
// is gone and no heartbeat came for HeartbeatTimeout.
//
// While the service is unavailable, the membership changes only by heartbeats. A daemon that sends heartbeats is live.
// One that shares a cell and sent heartbeats before is removed when they stop. Missing heartbeats of others prove
// nothing, since daemons send them only to those that share their cells and to a few others.
package tracker

import (
	"container/heap"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"samphirewharf/internal/external/storer"
	"samphirewharf/internal/peer/messenger"
)

// The intervals and limits of heartbeats.
const (
	HeartbeatInterval = time.Second
	// HeartbeatTimeout is the time without a heartbeat after which the earlier heartbeats no longer prove that a daemon
	// is live.
	HeartbeatTimeout = 3 * time.Second
	// MaxSharedPeers bounds how many daemons that share a cell get each heartbeat.
	MaxSharedPeers = 24
	// RandomPeers is how many other daemons get each heartbeat, so that configuration versions spread.
	RandomPeers = 2
)

// A Tracker tracks the membership of daemons from the view of one of them. It is deterministic and does no I/O. It is
// not safe for concurrent use.
type Tracker struct {
	self    Daemon
	random  *rand.Rand
	members map[string]*member
	// byID and byAddress have the last registrations. A later one proves that an earlier instance is dead.
	byID      registry
	byAddress registry
	// live has the sorted IDs of the live members. The daemon itself is always live.
	live    []string
	version uint64
	cells   cellTable
	// peers has the sorted IDs of the daemons that share a cell with this one. It is out of date if the cells are
	// stale.
	peers []string
	// nextPeer is the index at which the next round of heartbeats starts if there are more than MaxSharedPeers.
	nextPeer         int
	regions          map[string]string
	pendingChecks    checkQueue
	dead             deadInstances
	storeUnavailable bool
	nextHeartbeat    time.Duration

	newestVersion int64
	newestFrom    string
}

// New returns a Tracker with only the daemon itself as a member.
func New(self Daemon, random *rand.Rand) *Tracker {
	t := &Tracker{
		self:    self,
		random:  random,
		members: make(map[string]*member),
		regions: make(map[string]string),
	}
	t.members[self.ID] = &member{daemon: self}
	t.updateLiveness(t.members[self.ID], 0)
	return t
}

// ApplyChange applies a change below KeyPrefix from a watch. The entry of a deleted key has the revision of the
// deletion.
func (t *Tracker) ApplyChange(now time.Duration, e storer.Entry, deleted bool) error {
	if deleted {
		t.applyDeletion(now, e.Key, e.Revision)
		return nil
	}
	d, err := DecodeDaemon(e.Key, e.Value)
	if err != nil {
		return err
	}
	t.applyRegistration(now, d, e.Revision)
	return nil
}

// Daemons returns the daemons that serve a cell, in order of preference.
func (t *Tracker) Daemons(cell string) []Daemon {
	t.recomputeCells()
	return t.daemonsByID(t.cells.assigned[cell])
}

// HandleHeartbeat handles a heartbeat. It costs O(log n) for n members unless the membership changes.
func (t *Tracker) HandleHeartbeat(now time.Duration, m messenger.Message) {
	if m.Heartbeat == nil || m.From == t.self.ID || t.dead.contains(m.Instance) {
		return
	}
	sender := t.members[m.From]
	if sender == nil {
		sender = &member{daemon: Daemon{ID: m.From, Instance: m.Instance}}
		t.members[m.From] = sender
	}
	if sender.daemon.Instance != m.Instance {
		if startedBefore(m.Instance, sender.daemon.Instance) || !sender.heartbeatOverdue(now) && !startedBefore(sender.daemon.Instance, m.Instance) {
			return
		}
	}
	if m.Heartbeat.ConfigurationVersion >= t.newestVersion {
		t.newestVersion = m.Heartbeat.ConfigurationVersion
		t.newestFrom = m.From
	}
	sender.heartbeatReceived = true
	sender.lastHeartbeat = now
	t.scheduleCheck(sender, now+HeartbeatTimeout)
	d := sender.daemon
	d.Instance = m.Instance
	d.Address = m.Address
	d.Zone = m.Zone
	if region, ok := t.regions[m.Zone]; ok {
		d.Region = region
	}
	// Leaving is final for an instance.
	d.Leaving = m.Heartbeat.Leaving || sender.daemon.Leaving && sender.daemon.Instance == m.Instance
	t.updateDaemon(sender, d, now)
}

// HeartbeatTargets returns the daemons to send a heartbeat to now, or none if none is due. It schedules the next
// heartbeat.
func (t *Tracker) HeartbeatTargets(now time.Duration) []Daemon {
	if now < t.nextHeartbeat {
		return nil
	}
	t.recomputeCells()
	t.nextHeartbeat = now + jitter(t.random, HeartbeatInterval)
	targets := make([]string, 0, min(len(t.peers), MaxSharedPeers)+RandomPeers)
	for i := range min(len(t.peers), MaxSharedPeers) {
		targets = append(targets, t.peers[(t.nextPeer+i)%len(t.peers)])
	}
	if len(t.peers) > MaxSharedPeers {
		t.nextPeer = (t.nextPeer + MaxSharedPeers) % len(t.peers)
	}
	for range RandomPeers {
		id := t.live[t.random.IntN(len(t.live))]
		if id != t.self.ID && !slices.Contains(targets, id) {
			targets = append(targets, id)
		}
	}
	return t.daemonsByID(targets)
}

// KnownDead reports whether the process has certainly ended, because a later one has registered under its ID or
// address. The order is proved by the store's revision and, where both instances are UUIDs of version 7, also by their
// times. Instances that are not such UUIDs prove it only under the same ID. Heartbeats prove nothing, as they may
// arrive late. The last 4096 dead instances are remembered.
func (t *Tracker) KnownDead(instance string) bool { return t.dead.contains(instance) }

// ApplySnapshot applies all entries below KeyPrefix at a revision of the store. Keys from a later change are kept. It
// marks the store as available.
func (t *Tracker) ApplySnapshot(now time.Duration, entries []storer.Entry, revision int64) error {
	t.storeUnavailable = false
	present := make(map[string]bool, len(entries))
	var errs []error
	for _, e := range entries {
		present[e.Key] = true
		errs = append(errs, t.ApplyChange(now, e, false))
	}
	for _, id := range t.sortedIDs() {
		m := t.members[id]
		if m.registered && m.revision <= revision && !present[m.daemon.Key()] {
			m.registered = false
		}
		t.updateLiveness(m, now)
	}
	return errors.Join(errs...)
}

// Live returns the live daemons, including the daemon itself, ordered by ID.
func (t *Tracker) Live() []Daemon { return t.daemonsByID(t.live) }

// NewestConfiguration returns the highest configuration version that a peer has reported, and the last live peer that
// reported it.
func (t *Tracker) NewestConfiguration() (version int64, from Daemon, ok bool) {
	m := t.members[t.newestFrom]
	if m == nil || !m.live {
		return t.newestVersion, Daemon{}, false
	}
	return t.newestVersion, m.daemon, true
}

// NextWake returns the time by which Tick and HeartbeatTargets must be called.
func (t *Tracker) NextWake() time.Duration {
	if len(t.pendingChecks) > 0 {
		return min(t.nextHeartbeat, t.pendingChecks[0].checkAt)
	}
	return t.nextHeartbeat
}

// Replaced reports whether a process that started after the instance has registered under the daemon's ID. Unlike
// KnownDead, it does not depend on having seen the instance's own registration.
func (t *Tracker) Replaced(id, instance string) bool {
	last, ok := t.byID.get(id)
	return ok && last.instance != instance && startedBefore(instance, last.instance)
}

// SetCells replaces the cells and the regions of the availability zones.
func (t *Tracker) SetCells(cells []Cell, regions map[string]string) {
	t.regions = make(map[string]string, len(regions))
	for zone, region := range regions {
		t.regions[zone] = region
	}
	for _, m := range t.members {
		if region, ok := regions[m.daemon.Zone]; ok {
			m.daemon.Region = region
		}
	}
	t.cells.cells = slices.Clone(cells)
	t.markChanged()
}

// SetLeaving marks the daemon itself as in a planned stop.
func (t *Tracker) SetLeaving(now time.Duration) {
	t.self.Leaving = true
	t.updateDaemon(t.members[t.self.ID], t.self, now)
}

// HeartbeatOverdue reports whether a daemon that shares a cell has stopped sending heartbeats. It may still be live, but
// others are preferable.
func (t *Tracker) HeartbeatOverdue(now time.Duration, id string) bool {
	m := t.members[id]
	return m != nil && t.expectsHeartbeats(m) && m.heartbeatOverdue(now)
}

// SetStoreUnavailable records that the key-value service does not answer, until the next ApplySnapshot.
func (t *Tracker) SetStoreUnavailable(now time.Duration) {
	if t.storeUnavailable {
		return
	}
	t.storeUnavailable = true
	for _, id := range t.sortedIDs() {
		t.updateLiveness(t.members[id], now)
	}
}

// Tick runs the checks that are due.
func (t *Tracker) Tick(now time.Duration) {
	for len(t.pendingChecks) > 0 && t.pendingChecks[0].checkAt <= now {
		m := heap.Pop(&t.pendingChecks).(*member)
		m.checkQueued = false
		if !m.heartbeatOverdue(now) {
			t.scheduleCheck(m, m.lastHeartbeat+HeartbeatTimeout)
			continue
		}
		t.updateLiveness(m, now)
	}
}

// Version returns a number that increases with each change of the live daemons or the cells.
func (t *Tracker) Version() uint64 { return t.version }

// candidates returns the IDs of the live daemons that may serve cells of a region: those in the region and those
// without one.
func (t *Tracker) candidates(region string) []string {
	var active, leaving []string
	for _, id := range t.live {
		d := t.members[id].daemon
		switch {
		case region != "" && d.Region != "" && d.Region != region:
		case d.Leaving:
			leaving = append(leaving, id)
		default:
			active = append(active, id)
		}
	}
	if len(active) == 0 {
		return leaving
	}
	return active
}

// markChanged marks the cells as stale. They are recomputed when they are next needed, once for several changes.
func (t *Tracker) markChanged() {
	t.version++
	t.cells.stale = true
}

// scheduleCheck schedules a check of the member, unless one is scheduled already.
func (t *Tracker) scheduleCheck(m *member, at time.Duration) {
	if m.checkQueued {
		return
	}
	m.checkQueued = true
	m.checkAt = at
	heap.Push(&t.pendingChecks, m)
}

func (t *Tracker) daemonsByID(ids []string) []Daemon {
	daemons := make([]Daemon, 0, len(ids))
	for _, id := range ids {
		daemons = append(daemons, t.members[id].daemon)
	}
	return daemons
}

// updateDaemon replaces a member's daemon and updates its liveness.
func (t *Tracker) updateDaemon(m *member, d Daemon, now time.Duration) {
	before := m.daemon
	m.daemon = d
	switch {
	case !m.live || before == d:
	case before.Region == d.Region && before.Leaving == d.Leaving:
		t.version++
	default:
		t.markChanged()
	}
	t.updateLiveness(m, now)
}

// expectsHeartbeats reports whether the member should be sending heartbeats to this daemon.
func (t *Tracker) expectsHeartbeats(m *member) bool {
	t.recomputeCells()
	_, shares := slices.BinarySearch(t.peers, m.daemon.ID)
	return shares && m.heartbeatReceived
}

// applyRegistration applies a daemon's registration.
func (t *Tracker) applyRegistration(now time.Duration, d Daemon, revision int64) {
	last, known := t.byID.get(d.ID)
	if known && revision <= last.revision || t.dead.contains(d.Instance) {
		return
	}
	if known && last.instance != d.Instance && !startedBefore(d.Instance, last.instance) {
		t.dead.add(last.instance)
	}
	t.markDeadByAddress(now, d, revision)
	current := registration{id: d.ID, instance: d.Instance, revision: revision}
	t.byID.put(d.ID, current)
	t.byAddress.put(d.Address, current)
	if d.ID == t.self.ID {
		return
	}
	m := t.members[d.ID]
	if m == nil {
		m = &member{daemon: d}
		t.members[d.ID] = m
	}
	if m.daemon.Instance != d.Instance {
		m.heartbeatReceived = false
	}
	m.registered = true
	m.revision = revision
	t.updateDaemon(m, d, now)
}

// markDeadByAddress marks an earlier instance at the daemon's address as dead.
func (t *Tracker) markDeadByAddress(now time.Duration, d Daemon, revision int64) {
	last, ok := t.byAddress.get(d.Address)
	if !ok || last.id == d.ID || last.revision >= revision || !startedBefore(last.instance, d.Instance) {
		return
	}
	t.dead.add(last.instance)
	other := t.members[last.id]
	if other == nil || other.daemon.Instance != last.instance {
		return
	}
	other.registered = false
	other.heartbeatReceived = false
	t.updateLiveness(other, now)
}

// updateLiveness updates whether a member is live.
func (t *Tracker) updateLiveness(m *member, now time.Duration) {
	suspected := t.storeUnavailable && t.expectsHeartbeats(m) && m.heartbeatOverdue(now)
	trusted := m.registered && !suspected
	live := m.daemon.ID == t.self.ID || trusted || !m.heartbeatOverdue(now)
	if live == m.live {
		t.removeIfUnused(m)
		return
	}
	m.live = live
	at, _ := slices.BinarySearch(t.live, m.daemon.ID)
	if live {
		t.live = slices.Insert(t.live, at, m.daemon.ID)
	} else {
		t.live = slices.Delete(t.live, at, at+1)
	}
	t.markChanged()
	t.removeIfUnused(m)
}

// recomputeCells recomputes the cells and the peers if they are stale.
func (t *Tracker) recomputeCells() {
	if t.cells.stale {
		t.cells.recomputeIfStale(t.candidates)
		t.peers = t.cells.peersOf(t.self.ID)
	}
}

func (t *Tracker) sortedIDs() []string {
	ids := make([]string, 0, len(t.members))
	for id := range t.members {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// removeIfUnused removes a member that is not live, has no key and has no check scheduled.
func (t *Tracker) removeIfUnused(m *member) {
	if m.live || m.registered || m.checkQueued {
		return
	}
	delete(t.members, m.daemon.ID)
}

// applyDeletion applies the deletion of a daemon's key.
func (t *Tracker) applyDeletion(now time.Duration, key string, revision int64) {
	m := t.members[key[min(len(key), len(KeyPrefix)):]]
	if m == nil || !m.registered || revision < m.revision {
		return
	}
	m.registered = false
	t.updateLiveness(m, now)
}

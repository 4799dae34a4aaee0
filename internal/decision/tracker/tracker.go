// Package tracker decides which daemons are members, which of them serve each cell, and to which of
// them heartbeats go.
//
// A daemon is live while its leased key is in the key-value service or heartbeats come from it. It
// is removed when no heartbeat came for SuspectAfter and its key is gone. While the service is out,
// the membership stays as it was, but for heartbeats: a daemon that is heard is live, and one that
// shares a cell and was heard before is removed when it falls silent. Silence of others means
// nothing, as they only send to the daemons that share their cells and to a few others.
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

// The times and numbers of heartbeats.
const (
	HeartbeatInterval = time.Second
	// SuspectAfter is the silence after which heartbeats no longer prove that a daemon lives.
	SuspectAfter = 3 * time.Second
	// MaxSharedPeers bounds the daemons sharing a cell that get each heartbeat.
	MaxSharedPeers = 24
	// RandomPeers is how many other daemons get each heartbeat, so that versions spread.
	RandomPeers = 2
)

// A Tracker follows the membership of daemons for one of them. It is deterministic and does no I/O.
// It is not safe for concurrent use.
type Tracker struct {
	self    Daemon
	random  *rand.Rand
	members map[string]*member
	// byID and byAddress are the last registrations, which prove earlier instances dead.
	byID      registry
	byAddress registry
	// live are the IDs of the live members, sorted. The daemon itself is always live.
	live    []string
	version uint64
	cells   cellTable
	// peers are the daemons that share a cell with this one, sorted, unless the cells are stale.
	peers []string
	// nextPeer is where the next round of heartbeats starts if there are more than MaxSharedPeers.
	nextPeer    int
	regions     map[string]string
	checks      checkQueue
	dead        deadList
	storeLost   bool
	heartbeatAt time.Duration

	newestVersion int64
	newestFrom    string
}

// New returns a Tracker that knows only the daemon itself.
func New(self Daemon, random *rand.Rand) *Tracker {
	t := &Tracker{
		self:    self,
		random:  random,
		members: make(map[string]*member),
		regions: make(map[string]string),
	}
	t.members[self.ID] = &member{daemon: self}
	t.refresh(t.members[self.ID], 0)
	return t
}

// ApplyChange takes a change below KeyPrefix from a watch. The entry of a deleted key carries the
// revision of the deletion.
func (t *Tracker) ApplyChange(now time.Duration, e storer.Entry, deleted bool) error {
	if deleted {
		t.unkey(now, e.Key, e.Revision)
		return nil
	}
	d, err := DecodeDaemon(e.Key, e.Value)
	if err != nil {
		return err
	}
	t.key(now, d, e.Revision)
	return nil
}

// Daemons returns the daemons that serve a cell, the first choice first.
func (t *Tracker) Daemons(cell string) []Daemon {
	t.settle()
	return t.describe(t.cells.picks[cell])
}

// HandleHeartbeat takes a heartbeat. It costs O(log n) of the members unless the membership changes.
func (t *Tracker) HandleHeartbeat(now time.Duration, m messenger.Message) {
	if m.Heartbeat == nil || m.From == t.self.ID || t.dead.has(m.Instance) {
		return
	}
	heard := t.members[m.From]
	if heard == nil {
		heard = &member{daemon: Daemon{ID: m.From, Instance: m.Instance}}
		t.members[m.From] = heard
	}
	if heard.daemon.Instance != m.Instance {
		if startedBefore(m.Instance, heard.daemon.Instance) || !heard.silent(now) && !startedBefore(heard.daemon.Instance, m.Instance) {
			return
		}
	}
	if m.Heartbeat.ConfigurationVersion >= t.newestVersion {
		t.newestVersion = m.Heartbeat.ConfigurationVersion
		t.newestFrom = m.From
	}
	heard.heard = true
	heard.lastHeard = now
	t.check(heard, now+SuspectAfter)
	d := heard.daemon
	d.Instance = m.Instance
	d.Address = m.Address
	d.Zone = m.Zone
	if region, ok := t.regions[m.Zone]; ok {
		d.Region = region
	}
	// Leaving is final for an instance.
	d.Leaving = m.Heartbeat.Leaving || heard.daemon.Leaving && heard.daemon.Instance == m.Instance
	t.describeAs(heard, d, now)
}

// HeartbeatTargets returns the daemons to send a heartbeat to now, none if it is not time. It plans
// the next heartbeat.
func (t *Tracker) HeartbeatTargets(now time.Duration) []Daemon {
	if now < t.heartbeatAt {
		return nil
	}
	t.settle()
	t.heartbeatAt = now + jitter(t.random, HeartbeatInterval)
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
	return t.describe(targets)
}

// KnownDead reports whether the process certainly has ended: a later one has registered under its
// ID or address. Order is proved by the store's revision and, where both instances are UUIDs of
// version 7, also by their times; heartbeats prove nothing, as they may come late. Instances that
// are not such UUIDs prove it only under the same ID. The last 4096 are remembered.
func (t *Tracker) KnownDead(instance string) bool { return t.dead.has(instance) }

// ApplySnapshot takes all entries below KeyPrefix, as they were at the store's revision: keys that a later change
// reported stay. The store is then taken to be reachable.
func (t *Tracker) ApplySnapshot(now time.Duration, entries []storer.Entry, revision int64) error {
	t.storeLost = false
	listed := make(map[string]bool, len(entries))
	var errs []error
	for _, e := range entries {
		listed[e.Key] = true
		errs = append(errs, t.ApplyChange(now, e, false))
	}
	for _, id := range t.sortedIDs() {
		m := t.members[id]
		if m.keyed && m.revision <= revision && !listed[m.daemon.Key()] {
			m.keyed = false
		}
		t.refresh(m, now)
	}
	return errors.Join(errs...)
}

// Live returns the live daemons ordered by ID, the daemon itself included.
func (t *Tracker) Live() []Daemon { return t.describe(t.live) }

// NewestConfiguration returns the highest configuration version that a peer told of, and the last
// live peer that told it.
func (t *Tracker) NewestConfiguration() (version int64, from Daemon, ok bool) {
	m := t.members[t.newestFrom]
	if m == nil || !m.live {
		return t.newestVersion, Daemon{}, false
	}
	return t.newestVersion, m.daemon, true
}

// NextWake returns the time at which Tick and HeartbeatTargets must be called at the latest.
func (t *Tracker) NextWake() time.Duration {
	if len(t.checks) > 0 {
		return min(t.heartbeatAt, t.checks[0].checkAt)
	}
	return t.heartbeatAt
}

// Replaced reports whether a process that started later than the instance has registered under the daemon's
// ID. Unlike KnownDead it needs no sight of the instance's own registration.
func (t *Tracker) Replaced(id, instance string) bool {
	last, ok := t.byID.get(id)
	return ok && last.instance != instance && startedBefore(instance, last.instance)
}

// SetCells replaces the cells, and the regions of the availability zones.
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
	t.changed()
}

// SetLeaving marks the daemon itself as in a planned stop.
func (t *Tracker) SetLeaving(now time.Duration) {
	t.self.Leaving = true
	t.describeAs(t.members[t.self.ID], t.self, now)
}

// Silent reports whether a daemon that shares a cell was heard before and is silent now. It may
// still be live; others are the better choice.
func (t *Tracker) Silent(now time.Duration, id string) bool {
	m := t.members[id]
	return m != nil && t.expected(m) && m.silent(now)
}

// SetStoreUnavailable tells that the key-value service does not answer. Listed ends it.
func (t *Tracker) SetStoreUnavailable(now time.Duration) {
	if t.storeLost {
		return
	}
	t.storeLost = true
	for _, id := range t.sortedIDs() {
		t.refresh(t.members[id], now)
	}
}

// Tick lets time pass.
func (t *Tracker) Tick(now time.Duration) {
	for len(t.checks) > 0 && t.checks[0].checkAt <= now {
		m := heap.Pop(&t.checks).(*member)
		m.checking = false
		if !m.silent(now) {
			t.check(m, m.lastHeard+SuspectAfter)
			continue
		}
		t.refresh(m, now)
	}
}

// Version returns a number that grows with each change of the live daemons or the cells.
func (t *Tracker) Version() uint64 { return t.version }

// candidates returns the IDs of the live daemons that may serve cells of a region: its own, and those
// without a region.
func (t *Tracker) candidates(region string) []string {
	var staying, leaving []string
	for _, id := range t.live {
		d := t.members[id].daemon
		switch {
		case region != "" && d.Region != "" && d.Region != region:
		case d.Leaving:
			leaving = append(leaving, id)
		default:
			staying = append(staying, id)
		}
	}
	if len(staying) == 0 {
		return leaving
	}
	return staying
}

// changed notes that the cells are to be spread anew. That is done when the result is asked for, once
// for changes that come together.
func (t *Tracker) changed() {
	t.version++
	t.cells.stale = true
}

// check plans a check of the member, unless one is planned already.
func (t *Tracker) check(m *member, at time.Duration) {
	if m.checking {
		return
	}
	m.checking = true
	m.checkAt = at
	heap.Push(&t.checks, m)
}

func (t *Tracker) describe(ids []string) []Daemon {
	daemons := make([]Daemon, 0, len(ids))
	for _, id := range ids {
		daemons = append(daemons, t.members[id].daemon)
	}
	return daemons
}

// describeAs changes what is known of a member and then whether it is live.
func (t *Tracker) describeAs(m *member, d Daemon, now time.Duration) {
	before := m.daemon
	m.daemon = d
	switch {
	case !m.live || before == d:
	case before.Region == d.Region && before.Leaving == d.Leaving:
		t.version++
	default:
		t.changed()
	}
	t.refresh(m, now)
}

// expected reports whether heartbeats of the member are due here.
func (t *Tracker) expected(m *member) bool {
	t.settle()
	_, shares := slices.BinarySearch(t.peers, m.daemon.ID)
	return shares && m.heard
}

// key notes a daemon's key.
func (t *Tracker) key(now time.Duration, d Daemon, revision int64) {
	last, known := t.byID.get(d.ID)
	if known && revision <= last.revision || t.dead.has(d.Instance) {
		return
	}
	if known && last.instance != d.Instance && !startedBefore(d.Instance, last.instance) {
		t.dead.add(last.instance)
	}
	t.proveByAddress(now, d, revision)
	seen := registration{id: d.ID, instance: d.Instance, revision: revision}
	t.byID.put(d.ID, seen)
	t.byAddress.put(d.Address, seen)
	if d.ID == t.self.ID {
		return
	}
	m := t.members[d.ID]
	if m == nil {
		m = &member{daemon: d}
		t.members[d.ID] = m
	}
	if m.daemon.Instance != d.Instance {
		m.heard = false
	}
	m.keyed = true
	m.revision = revision
	t.describeAs(m, d, now)
}

// proveByAddress notes that an earlier instance at the daemon's address is dead.
func (t *Tracker) proveByAddress(now time.Duration, d Daemon, revision int64) {
	last, ok := t.byAddress.get(d.Address)
	if !ok || last.id == d.ID || last.revision >= revision || !startedBefore(last.instance, d.Instance) {
		return
	}
	t.dead.add(last.instance)
	other := t.members[last.id]
	if other == nil || other.daemon.Instance != last.instance {
		return
	}
	other.keyed = false
	other.heard = false
	t.refresh(other, now)
}

// refresh decides whether a member is live.
func (t *Tracker) refresh(m *member, now time.Duration) {
	suspected := t.storeLost && t.expected(m) && m.silent(now)
	trusted := m.keyed && !suspected
	live := m.daemon.ID == t.self.ID || trusted || !m.silent(now)
	if live == m.live {
		t.tidy(m)
		return
	}
	m.live = live
	at, _ := slices.BinarySearch(t.live, m.daemon.ID)
	if live {
		t.live = slices.Insert(t.live, at, m.daemon.ID)
	} else {
		t.live = slices.Delete(t.live, at, at+1)
	}
	t.changed()
	t.tidy(m)
}

// settle spreads the cells anew if that is due.
func (t *Tracker) settle() {
	if t.cells.stale {
		t.cells.settle(t.candidates)
		t.peers = t.cells.shared(t.self.ID)
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

// tidy forgets a member of which nothing is left.
func (t *Tracker) tidy(m *member) {
	if m.live || m.keyed || m.checking {
		return
	}
	delete(t.members, m.daemon.ID)
}

// unkey notes that a daemon's key is gone.
func (t *Tracker) unkey(now time.Duration, key string, revision int64) {
	m := t.members[key[min(len(key), len(KeyPrefix)):]]
	if m == nil || !m.keyed || revision < m.revision {
		return
	}
	m.keyed = false
	t.refresh(m, now)
}

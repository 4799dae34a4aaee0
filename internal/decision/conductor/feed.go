package conductor

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"samphirewharf/internal/decision/spreader"
	"samphirewharf/internal/decision/subscriber"
	"samphirewharf/internal/decision/verifier"
	"samphirewharf/internal/fleet/sequencer"
	"samphirewharf/internal/peer/messenger"
)

// A few daemons, the followers, watch the store and relay its updates to the others. So the number of watches, and of
// the messages that each change causes, grows only with a fraction of the daemons, and a daemon that the store refuses
// can still use the updates that another one relays.
const (
	// daemonsPerFollower is the number of daemons per follower.
	daemonsPerFollower = 8
	// minFollowers is the minimum number of followers.
	minFollowers = 2
	// removalTTL is how long removals of entries are remembered, to reject older updates of these entries.
	removalTTL = 2 * time.Minute
)

// A viewState describes whether this daemon's view of the store is up to date, from whichever source.
type viewState struct {
	stale bool
	// refreshedAt is when the view was last up to date again.
	refreshedAt time.Duration
	// epoch is the latest epoch of the store that was seen, valid if known.
	epoch int64
	known bool
	// servers is the latest proof of the servers' entries, not known if there was none.
	servers verifier.Proof
}

// A ServersProved event reports as of when the servers' entries are known to be all that the store had accepted.
type ServersProved struct{ Proof verifier.Proof }

// An UpdatesReceived event reports that the upstream has sent updates.
type UpdatesReceived struct {
	From string
	// Fresh reports whether the store answers the upstream.
	Fresh bool
}

// A Subscribed event reports that another daemon has subscribed to this one.
type Subscribed struct{ From string }

// A StoreListed event reports that this daemon's watches of the store are up to date.
type StoreListed struct{}

// A Follow effect starts or stops watching the store. If it is watched already, the watches start anew.
type Follow struct{ On bool }

// A Subscribe effect subscribes to the updates that a daemon relays.
type Subscribe struct{ Name, Address string }

// An Announce effect tells daemons that this one is up to date by its own watches.
type Announce struct{ Addresses []string }

// A Relay effect says whether the updates of the upstream keep this daemon up to date, so that it is so for its subscribers as well. It
// isn't for Followers, which are addresses: if two of them took each other for up to date, nothing would end that.
type Relay struct {
	On        bool
	Followers []string
}

// A Forward effect relays a message of the leader, or evidence of crashes, to the daemons that subscribe to this one.
type Forward struct {
	Fleet    *messenger.Fleet
	Evidence *messenger.Evidence
}

func (UpdatesReceived) event() {}
func (Subscribed) event()      {}
func (StoreListed) event()     {}
func (ServersProved) event()   {}
func (Follow) effect()         {}
func (Subscribe) effect()      {}
func (Announce) effect()       {}
func (Relay) effect()          {}
func (Forward) effect()        {}

// Followers returns the names of the daemons that watch the store, taking the one with the most CPU from each zone in
// turn.
func Followers(daemons []Daemon) []string {
	return spreadOverZones(daemons, max(minFollowers, (len(daemons)+daemonsPerFollower-1)/daemonsPerFollower))
}

// spreadOverZones returns the names of some daemons, taking the one with the most CPU from each zone in turn.
func spreadOverZones(daemons []Daemon, want int) []string {
	var names []string
	for _, d := range spreader.OverZones(daemons, want, func(d Daemon) string { return d.Zone }, compareByCPU) {
		names = append(names, d.Name)
	}
	return names
}

// compareByCPU orders daemons by CPU, most first, and then by name.
func compareByCPU(a, b Daemon) int {
	return cmp.Or(cmp.Compare(b.CPUMillicores, a.CPUMillicores), cmp.Compare(a.Name, b.Name))
}

// upstreams returns the daemons that may relay updates to this one, in order of preference: those of its own zone
// first, and within a zone in a pseudorandom order that differs between daemons.
func (m *Machine) upstreams() []subscriber.Candidate {
	if m.candidates != nil {
		return m.candidates
	}
	self := m.settings.Self
	var list []Daemon
	for _, name := range m.followerNames() {
		if name != self.Name {
			list = append(list, m.daemons[name])
		}
	}
	slices.SortFunc(list, func(a, b Daemon) int {
		return cmp.Or(
			cmp.Compare(boolToInt(a.Zone != self.Zone), boolToInt(b.Zone != self.Zone)),
			cmp.Compare(xxhash.Sum64String(self.Name+a.Name), xxhash.Sum64String(self.Name+b.Name)),
		)
	})
	for _, d := range list {
		m.candidates = append(m.candidates, subscriber.Candidate{Name: d.Name, Address: d.PeerAddress})
	}
	return m.candidates
}

// followerNames returns the names of the daemons that watch the store.
func (m *Machine) followerNames() []string {
	if m.followers == nil {
		m.followers = Followers(m.registeredDaemons())
	}
	return m.followers
}

// daemonSetChanged invalidates what depends on the set of daemons.
func (m *Machine) daemonSetChanged() {
	m.followers, m.keepers = nil, nil
	m.registrarsKnown = false
	m.candidates = nil
	m.daemonsChanged = true
	m.rateSharesAt = m.now
}

// registeredDaemons returns the registered daemons, sorted by name.
func (m *Machine) registeredDaemons() []Daemon {
	list := make([]Daemon, 0, len(m.daemons))
	for _, name := range m.daemonNames() {
		list = append(list, m.daemons[name])
	}
	return list
}

// tickRelay chooses the source of updates of the store.
func (m *Machine) tickRelay() {
	followed := m.followSent && m.subscriber.Following()
	d := m.subscriber.Decide(subscriber.Situation{
		Now: m.now, Follower: !m.lease.wasRegistered || slices.Contains(m.followerNames(), m.settings.Self.Name),
		StoreLost: m.store.unavailable, StoreReachedAt: m.store.reachedAt, Candidates: m.upstreams(),
		Address: func(name string) string { return m.daemons[name].PeerAddress },
	})
	if d.Left != "" {
		m.emit(LogStateChange{Subject: "Upstream", Change: "Left", Reason: d.LeftReason, Detail: d.Left + " for " + m.subscriber.Upstream()})
	}
	if d.Subscribe != nil {
		m.emit(Subscribe{Name: d.Subscribe.Name, Address: d.Subscribe.Address})
	}
	if d.Outdated {
		m.setViewStale(true)
	}
	if d.Follow != followed || !m.followSent {
		m.followChanged(d.Follow, d.Reason)
	} else if d.Restart {
		m.emit(LogStateChange{Subject: "Store", Change: "Followed", Reason: "store reached again"})
		m.emit(Follow{On: true})
	}
	if len(d.Announce) > 0 {
		m.emit(Announce{Addresses: addressesOf(d.Announce)})
	}
	if d.Relay != m.relays {
		m.relays = d.Relay
		m.emit(LogStateChange{Subject: "Store", Change: map[bool]string{true: "Relayed", false: "NotRelayed"}[d.Relay], Reason: m.subscriber.Upstream()})
		m.emit(Relay{On: d.Relay, Followers: addressesOf(m.upstreams())})
	}
}

// viewSource describes where updates of the store come from, for logs.
func (m *Machine) viewSource() string {
	upstream := m.subscriber.Upstream()
	switch {
	case upstream == "":
		return "watched"
	case m.subscriber.Following():
		return "watched, or from " + upstream
	default:
		return "from " + upstream
	}
}

func addressesOf(list []subscriber.Candidate) []string {
	addresses := make([]string, 0, len(list))
	for _, c := range list {
		addresses = append(addresses, c.Address)
	}
	return addresses
}

// followChanged emits a change of whether the daemon watches the store.
func (m *Machine) followChanged(on bool, reason string) {
	m.followSent = true
	change := "Fed"
	if on {
		change = "Followed"
		m.setViewStale(m.store.unavailable)
	}
	m.emit(LogStateChange{Subject: "Store", Change: change, Reason: reason})
	m.emit(Follow{On: on})
}

func (m *Machine) updatesReceived(e UpdatesReceived) {
	if !m.subscriber.Received(m.now, e.From, e.Fresh) {
		return
	}
	if !m.subscriber.Following() || m.store.unavailable {
		// The upstream may be the only daemon that has lost the store. This daemon's own calls show whether the store is
		// down.
		m.setViewStale(!e.Fresh && m.store.unavailable)
	}
}

// setViewStale records whether the view of the store is out of date. Entries that were removed while it was get some
// time to be registered again.
func (m *Machine) setViewStale(stale bool) {
	view := &m.view
	if stale == view.stale {
		return
	}
	view.stale = stale
	if stale {
		return
	}
	view.refreshedAt = m.now
	for _, server := range m.servers {
		if server.keepUntil > 0 {
			server.keepUntil = m.now + entryRecoveryTimeout
		}
	}
}

// observeEpoch handles the revision of a list. A list of a later epoch shows that the store was restored from a copy that
// may lack the last entries, which get some time to be written again.
func (m *Machine) observeEpoch(revision int64) {
	m.election.Observe(m.now, revision)
	view := &m.view
	epoch := sequencer.Epoch(revision)
	if view.known && epoch <= view.epoch {
		return
	}
	restored := view.known
	view.epoch, view.known = epoch, true
	if restored {
		view.refreshedAt = m.now
		m.emit(LogStateChange{Subject: "Store", Change: "Restored", Version: epoch, Warning: true})
	}
}

// viewRecentlyStale reports whether the view is out of date or was so a short time ago.
func (m *Machine) viewRecentlyStale() bool {
	return m.view.stale || m.view.refreshedAt > 0 && m.now < m.view.refreshedAt+outageRemovalWindow
}

// A removal records the removal of an entry. Updates come from more than one source, so that older ones may follow it.
type removal struct {
	revision  int64
	removedAt time.Duration
	// startedAt identifies the incarnation of a removed server.
	startedAt int64
}

// recordRemoval records the removal of an entry and drops expired records.
func (m *Machine) recordRemoval(key string, revision int64) {
	for k, r := range m.removals {
		if m.now > r.removedAt+removalTTL {
			delete(m.removals, k)
		}
	}
	if revision > 0 {
		m.removals[key] = removal{revision: revision, removedAt: m.now}
	}
}

// recordServerRemoval records the removal of a server's entry.
func (m *Machine) recordServerRemoval(s *server, revision int64) {
	key := serverKey(s.entry.ID)
	m.recordRemoval(key, revision)
	if r, ok := m.removals[key]; ok && r.revision == revision {
		r.startedAt = s.entry.StartedAt
		m.removals[key] = r
	}
}

// doubtRestored holds back a server that was removed before the store was restored, and whose entry a restoration may have
// brought back. The entry of a server that is gone expires again.
func (m *Machine) doubtRestored(s *server) {
	r, ok := m.removals[serverKey(s.entry.ID)]
	if !ok || r.startedAt != s.entry.StartedAt || sequencer.Epoch(r.revision) >= sequencer.Epoch(s.entry.Revision) {
		return
	}
	s.unconfirmedUntil = m.now + m.settings.EntryTTL + entryExpiryMargin
	m.emit(LogStateChange{Subject: "Server " + s.entry.ID, Change: "Unconfirmed", Reason: "entry was removed before the restoration", Version: s.entry.Revision})
}

// predatesRemoval reports whether an update of an entry is older than the entry's removal.
func (m *Machine) predatesRemoval(key string, revision int64) bool {
	r, ok := m.removals[key]
	return ok && revision > 0 && revision <= r.revision
}

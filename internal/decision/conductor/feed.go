package conductor

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

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
	// subscribeInterval is how often a subscription is renewed.
	subscribeInterval = time.Second
	// upstreamTimeout is how long an upstream may be silent before the daemon subscribes to another one and meanwhile
	// watches the store itself.
	upstreamTimeout = 1200 * time.Millisecond
	// upstreamReturnTime is how long after an outage of the store a daemon waits for its upstream to be up to date again before it
	// watches the store itself. Entries that expired in the outage are written again for some two seconds.
	upstreamReturnTime = time.Second
	// removalTTL is how long removals of entries are remembered, to reject older updates of these entries.
	removalTTL = 2 * time.Minute
)

// A relayState describes where this daemon gets updates of the store from.
type relayState struct {
	// following reports whether the daemon watches the store itself, followSent whether a Follow effect was emitted.
	following  bool
	followSent bool
	// upstream is the daemon that relays updates to this one, empty if there is none. failedUpstreams counts the
	// previous ones that failed.
	upstream        string
	failedUpstreams int
	// candidates are the possible upstreams; nil after the set of daemons has changed.
	candidates []Daemon
	// subscribedAt is when the daemon first subscribed to the upstream, receivedAt when the upstream last sent updates
	// that were up to date.
	subscribedAt time.Duration
	receivedAt   time.Duration
	received     bool
	// heardAt is when the upstream last sent anything.
	heardAt time.Duration
	// upstreamStale reports whether the upstream has said that it is out of date itself.
	upstreamStale bool
	subscribeAt   time.Duration
}

// A viewState describes whether this daemon's view of the store is up to date, from whichever source.
type viewState struct {
	stale bool
	// refreshedAt is when the view was last up to date again.
	refreshedAt time.Duration
	// epoch is the latest epoch of the store that was seen, valid if known.
	epoch int64
	known bool
}

// An UpdatesReceived event reports that the upstream has sent updates.
type UpdatesReceived struct {
	From string
	// Fresh reports whether the store answers the upstream.
	Fresh bool
}

// A Follow effect starts or stops watching the store.
type Follow struct{ On bool }

// A Subscribe effect subscribes to the updates that a daemon relays.
type Subscribe struct{ Address string }

// A Forward effect relays a message of the leader, or evidence of crashes, to the daemons that subscribe to this one.
type Forward struct {
	Fleet    *messenger.Fleet
	Evidence *messenger.Evidence
}

func (UpdatesReceived) event() {}
func (Follow) effect()         {}
func (Subscribe) effect()      {}
func (Forward) effect()        {}

func (r *relayState) nextAt() time.Duration {
	if r.upstream == "" {
		return never
	}
	return r.subscribeAt
}

// upToDate reports whether the upstream keeps this daemon up to date.
func (r *relayState) upToDate(now time.Duration) bool {
	return r.received && now <= r.receivedAt+upstreamTimeout
}

// Followers returns the names of the daemons that watch the store, taking the one with the most CPU from each zone in
// turn.
func Followers(daemons []Daemon) []string {
	return spreadOverZones(daemons, max(minFollowers, (len(daemons)+daemonsPerFollower-1)/daemonsPerFollower))
}

// spreadOverZones returns the names of some daemons, taking the one with the most CPU from each zone in turn.
func spreadOverZones(daemons []Daemon, want int) []string {
	byZone := make(map[string][]Daemon)
	var zones []string
	for _, d := range daemons {
		if _, ok := byZone[d.Zone]; !ok {
			zones = append(zones, d.Zone)
		}
		byZone[d.Zone] = append(byZone[d.Zone], d)
	}
	slices.Sort(zones)
	for _, list := range byZone {
		slices.SortFunc(list, compareByCPU)
	}
	want = min(len(daemons), want)
	var names []string
	for position := 0; len(names) < want; position++ {
		for _, zone := range zones {
			if position < len(byZone[zone]) && len(names) < want {
				names = append(names, byZone[zone][position].Name)
			}
		}
	}
	return names
}

// compareByCPU orders daemons by CPU, most first, and then by name.
func compareByCPU(a, b Daemon) int {
	return cmp.Or(cmp.Compare(b.CPUMillicores, a.CPUMillicores), cmp.Compare(a.Name, b.Name))
}

// upstreams returns the daemons that may relay updates to this one, in order of preference: those of its own zone
// first, and within a zone in a pseudorandom order that differs between daemons.
func (m *Machine) upstreams() []Daemon {
	if m.relay.candidates != nil {
		return m.relay.candidates
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
	m.relay.candidates = list
	return list
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
	m.relay.candidates = nil
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
	r := &m.relay
	planned := !m.lease.wasRegistered || slices.Contains(m.followerNames(), m.settings.Self.Name)
	if planned && !m.store.unavailable {
		r.upstream, r.received = "", false
		m.setFollowing(true, "planned")
		return
	}
	m.subscribeUpstream()
	switch {
	case planned:
		m.setFollowing(true, "planned")
	case r.upToDate(m.now):
		m.setFollowing(false, "fed by "+r.upstream)
	case r.upstream != "" && m.store.unavailable:
		// Calls to the store would fail like those of the upstream. The renewals of the lease show when it is back.
		m.setFollowing(false, "store unavailable")
		m.setViewStale(true)
	case r.upstream != "" && !r.following && m.awaitsUpstream():
		// The upstream lists the store now as well.
	default:
		m.setFollowing(true, "not fed")
	}
}

// subscribeUpstream subscribes to the preferred upstream, and to the next one if the current one times out or is
// stale.
func (m *Machine) subscribeUpstream() {
	r := &m.relay
	list := m.upstreams()
	if len(list) == 0 {
		r.upstream = ""
		return
	}
	known := slices.ContainsFunc(list, func(d Daemon) bool { return d.Name == r.upstream })
	// While the store is unavailable, other upstreams are out of date as well.
	failed := r.upstream != "" && (r.upstreamStale && !m.store.unavailable && !m.awaitsUpstream() || m.now > max(r.subscribedAt, r.receivedAt, r.heardAt)+upstreamTimeout)
	if !known || failed {
		if failed {
			r.failedUpstreams++
		}
		r.upstream = list[r.failedUpstreams%len(list)].Name
		r.subscribedAt, r.subscribeAt, r.received, r.upstreamStale = m.now, m.now, false, false
	}
	if m.now >= r.subscribeAt {
		r.subscribeAt = m.now + subscribeInterval
		m.emit(Subscribe{Address: m.daemons[r.upstream].PeerAddress})
	}
}

// awaitsUpstream reports whether the store has returned only a moment ago, so that upstreams may not be up to date yet.
func (m *Machine) awaitsUpstream() bool {
	return m.store.reachedAt > 0 && m.now < m.store.reachedAt+upstreamReturnTime
}

// setFollowing emits a change of whether the daemon watches the store.
func (m *Machine) setFollowing(on bool, reason string) {
	r := &m.relay
	if r.followSent && r.following == on {
		return
	}
	r.followSent, r.following = true, on
	change := "Fed"
	if on {
		change = "Followed"
		m.setViewStale(m.store.unavailable)
	}
	m.emit(LogStateChange{Subject: "Store", Change: change, Reason: reason})
	m.emit(Follow{On: on})
}

func (m *Machine) updatesReceived(e UpdatesReceived) {
	r := &m.relay
	if e.From != r.upstream {
		return
	}
	r.heardAt = m.now
	if e.Fresh {
		r.received, r.receivedAt, r.upstreamStale = true, m.now, false
		r.failedUpstreams = 0
	} else {
		r.received, r.upstreamStale = false, true
	}
	if !r.following || m.store.unavailable {
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

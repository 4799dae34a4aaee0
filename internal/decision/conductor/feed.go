package conductor

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"samphirewharf/internal/peer/messenger"
)

// A few daemons, the followers, watch the key-value service, and feed the others with what they see. So the watches, and
// the answers that each change brings to each watch, grow with a fraction of the daemons; a daemon that the service
// turns away goes on with what another sees.
const (
	// daemonsPerFollower is how many daemons there are for each follower.
	daemonsPerFollower = 8
	// minFollowers is how many followers there are at least.
	minFollowers = 2
	// subscribeInterval is how often a subscription is renewed.
	subscribeInterval = time.Second
	// feedSilence is how long a feeder may say nothing before another is asked and the service is followed meanwhile.
	upstreamTimeout = 1200 * time.Millisecond
	// goneLife is how long ends of entries are remembered against older news of them.
	removalTTL = 2 * time.Minute
)

// A relayState is where the daemon's view of the key-value service comes from.
type relayState struct {
	// following tells that the daemon watches the service itself.
	following  bool
	followSent bool
	// feeder is the daemon that feeds this one, empty if none is asked; next is how many were asked before it in vain.
	upstream        string
	failedUpstreams int
	// candidates are the daemons that may feed this one, nil after a change of the daemons.
	candidates []Daemon
	// askedAt is when the feeder was asked first, heardAt when its last feed came that was not out of date.
	subscribedAt time.Duration
	receivedAt   time.Duration
	received     bool
	// stale tells that the feeder says that it is out of date itself.
	upstreamStale bool
	subscribeAt   time.Duration
}

// A viewState tells whether what the daemon sees of the key-value service is up to date, by whichever way.
type viewState struct {
	stale       bool
	refreshedAt time.Duration
}

// A UpdatesReceived event tells that the feeder has sent a feed.
type UpdatesReceived struct {
	From string
	// Fresh tells that the service answers the feeder.
	Fresh bool
}

// A Follow effect tells the shell whether to watch the key-value service.
type Follow struct{ On bool }

// An Subscribe effect subscribes to the feed of a daemon.
type Subscribe struct{ Address string }

// A Forward effect relays a message of the holder to those that this daemon feeds.
type Forward struct{ Fleet *messenger.Fleet }

func (UpdatesReceived) event() {}
func (Follow) effect()         {}
func (Subscribe) effect()      {}
func (Forward) effect()        {}

func (f *relayState) nextAt() time.Duration {
	if f.upstream == "" {
		return never
	}
	return f.subscribeAt
}

// upToDate tells that the feeder keeps this daemon up to date.
func (f *relayState) upToDate(now time.Duration) bool {
	return f.received && now <= f.receivedAt+upstreamTimeout
}

// Followers returns the names of the daemons that watch the key-value service: the strongest of each zone in turn.
func Followers(daemons []Daemon) []string {
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
		slices.SortFunc(list, compareStrength)
	}
	want := min(len(daemons), max(minFollowers, (len(daemons)+daemonsPerFollower-1)/daemonsPerFollower))
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

// compareStrength orders daemons by their share of a processor, most first.
func compareStrength(a, b Daemon) int {
	return cmp.Or(cmp.Compare(b.CPUMillicores, a.CPUMillicores), cmp.Compare(a.Name, b.Name))
}

// upstreams returns the daemons that may feed this one, the preferred first: those of its zone, in an order that differs
// between the daemons.
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

// followerNames returns the daemons that watch the key-value service.
func (m *Machine) followerNames() []string {
	if m.followers == nil {
		m.followers = Followers(m.registeredDaemons())
	}
	return m.followers
}

// daemonSetChanged notes that a daemon came, went or changed.
func (m *Machine) daemonSetChanged() {
	m.followers = nil
	m.relay.candidates = nil
	m.daemonsChanged = true
}

// registeredDaemons returns the registered daemons in order of their names.
func (m *Machine) registeredDaemons() []Daemon {
	list := make([]Daemon, 0, len(m.daemons))
	for _, name := range m.daemonNames() {
		list = append(list, m.daemons[name])
	}
	return list
}

// tickRelay decides where the view of the key-value service comes from.
func (m *Machine) tickRelay() {
	f := &m.relay
	planned := !m.lease.registered || slices.Contains(m.followerNames(), m.settings.Self.Name)
	if planned && !m.store.unavailable {
		f.upstream, f.received = "", false
		m.setFollowing(true, "planned")
		return
	}
	m.subscribeUpstream()
	switch {
	case planned:
		m.setFollowing(true, "planned")
	case f.upToDate(m.now):
		m.setFollowing(false, "fed by "+f.upstream)
	default:
		m.setFollowing(true, "not fed")
	}
}

// subscribeUpstream subscribes to the preferred feeder, and to the next one while the one before says nothing of use.
func (m *Machine) subscribeUpstream() {
	f := &m.relay
	list := m.upstreams()
	if len(list) == 0 {
		f.upstream = ""
		return
	}
	known := slices.ContainsFunc(list, func(d Daemon) bool { return d.Name == f.upstream })
	timedOut := f.upstream != "" && (f.upstreamStale || m.now > max(f.subscribedAt, f.receivedAt)+upstreamTimeout)
	if !known || timedOut {
		if timedOut {
			f.failedUpstreams++
		}
		f.upstream = list[f.failedUpstreams%len(list)].Name
		f.subscribedAt, f.subscribeAt, f.received, f.upstreamStale = m.now, m.now, false, false
	}
	if m.now >= f.subscribeAt {
		f.subscribeAt = m.now + subscribeInterval
		m.emit(Subscribe{Address: m.daemons[f.upstream].PeerAddress})
	}
}

// setFollowing tells the shell of a change.
func (m *Machine) setFollowing(on bool, reason string) {
	f := &m.relay
	if f.followSent && f.following == on {
		return
	}
	f.followSent, f.following = true, on
	change := "Fed"
	if on {
		change = "Followed"
		m.setViewStale(m.store.unavailable)
	}
	m.emit(LogStateChange{Subject: "Store", Change: change, Reason: reason})
	m.emit(Follow{On: on})
}

func (m *Machine) updatesReceived(e UpdatesReceived) {
	f := &m.relay
	if e.From != f.upstream {
		return
	}
	if e.Fresh {
		f.received, f.receivedAt = true, m.now
		f.failedUpstreams = 0
	} else {
		f.received, f.upstreamStale = false, true
	}
	if !f.following || m.store.unavailable {
		// A feeder may be the only one that is cut off. The daemon's own calls tell whether the service is.
		m.setViewStale(!e.Fresh && m.store.unavailable)
	}
}

// setViewStale notes whether the view of the key-value service is up to date. Entries that were removed while it wasn't
// get a little time to come back.
func (m *Machine) setViewStale(stale bool) {
	s := &m.view
	if stale == s.stale {
		return
	}
	s.stale = stale
	if stale {
		return
	}
	s.refreshedAt = m.now
	for _, server := range m.servers {
		if server.keepUntil > 0 {
			server.keepUntil = m.now + entryRecoveryTimeout
		}
	}
}

// viewDoubtful tells that the view is out of date, or was a short time ago.
func (m *Machine) viewDoubtful() bool {
	return m.view.stale || m.view.refreshedAt > 0 && m.now < m.view.refreshedAt+outageRemovalWindow
}

// A removal is the end of an entry. Views come by more than one way, so that older news of it may follow.
type removal struct {
	revision int64
	at       time.Duration
}

// recordRemoval remembers the end of an entry.
func (m *Machine) recordRemoval(key string, revision int64) {
	for k, g := range m.removals {
		if m.now > g.at+removalTTL {
			delete(m.removals, k)
		}
	}
	if revision > 0 {
		m.removals[key] = removal{revision: revision, at: m.now}
	}
}

// predatesRemoval tells that news of an entry is older than its end.
func (m *Machine) predatesRemoval(key string, revision int64) bool {
	g, ok := m.removals[key]
	return ok && revision > 0 && revision <= g.revision
}

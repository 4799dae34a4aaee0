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
	feedSilence = 1200 * time.Millisecond
	// goneLife is how long ends of entries are remembered against older news of them.
	goneLife = 2 * time.Minute
)

// A feedState is where the daemon's view of the key-value service comes from.
type feedState struct {
	// following tells that the daemon watches the service itself.
	following bool
	told      bool
	// feeder is the daemon that feeds this one, empty if none is asked; next is how many were asked before it in vain.
	feeder string
	next   int
	// candidates are the daemons that may feed this one, nil after a change of the daemons.
	candidates []Daemon
	// askedAt is when the feeder was asked first, heardAt when its last feed came that was not out of date.
	askedAt time.Duration
	heardAt time.Duration
	heard   bool
	// stale tells that the feeder says that it is out of date itself.
	stale       bool
	subscribeAt time.Duration
}

// A sourceState tells whether what the daemon sees of the key-value service is up to date, by whichever way.
type sourceState struct {
	lost   bool
	backAt time.Duration
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

func (f *feedState) nextAt() time.Duration {
	if f.feeder == "" {
		return never
	}
	return f.subscribeAt
}

// fresh tells that the feeder keeps this daemon up to date.
func (f *feedState) fresh(now time.Duration) bool { return f.heard && now <= f.heardAt+feedSilence }

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
		slices.SortFunc(list, stronger)
	}
	want := min(len(daemons), max(minFollowers, (len(daemons)+daemonsPerFollower-1)/daemonsPerFollower))
	var names []string
	for place := 0; len(names) < want; place++ {
		for _, zone := range zones {
			if place < len(byZone[zone]) && len(names) < want {
				names = append(names, byZone[zone][place].Name)
			}
		}
	}
	return names
}

// stronger orders daemons by their share of a processor, most first.
func stronger(a, b Daemon) int {
	return cmp.Or(cmp.Compare(b.CPUMillicores, a.CPUMillicores), cmp.Compare(a.Name, b.Name))
}

// feeders returns the daemons that may feed this one, the preferred first: those of its zone, in an order that differs
// between the daemons.
func (m *Machine) feeders() []Daemon {
	if m.feed.candidates != nil {
		return m.feed.candidates
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
	m.feed.candidates = list
	return list
}

// followerNames returns the daemons that watch the key-value service.
func (m *Machine) followerNames() []string {
	if m.followers == nil {
		m.followers = Followers(m.liveDaemons())
	}
	return m.followers
}

// daemonSetChanged notes that a daemon came, went or changed.
func (m *Machine) daemonSetChanged() {
	m.followers = nil
	m.feed.candidates = nil
	m.daemonsChanged = true
}

// liveDaemons returns the registered daemons in order of their names.
func (m *Machine) liveDaemons() []Daemon {
	list := make([]Daemon, 0, len(m.daemons))
	for _, name := range m.daemonNames() {
		list = append(list, m.daemons[name])
	}
	return list
}

// passFeed decides where the view of the key-value service comes from.
func (m *Machine) passFeed() {
	f := &m.feed
	planned := !m.lease.registered || slices.Contains(m.followerNames(), m.settings.Self.Name)
	if planned && !m.store.lost {
		f.feeder, f.heard = "", false
		m.follow(true, "planned")
		return
	}
	m.askFeeder()
	switch {
	case planned:
		m.follow(true, "planned")
	case f.fresh(m.now):
		m.follow(false, "fed by "+f.feeder)
	default:
		m.follow(true, "not fed")
	}
}

// askFeeder subscribes to the preferred feeder, and to the next one while the one before says nothing of use.
func (m *Machine) askFeeder() {
	f := &m.feed
	list := m.feeders()
	if len(list) == 0 {
		f.feeder = ""
		return
	}
	known := slices.ContainsFunc(list, func(d Daemon) bool { return d.Name == f.feeder })
	silent := f.feeder != "" && (f.stale || m.now > max(f.askedAt, f.heardAt)+feedSilence)
	if !known || silent {
		if silent {
			f.next++
		}
		f.feeder = list[f.next%len(list)].Name
		f.askedAt, f.subscribeAt, f.heard, f.stale = m.now, m.now, false, false
	}
	if m.now >= f.subscribeAt {
		f.subscribeAt = m.now + subscribeInterval
		m.emit(Subscribe{Address: m.daemons[f.feeder].PeerAddress})
	}
}

// follow tells the shell of a change.
func (m *Machine) follow(on bool, reason string) {
	f := &m.feed
	if f.told && f.following == on {
		return
	}
	f.told, f.following = true, on
	change := "Fed"
	if on {
		change = "Followed"
		m.takeSource(m.store.lost)
	}
	m.emit(LogStateChange{Subject: "Store", Change: change, Reason: reason})
	m.emit(Follow{On: on})
}

func (m *Machine) feedHeard(e UpdatesReceived) {
	f := &m.feed
	if e.From != f.feeder {
		return
	}
	if e.Fresh {
		f.heard, f.heardAt = true, m.now
		f.next = 0
	} else {
		f.heard, f.stale = false, true
	}
	if !f.following || m.store.lost {
		// A feeder may be the only one that is cut off. The daemon's own calls tell whether the service is.
		m.takeSource(!e.Fresh && m.store.lost)
	}
}

// takeSource notes whether the view of the key-value service is up to date. Entries that were removed while it wasn't
// get a little time to come back.
func (m *Machine) takeSource(lost bool) {
	s := &m.source
	if lost == s.lost {
		return
	}
	s.lost = lost
	if lost {
		return
	}
	s.backAt = m.now
	for _, server := range m.servers {
		if server.doubtUntil > 0 {
			server.doubtUntil = m.now + storeRecovery
		}
	}
}

// sourceDoubtful tells that the view is out of date, or was a short time ago.
func (m *Machine) sourceDoubtful() bool {
	return m.source.lost || m.source.backAt > 0 && m.now < m.source.backAt+storeShadow
}

// A goneRecord is the end of an entry. Views come by more than one way, so that older news of it may follow.
type goneRecord struct {
	revision int64
	at       time.Duration
}

// noteGone remembers the end of an entry.
func (m *Machine) noteGone(key string, revision int64) {
	for k, g := range m.gone {
		if m.now > g.at+goneLife {
			delete(m.gone, k)
		}
	}
	if revision > 0 {
		m.gone[key] = goneRecord{revision: revision, at: m.now}
	}
}

// isOld tells that news of an entry is older than its end.
func (m *Machine) isOld(key string, revision int64) bool {
	g, ok := m.gone[key]
	return ok && revision > 0 && revision <= g.revision
}

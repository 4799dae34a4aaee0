// Package subscriber decides where a daemon gets updates of the store from: from its own watches, or from an upstream, which is
// another daemon that relays them.
package subscriber

import (
	"slices"
	"time"
)

const (
	// subscribeInterval is how often a subscription is renewed.
	subscribeInterval = time.Second
	// upstreamTimeout is how long an upstream may be silent before the daemon subscribes to another one and meanwhile
	// watches the store itself.
	upstreamTimeout = 1200 * time.Millisecond
	// upstreamReturnTime is how long after an outage of the store a daemon waits for its upstream to be up to date again before it
	// watches the store itself. Entries that expired in the outage are written again for some two seconds.
	upstreamReturnTime = time.Second
	// immediateMoves is how many upstreams in a row that are out of date a daemon leaves at once, outageMoves how many if it relies on
	// its upstream because the store doesn't answer it and it is no follower. It leaves further ones only when the subscription would
	// be renewed, so that an outage for all daemons causes no more than one subscription a second.
	immediateMoves = 3
	outageMoves    = 1
	// moveInterval is how long a daemon keeps each further upstream that is out of date if it is not a follower. A subscription
	// outlives its last renewal by 3 s, so more frequent moves would multiply what the leader's messages cost.
	moveInterval = 3 * time.Second
	// offerTTL is how long a daemon counts as up to date after it has said so.
	offerTTL = 1500 * time.Millisecond
	// announceInterval is how often a daemon says that its own watches keep it up to date: to maxAnnouncements followers if it
	// watches the store in place of its upstream, and to followerAnnouncements of them if it is a follower to which another one has
	// subscribed. With 8, 7 daemons reach nearly all of 10 followers at once; with 32, 3 of 53 followers reach most others at once.
	announceInterval      = time.Second
	maxAnnouncements      = 8
	followerAnnouncements = 32
	// peerOutageTime is how long after the subscription of a follower the store counts as lost for some followers.
	peerOutageTime = 2500 * time.Millisecond
	// subscriptionTime is how long after a subscription the daemon counts on its subscriber.
	subscriptionTime = 1500 * time.Millisecond
	// restartInterval is the least time between two restarts of the watches, so that a store that answers only some calls isn't
	// listed all the time.
	restartInterval = time.Second
)

// Never is later than any time.
const Never = time.Duration(1<<63 - 1)

// A Candidate is a daemon that may be the upstream.
type Candidate struct{ Name, Address string }

// A Situation is what a decision depends on.
type Situation struct {
	Now time.Duration
	// Follower reports whether the daemon is one of those that watch the store for the others.
	Follower bool
	// StoreLost reports whether the store doesn't answer this daemon, StoreReachedAt is when it last answered again.
	StoreLost      bool
	StoreReachedAt time.Duration
	// Candidates are the other followers, in order of preference.
	Candidates []Candidate
	// Address returns the address of a daemon, empty if it is unknown.
	Address func(name string) string
}

// awaitsUpstream reports whether the store has returned only a moment ago, so that upstreams may not be up to date yet.
func (s Situation) awaitsUpstream() bool {
	return s.StoreReachedAt > 0 && s.Now < s.StoreReachedAt+upstreamReturnTime
}

// A Decision says what to do now.
type Decision struct {
	// Follow reports whether to watch the store, for Reason. Restart reports whether watches that may hang are to be started anew.
	Follow  bool
	Restart bool
	Reason  string
	// Outdated reports whether the view of the store is out of date, as there is no source of updates.
	Outdated bool
	// Subscribe is the daemon to subscribe to, nil for none. Left is the upstream that was left for LeftReason, empty for none.
	Subscribe  *Candidate
	Left       string
	LeftReason string
	// Announce are the followers to tell that this daemon is up to date by its own watches.
	Announce []Candidate
	// Relay reports whether the daemon relays what its upstream sends and is up to date by it.
	Relay bool
}

// A Subscriber chooses the source of updates. The zero value is ready to use.
type Subscriber struct {
	// following reports whether the daemon watches the store itself, decided whether that was decided once.
	following bool
	decided   bool
	// listed reports whether the watches are up to date. relisting reports whether they were restarted after an outage and aren't yet.
	listed    bool
	relisting bool
	// restartAt is when the watches are to be restarted, 0 if they aren't. restartedAt is when that was done last.
	restartAt   time.Duration
	restartedAt time.Duration
	// upstream is the daemon that relays updates to this one, empty if there is none. offered reports whether it was chosen because
	// it had said that it is up to date.
	upstream Candidate
	offered  bool
	// position is that of the last candidate that was chosen, moves counts the upstreams that were left since one was up to date.
	position int
	moves    int
	// subscribedAt is when the daemon first subscribed to the upstream, receivedAt when the upstream last sent updates
	// that were up to date.
	subscribedAt time.Duration
	receivedAt   time.Duration
	received     bool
	// heardAt is when the upstream last sent anything.
	heardAt time.Duration
	// stale reports whether the upstream has said that it is out of date itself.
	stale       bool
	subscribeAt time.Duration
	// offers holds when other daemons last said that they are up to date, by name.
	offers map[string]time.Duration
	// neededUntil is until when another daemon counts on this one's updates.
	neededUntil time.Duration
	// peersLostUntil is until when the store counts as lost for other followers.
	peersLostUntil time.Duration
	// announceAt is when the next announcement is due, announced how many followers were told so far.
	announceAt time.Duration
	announced  int
}

// Upstream returns the name of the upstream, empty if there is none.
func (s *Subscriber) Upstream() string { return s.upstream.Name }

// Following reports whether the daemon watches the store itself.
func (s *Subscriber) Following() bool { return s.following }

// UpToDate reports whether the upstream keeps the daemon up to date.
func (s *Subscriber) UpToDate(now time.Duration) bool {
	return s.received && now <= s.receivedAt+upstreamTimeout
}

// ReceivedAt returns when an upstream last sent updates that were up to date.
func (s *Subscriber) ReceivedAt() time.Duration { return s.receivedAt }

// NextAt returns when the next decision is due without an event.
func (s *Subscriber) NextAt() time.Duration {
	next := Never
	if s.upstream.Name != "" {
		next = s.subscribeAt
	}
	if s.restartAt > 0 {
		next = min(next, s.restartAt)
	}
	return next
}

// Received handles an update of another daemon and reports whether that is the upstream. Fresh reports whether the sender is up to date.
func (s *Subscriber) Received(now time.Duration, from string, fresh bool) bool {
	if from != s.upstream.Name {
		delete(s.offers, from)
		if fresh {
			if s.offers == nil {
				s.offers = make(map[string]time.Duration)
			}
			s.offers[from] = now
		}
		return false
	}
	s.heardAt = now
	s.received, s.stale = fresh, !fresh
	if fresh {
		s.receivedAt, s.moves = now, 0
	}
	return true
}

// Subscribed handles the subscription of another daemon to this one. A follower subscribes only if the store doesn't answer it.
func (s *Subscriber) Subscribed(now time.Duration, follower bool) {
	s.neededUntil = now + subscriptionTime
	if follower {
		s.peersLostUntil = now + peerOutageTime
	}
}

// StoreListed handles that the watches are up to date.
func (s *Subscriber) StoreListed() { s.listed, s.relisting = true, false }

// StoreLost handles that the store doesn't answer the daemon any more.
func (s *Subscriber) StoreLost() { s.listed = false }

// StoreReached handles that the store answers again. Calls from before may hang for seconds, so watches are restarted.
func (s *Subscriber) StoreReached(now time.Duration) {
	if s.following {
		s.relisting = true
		s.restartAt = max(now, s.restartedAt+restartInterval)
	}
}

// Decide returns what to do now.
func (s *Subscriber) Decide(x Situation) Decision {
	var d Decision
	if x.Follower && !x.StoreLost && !s.relisting {
		s.upstream, s.received = Candidate{}, false
	} else {
		s.subscribe(x, &d)
	}
	d.Follow, d.Reason = s.source(x)
	d.Outdated = !d.Follow && d.Reason == reasonStoreLost
	s.setFollowing(d.Follow)
	if s.following && s.restartAt > 0 && x.Now >= s.restartAt {
		s.restartAt, s.restartedAt, s.listed, d.Restart = 0, x.Now, false, true
	}
	d.Relay = s.relays(x)
	s.announce(x, &d)
	return d
}

const (
	reasonStoreLost   = "store unavailable"
	reasonNotFollower = "no longer a follower"
)

// source returns whether to watch the store, and why.
func (s *Subscriber) source(x Situation) (follow bool, reason string) {
	switch {
	case x.Follower:
		return true, "planned"
	case s.following && x.Now < s.neededUntil && (!x.StoreLost || s.relays(x)):
		// Another daemon has no other source, or doesn't know one yet. The records of all daemons that the store doesn't answer expire
		// in an outage, so that their followers are no longer planned.
		return true, "has subscribers"
	case s.UpToDate(x.Now):
		return false, "fed by " + s.upstream.Name
	case s.upstream.Name != "" && x.StoreLost:
		// Calls to the store would fail like those of the upstream. The renewals of the lease show when it is back.
		return false, reasonStoreLost
	case s.upstream.Name != "" && !s.following && s.decided && x.awaitsUpstream():
		// The upstream lists the store now as well.
		return false, "awaits " + s.upstream.Name
	default:
		return true, "not fed"
	}
}

// relays reports whether the daemon is up to date for its subscribers by what its upstream sends.
func (s *Subscriber) relays(x Situation) bool {
	return s.following && (x.Follower || x.Now < s.neededUntil) && (x.StoreLost || s.relisting) && s.UpToDate(x.Now)
}

func (s *Subscriber) setFollowing(on bool) {
	if on != s.following {
		s.listed, s.relisting, s.restartAt, s.announceAt = false, false, 0, 0
	}
	s.following, s.decided = on, true
}

// subscribe renews the subscription to the upstream, or changes the upstream if it is silent, out of date or no longer a follower.
func (s *Subscriber) subscribe(x Situation, d *Decision) {
	reason := s.fault(x)
	if reason != "" {
		s.move(x, d, reason)
	}
	if s.upstream.Name != "" && x.Now >= s.subscribeAt {
		s.subscribeAt = x.Now + subscribeInterval
		upstream := s.upstream
		d.Subscribe = &upstream
	}
}

// fault returns why the upstream is to be left, empty if it is kept.
func (s *Subscriber) fault(x Situation) string {
	switch {
	case s.upstream.Name == "":
		return "none yet"
	case !s.known(x):
		return reasonNotFollower
	case x.Now > max(s.subscribedAt, s.receivedAt, s.heardAt)+upstreamTimeout:
		return "silent"
	case s.stale && s.mayMove(x):
		return "out of date"
	default:
		return ""
	}
}

// known reports whether the upstream may still be one. One that has offered its updates may as long as they are needed.
func (s *Subscriber) known(x Situation) bool {
	if s.offered && (x.StoreLost || s.relisting) {
		return true
	}
	return slices.ContainsFunc(x.Candidates, func(c Candidate) bool { return c.Name == s.upstream.Name })
}

// mayMove reports whether an upstream that is out of date may be left now.
func (s *Subscriber) mayMove(x Situation) bool {
	if _, ok := s.offer(x); ok {
		return true
	}
	switch {
	case len(x.Candidates) < 2 && !s.offered || !x.StoreLost && x.awaitsUpstream() && !x.Follower:
		return false
	case x.Follower || !x.StoreLost:
		return s.moves < immediateMoves || x.Now >= s.subscribeAt
	default:
		return s.moves < outageMoves || x.Now >= s.subscribeAt && x.Now >= s.subscribedAt+moveInterval
	}
}

// offer returns the daemon that has most lately said that it is up to date.
func (s *Subscriber) offer(x Situation) (Candidate, bool) {
	var best Candidate
	var bestAt time.Duration
	for name, at := range s.offers {
		if x.Now > at+offerTTL {
			delete(s.offers, name)
			continue
		}
		if best.Name == "" || at > bestAt || at == bestAt && name < best.Name {
			if address := x.Address(name); address != "" {
				best, bestAt = Candidate{Name: name, Address: address}, at
			}
		}
	}
	return best, best.Name != ""
}

// move chooses another upstream: one that has said that it is up to date, or the next candidate.
func (s *Subscriber) move(x Situation, d *Decision, reason string) {
	left := s.upstream
	offer, ok := s.offer(x)
	ok = ok && (x.StoreLost || s.relisting || slices.Contains(x.Candidates, offer))
	switch {
	case ok:
		// Each offer is used once, so it doesn't count as a move. It may have become out of date.
		delete(s.offers, offer.Name)
		s.upstream, s.offered = offer, true
	case len(x.Candidates) == 0:
		s.upstream, s.offered = Candidate{}, false
	default:
		s.position++
		if left.Name == "" || reason == reasonNotFollower {
			s.position = 0
		} else {
			s.moves++
		}
		s.upstream, s.offered = x.Candidates[s.position%len(x.Candidates)], false
	}
	s.subscribedAt, s.subscribeAt, s.received, s.stale = x.Now, x.Now, false, false
	d.Left, d.LeftReason = left.Name, reason
}

// announce tells some followers that this daemon is up to date by its own watches, while they may need to know.
func (s *Subscriber) announce(x Situation, d *Decision) {
	if x.StoreLost || !s.following || !s.listed || len(x.Candidates) == 0 || x.Now < s.announceAt {
		return
	}
	most := maxAnnouncements
	switch {
	case x.Follower && x.Now < s.peersLostUntil:
		most = followerAnnouncements
	case x.Follower || s.UpToDate(x.Now):
		return
	}
	s.announceAt = x.Now + announceInterval
	for range min(most, len(x.Candidates)) {
		d.Announce = append(d.Announce, x.Candidates[s.announced%len(x.Candidates)])
		s.announced++
	}
}

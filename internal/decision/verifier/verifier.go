// Package verifier decides how old a view of the store may be before a daemon no longer acts on it, whoever keeps it up to date, and when
// the daemon asks the store itself.
package verifier

import (
	"maps"
	"slices"
	"time"
)

const (
	// DefaultMaxAge is the bound where the platform sets none.
	DefaultMaxAge = 2 * time.Second
	// minPollAge bounds the rate of a watch's calls.
	minPollAge = 250 * time.Millisecond
	// minRetryDelay is the delay after a read that the store has refused. It doubles with each further one, up to maxRetryDelay.
	minRetryDelay = 250 * time.Millisecond
	maxRetryDelay = time.Second
)

// These are ages of a view in sixteenths of its bound. At pollShare a daemon that watches the store expects the next answer; at
// watcherReadShare it asks the store for what has changed, as others do at readShare. At listShare they ask for all entries. From trustShare
// on the view isn't trusted. What is left of the bound is for a request's way to its server.
const (
	pollShare        = 6
	watcherReadShare = 8
	readShare        = 12
	listShare        = 13
	trustShare       = 14
)

// A Proof says as of when a view is known to hold all that the store had accepted.
type Proof struct {
	// At is that time, valid if Known.
	At    time.Duration
	Known bool
	// Source tells who proved it: a watch or a read of this daemon, or the upstream.
	Source string
}

// Age returns how long ago the view was last known to hold all.
func (p Proof) Age(now time.Duration) time.Duration { return now - p.At }

// Trusted reports whether the view is recent enough to act on. MaxAge is its bound, zero for DefaultMaxAge.
func (p Proof) Trusted(now, maxAge time.Duration) bool {
	return p.Known && p.Age(now) <= share(maxAge, trustShare)
}

// A Store is what a daemon knows of the store.
type Store struct {
	// Lost reports whether the store doesn't bring the daemon's views up to date, Silent whether it answers nothing.
	Lost, Silent bool
}

// A Read is a call to the store that is due.
type Read struct {
	Prefix string
	// All reports whether all entries are read. Otherwise it is what has changed.
	All bool
}

// A view is the state of one prefix.
type view struct {
	proof Proof
	// reading and listing report whether the calls are on their way, readSentAt is when the former was sent.
	reading, listing bool
	readSentAt       time.Duration
	// readLost reports whether the last read of changes was not answered.
	readLost bool
	// failures counts the reads in a row that have failed. After that the next one is due at retryAt, and the next list at listRetryAt.
	failures    int
	retryAt     time.Duration
	listRetryAt time.Duration
}

// maxSubscriptions is how many subscriptions an upstream's proofs may refer to. It has received one of the latest.
const maxSubscriptions = 8

// A Verifier holds the latest proofs of the views of the store, by prefix. The zero value is ready to use.
//
// Daemons have no common clock. An upstream therefore says how long after a subscription its view was proved, and the subscriber knows
// when it sent that. So the time for which an update is on its way makes a proof older, never newer.
type Verifier struct {
	// MaxAges holds how old views may be, by prefix.
	MaxAges map[string]time.Duration
	// LastToken is the token of the latest subscription. It starts at a number that differs between processes.
	LastToken uint64

	views map[string]*view
	// watching reports whether this daemon watches the store.
	watching bool
	store    Store
	// subscriptions are the latest ones.
	subscriptions []subscription
}

type subscription struct {
	token  uint64
	sentAt time.Duration
}

// SetWatching sets whether this daemon watches the store.
func (v *Verifier) SetWatching(on bool) { v.watching = on }

// SetStore sets what the daemon knows of the store. While it answers nothing, no read is due: the renewals of the lease show when it does.
// While it is lost but answers, one view is read each second, so that the end of that shows.
func (v *Verifier) SetStore(s Store) { v.store = s }

// Proof returns the latest proof of a view.
func (v *Verifier) Proof(prefix string) Proof {
	if w, ok := v.views[prefix]; ok {
		return w.proof
	}
	return Proof{}
}

// Proved records a proof. It returns the one before if this one is later, and false otherwise.
func (v *Verifier) Proved(prefix string, at time.Duration, source string) (before Proof, later bool) {
	w, ok := v.views[prefix]
	if !ok {
		if v.views == nil {
			v.views = make(map[string]*view)
		}
		w = &view{}
		v.views[prefix] = w
	}
	before = w.proof
	if before.Known && at <= before.At {
		return before, false
	}
	w.proof, w.failures = Proof{At: at, Known: true, Source: source}, 0
	return before, true
}

// limit returns a share of a view's bound.
func (v *Verifier) limit(prefix string, sixteenths time.Duration) time.Duration {
	return share(v.MaxAges[prefix], sixteenths)
}

func share(bound, sixteenths time.Duration) time.Duration {
	if bound <= 0 {
		bound = DefaultMaxAge
	}
	return bound * sixteenths / 16
}

// Wait returns how long a call of a watch that is sent now may wait for changes.
func (v *Verifier) Wait(now time.Duration, prefix string) time.Duration {
	age := max(v.limit(prefix, pollShare), minPollAge)
	if p := v.Proof(prefix); p.Known {
		return max(age-p.Age(now), 0)
	}
	return age
}

// Trusted reports whether a view is recent enough to act on.
func (v *Verifier) Trusted(now time.Duration, prefix string) bool {
	return v.Proof(prefix).Trusted(now, v.MaxAges[prefix])
}

// AllTrusted reports whether all views are recent enough to act on, and so to keep other daemons up to date.
func (v *Verifier) AllTrusted(now time.Duration) bool {
	for prefix := range v.views {
		if !v.Trusted(now, prefix) {
			return false
		}
	}
	return true
}

// Pending reports whether the store may still prove a view that isn't trusted: a read is due or on its way, and none has failed.
func (v *Verifier) Pending(prefix string) bool {
	w, ok := v.views[prefix]
	return ok && !v.store.Silent && w.failures == 0
}

// Due returns the reads that are due, and counts them as sent.
func (v *Verifier) Due(now time.Duration) []Read {
	var reads []Read
	for _, prefix := range slices.Sorted(maps.Keys(v.views)) {
		w := v.views[prefix]
		if now >= v.readAt(prefix, w) {
			w.reading, w.readSentAt = true, now
			reads = append(reads, Read{Prefix: prefix})
		}
		if now >= v.listAt(prefix, w) {
			w.listing = true
			reads = append(reads, Read{Prefix: prefix, All: true})
		}
	}
	return reads
}

// NextAt returns when Due has to be called.
func (v *Verifier) NextAt() time.Duration {
	next := Never
	for prefix, w := range v.views {
		next = min(next, v.readAt(prefix, w), v.listAt(prefix, w))
	}
	return next
}

// Never is later than any time.
const Never = time.Duration(1<<63 - 1)

// readAt returns when what has changed is to be read.
func (v *Verifier) readAt(prefix string, w *view) time.Duration {
	if w.reading || v.store.Silent || !w.proof.Known {
		return Never
	}
	if v.store.Lost && prefix == v.probe() {
		return w.retryAt
	}
	readAge := v.limit(prefix, readShare)
	if v.watching {
		readAge = v.limit(prefix, watcherReadShare)
	}
	return max(w.proof.At+readAge, w.retryAt)
}

// probe returns the view that is read while the store is lost.
func (v *Verifier) probe() string { return slices.Min(slices.Collect(maps.Keys(v.views))) }

// listAt returns when all entries are to be read, as what has changed isn't answered.
func (v *Verifier) listAt(prefix string, w *view) time.Duration {
	if w.listing || !w.unanswered() || v.store.Silent {
		return Never
	}
	return max(w.proof.At+v.limit(prefix, listShare), w.readSentAt+v.limit(prefix, listShare-readShare), w.listRetryAt)
}

// unanswered reports whether a read of changes is on its way or was not answered.
func (w *view) unanswered() bool { return w.reading || w.readLost }

// An Outcome is that of a read.
type Outcome uint8

// The outcomes of reads.
const (
	// Answered: the store has answered.
	Answered Outcome = iota
	// Refused: the store has refused the call.
	Refused
	// Unanswered: the answer was lost, or didn't come in time.
	Unanswered
)

// Ended handles the end of a read that was sent at a time.
func (v *Verifier) Ended(now, sentAt time.Duration, r Read, o Outcome) {
	w, known := v.views[r.Prefix]
	if !known {
		return
	}
	if r.All {
		w.listing = false
	} else {
		w.reading, w.readLost = false, o == Unanswered
	}
	switch {
	case o == Answered:
		w.failures, w.retryAt, w.listRetryAt, w.readLost = 0, 0, 0, false
		return
	case w.proof.At > sentAt && !v.store.Lost:
		// The view was proved meanwhile.
		return
	}
	retryAt := now + min(minRetryDelay<<min(w.failures, 8), maxRetryDelay)
	if v.store.Lost {
		retryAt = now + maxRetryDelay
	}
	w.failures++
	if r.All {
		w.listRetryAt = retryAt
	} else {
		w.retryAt = retryAt
	}
}

// Subscribe returns the token of a subscription that is sent now.
func (v *Verifier) Subscribe(now time.Duration) uint64 {
	v.LastToken++
	if len(v.subscriptions) == maxSubscriptions {
		v.subscriptions = v.subscriptions[1:]
	}
	v.subscriptions = append(v.subscriptions, subscription{token: v.LastToken, sentAt: now})
	return v.LastToken
}

// SubscribedAt returns when the subscription with a token was sent. It returns false for one that isn't known any more.
func (v *Verifier) SubscribedAt(token uint64) (at time.Duration, ok bool) {
	for _, s := range v.subscriptions {
		if s.token == token {
			return s.sentAt, true
		}
	}
	return 0, false
}

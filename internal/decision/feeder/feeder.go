// Package feeder decides what a daemon that relays updates of the store sends to each of its subscribers, and when.
//
// On a slow link updates must not wait behind each other: a subscriber takes itself for up to date by what is old by the time it arrives,
// and asks for a snapshot because of what hasn't arrived, which makes the others wait longer. So each subscriber is sent one update at a
// time, which holds all changes since the one before, and only some subscribers are sent a snapshot at the same time.
package feeder

import (
	"cmp"
	"slices"
	"time"

	"samphirewharf/internal/peer/messenger"
)

const (
	// HeartbeatInterval is the longest time between two updates to a subscriber, also without changes.
	HeartbeatInterval = 500 * time.Millisecond
	// SubscriptionTTL is how long a subscription is valid without a renewal.
	SubscriptionTTL = 3 * time.Second
	// maxSnapshots is how many snapshots are sent at the same time.
	maxSnapshots = 4
	// maxChanges is how many changes are kept for subscribers that haven't been sent them. One that lacks more is sent a snapshot.
	maxChanges = 4096
)

// A Change is a change of an entry with a prefix.
type Change struct {
	Prefix string
	Entry  messenger.ViewEntry
}

// A Subscription is what a subscriber says of itself.
type Subscription struct {
	// InOrder reports whether the last update that it has received is one of this daemon. HasView reports whether it has a view of the
	// store, from whichever daemon.
	InOrder bool
	HasView bool
	// Compressed reports whether it takes compressed views.
	Compressed bool
	// Token identifies the message, ReceivedAt is when it arrived.
	Token      uint64
	ReceivedAt time.Duration
}

// An Update is what a subscriber is to be sent.
type Update struct {
	Address  string
	Sequence int64
	// Fresh reports whether the update brings the subscriber up to date.
	Fresh bool
	// Snapshot reports whether it holds all entries. Otherwise it holds the changes, the newest for each key.
	Snapshot bool
	Changes  []Change
	// Complete reports whether the subscriber, once it has the update, has all that the daemon relays.
	Complete bool
	// First is the number of the first change, which is the same for updates with the same changes.
	First    int
	Fleet    *messenger.Fleet
	Evidence *messenger.Evidence
	// Subscription is the subscriber's latest one.
	Subscription Subscription
}

// A Feeder keeps the subscribers of one daemon. The zero value is ready to use.
type Feeder struct {
	subscribers map[string]*subscriber
	// changes are the latest changes, the first of which is the one with the number first.
	changes []Change
	first   int
}

type subscriber struct {
	address   string
	sequence  int64
	expiresAt time.Time
	// subscription is the latest one.
	subscription Subscription
	// needsSnapshot reports whether it has no view of this daemon, or one that lacks an update. It has needed one since waitingSince.
	needsSnapshot bool
	waitingSince  time.Time
	// next is the number of the first change that it hasn't been sent.
	next     int
	fleet    *messenger.Fleet
	evidence *messenger.Evidence
	// pending is the sequence number of the update that is being sent, 0 if none is. sendsSnapshot reports whether that is a snapshot.
	pending       int64
	sendsSnapshot bool
	// unreachable reports whether the last update may not have arrived. It is sent nothing until it renews its subscription.
	unreachable bool
	// sentAt is when it was last sent an update, sentFresh whether that brought it up to date.
	sentAt    time.Time
	sentFresh bool
}

// Subscribe adds or renews a subscription.
func (f *Feeder) Subscribe(now time.Time, address string, s Subscription) {
	sub, ok := f.subscribers[address]
	if !ok {
		if f.subscribers == nil {
			f.subscribers = make(map[string]*subscriber)
		}
		sub = &subscriber{address: address}
		sub.requireSnapshot(now)
		f.subscribers[address] = sub
	}
	sub.expiresAt = now.Add(SubscriptionTTL)
	sub.subscription, sub.unreachable = s, false
	if !s.InOrder && !sub.isSentSnapshot() {
		sub.requireSnapshot(now)
	}
}

// isSentSnapshot reports whether a snapshot is on its way to the subscriber.
func (s *subscriber) isSentSnapshot() bool { return s.pending > 0 && s.sendsSnapshot }

func (s *subscriber) requireSnapshot(now time.Time) {
	if !s.needsSnapshot {
		s.needsSnapshot, s.waitingSince = true, now
	}
}

// HasSubscribers reports whether there are subscribers.
func (f *Feeder) HasSubscribers() bool { return len(f.subscribers) > 0 }

// Append adds a change.
func (f *Feeder) Append(c Change) {
	if len(f.subscribers) == 0 {
		return
	}
	f.changes = append(f.changes, c)
	if excess := len(f.changes) - maxChanges; excess > 0 {
		f.changes = f.changes[excess:]
		f.first += excess
	}
}

// Reset has all subscribers sent a snapshot, in place of the changes.
func (f *Feeder) Reset(now time.Time) {
	for _, s := range f.subscribers {
		s.requireSnapshot(now)
	}
	f.first += len(f.changes)
	f.changes = nil
}

// Forward adds a message of the leader, or evidence of crashes, for all subscribers. Either may be nil.
func (f *Feeder) Forward(fleet *messenger.Fleet, evidence *messenger.Evidence) {
	for _, s := range f.subscribers {
		s.fleet = mergeFleet(s.fleet, fleet)
		s.evidence = mergeEvidence(s.evidence, evidence)
	}
}

// Delivered handles the end of the delivery of an update. It may not have arrived unless ok is true.
func (f *Feeder) Delivered(now time.Time, address string, sequence int64, ok bool) {
	s := f.subscribers[address]
	if s == nil || s.pending != sequence {
		return
	}
	s.pending = 0
	if !ok {
		s.unreachable = true
		s.requireSnapshot(now)
	}
}

// Congested reports whether subscribers wait until others have been sent their snapshots.
func (f *Feeder) Congested() bool {
	waiting := 0
	for _, s := range f.subscribers {
		if s.needsSnapshot && s.pending == 0 && !s.unreachable {
			waiting++
		}
	}
	return waiting > 0 && f.snapshotsPending() >= maxSnapshots
}

func (f *Feeder) snapshotsPending() int {
	n := 0
	for _, s := range f.subscribers {
		if s.isSentSnapshot() {
			n++
		}
	}
	return n
}

// Next returns the updates that are to be sent now. Listed reports whether the daemon has a whole view, from which snapshots can be made,
// and fresh whether that is up to date for a subscriber.
func (f *Feeder) Next(now time.Time, listed bool, fresh func(address string) bool) []Update {
	snapshots := f.snapshotsPending()
	var updates []Update
	for _, s := range f.due(now) {
		isFresh := fresh(s.address)
		// Of a view that is out of date, a subscriber that has one from another daemon gets no snapshot.
		wantsSnapshot := s.needsSnapshot && listed && (isFresh || !s.subscription.HasView)
		if wantsSnapshot && snapshots >= maxSnapshots {
			continue
		}
		u := Update{Address: s.address, Fresh: isFresh, Snapshot: wantsSnapshot, Complete: wantsSnapshot || !s.needsSnapshot, First: s.next, Fleet: s.fleet, Evidence: s.evidence, Subscription: s.subscription}
		if !s.needsSnapshot {
			u.Changes = f.changesSince(s.next)
		}
		hasNews := u.Fleet != nil || u.Evidence != nil || u.Snapshot || len(u.Changes) > 0 || isFresh != s.sentFresh
		if !hasNews && now.Sub(s.sentAt) < HeartbeatInterval/2 {
			continue
		}
		if u.Snapshot {
			snapshots++
			s.needsSnapshot = false
		}
		s.sequence++
		u.Sequence = s.sequence
		s.pending, s.sendsSnapshot, s.next = s.sequence, u.Snapshot, f.first+len(f.changes)
		s.sentAt, s.sentFresh, s.fleet, s.evidence = now, isFresh, nil, nil
		updates = append(updates, u)
	}
	f.trim()
	return updates
}

// due returns the subscribers that may be sent an update, those that have waited longest for a snapshot first. It removes those whose
// subscriptions have expired.
func (f *Feeder) due(now time.Time) []*subscriber {
	var list []*subscriber
	for address, s := range f.subscribers {
		if now.After(s.expiresAt) {
			delete(f.subscribers, address)
			continue
		}
		if s.next < f.first && !s.needsSnapshot {
			s.requireSnapshot(now)
		}
		if s.pending == 0 && !s.unreachable {
			list = append(list, s)
		}
	}
	slices.SortFunc(list, func(a, b *subscriber) int {
		return cmp.Or(a.waitingSince.Compare(b.waitingSince), cmp.Compare(a.address, b.address))
	})
	return list
}

// changesSince returns the changes from a number on, of each key the newest.
func (f *Feeder) changesSince(number int) []Change {
	changes := f.changes[number-f.first:]
	if len(changes) < 2 {
		return changes
	}
	type key struct{ prefix, key string }
	seen := make(map[key]bool, len(changes))
	var newest []Change
	for _, c := range slices.Backward(changes) {
		k := key{c.Prefix, c.Entry.Key}
		if !seen[k] {
			seen[k] = true
			newest = append(newest, c)
		}
	}
	slices.Reverse(newest)
	return newest
}

// trim drops the changes that all subscribers have been sent.
func (f *Feeder) trim() {
	end := f.first + len(f.changes)
	least := end
	for _, s := range f.subscribers {
		if !s.needsSnapshot {
			least = min(least, s.next)
		}
	}
	if least > f.first {
		f.changes = f.changes[least-f.first:]
		f.first = least
	}
	if len(f.changes) == 0 {
		f.changes = nil
	}
}

// Package relayer passes on what one daemon sees of the key-value service to daemons that have subscribed to it, and
// takes what another daemon passes on.
package relayer

import (
	"context"
	"sync"
	"time"

	"github.com/phuslu/log"

	"samphirewharf/internal/external/storer"
	"samphirewharf/internal/peer/messenger"
)

const (
	// heartbeat is how often subscribers are told that nothing has changed.
	heartbeatInterval = 500 * time.Millisecond
	// gather is how long changes are gathered before they are passed on.
	batchDelay = 20 * time.Millisecond
	// subscriptionLife is how long a subscription holds.
	subscriptionTTL = 3 * time.Second
)

// A Handler is where the entries below one prefix go.
type Handler struct {
	Prefix  string
	Listed  func(entries []storer.Entry, revision int64)
	Changed func(e storer.Entry)
	Removed func(key string, revision int64)
}

// A Relayer keeps what is seen below some prefixes. New makes one.
type Relayer struct {
	// Send sends a message to a daemon; it may be lost.
	Send func(address string, message messenger.Message)
	// Message returns an empty message of this daemon.
	Message func() messenger.Message
	// Fresh tells that the key-value service answers this daemon.
	StoreReachable func() bool
	// FleetSeen takes a message of the holder that came with a feed.
	OnFleet func(from string, fleet *messenger.Fleet)
	// Heard is told of each feed that arrived in order.
	OnFeed func(from string, fresh bool)
	Logger *log.Logger

	handlers []Handler
	stream   string

	mu sync.Mutex
	// seen are the entries by prefix, complete once the prefix was listed.
	prefixes map[string]*prefixState
	// subscribers are the daemons that are fed, by address.
	subscribers map[string]*subscriber
	// fromStream and fromSequence are those of the last feed that arrived in order.
	receivedStream   string
	receivedSequence int64
	pendingFleet     *messenger.Fleet

	wake chan struct{}
}

type prefixState struct {
	listed   bool
	revision int64
	entries  map[string]storer.Entry
	// changes are to be passed on.
	pendingChanges []messenger.ViewEntry
}

type subscriber struct {
	sequence  int64
	expiresAt time.Time
	// whole tells that it needs all, since it has nothing or missed something.
	needsSnapshot bool
}

// New returns a relayer of views. Stream identifies the process.
func New(stream string, handlers []Handler) *Relayer {
	r := &Relayer{
		handlers: handlers, stream: stream, prefixes: make(map[string]*prefixState), subscribers: make(map[string]*subscriber),
		wake: make(chan struct{}, 1),
	}
	for _, h := range handlers {
		r.prefixes[h.Prefix] = &prefixState{entries: make(map[string]storer.Entry)}
	}
	return r
}

// Wrap returns a view that keeps what this daemon sees itself and passes it on, besides using it.
func (r *Relayer) Wrap(h Handler) Handler {
	return Handler{
		Prefix: h.Prefix,
		Listed: func(entries []storer.Entry, revision int64) {
			r.recordList(h.Prefix, entries, revision)
			h.Listed(entries, revision)
		},
		Changed: func(e storer.Entry) {
			r.recordChange(h.Prefix, messenger.ViewEntry{Key: e.Key, Value: e.Value, Revision: e.Revision})
			h.Changed(e)
		},
		Removed: func(key string, revision int64) {
			r.recordChange(h.Prefix, messenger.ViewEntry{Key: key, Revision: revision, Removed: true})
			h.Removed(key, revision)
		},
	}
}

// ClearEntries drops what this daemon has seen itself, since it goes on with another's view.
func (r *Relayer) ClearEntries() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.prefixes {
		s.listed, s.pendingChanges = false, nil
		clear(s.entries)
	}
}

// Forward relays a message of the holder.
func (r *Relayer) Forward(fleet *messenger.Fleet) {
	r.mu.Lock()
	if len(r.subscribers) == 0 {
		r.mu.Unlock()
		return
	}
	r.pendingFleet = mergeFleet(r.pendingFleet, fleet)
	r.mu.Unlock()
	r.signal()
}

// Subscription returns what to subscribe with.
func (r *Relayer) Subscription() *messenger.Subscribe {
	r.mu.Lock()
	defer r.mu.Unlock()
	return &messenger.Subscribe{Stream: r.receivedStream, Sequence: r.receivedSequence}
}

// HandleSubscribe takes a subscription. A subscriber that missed a feed, or has none, gets all.
func (r *Relayer) HandleSubscribe(address string, s *messenger.Subscribe) {
	r.mu.Lock()
	sub, ok := r.subscribers[address]
	if !ok {
		sub = &subscriber{needsSnapshot: true}
		r.subscribers[address] = sub
	}
	sub.expiresAt = time.Now().Add(subscriptionTTL)
	if s.Stream != r.stream || s.Sequence < sub.sequence-1 {
		sub.needsSnapshot = true
	}
	needsSnapshot := sub.needsSnapshot
	r.mu.Unlock()
	if needsSnapshot {
		r.signal()
	}
}

// HandleFeed takes a feed. One that follows a gap is left out, and all is asked for with the next subscription.
func (r *Relayer) HandleFeed(from string, feed *messenger.Feed) {
	r.mu.Lock()
	inOrder := feed.Whole || feed.Stream == r.receivedStream && feed.Sequence == r.receivedSequence+1
	if inOrder {
		r.receivedStream, r.receivedSequence = feed.Stream, feed.Sequence
	} else {
		r.receivedStream, r.receivedSequence = "", 0
	}
	r.mu.Unlock()
	if feed.Fleet != nil {
		r.OnFleet(from, feed.Fleet)
	}
	if !inOrder {
		return
	}
	for _, part := range feed.Views {
		r.apply(part, feed.Whole)
	}
	r.OnFeed(from, feed.Fresh)
}

// Run feeds the subscribers until the context ends.
func (r *Relayer) Run(ctx context.Context) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-r.wake:
			select {
			case <-ctx.Done():
				return
			case <-time.After(batchDelay):
			}
		}
		r.sendUpdates(time.Now())
	}
}

func (r *Relayer) signal() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

func (r *Relayer) recordList(prefix string, entries []storer.Entry, revision int64) {
	r.mu.Lock()
	s := r.prefixes[prefix]
	s.listed, s.revision, s.pendingChanges = true, revision, nil
	clear(s.entries)
	for _, e := range entries {
		s.entries[e.Key] = e
	}
	// What the list has that the changes before it lacked is not known, so that everybody gets all.
	for _, sub := range r.subscribers {
		sub.needsSnapshot = true
	}
	r.mu.Unlock()
	r.signal()
}

func (r *Relayer) recordChange(prefix string, e messenger.ViewEntry) {
	r.mu.Lock()
	s := r.prefixes[prefix]
	s.revision = max(s.revision, e.Revision)
	if e.Removed {
		delete(s.entries, e.Key)
	} else {
		s.entries[e.Key] = storer.Entry{Key: e.Key, Value: e.Value, Revision: e.Revision}
	}
	if len(r.subscribers) > 0 {
		s.pendingChanges = append(s.pendingChanges, e)
	}
	r.mu.Unlock()
	r.signal()
}

// sendUpdates sends each subscriber what it lacks.
func (r *Relayer) sendUpdates(now time.Time) {
	type sending struct {
		address string
		feed    *messenger.Feed
	}
	r.mu.Lock()
	var list []sending
	allListed := r.allListed()
	changes := r.takeChanges()
	var snapshot []messenger.View
	for address, sub := range r.subscribers {
		if now.After(sub.expiresAt) {
			delete(r.subscribers, address)
			continue
		}
		sub.sequence++
		feed := &messenger.Feed{Stream: r.stream, Sequence: sub.sequence, Fresh: allListed && r.StoreReachable(), Fleet: r.pendingFleet}
		switch {
		case sub.needsSnapshot && allListed:
			if snapshot == nil {
				snapshot = r.snapshot()
			}
			feed.Whole, feed.Views = true, snapshot
			sub.needsSnapshot = false
		case !sub.needsSnapshot:
			feed.Views = changes
		}
		list = append(list, sending{address, feed})
	}
	r.pendingFleet = nil
	r.mu.Unlock()
	for _, s := range list {
		message := r.Message()
		message.Feed = s.feed
		r.Send(s.address, message)
	}
}

// allListed tells that all prefixes have been listed.
func (r *Relayer) allListed() bool {
	for _, s := range r.prefixes {
		if !s.listed {
			return false
		}
	}
	return true
}

// takeChanges returns what has changed and forgets it.
func (r *Relayer) takeChanges() []messenger.View {
	var list []messenger.View
	for _, h := range r.handlers {
		s := r.prefixes[h.Prefix]
		if len(s.pendingChanges) > 0 {
			list = append(list, messenger.View{Prefix: h.Prefix, Revision: s.revision, Entries: s.pendingChanges})
		}
		s.pendingChanges = nil
	}
	return list
}

func (r *Relayer) snapshot() []messenger.View {
	list := make([]messenger.View, 0, len(r.handlers))
	for _, h := range r.handlers {
		s := r.prefixes[h.Prefix]
		part := messenger.View{Prefix: h.Prefix, Revision: s.revision}
		for _, e := range s.entries {
			part.Entries = append(part.Entries, messenger.ViewEntry{Key: e.Key, Value: e.Value, Revision: e.Revision})
		}
		list = append(list, part)
	}
	return list
}

// apply passes a part of a feed to its view.
func (r *Relayer) apply(part messenger.View, whole bool) {
	for _, h := range r.handlers {
		if h.Prefix != part.Prefix {
			continue
		}
		if whole {
			entries := make([]storer.Entry, 0, len(part.Entries))
			for _, e := range part.Entries {
				entries = append(entries, storer.Entry{Key: e.Key, Value: e.Value, Revision: e.Revision})
			}
			h.Listed(entries, part.Revision)
			return
		}
		for _, e := range part.Entries {
			if e.Removed {
				h.Removed(e.Key, e.Revision)
			} else {
				h.Changed(storer.Entry{Key: e.Key, Value: e.Value, Revision: e.Revision})
			}
		}
	}
}

// mergeFleet merges a later message of the holder into one that has not been relayed yet.
func mergeFleet(earlier, later *messenger.Fleet) *messenger.Fleet {
	if earlier == nil || earlier.Fence != later.Fence {
		return later
	}
	merged := *later
	inLater := make(map[string]bool, len(later.Servers))
	for _, s := range later.Servers {
		inLater[s.Server] = true
	}
	merged.Servers = append([]messenger.FleetServer(nil), later.Servers...)
	for _, s := range earlier.Servers {
		if !inLater[s.Server] {
			merged.Servers = append(merged.Servers, s)
		}
	}
	return &merged
}

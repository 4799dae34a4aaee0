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
	heartbeat = 500 * time.Millisecond
	// gather is how long changes are gathered before they are passed on.
	gather = 20 * time.Millisecond
	// subscriptionLife is how long a subscription holds.
	subscriptionLife = 3 * time.Second
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

	views  []Handler
	stream string

	mu sync.Mutex
	// seen are the entries by prefix, complete once the prefix was listed.
	seen map[string]*seen
	// subscribers are the daemons that are fed, by address.
	subscribers map[string]*subscriber
	// fromStream and fromSequence are those of the last feed that arrived in order.
	fromStream   string
	fromSequence int64
	fleet        *messenger.Fleet

	wake chan struct{}
}

type seen struct {
	listed   bool
	revision int64
	entries  map[string]storer.Entry
	// changes are to be passed on.
	changes []messenger.ViewEntry
}

type subscriber struct {
	sequence int64
	until    time.Time
	// whole tells that it needs all, since it has nothing or missed something.
	whole bool
}

// New returns a relayer of views. Stream identifies the process.
func New(stream string, views []Handler) *Relayer {
	r := &Relayer{
		views: views, stream: stream, seen: make(map[string]*seen), subscribers: make(map[string]*subscriber),
		wake: make(chan struct{}, 1),
	}
	for _, v := range views {
		r.seen[v.Prefix] = &seen{entries: make(map[string]storer.Entry)}
	}
	return r
}

// Wrap returns a view that keeps what this daemon sees itself and passes it on, besides using it.
func (r *Relayer) Wrap(v Handler) Handler {
	return Handler{
		Prefix: v.Prefix,
		Listed: func(entries []storer.Entry, revision int64) {
			r.list(v.Prefix, entries, revision)
			v.Listed(entries, revision)
		},
		Changed: func(e storer.Entry) {
			r.change(v.Prefix, messenger.ViewEntry{Key: e.Key, Value: e.Value, Revision: e.Revision})
			v.Changed(e)
		},
		Removed: func(key string, revision int64) {
			r.change(v.Prefix, messenger.ViewEntry{Key: key, Revision: revision, Removed: true})
			v.Removed(key, revision)
		},
	}
}

// ClearEntries drops what this daemon has seen itself, since it goes on with another's view.
func (r *Relayer) ClearEntries() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.seen {
		s.listed, s.changes = false, nil
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
	r.fleet = join(r.fleet, fleet)
	r.mu.Unlock()
	r.rouse()
}

// Subscription returns what to subscribe with.
func (r *Relayer) Subscription() *messenger.Subscribe {
	r.mu.Lock()
	defer r.mu.Unlock()
	return &messenger.Subscribe{Stream: r.fromStream, Sequence: r.fromSequence}
}

// HandleSubscribe takes a subscription. A subscriber that missed a feed, or has none, gets all.
func (r *Relayer) HandleSubscribe(address string, s *messenger.Subscribe) {
	r.mu.Lock()
	sub, ok := r.subscribers[address]
	if !ok {
		sub = &subscriber{whole: true}
		r.subscribers[address] = sub
	}
	sub.until = time.Now().Add(subscriptionLife)
	if s.Stream != r.stream || s.Sequence < sub.sequence-1 {
		sub.whole = true
	}
	whole := sub.whole
	r.mu.Unlock()
	if whole {
		r.rouse()
	}
}

// HandleFeed takes a feed. One that follows a gap is left out, and all is asked for with the next subscription.
func (r *Relayer) HandleFeed(from string, feed *messenger.Feed) {
	r.mu.Lock()
	inOrder := feed.Whole || feed.Stream == r.fromStream && feed.Sequence == r.fromSequence+1
	if inOrder {
		r.fromStream, r.fromSequence = feed.Stream, feed.Sequence
	} else {
		r.fromStream, r.fromSequence = "", 0
	}
	r.mu.Unlock()
	if feed.Fleet != nil {
		r.OnFleet(from, feed.Fleet)
	}
	if !inOrder {
		return
	}
	for _, part := range feed.Views {
		r.take(part, feed.Whole)
	}
	r.OnFeed(from, feed.Fresh)
}

// Run feeds the subscribers until the context ends.
func (r *Relayer) Run(ctx context.Context) {
	ticker := time.NewTicker(heartbeat)
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
			case <-time.After(gather):
			}
		}
		r.feed(time.Now())
	}
}

func (r *Relayer) rouse() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

func (r *Relayer) list(prefix string, entries []storer.Entry, revision int64) {
	r.mu.Lock()
	s := r.seen[prefix]
	s.listed, s.revision, s.changes = true, revision, nil
	clear(s.entries)
	for _, e := range entries {
		s.entries[e.Key] = e
	}
	// What the list has that the changes before it lacked is not known, so that everybody gets all.
	for _, sub := range r.subscribers {
		sub.whole = true
	}
	r.mu.Unlock()
	r.rouse()
}

func (r *Relayer) change(prefix string, e messenger.ViewEntry) {
	r.mu.Lock()
	s := r.seen[prefix]
	s.revision = max(s.revision, e.Revision)
	if e.Removed {
		delete(s.entries, e.Key)
	} else {
		s.entries[e.Key] = storer.Entry{Key: e.Key, Value: e.Value, Revision: e.Revision}
	}
	if len(r.subscribers) > 0 {
		s.changes = append(s.changes, e)
	}
	r.mu.Unlock()
	r.rouse()
}

// feed sends each subscriber what it lacks.
func (r *Relayer) feed(now time.Time) {
	type sending struct {
		address string
		feed    *messenger.Feed
	}
	r.mu.Lock()
	var list []sending
	complete := r.complete()
	changes := r.changes()
	var whole []messenger.View
	for address, sub := range r.subscribers {
		if now.After(sub.until) {
			delete(r.subscribers, address)
			continue
		}
		sub.sequence++
		feed := &messenger.Feed{Stream: r.stream, Sequence: sub.sequence, Fresh: complete && r.StoreReachable(), Fleet: r.fleet}
		switch {
		case sub.whole && complete:
			if whole == nil {
				whole = r.whole()
			}
			feed.Whole, feed.Views = true, whole
			sub.whole = false
		case !sub.whole:
			feed.Views = changes
		}
		list = append(list, sending{address, feed})
	}
	r.fleet = nil
	r.mu.Unlock()
	for _, s := range list {
		message := r.Message()
		message.Feed = s.feed
		r.Send(s.address, message)
	}
}

// complete tells that all prefixes have been listed.
func (r *Relayer) complete() bool {
	for _, s := range r.seen {
		if !s.listed {
			return false
		}
	}
	return true
}

// changes returns what has changed and forgets it.
func (r *Relayer) changes() []messenger.View {
	var list []messenger.View
	for _, v := range r.views {
		s := r.seen[v.Prefix]
		if len(s.changes) > 0 {
			list = append(list, messenger.View{Prefix: v.Prefix, Revision: s.revision, Entries: s.changes})
		}
		s.changes = nil
	}
	return list
}

func (r *Relayer) whole() []messenger.View {
	list := make([]messenger.View, 0, len(r.views))
	for _, v := range r.views {
		s := r.seen[v.Prefix]
		part := messenger.View{Prefix: v.Prefix, Revision: s.revision}
		for _, e := range s.entries {
			part.Entries = append(part.Entries, messenger.ViewEntry{Key: e.Key, Value: e.Value, Revision: e.Revision})
		}
		list = append(list, part)
	}
	return list
}

// take passes a part of a feed to its view.
func (r *Relayer) take(part messenger.View, whole bool) {
	for _, v := range r.views {
		if v.Prefix != part.Prefix {
			continue
		}
		if whole {
			entries := make([]storer.Entry, 0, len(part.Entries))
			for _, e := range part.Entries {
				entries = append(entries, storer.Entry{Key: e.Key, Value: e.Value, Revision: e.Revision})
			}
			v.Listed(entries, part.Revision)
			return
		}
		for _, e := range part.Entries {
			if e.Removed {
				v.Removed(e.Key, e.Revision)
			} else {
				v.Changed(storer.Entry{Key: e.Key, Value: e.Value, Revision: e.Revision})
			}
		}
	}
}

// join merges a later message of the holder into one that has not been relayed yet.
func join(earlier, later *messenger.Fleet) *messenger.Fleet {
	if earlier == nil || earlier.Fence != later.Fence {
		return later
	}
	joined := *later
	stated := make(map[string]bool, len(later.Servers))
	for _, s := range later.Servers {
		stated[s.Server] = true
	}
	joined.Servers = append([]messenger.FleetServer(nil), later.Servers...)
	for _, s := range earlier.Servers {
		if !stated[s.Server] {
			joined.Servers = append(joined.Servers, s)
		}
	}
	return &joined
}

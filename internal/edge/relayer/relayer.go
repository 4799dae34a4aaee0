// Package relayer relays updates of the store: a daemon that watches the store sends what it receives to the daemons
// that have subscribed to it, and a subscriber applies what it is sent.
package relayer

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/phuslu/log"

	"samphirewharf/internal/decision/feeder"
	"samphirewharf/internal/decision/verifier"
	"samphirewharf/internal/external/storer"
	"samphirewharf/internal/fleet/sequencer"
	"samphirewharf/internal/peer/messenger"
)

const (
	// batchDelay is how long changes are batched before they are sent.
	batchDelay = 20 * time.Millisecond
	// minCompressedBytes is the size from which views are compressed.
	minCompressedBytes = 2 << 10
)

// A Handler handles the entries with one prefix.
type Handler struct {
	Prefix string
	// Listed is called with all entries as of a revision.
	Listed func(entries []storer.Entry, revision int64)
	// Changed is called with an entry that was written, Removed with the key of an entry that was removed.
	Changed func(e storer.Entry)
	Removed func(key string, revision int64)
}

// A Relayer keeps the entries with some prefixes, sends them to subscribers, and receives updates of other daemons. New
// returns one. Set the exported fields before using it.
type Relayer struct {
	// Send queues a message for a daemon. Unless it returns an error, Delivered is to be called once the message was sent.
	Send func(address string, message messenger.Message) error
	// Message returns an empty message of this daemon.
	Message func() messenger.Message
	// StoreReachable reports whether the store answers this daemon, StoreState tells more of it.
	StoreReachable func() bool
	StoreState     func() verifier.Store
	// Clock returns the time, which goes on while the host is suspended.
	Clock func() time.Duration
	// OnFleet is called with the leader's message in an update.
	OnFleet func(from string, fleet *messenger.Fleet)
	// OnFeed is called for each update of the upstream that arrived in order or says that the upstream is out of date, and for each
	// update of another daemon. Fresh reports whether the sender is up to date.
	OnFeed func(from string, fresh bool)
	// OnProved is called with the proofs of views, after the entries. It may be nil.
	OnProved func(prefix string, p verifier.Proof)
	// OnListed is called when all prefixes have been listed since Follow or StoreLost was called last. It may be nil.
	OnListed func()
	Logger   *log.Logger

	handlers []Handler
	stream   string

	mu sync.Mutex
	// prefixes holds this daemon's own view of the store by prefix.
	prefixes map[string]*prefixState
	// feeder keeps the daemons that updates are sent to.
	feeder feeder.Feeder
	// upstream is the name of the daemon that this one has subscribed to. receivedStream and receivedSequence are those of its
	// last update that arrived in order. The sequence is -1 if that came from another daemon than the current upstream.
	upstream         string
	receivedStream   string
	receivedSequence int64
	// following reports whether this daemon watches the store. recordedStream is the stream whose updates are recorded besides, empty
	// if there is none. Only updates that follow a recorded snapshot are.
	following      bool
	recordedStream string
	// relaying reports whether the upstream's updates keep this daemon up to date. For followers they don't, whose addresses
	// these are.
	relaying  bool
	followers []string

	// verifier holds as of when the views are known to hold all that the store had accepted, revisions up to which revision they do.
	// changedProofs is closed and replaced when that has changed.
	verifier      verifier.Verifier
	revisions     map[string]int64
	changedProofs chan struct{}
	wokenReads    chan struct{}

	wake chan struct{}
	// compressor is used only by sendUpdates.
	compressor messenger.Compressor
}

// A prefixState holds the entries with one prefix.
type prefixState struct {
	listed bool
	// current reports whether this daemon has listed the prefix since it lost the store last.
	current  bool
	revision int64
	entries  map[string]storer.Entry
	// provedAt is as of when the entries are known to be all that the store had accepted, valid if proved. The daemon's own view may be
	// newer, by updates of an upstream that aren't recorded here.
	proved   bool
	provedAt time.Duration
}

// New returns a relayer that passes received updates to the handlers. Stream identifies the process.
func New(stream string, handlers []Handler) *Relayer {
	r := &Relayer{
		handlers: handlers, stream: stream, prefixes: make(map[string]*prefixState), wake: make(chan struct{}, 1),
		revisions: make(map[string]int64), changedProofs: make(chan struct{}), wokenReads: make(chan struct{}, 1),
	}
	r.verifier.LastToken = xxhash.Sum64String(stream)
	for _, h := range handlers {
		r.prefixes[h.Prefix] = &prefixState{entries: make(map[string]storer.Entry)}
	}
	return r
}

// Wrap returns a handler for entries that this daemon reads from the store itself. It relays them to the subscribers
// besides calling h.
func (r *Relayer) Wrap(h Handler) Handler {
	h = r.noteRevisions(h)
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

// Follow prepares for the start or the end of this daemon's watches of the store. At their end it drops the entries that it has read.
func (r *Relayer) Follow(on bool) {
	r.mu.Lock()
	r.following, r.recordedStream = on, ""
	r.verifier.SetWatching(on)
	for _, s := range r.prefixes {
		s.current = false
		if !on {
			s.listed, s.proved = false, false
			clear(s.entries)
		}
	}
	if !on {
		r.feeder.Reset(time.Now())
	}
	r.mu.Unlock()
	r.signal()
}

// StoreLost handles that the store doesn't answer this daemon any more. What it has listed counts as out of date until it is listed
// again, since a watch may hang.
func (r *Relayer) StoreLost() {
	r.mu.Lock()
	for _, s := range r.prefixes {
		s.current = false
	}
	r.mu.Unlock()
	r.signal()
}

// Relay sets whether the upstream's updates keep this daemon up to date, and the addresses of the followers, for which they don't.
func (r *Relayer) Relay(on bool, followers []string) {
	r.mu.Lock()
	r.relaying, r.followers = on, followers
	r.mu.Unlock()
	r.signal()
}

// Announcement returns a message that tells another daemon that this one is up to date by its own watches, nil if it isn't or has more
// subscribers than it can send snapshots.
func (r *Relayer) Announcement() *messenger.Feed {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.upToDate() || r.feeder.Congested() {
		return nil
	}
	return &messenger.Feed{Stream: r.stream, Fresh: true}
}

// Forward relays a message of the leader, or evidence of crashes, to the subscribers. Either may be nil.
func (r *Relayer) Forward(fleet *messenger.Fleet, evidence *messenger.Evidence) {
	r.mu.Lock()
	r.feeder.Forward(fleet, evidence)
	r.mu.Unlock()
	r.signal()
}

// Delivered handles the end of the delivery of an update, which may not have arrived unless ok is true.
func (r *Relayer) Delivered(address string, feed *messenger.Feed, ok bool) {
	r.mu.Lock()
	r.feeder.Delivered(time.Now(), address, feed.Sequence, ok)
	r.mu.Unlock()
	r.signal()
}

// Subscription returns the subscribe message for another daemon, which becomes the upstream, with the last update that was received.
func (r *Relayer) Subscription(upstream string) *messenger.Subscribe {
	r.mu.Lock()
	defer r.mu.Unlock()
	if upstream != r.upstream {
		// Updates of another daemon don't continue the last one, also not those of a daemon that was the upstream before.
		r.upstream, r.receivedSequence = upstream, -1
	}
	return &messenger.Subscribe{Stream: r.receivedStream, Sequence: r.receivedSequence, Compressed: true, Token: r.verifier.Subscribe(r.Clock())}
}

// HandleSubscribe adds or renews a subscription. A subscriber that has received nothing yet or missed an update is sent
// a snapshot.
func (r *Relayer) HandleSubscribe(address string, s *messenger.Subscribe) {
	r.mu.Lock()
	// Until an update has arrived, the subscriber names the one before. Lost updates are known by their delivery.
	r.feeder.Subscribe(time.Now(), address, feeder.Subscription{
		InOrder: s.Stream == r.stream && s.Sequence >= 0, HasView: s.Stream != "", Compressed: s.Compressed, Token: s.Token, ReceivedAt: r.Clock(),
	})
	r.mu.Unlock()
	r.signal()
}

// HandleFeed handles an update of another daemon. It ignores the entries of an update that follows a gap; the next
// subscription then asks for a snapshot. Of daemons other than the upstream, whose subscriptions may not have expired yet, it takes
// only the leader's messages and whether they are up to date.
func (r *Relayer) HandleFeed(from string, feed *messenger.Feed) {
	position, recorded := r.receive(from, feed)
	if feed.Fleet != nil {
		r.OnFleet(from, feed.Fleet)
	}
	// The entries may show that this daemon is no longer a follower. It goes on for its subscribers only if it is known to be up to date.
	if position == positionNext || position == positionForeign || position == positionGap && !feed.Fresh {
		r.OnFeed(from, feed.Fresh)
	}
	if position == positionNext {
		for _, view := range feed.Views {
			r.apply(view, feed.Whole)
		}
		r.provedBy(from, feed, recorded)
	}
}

// A position is that of an update among those of the upstream.
type position int

const (
	// positionForeign is that of an update of another daemon.
	positionForeign position = iota
	positionNext
	// positionGap is that of one before which another is missing, positionPast that of one that arrived late, or of an announcement.
	positionGap
	positionPast
)

// receive records the position of an update of the upstream, and its entries if this daemon records them.
func (r *Relayer) receive(from string, feed *messenger.Feed) (p position, recorded bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if from != r.upstream {
		return positionForeign, false
	}
	continues := feed.Stream == r.receivedStream && r.receivedSequence >= 0
	switch {
	case feed.Damaged:
		r.Logger.Error().Str("From", from).Msg("views can't be read")
		r.receivedStream, r.receivedSequence, r.recordedStream = "", 0, ""
		return positionGap, false
	case feed.Whole || continues && feed.Sequence == r.receivedSequence+1:
	case continues && feed.Sequence <= r.receivedSequence:
		return positionPast, false
	default:
		if continues {
			r.receivedStream, r.receivedSequence = "", 0
		}
		r.recordedStream = ""
		return positionGap, false
	}
	r.receivedStream, r.receivedSequence = feed.Stream, feed.Sequence
	switch {
	case r.following && feed.Whole:
		r.recordedStream = feed.Stream
		for _, view := range feed.Views {
			r.recordSnapshot(view)
		}
	case r.following && feed.Stream == r.recordedStream:
		for _, view := range feed.Views {
			r.recordChanges(view)
		}
	}
	return positionNext, r.following && r.recordedStream == feed.Stream
}

// Run sends updates to the subscribers until the context is done.
func (r *Relayer) Run(ctx context.Context) {
	ticker := time.NewTicker(feeder.HeartbeatInterval)
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

// signal wakes Run up without blocking.
func (r *Relayer) signal() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// recordList records a list that this daemon has read from the store.
func (r *Relayer) recordList(prefix string, entries []storer.Entry, revision int64) {
	r.mu.Lock()
	wasUpToDate := r.allCurrent()
	r.prefixes[prefix].current = true
	r.replace(prefix, entries, revision)
	becameUpToDate := !wasUpToDate && r.allCurrent()
	r.mu.Unlock()
	if becameUpToDate && r.OnListed != nil {
		r.OnListed()
	}
	r.signal()
}

// recordSnapshot records all entries with a prefix that the upstream has sent.
func (r *Relayer) recordSnapshot(view messenger.View) {
	if _, ok := r.prefixes[view.Prefix]; !ok {
		return
	}
	entries := make([]storer.Entry, 0, len(view.Entries))
	for _, e := range view.Entries {
		entries = append(entries, storer.Entry{Key: e.Key, Value: e.Value, Revision: e.Revision})
	}
	r.replace(view.Prefix, entries, view.Revision)
	r.signal()
}

// recordChanges records changes that the upstream has sent, which may not be in the order of their revisions.
func (r *Relayer) recordChanges(view messenger.View) {
	s, ok := r.prefixes[view.Prefix]
	if !ok || !s.listed {
		return
	}
	known := s.revision
	for _, e := range view.Entries {
		if e.Revision >= known {
			r.record(view.Prefix, e)
		}
	}
	s.revision = max(s.revision, view.Revision)
	r.signal()
}

// replace replaces the entries by those as of a revision, unless they are known as of a later one, from another source.
func (r *Relayer) replace(prefix string, entries []storer.Entry, revision int64) {
	s := r.prefixes[prefix]
	switch {
	case s.listed && revision < s.revision:
		return
	case s.listed && sequencer.Epoch(s.revision) == sequencer.Epoch(revision):
		r.addDifference(prefix, s, entries, revision)
	default:
		// Subscribers have another view, or one of another epoch.
		r.feeder.Reset(time.Now())
	}
	s.listed, s.revision = true, revision
	clear(s.entries)
	for _, e := range entries {
		s.entries[e.Key] = e
	}
}

// addDifference adds for the subscribers how a list differs from the entries.
func (r *Relayer) addDifference(prefix string, s *prefixState, entries []storer.Entry, revision int64) {
	present := make(map[string]bool, len(entries))
	for _, e := range entries {
		present[e.Key] = true
		if known, ok := s.entries[e.Key]; !ok || known.Revision != e.Revision {
			r.feeder.Append(feeder.Change{Prefix: prefix, Entry: messenger.ViewEntry{Key: e.Key, Value: e.Value, Revision: e.Revision}})
		}
	}
	for _, key := range slices.Sorted(maps.Keys(s.entries)) {
		if !present[key] {
			r.feeder.Append(feeder.Change{Prefix: prefix, Entry: messenger.ViewEntry{Key: key, Revision: revision, Removed: true}})
		}
	}
}

// recordChange records a change that this daemon has read from the store, unless it is known from the upstream already.
func (r *Relayer) recordChange(prefix string, e messenger.ViewEntry) {
	r.mu.Lock()
	if s := r.prefixes[prefix]; e.Revision >= s.revision {
		r.record(prefix, e)
	}
	r.mu.Unlock()
	r.signal()
}

func (r *Relayer) record(prefix string, e messenger.ViewEntry) {
	s := r.prefixes[prefix]
	s.revision = max(s.revision, e.Revision)
	if e.Removed {
		delete(s.entries, e.Key)
	} else {
		s.entries[e.Key] = storer.Entry{Key: e.Key, Value: e.Value, Revision: e.Revision}
	}
	r.feeder.Append(feeder.Change{Prefix: prefix, Entry: e})
}

// sendUpdates sends the subscribers what is due.
func (r *Relayer) sendUpdates(now time.Time) {
	r.mu.Lock()
	allListed, upToDate := r.allListed(), r.upToDate()
	updates := r.feeder.Next(now, allListed, func(address string) bool { return upToDate || allListed && r.relaysTo(address) })
	messages := r.newUpdates(updates)
	r.mu.Unlock()
	r.compress(updates, messages)
	for i, u := range updates {
		if err := r.Send(u.Address, messages[i]); err != nil {
			r.Logger.Warn().Err(err).Str("Address", u.Address).Msg("update wasn't sent")
			r.Delivered(u.Address, messages[i].Feed, false)
		}
	}
}

// newUpdates returns the messages for updates.
func (r *Relayer) newUpdates(updates []feeder.Update) []messenger.Message {
	var snapshot []messenger.View
	messages := make([]messenger.Message, len(updates))
	for i, u := range updates {
		feed := &messenger.Feed{Stream: r.stream, Sequence: u.Sequence, Fresh: u.Fresh, Whole: u.Snapshot, Fleet: u.Fleet, Evidence: u.Evidence}
		if u.Subscription.Token != 0 && u.Complete {
			feed.Token, feed.Proved = u.Subscription.Token, r.provedSince(u.Subscription.ReceivedAt)
		}
		if u.Snapshot {
			if snapshot == nil {
				snapshot = r.snapshot()
			}
			feed.Views = snapshot
		} else {
			feed.Views = r.views(u.Changes)
		}
		messages[i] = r.Message()
		messages[i].Feed = feed
	}
	return messages
}

// compress compresses large views for the subscribers that take that. Those with the same views share the result.
func (r *Relayer) compress(updates []feeder.Update, messages []messenger.Message) {
	type content struct {
		snapshot bool
		first    int
	}
	compressed := make(map[content][]byte)
	for i, u := range updates {
		feed := messages[i].Feed
		if !u.Subscription.Compressed || viewsBytes(feed.Views) < minCompressedBytes {
			continue
		}
		c := content{snapshot: u.Snapshot}
		if !u.Snapshot {
			c.first = u.First
		}
		if _, ok := compressed[c]; !ok {
			data, err := r.compressor.Compress(feed.Views)
			if err != nil {
				r.Logger.Error().Err(err).Msg("views weren't compressed")
			}
			compressed[c] = data
		}
		feed.CompressedViews = compressed[c]
	}
}

// viewsBytes returns about how large views are.
func viewsBytes(views []messenger.View) int {
	n := 0
	for _, v := range views {
		for _, e := range v.Entries {
			n += len(e.Key) + len(e.Value)
		}
	}
	return n
}

// allListed reports whether all prefixes have been listed.
func (r *Relayer) allListed() bool {
	for _, s := range r.prefixes {
		if !s.listed {
			return false
		}
	}
	return true
}

// allCurrent reports whether this daemon has listed all prefixes since it lost the store last.
func (r *Relayer) allCurrent() bool {
	for _, s := range r.prefixes {
		if !s.current {
			return false
		}
	}
	return true
}

// upToDate reports whether this daemon is up to date by its own watches.
func (r *Relayer) upToDate() bool {
	return r.allCurrent() && r.StoreReachable() && r.verifier.AllTrusted(r.Clock())
}

// relaysTo reports whether the updates that the upstream sends keep a subscriber up to date as well.
func (r *Relayer) relaysTo(address string) bool {
	return r.relaying && r.recordedStream != "" && r.verifier.AllTrusted(r.Clock()) && !slices.Contains(r.followers, address)
}

// views returns changes by prefix.
func (r *Relayer) views(changes []feeder.Change) []messenger.View {
	var list []messenger.View
	for _, h := range r.handlers {
		view := messenger.View{Prefix: h.Prefix, Revision: r.prefixes[h.Prefix].revision}
		for _, c := range changes {
			if c.Prefix == h.Prefix {
				view.Entries = append(view.Entries, c.Entry)
			}
		}
		if len(view.Entries) > 0 {
			list = append(list, view)
		}
	}
	return list
}

func (r *Relayer) snapshot() []messenger.View {
	list := make([]messenger.View, 0, len(r.handlers))
	for _, h := range r.handlers {
		s := r.prefixes[h.Prefix]
		view := messenger.View{Prefix: h.Prefix, Revision: s.revision}
		for _, e := range s.entries {
			view.Entries = append(view.Entries, messenger.ViewEntry{Key: e.Key, Value: e.Value, Revision: e.Revision})
		}
		list = append(list, view)
	}
	return list
}

// apply passes the entries of a view to the handler of its prefix. A snapshot has all entries, another view only changes.
func (r *Relayer) apply(view messenger.View, isSnapshot bool) {
	for _, h := range r.handlers {
		if h.Prefix != view.Prefix {
			continue
		}
		if isSnapshot {
			entries := make([]storer.Entry, 0, len(view.Entries))
			for _, e := range view.Entries {
				entries = append(entries, storer.Entry{Key: e.Key, Value: e.Value, Revision: e.Revision})
			}
			h.Listed(entries, view.Revision)
			r.noteRevision(view.Prefix, view.Revision)
			return
		}
		for _, e := range view.Entries {
			if e.Removed {
				h.Removed(e.Key, e.Revision)
			} else {
				h.Changed(storer.Entry{Key: e.Key, Value: e.Value, Revision: e.Revision})
			}
		}
		r.noteRevision(view.Prefix, view.Revision)
	}
}

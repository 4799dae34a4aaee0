package relayer

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/phuslu/log"

	"samphirewharf/internal/decision/feeder"
	"samphirewharf/internal/decision/verifier"
	"samphirewharf/internal/external/storer"
	"samphirewharf/internal/fleet/registrar"
	"samphirewharf/internal/fleet/sequencer"
	"samphirewharf/internal/peer/messenger"
)

const prefix = "p/"

// A testDaemon is one daemon's relayer. It records the calls of its handler and the updates that it sends.
type testDaemon struct {
	relayer        *Relayer
	calls          []string
	sent           []*messenger.Feed
	freshFlags     []bool
	storeReachable bool
	clock          time.Duration
}

func newTestDaemon(stream string) *testDaemon {
	s := &testDaemon{storeReachable: true}
	s.relayer = New(stream, []Handler{s.handler()})
	s.relayer.Send = func(_ string, m messenger.Message) error {
		s.sent = append(s.sent, m.Feed)
		return nil
	}
	s.relayer.Message = func() messenger.Message { return messenger.Message{From: stream} }
	s.relayer.StoreReachable = func() bool { return s.storeReachable }
	s.relayer.StoreState = func() verifier.Store { return verifier.Store{Lost: !s.storeReachable} }
	s.relayer.Clock = func() time.Duration { return s.clock }
	s.relayer.OnFeed = func(_ string, fresh bool) { s.freshFlags = append(s.freshFlags, fresh) }
	s.relayer.OnFleet = func(_ string, f *messenger.Fleet) { s.calls = append(s.calls, fmt.Sprintf("fleet %d", f.Sequence)) }
	s.relayer.Logger = &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}
	return s
}

func (s *testDaemon) handler() Handler {
	return Handler{
		Prefix: prefix,
		Listed: func(entries []storer.Entry, revision int64) {
			var keys []string
			for _, e := range entries {
				keys = append(keys, e.Key)
			}
			slices.Sort(keys)
			s.calls = append(s.calls, fmt.Sprintf("list %s at %d", strings.Join(keys, ","), revision))
		},
		Changed: func(e storer.Entry) { s.calls = append(s.calls, fmt.Sprintf("change %s at %d", e.Key, e.Revision)) },
		Removed: func(key string, revision int64) {
			s.calls = append(s.calls, fmt.Sprintf("remove %s at %d", key, revision))
		},
	}
}

// deliver sends the updates of one daemon and passes them to the other, unless they are to be lost.
func deliver(from, to *testDaemon, lost bool) {
	from.sent = nil
	from.relayer.sendUpdates(time.Now())
	for _, f := range from.sent {
		if !lost {
			to.relayer.HandleFeed("follower", f)
		}
		from.relayer.Delivered("subscriber", f, !lost)
	}
}

func subscribe(to, from *testDaemon) {
	to.relayer.HandleSubscribe("subscriber", from.relayer.Subscription("follower"))
}

func assertCalls(t *testing.T, s *testDaemon, want ...string) {
	t.Helper()
	if got := strings.Join(s.calls, "; "); got != strings.Join(want, "; ") {
		t.Errorf("got %q, want %q", got, strings.Join(want, "; "))
	}
}

func TestRelayer(t *testing.T) {
	start := func() (follower, subscriber *testDaemon, wrapped Handler) {
		follower, subscriber = newTestDaemon("f"), newTestDaemon("d")
		wrapped = follower.relayer.Wrap(follower.handler())
		wrapped.Listed([]storer.Entry{{Key: "p/a", Revision: 5}}, 7)
		subscribe(follower, subscriber)
		deliver(follower, subscriber, false)
		return follower, subscriber, wrapped
	}
	t.Run("a subscriber gets a snapshot first, and then changes", func(t *testing.T) {
		follower, subscriber, wrapped := start()
		wrapped.Changed(storer.Entry{Key: "p/b", Revision: 8})
		wrapped.Removed("p/a", 9)
		deliver(follower, subscriber, false)
		assertCalls(t, subscriber, "list p/a at 7", "change p/b at 8", "remove p/a at 9")
		assertCalls(t, follower, "list p/a at 7", "change p/b at 8", "remove p/a at 9")
	})
	t.Run("a lost update is followed by a snapshot", func(t *testing.T) {
		follower, subscriber, wrapped := start()
		wrapped.Changed(storer.Entry{Key: "p/b", Revision: 8})
		deliver(follower, subscriber, true)
		wrapped.Changed(storer.Entry{Key: "p/c", Revision: 9})
		deliver(follower, subscriber, false)
		subscribe(follower, subscriber)
		deliver(follower, subscriber, false)
		assertCalls(t, subscriber, "list p/a at 7", "list p/a,p/b,p/c at 9")
	})
	t.Run("of a new list a subscriber gets what has changed", func(t *testing.T) {
		follower, subscriber, wrapped := start()
		wrapped.Changed(storer.Entry{Key: "p/b", Revision: 8})
		wrapped.Listed([]storer.Entry{{Key: "p/b", Revision: 8}, {Key: "p/z", Revision: 12}}, 14)
		deliver(follower, subscriber, false)
		assertCalls(t, subscriber, "list p/a at 7", "change p/b at 8", "change p/z at 12", "remove p/a at 14")
	})
	t.Run("a new list without changes is followed by none", func(t *testing.T) {
		follower, subscriber, wrapped := start()
		wrapped.Listed([]storer.Entry{{Key: "p/a", Revision: 5}}, 14)
		deliver(follower, subscriber, false)
		assertCalls(t, subscriber, "list p/a at 7")
	})
	t.Run("a list of a store that was restored is followed by a snapshot", func(t *testing.T) {
		follower, subscriber, wrapped := start()
		restored := sequencer.NewRevision(1, 6)
		wrapped.Listed([]storer.Entry{{Key: "p/a", Revision: sequencer.NewRevision(1, 5)}}, restored)
		deliver(follower, subscriber, false)
		assertCalls(t, subscriber, "list p/a at 7", fmt.Sprintf("list p/a at %d", restored))
	})
	t.Run("a subscriber without news is sent nothing when another one subscribes", func(t *testing.T) {
		follower, _, _ := start()
		follower.relayer.HandleSubscribe("another", &messenger.Subscribe{})
		follower.sent = nil
		follower.relayer.sendUpdates(time.Now())
		if len(follower.sent) != 1 || !follower.sent[0].Whole {
			t.Errorf("got %d updates, want the new subscriber's snapshot alone", len(follower.sent))
		}
	})
	t.Run("a subscriber without news is sent a heartbeat in time", func(t *testing.T) {
		follower, _, _ := start()
		follower.sent = nil
		follower.relayer.sendUpdates(time.Now().Add(feeder.HeartbeatInterval))
		if got := len(follower.sent); got != 1 {
			t.Errorf("got %d updates, want a heartbeat", got)
		}
	})
	t.Run("an announcement of the upstream is no gap in its updates", func(t *testing.T) {
		follower, subscriber, wrapped := start()
		subscriber.relayer.HandleFeed("follower", follower.relayer.Announcement())
		wrapped.Changed(storer.Entry{Key: "p/b", Revision: 8})
		deliver(follower, subscriber, false)
		subscribe(follower, subscriber)
		deliver(follower, subscriber, false)
		assertCalls(t, subscriber, "list p/a at 7", "change p/b at 8")
	})
	t.Run("an update counts as up to date before its entries are handled", func(t *testing.T) {
		follower, subscriber, wrapped := start()
		subscriber.relayer.OnFeed = func(_ string, fresh bool) {
			subscriber.calls = append(subscriber.calls, fmt.Sprintf("fresh %t", fresh))
		}
		wrapped.Changed(storer.Entry{Key: "p/b", Revision: 8})
		deliver(follower, subscriber, false)
		assertCalls(t, subscriber, "list p/a at 7", "fresh true", "change p/b at 8")
	})
	t.Run("large views are compressed for a subscriber that takes that", func(t *testing.T) {
		for _, compressed := range []bool{false, true} {
			follower, subscriber, wrapped := start()
			wrapped.Listed([]storer.Entry{{Key: "p/a", Revision: 8, Value: make([]byte, minCompressedBytes)}}, 9)
			follower.relayer.HandleSubscribe("subscriber", &messenger.Subscribe{Compressed: compressed})
			follower.relayer.sendUpdates(time.Now())
			sent := messenger.Message{Feed: follower.sent[len(follower.sent)-1]}.Envelope()
			if got := len(sent.GetFeed().GetViews()) == 0; got != compressed {
				t.Errorf("got compressed %t, want %t", got, compressed)
			}
			subscriber.calls = nil
			subscriber.relayer.HandleFeed("follower", sent.Message().Feed)
			assertCalls(t, subscriber, "list p/a at 9")
		}
	})
	t.Run("views that can't be read are a gap", func(t *testing.T) {
		follower, subscriber, wrapped := start()
		wrapped.Changed(storer.Entry{Key: "p/b", Revision: 8})
		feed := messenger.Message{Feed: &messenger.Feed{Stream: "f", Sequence: 2, Fresh: true, CompressedViews: []byte("x")}}.Envelope().Message().Feed
		subscriber.relayer.HandleFeed("follower", feed)
		subscribe(follower, subscriber)
		deliver(follower, subscriber, false)
		assertCalls(t, subscriber, "list p/a at 7", "list p/a,p/b at 8")
	})
	t.Run("a follower reports that the store doesn't answer it", func(t *testing.T) {
		follower, subscriber, _ := start()
		follower.storeReachable = false
		deliver(follower, subscriber, false)
		if got, want := fmt.Sprint(subscriber.freshFlags), "[true false]"; got != want {
			t.Errorf("got fresh %s, want %s", got, want)
		}
	})
	t.Run("a follower without a list isn't fresh and sends no entries", func(t *testing.T) {
		follower, subscriber := newTestDaemon("f"), newTestDaemon("d")
		subscribe(follower, subscriber)
		deliver(follower, subscriber, false)
		assertCalls(t, subscriber)
		if len(follower.sent) != 1 || follower.sent[0].Fresh {
			t.Errorf("got %+v, want one update that isn't fresh", follower.sent)
		}
	})
	t.Run("a subscription expires", func(t *testing.T) {
		follower, _, _ := start()
		follower.sent = nil
		follower.relayer.sendUpdates(time.Now().Add(feeder.SubscriptionTTL + time.Second))
		if got := len(follower.sent); got != 0 {
			t.Errorf("got %d updates, want none", got)
		}
	})
	t.Run("pending messages of the leader are merged", func(t *testing.T) {
		follower, subscriber, _ := start()
		forward := func(sequence int64, server string, inFlight int) {
			follower.relayer.Forward(&messenger.Fleet{Fence: 1, Sequence: sequence, Servers: []messenger.FleetServer{
				{Server: server, InFlight: inFlight, Models: []registrar.LoadedModel{}},
			}}, nil)
		}
		forward(1, "x", 1)
		forward(2, "y", 2)
		forward(3, "x", 3)
		deliver(follower, subscriber, false)
		assertCalls(t, subscriber, "list p/a at 7", "fleet 3")
		fleet := follower.sent[0].Fleet
		if len(fleet.Servers) != 2 || fleet.Servers[0].InFlight != 3 || fleet.Servers[1].Server != "y" {
			t.Errorf("got %+v, want the latest state of x, and y", fleet.Servers)
		}
	})
	t.Run("evidence is relayed with the latest state of each trait", func(t *testing.T) {
		follower, subscriber, _ := start()
		follower.sent = nil
		forward := func(fingerprint uint64, part bool, crashes int) {
			follower.relayer.Forward(nil, &messenger.Evidence{Broadcast: true, Suspects: []messenger.Suspect{{Fingerprint: fingerprint, Part: part, Crashes: crashes}}})
		}
		forward(1, true, 1)
		forward(1, false, 5)
		forward(1, true, 2)
		deliver(follower, subscriber, false)
		got := follower.sent[0].Evidence
		if got == nil || len(got.Suspects) != 2 || got.Suspects[0].Crashes != 2 || got.Suspects[1].Crashes != 5 {
			t.Errorf("got %+v, want the latest evidence of both traits", got)
		}
	})
}

// TestProofsTravel guards against a subscriber that takes its view for newer than its upstream has proved, whatever their clocks say and
// however long messages are on their way.
func TestProofsTravel(t *testing.T) {
	follower, subscriber := newTestDaemon("f"), newTestDaemon("d")
	wrapped := follower.relayer.Wrap(follower.handler())
	// Both clocks show the same time plus their own offset.
	const followerOffset, subscriberOffset = time.Hour, time.Minute
	at := func(now time.Duration) { follower.clock, subscriber.clock = now+followerOffset, now+subscriberOffset }
	assertProof := func(want time.Duration) {
		t.Helper()
		got := subscriber.relayer.Proof(prefix)
		if got.At != want+subscriberOffset || got.Source != "follower" {
			t.Errorf("got proof as of %v by %s, want %v by follower", got.At-subscriberOffset, got.Source, want)
		}
	}
	at(time.Second)
	follower.relayer.Follow(true)
	wrapped.Listed(nil, 7)
	follower.relayer.Proved(prefix, follower.clock-100*time.Millisecond)
	subscription := subscriber.relayer.Subscription("follower")
	at(1200 * time.Millisecond) // The subscription takes 200 ms.
	follower.relayer.HandleSubscribe("subscriber", subscription)
	follower.relayer.sendUpdates(time.Now())
	at(3 * time.Second) // The update takes 1.8 s.
	subscriber.relayer.HandleFeed("follower", follower.sent[0])
	assertProof(700 * time.Millisecond)
	t.Run("a daemon that no longer relays proves nothing", func(t *testing.T) {
		follower.relayer.Follow(false)
		at(4 * time.Second)
		follower.relayer.verifier.Proved(prefix, follower.clock, "its upstream")
		subscription := subscriber.relayer.Subscription("follower")
		follower.relayer.HandleSubscribe("subscriber", subscription)
		follower.relayer.Delivered("subscriber", follower.sent[0], true)
		follower.sent = nil
		follower.relayer.sendUpdates(time.Now().Add(feeder.HeartbeatInterval))
		for _, feed := range follower.sent {
			subscriber.relayer.HandleFeed("follower", feed)
		}
		assertProof(700 * time.Millisecond)
		if len(follower.sent) == 0 {
			t.Error("got no update, want one without entries")
		}
	})
	t.Run("an update with an unknown token proves nothing", func(t *testing.T) {
		feed := *follower.sent[0]
		feed.Sequence, feed.Whole, feed.Token, feed.Proved = 3, false, feed.Token+9, map[string]time.Duration{prefix: time.Second}
		subscriber.relayer.HandleFeed("follower", &feed)
		assertProof(700 * time.Millisecond)
	})
	t.Run("an update after a gap proves nothing", func(t *testing.T) {
		feed := *follower.sent[0]
		feed.Sequence, feed.Whole, feed.Proved = 9, false, map[string]time.Duration{prefix: time.Second}
		subscriber.relayer.HandleFeed("follower", &feed)
		assertProof(700 * time.Millisecond)
	})
}

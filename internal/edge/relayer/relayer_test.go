package relayer

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/phuslu/log"

	"samphirewharf/internal/external/storer"
	"samphirewharf/internal/fleet/registrar"
	"samphirewharf/internal/peer/messenger"
)

const prefix = "p/"

// A side is one daemon's relayer with what its view was told.
type side struct {
	relayer *Relayer
	told    []string
	sent    []*messenger.Feed
	heard   []bool
	fresh   bool
}

func newSide(stream string) *side {
	s := &side{fresh: true}
	s.relayer = New(stream, []Handler{s.view()})
	s.relayer.Send = func(_ string, m messenger.Message) { s.sent = append(s.sent, m.Feed) }
	s.relayer.Message = func() messenger.Message { return messenger.Message{From: stream} }
	s.relayer.StoreReachable = func() bool { return s.fresh }
	s.relayer.OnFeed = func(_ string, fresh bool) { s.heard = append(s.heard, fresh) }
	s.relayer.OnFleet = func(_ string, f *messenger.Fleet) { s.told = append(s.told, fmt.Sprintf("fleet %d", f.Sequence)) }
	s.relayer.Logger = &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}
	return s
}

func (s *side) view() Handler {
	return Handler{
		Prefix: prefix,
		Listed: func(entries []storer.Entry, revision int64) {
			var keys []string
			for _, e := range entries {
				keys = append(keys, e.Key)
			}
			slices.Sort(keys)
			s.told = append(s.told, fmt.Sprintf("list %s at %d", strings.Join(keys, ","), revision))
		},
		Changed: func(e storer.Entry) { s.told = append(s.told, fmt.Sprintf("change %s at %d", e.Key, e.Revision)) },
		Removed: func(key string, revision int64) {
			s.told = append(s.told, fmt.Sprintf("remove %s at %d", key, revision))
		},
	}
}

// pass feeds the subscribers of one side and hands what is sent to the other, but for those that are lost.
func pass(from, to *side, lost bool) {
	from.sent = nil
	from.relayer.feed(time.Now())
	if lost {
		return
	}
	for _, f := range from.sent {
		to.relayer.HandleFeed("follower", f)
	}
}

func subscribe(to, from *side) { to.relayer.HandleSubscribe("fed", from.relayer.Subscription()) }

func assertTold(t *testing.T, s *side, want ...string) {
	t.Helper()
	if got := strings.Join(s.told, "; "); got != strings.Join(want, "; ") {
		t.Errorf("got %q, want %q", got, strings.Join(want, "; "))
	}
}

func TestRelayer(t *testing.T) {
	start := func() (follower, fed *side, source Handler) {
		follower, fed = newSide("f"), newSide("d")
		source = follower.relayer.Wrap(follower.view())
		source.Listed([]storer.Entry{{Key: "p/a", Revision: 5}}, 7)
		subscribe(follower, fed)
		pass(follower, fed, false)
		return follower, fed, source
	}
	t.Run("a subscriber gets all first, and then what changes", func(t *testing.T) {
		follower, fed, source := start()
		source.Changed(storer.Entry{Key: "p/b", Revision: 8})
		source.Removed("p/a", 9)
		pass(follower, fed, false)
		assertTold(t, fed, "list p/a at 7", "change p/b at 8", "remove p/a at 9")
		assertTold(t, follower, "list p/a at 7", "change p/b at 8", "remove p/a at 9")
	})
	t.Run("a lost feed brings all again", func(t *testing.T) {
		follower, fed, source := start()
		source.Changed(storer.Entry{Key: "p/b", Revision: 8})
		pass(follower, fed, true)
		source.Changed(storer.Entry{Key: "p/c", Revision: 9})
		pass(follower, fed, false)
		subscribe(follower, fed)
		pass(follower, fed, false)
		assertTold(t, fed, "list p/a at 7", "list p/a,p/b,p/c at 9")
	})
	t.Run("a new list of the follower brings all again", func(t *testing.T) {
		follower, fed, source := start()
		source.Listed([]storer.Entry{{Key: "p/z", Revision: 12}}, 14)
		pass(follower, fed, false)
		assertTold(t, fed, "list p/a at 7", "list p/z at 14")
	})
	t.Run("a follower that the service doesn't answer says so", func(t *testing.T) {
		follower, fed, _ := start()
		follower.fresh = false
		pass(follower, fed, false)
		if got, want := fmt.Sprint(fed.heard), "[true false]"; got != want {
			t.Errorf("got fresh %s, want %s", got, want)
		}
	})
	t.Run("one that has seen nothing yet isn't fresh and sends nothing", func(t *testing.T) {
		follower, fed := newSide("f"), newSide("d")
		subscribe(follower, fed)
		pass(follower, fed, false)
		assertTold(t, fed)
		if len(follower.sent) != 1 || follower.sent[0].Fresh {
			t.Errorf("got %+v, want one feed that isn't fresh", follower.sent)
		}
	})
	t.Run("a subscription ends", func(t *testing.T) {
		follower, _, _ := start()
		follower.sent = nil
		follower.relayer.feed(time.Now().Add(subscriptionLife + time.Second))
		if got := len(follower.sent); got != 0 {
			t.Errorf("got %d feeds, want none", got)
		}
	})
	t.Run("words of the holder that wait are joined", func(t *testing.T) {
		follower, fed, _ := start()
		word := func(sequence int64, server string, inFlight int) {
			follower.relayer.Forward(&messenger.Fleet{Fence: 1, Sequence: sequence, Servers: []messenger.FleetServer{
				{Server: server, InFlight: inFlight, Models: []registrar.LoadedModel{}},
			}})
		}
		word(1, "x", 1)
		word(2, "y", 2)
		word(3, "x", 3)
		pass(follower, fed, false)
		assertTold(t, fed, "list p/a at 7", "fleet 3")
		fleet := follower.sent[0].Fleet
		if len(fleet.Servers) != 2 || fleet.Servers[0].InFlight != 3 || fleet.Servers[1].Server != "y" {
			t.Errorf("got %+v, want x as told last, and y", fleet.Servers)
		}
	})
}

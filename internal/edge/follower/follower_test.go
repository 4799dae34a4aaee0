package follower

import (
	"context"
	"io"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/phuslu/log"

	"samphirewharf/internal/decision/attributor"
	"samphirewharf/internal/decision/conductor"
	"samphirewharf/internal/external/storer"
)

// A fakeStore answers lists and polls with the given results, one after the other.
type fakeStore struct {
	mu     sync.Mutex
	lists  [][]storer.Entry
	polls  []func(from int64) ([]storer.Change, int64, error)
	calls  []string
	proved []time.Duration
	clock  time.Duration
	cancel context.CancelFunc
}

func (s *fakeStore) list(context.Context, string) ([]storer.Entry, int64, storer.Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.clock += time.Second
	if len(s.lists) == 0 {
		s.cancel()
		return nil, 0, storer.ResultUnknown
	}
	entries := s.lists[0]
	s.lists = s.lists[1:]
	return entries, 10, storer.ResultOK
}

func (s *fakeStore) poll(ctx context.Context, _ string, from int64, _ time.Duration) ([]storer.Change, int64, error) {
	s.mu.Lock()
	s.clock += time.Second
	if len(s.polls) == 0 {
		s.mu.Unlock()
		s.cancel()
		return nil, from, ctx.Err()
	}
	next := s.polls[0]
	s.polls = s.polls[1:]
	s.mu.Unlock()
	return next(from)
}

func (s *fakeStore) record(call string) { s.calls = append(s.calls, call) }

// now returns a time that rises by a second with each call to the store.
func (s *fakeStore) now() time.Duration { return s.clock }

func (s *fakeStore) run(t *testing.T) []string {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	s.cancel = cancel
	f := Follower{
		Prefix: "p/", List: s.list, Poll: s.poll, Now: s.now,
		Wait:    func() time.Duration { return time.Second },
		Proved:  func(at time.Duration) { s.proved = append(s.proved, at) },
		Listed:  func(entries []storer.Entry, _ int64) { s.record("listed " + string(rune('0'+len(entries)))) },
		Changed: func(e storer.Entry) { s.record("changed " + e.Key) },
		Removed: func(key string, _ int64) { s.record("removed " + key) },
		Logger:  &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}},
	}
	f.Run(ctx)
	return s.calls
}

func assertCalls(t *testing.T, got []string, want ...string) {
	t.Helper()
	if !slices.Equal(got, want) {
		t.Errorf("got %q, want %q", got, want)
	}
}

func TestFollower(t *testing.T) {
	broken := func(from int64) ([]storer.Change, int64, error) { return nil, from, io.ErrUnexpectedEOF }
	change := func(from int64) ([]storer.Change, int64, error) {
		return []storer.Change{{Entry: storer.Entry{Key: "p/a"}}, {Entry: storer.Entry{Key: "p/b"}, Deleted: true}}, from + 2, nil
	}
	t.Run("the changes of a watch are reported", func(t *testing.T) {
		s := &fakeStore{lists: [][]storer.Entry{{{Key: "p/a"}}}}
		s.polls = append(s.polls, change, broken)
		assertCalls(t, s.run(t), "listed 1", "changed p/a", "removed p/b")
	})
	// The store may have compacted changes when it closed the watch.
	t.Run("a failed watch is followed by a list", func(t *testing.T) {
		resumed := int64(0)
		s := &fakeStore{lists: [][]storer.Entry{{{Key: "p/a"}}, {{Key: "p/a"}, {Key: "p/c"}}}}
		s.polls = append(s.polls, broken, func(from int64) ([]storer.Change, int64, error) {
			resumed = from
			return nil, from, io.ErrUnexpectedEOF
		})
		assertCalls(t, s.run(t), "listed 1", "listed 2")
		if got, want := resumed, int64(11); got != want {
			t.Errorf("got watch from %d, want %d", got, want)
		}
	})
	t.Run("compacted changes are followed by a list", func(t *testing.T) {
		s := &fakeStore{lists: [][]storer.Entry{{}, {{Key: "p/a"}, {Key: "p/c"}}}}
		s.polls = append(s.polls, func(from int64) ([]storer.Change, int64, error) {
			return nil, from, storer.ErrCompacted
		})
		assertCalls(t, s.run(t), "listed 0", "listed 2")
	})
	// A poll that ends without changes may have missed changes that were made in the meantime. The next poll asks for them again.
	t.Run("a poll without changes is not trusted at once", func(t *testing.T) {
		var from []int64
		empty := func(next int64) func(int64) ([]storer.Change, int64, error) {
			return func(f int64) ([]storer.Change, int64, error) {
				from = append(from, f)
				return nil, next, nil
			}
		}
		s := &fakeStore{lists: [][]storer.Entry{{}}}
		s.polls = append(s.polls, empty(21), empty(31), empty(41), empty(51))
		s.run(t)
		if want := []int64{11, 11, 21, 31}; !slices.Equal(from, want) {
			t.Errorf("got polls from %v, want %v", from, want)
		}
	})
	t.Run("the view is proved as of when the answered calls were sent", func(t *testing.T) {
		s := &fakeStore{lists: [][]storer.Entry{{}}, clock: time.Second}
		s.polls = append(s.polls, change, change, broken)
		s.run(t)
		if want := []time.Duration{time.Second, 2 * time.Second, 3 * time.Second}; !slices.Equal(s.proved, want) {
			t.Errorf("got proofs %v, want %v", s.proved, want)
		}
	})
}

func TestRecords(t *testing.T) {
	want := conductor.Daemon{Name: "a", Instance: "i", CallerAddress: "10.0.0.1:1", PeerAddress: "10.0.0.1:2", Zone: "z", CPUMillicores: 400}
	value, err := EncodeDaemon(want)
	if err != nil {
		t.Fatal(err)
	}
	got, err := decodeDaemon(storer.Entry{Key: DaemonKey("a"), Value: value})
	if err != nil || got != want {
		t.Errorf("got %+v, %v, want %+v", got, err, want)
	}
	quarantine := conductor.Quarantine{Trait: attributor.Trait{Kind: attributor.KindPart, Hash: 1 << 63}, Depth: 1, Quarantines: 2, EvidenceAge: time.Second, Hold: time.Minute, Revision: 9}
	quarantineValue, err := EncodeQuarantine(quarantine)
	if err != nil {
		t.Fatal(err)
	}
	gotQuarantine, err := decodeQuarantine(storer.Entry{Key: QuarantineKey(quarantine.Trait), Value: quarantineValue, Revision: 9})
	if err != nil || gotQuarantine != quarantine {
		t.Errorf("got %+v, %v, want %+v", gotQuarantine, err, quarantine)
	}
	leaderValue, err := EncodeLeader(conductor.Leader{Name: "a", Instance: "i"})
	if err != nil {
		t.Fatal(err)
	}
	leader, err := decodeLeader(storer.Entry{Key: LeaderKey, Value: leaderValue, Revision: 41})
	if want := (conductor.Leader{Name: "a", Instance: "i", FencingToken: 41}); err != nil || leader != want {
		t.Errorf("got %+v, %v, want %+v", leader, err, want)
	}
}

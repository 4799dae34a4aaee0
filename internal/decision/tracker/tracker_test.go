package tracker

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"samphirewharf/internal/decision/assigner"
	"samphirewharf/internal/external/storer"
	"samphirewharf/internal/peer/messenger"
)

const testRegion = "marmara"

// instance returns a UUID of version 7 for the nth start of a daemon.
func instance(daemon, start int) string {
	return fmt.Sprintf("%08x-0000-7000-8000-%012x", start+1, daemon)
}

func testDaemon(n int) Daemon {
	return Daemon{
		ID:       fmt.Sprintf("daemon-%03d", n),
		Instance: instance(n, 0),
		Address:  "127.0.0.1:" + strconv.Itoa(10000+n),
		Zone:     "marmara-a",
		Region:   testRegion,
	}
}

func testEntry(t testing.TB, d Daemon, revision int64) storer.Entry {
	t.Helper()
	value, err := d.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return storer.Entry{Key: d.Key(), Value: value, Revision: revision}
}

// newTestTracker returns the tracker of daemon 0 after a snapshot with all daemons.
func newTestTracker(t testing.TB, daemons, cells int) *Tracker {
	t.Helper()
	tracker := New(testDaemon(0), rand.New(rand.NewPCG(1, 2)))
	list := make([]Cell, 0, cells)
	for c := range cells {
		list = append(list, Cell{Name: "cell-" + strconv.Itoa(c), Region: testRegion})
	}
	tracker.SetCells(list, map[string]string{"marmara-a": testRegion})
	var entries []storer.Entry
	for n := range daemons {
		entries = append(entries, testEntry(t, testDaemon(n), int64(n+1)))
	}
	if err := tracker.ApplySnapshot(0, entries, math.MaxInt64); err != nil {
		t.Fatal(err)
	}
	return tracker
}

func heartbeat(d Daemon, version int64) messenger.Message {
	return messenger.Message{
		From:      d.ID,
		Instance:  d.Instance,
		Address:   d.Address,
		Zone:      d.Zone,
		Heartbeat: &messenger.Heartbeat{ConfigurationVersion: version, Leaving: d.Leaving},
	}
}

func change(t testing.TB, tracker *Tracker, now time.Duration, e storer.Entry, deleted bool) {
	t.Helper()
	if err := tracker.ApplyChange(now, e, deleted); err != nil {
		t.Fatal(err)
	}
}

func assertLive(t *testing.T, tracker *Tracker, want ...int) {
	t.Helper()
	var got, ids []string
	for _, d := range tracker.Live() {
		got = append(got, d.ID)
	}
	for _, n := range want {
		ids = append(ids, testDaemon(n).ID)
	}
	if !slices.Equal(got, ids) {
		t.Errorf("got live %v, want %v", got, ids)
	}
}

// assertCells compares the incremental assignments with ones that are computed from scratch, and checks that no daemon
// has more cells than the bound.
func assertCells(t *testing.T, tracker *Tracker) {
	t.Helper()
	var names []string
	for _, c := range tracker.cells.cells {
		names = append(names, c.Name)
	}
	candidates := tracker.candidates(testRegion)
	table := assigner.Spread(names, candidates, DaemonsPerCell)
	load := make(map[string]int)
	for _, name := range names {
		var got []string
		for _, d := range tracker.Daemons(name) {
			got = append(got, d.ID)
			load[d.ID]++
		}
		if want := table[name]; !slices.Equal(got, want) {
			t.Errorf("%s: got %v, want %v", name, got, want)
		}
	}
	want := (len(names)*min(DaemonsPerCell, len(candidates)) + len(candidates) - 1) / len(candidates)
	for id, got := range load {
		if got > want {
			t.Errorf("%s: got %d cells, want at most %d", id, got, want)
		}
	}
}

func TestMembership(t *testing.T) {
	d1, d2 := testDaemon(1), testDaemon(2)
	t.Run("a daemon in the snapshot is live", func(t *testing.T) {
		assertLive(t, newTestTracker(t, 3, 1), 0, 1, 2)
	})
	t.Run("a daemon without a key stays live while it sends heartbeats", func(t *testing.T) {
		tracker := newTestTracker(t, 3, 1)
		tracker.HandleHeartbeat(time.Second, heartbeat(d1, 1))
		change(t, tracker, time.Second, testEntry(t, d1, 9), true)
		tracker.Tick(3 * time.Second)
		assertLive(t, tracker, 0, 1, 2)
		tracker.Tick(4 * time.Second)
		assertLive(t, tracker, 0, 2)
	})
	t.Run("a daemon with a key stays live without heartbeats", func(t *testing.T) {
		tracker := newTestTracker(t, 3, 1)
		tracker.HandleHeartbeat(time.Second, heartbeat(d1, 1))
		tracker.Tick(time.Minute)
		assertLive(t, tracker, 0, 1, 2)
		if !tracker.HeartbeatOverdue(time.Minute, d1.ID) {
			t.Error("got heartbeat not overdue, want overdue")
		}
	})
	t.Run("a daemon whose key is missing in a new snapshot is removed", func(t *testing.T) {
		tracker := newTestTracker(t, 3, 1)
		if err := tracker.ApplySnapshot(time.Second, []storer.Entry{testEntry(t, d2, 3)}, 3); err != nil {
			t.Fatal(err)
		}
		assertLive(t, tracker, 0, 2)
	})
	t.Run("a key that was written after the snapshot is kept", func(t *testing.T) {
		tracker := newTestTracker(t, 3, 1)
		change(t, tracker, 0, testEntry(t, testDaemon(3), 9), false)
		if err := tracker.ApplySnapshot(time.Second, []storer.Entry{testEntry(t, d2, 3)}, 8); err != nil {
			t.Fatal(err)
		}
		assertLive(t, tracker, 0, 2, 3)
	})
	t.Run("a change that is older than the last one is ignored", func(t *testing.T) {
		tracker := newTestTracker(t, 3, 1)
		change(t, tracker, 0, testEntry(t, d1, 1), true)
		assertLive(t, tracker, 0, 1, 2)
	})
	t.Run("an invalid value is an error and changes nothing", func(t *testing.T) {
		tracker := newTestTracker(t, 3, 1)
		err := tracker.ApplyChange(0, storer.Entry{Key: d1.Key(), Value: []byte("{"), Revision: 9}, false)
		if err == nil {
			t.Error("got no error, want one")
		}
		assertLive(t, tracker, 0, 1, 2)
	})
}

func TestStoreOutage(t *testing.T) {
	t.Run("a daemon that shares a cell and stops sending heartbeats is removed until its next heartbeat", func(t *testing.T) {
		tracker := newTestTracker(t, 3, 1)
		tracker.HandleHeartbeat(time.Second, heartbeat(testDaemon(1), 1))
		tracker.SetStoreUnavailable(2 * time.Second)
		assertLive(t, tracker, 0, 1, 2)
		tracker.Tick(4 * time.Second)
		assertLive(t, tracker, 0, 2)
		tracker.HandleHeartbeat(5*time.Second, heartbeat(testDaemon(1), 1))
		assertLive(t, tracker, 0, 1, 2)
	})
	t.Run("a daemon that never sent a heartbeat stays live", func(t *testing.T) {
		tracker := newTestTracker(t, 3, 1)
		tracker.SetStoreUnavailable(time.Second)
		tracker.Tick(time.Hour)
		assertLive(t, tracker, 0, 1, 2)
	})
	t.Run("a heartbeat adds a new daemon", func(t *testing.T) {
		tracker := newTestTracker(t, 3, 1)
		tracker.SetStoreUnavailable(time.Second)
		tracker.HandleHeartbeat(2*time.Second, heartbeat(testDaemon(3), 1))
		assertLive(t, tracker, 0, 1, 2, 3)
		assertCells(t, tracker)
	})
}

func TestKnownDead(t *testing.T) {
	old, next := testDaemon(1), testDaemon(1)
	next.Instance = instance(1, 1)
	moved := next
	moved.ID = "daemon-new"
	cases := []struct {
		name  string
		steps func(*testing.T, *Tracker)
		want  bool
	}{
		{"a later instance registers under the ID", func(t *testing.T, tracker *Tracker) {
			change(t, tracker, 0, testEntry(t, next, 9), false)
		}, true},
		{"a later instance registers under the address", func(t *testing.T, tracker *Tracker) {
			change(t, tracker, 0, testEntry(t, moved, 9), false)
		}, true},
		{"the key is gone before the later instance registers", func(t *testing.T, tracker *Tracker) {
			change(t, tracker, 0, testEntry(t, old, 8), true)
			change(t, tracker, 0, testEntry(t, next, 9), false)
		}, true},
		{"the later instance sends a heartbeat before it registers", func(t *testing.T, tracker *Tracker) {
			tracker.HandleHeartbeat(0, heartbeat(next, 1))
			change(t, tracker, 0, testEntry(t, next, 9), false)
		}, true},
		{"only the key is gone", func(t *testing.T, tracker *Tracker) {
			change(t, tracker, 0, testEntry(t, old, 8), true)
			tracker.Tick(time.Hour)
		}, false},
		{"a later instance only sends heartbeats", func(t *testing.T, tracker *Tracker) {
			tracker.HandleHeartbeat(0, heartbeat(next, 1))
		}, false},
		{"the same instance registers again", func(t *testing.T, tracker *Tracker) {
			change(t, tracker, 0, testEntry(t, old, 9), false)
		}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			tracker := newTestTracker(t, 3, 1)
			c.steps(t, tracker)
			if got := tracker.KnownDead(old.Instance); got != c.want {
				t.Errorf("got known dead %t, want %t", got, c.want)
			}
			if tracker.KnownDead(next.Instance) {
				t.Error("got the later instance known dead, want not")
			}
		})
	}
	t.Run("a late write of the earlier instance proves nothing", func(t *testing.T) {
		tracker := newTestTracker(t, 3, 1)
		change(t, tracker, 0, testEntry(t, next, 8), false)
		change(t, tracker, 0, testEntry(t, old, 9), false)
		if tracker.KnownDead(next.Instance) {
			t.Error("got the later instance known dead, want not")
		}
	})
	t.Run("a heartbeat of a dead instance is ignored", func(t *testing.T) {
		tracker := newTestTracker(t, 3, 1)
		change(t, tracker, 0, testEntry(t, next, 9), false)
		tracker.HandleHeartbeat(time.Second, heartbeat(old, 7))
		if got, want := tracker.Live()[1].Instance, next.Instance; got != want {
			t.Errorf("got instance %s, want %s", got, want)
		}
	})
	t.Run("the set of dead instances is bounded", func(t *testing.T) {
		var dead deadInstances
		for n := range maxDead + 10 {
			dead.add(strconv.Itoa(n))
		}
		if dead.contains("9") || !dead.contains("10") || len(dead.dead) != maxDead {
			t.Errorf("got %d instances, want the last %d", len(dead.dead), maxDead)
		}
	})
}

func TestCells(t *testing.T) {
	t.Run("seven daemons serve every cell", func(t *testing.T) {
		tracker := newTestTracker(t, 7, 2)
		for _, cell := range []string{"cell-0", "cell-1"} {
			if got, want := len(tracker.Daemons(cell)), 7; got != want {
				t.Errorf("%s: got %d daemons, want %d", cell, got, want)
			}
		}
	})
	t.Run("a leaving daemon serves no cell unless all leave", func(t *testing.T) {
		tracker := newTestTracker(t, 2, 1)
		leaving := testDaemon(1)
		leaving.Leaving = true
		change(t, tracker, 0, testEntry(t, leaving, 9), false)
		if got, want := len(tracker.Daemons("cell-0")), 1; got != want {
			t.Errorf("got %d daemons, want %d", got, want)
		}
		tracker.SetLeaving(0)
		if got, want := len(tracker.Daemons("cell-0")), 2; got != want {
			t.Errorf("got %d daemons, want %d", got, want)
		}
	})
	t.Run("a daemon of another region serves no cell", func(t *testing.T) {
		tracker := newTestTracker(t, 2, 1)
		other := testDaemon(2)
		other.Zone, other.Region = "kgn-a", "kingston"
		change(t, tracker, 0, testEntry(t, other, 9), false)
		if got, want := len(tracker.Daemons("cell-0")), 2; got != want {
			t.Errorf("got %d daemons, want %d", got, want)
		}
	})
	t.Run("a daemon without a region serves every cell", func(t *testing.T) {
		tracker := newTestTracker(t, 2, 1)
		other := testDaemon(2)
		other.Zone, other.Region = "kgn-a", ""
		change(t, tracker, 0, testEntry(t, other, 9), false)
		if got, want := len(tracker.Daemons("cell-0")), 3; got != want {
			t.Errorf("got %d daemons, want %d", got, want)
		}
	})
	t.Run("420 daemons share 60 cells evenly", func(t *testing.T) {
		tracker := newTestTracker(t, 420, 60)
		assertCells(t, tracker)
	})
	t.Run("incremental changes of 420 daemons give the same table as from scratch", func(t *testing.T) {
		tracker := newTestTracker(t, 420, 60)
		random := rand.New(rand.NewPCG(3, 4))
		for step := range 300 {
			d := testDaemon(1 + random.IntN(440))
			d.Leaving = random.IntN(4) == 0
			change(t, tracker, 0, testEntry(t, d, int64(1000+step)), random.IntN(2) == 0)
			assertCells(t, tracker)
		}
	})
}

func TestHeartbeatTargets(t *testing.T) {
	t.Run("7 daemons: all others", func(t *testing.T) {
		tracker := newTestTracker(t, 7, 2)
		if got, want := len(tracker.HeartbeatTargets(0)), 6; got != want {
			t.Errorf("got %d targets, want %d", got, want)
		}
		if got := tracker.HeartbeatTargets(0); got != nil {
			t.Errorf("got %d targets before the next is due, want none", len(got))
		}
	})
	t.Run("420 daemons: a bounded number", func(t *testing.T) {
		tracker := newTestTracker(t, 420, 60)
		total := 0
		for n := range 420 {
			tracker.recomputeCells()
			shared := len(tracker.cells.peersOf(testDaemon(n).ID))
			total += min(shared, MaxSharedPeers) + RandomPeers
		}
		t.Logf("mean targets at most %.1f", float64(total)/420)
		if got, want := float64(total)/420, 10.0; got > want {
			t.Errorf("got %.1f targets on average, want at most %.0f", got, want)
		}
	})
	t.Run("shared peers beyond the bound are served in turn", func(t *testing.T) {
		tracker := newTestTracker(t, 40, 40)
		reached := make(map[string]bool)
		for second := range 4 {
			targets := tracker.HeartbeatTargets(time.Duration(second) * 2 * time.Second)
			if got, want := len(targets), MaxSharedPeers+RandomPeers; got > want {
				t.Errorf("got %d targets, want at most %d", got, want)
			}
			for _, d := range targets {
				reached[d.ID] = true
			}
		}
		for _, id := range tracker.peers {
			if !reached[id] {
				t.Errorf("got no heartbeat to %s in 4 rounds, want one", id)
			}
		}
	})
}

func TestNewestConfiguration(t *testing.T) {
	tracker := newTestTracker(t, 7, 1)
	tracker.HandleHeartbeat(0, heartbeat(testDaemon(1), 5))
	tracker.HandleHeartbeat(0, heartbeat(testDaemon(2), 8))
	tracker.HandleHeartbeat(0, heartbeat(testDaemon(3), 6))
	version, from, ok := tracker.NewestConfiguration()
	if !ok || version != 8 || from.ID != testDaemon(2).ID {
		t.Errorf("got version %d from %s, want 8 from %s", version, from.ID, testDaemon(2).ID)
	}
}

func BenchmarkHeard(b *testing.B) {
	for _, daemons := range []int{7, 420} {
		b.Run(strconv.Itoa(daemons), func(b *testing.B) {
			tracker := newTestTracker(b, daemons, max(2, daemons/7))
			var heartbeats []messenger.Message
			for n := range 6 {
				heartbeats = append(heartbeats, heartbeat(testDaemon(n+1), 1))
			}
			now := time.Duration(0)
			for i := 0; b.Loop(); i++ {
				now += 100 * time.Millisecond
				tracker.HandleHeartbeat(now, heartbeats[i%len(heartbeats)])
				tracker.Tick(now)
			}
		})
	}
}

func BenchmarkChanged(b *testing.B) {
	for _, daemons := range []int{7, 420} {
		b.Run(strconv.Itoa(daemons), func(b *testing.B) {
			tracker := newTestTracker(b, daemons, max(2, daemons/7))
			entry := testEntry(b, testDaemon(1), 1000)
			for i := 0; b.Loop(); i++ {
				entry.Revision++
				change(b, tracker, 0, entry, i%2 == 0)
				tracker.Daemons("cell-0")
			}
		})
	}
}

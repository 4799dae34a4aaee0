package feeder

import (
	"fmt"
	"maps"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"samphirewharf/internal/peer/messenger"
)

func TestMergeFleet(t *testing.T) {
	server := func(id string, startedAt int64) messenger.FleetServer {
		return messenger.FleetServer{Server: id, StartedAt: startedAt}
	}
	changes := func(sequence int64, servers ...messenger.FleetServer) *messenger.Fleet {
		return &messenger.Fleet{Fence: 1, Sequence: sequence, Changes: true, Previous: sequence - 1, Servers: servers}
	}
	assertMerged := func(t *testing.T, got, want *messenger.Fleet) {
		t.Helper()
		if !reflect.DeepEqual(got, want) {
			t.Errorf("got %+v, want %+v", got, want)
		}
	}
	t.Run("changes cover all messages since the first", func(t *testing.T) {
		earlier, later := changes(4, server("a", 1), server("b", 1), server("c", 1)), changes(5, server("a", 2))
		earlier.Gone, later.Gone = []string{"x", "a"}, []string{"b", "y"}
		earlier.InFlight, later.InFlight, earlier.Counted = map[string]int{"a": 1, "c": 1}, map[string]int{"a": 2}, true
		earlier.Loading = []messenger.Loading{{Model: "m", SoftwareVersion: "v1"}, {Model: "m"}}
		later.Loading = []messenger.Loading{{Model: "m", Ended: true}}
		earlier.RateLimits = []messenger.RateLimit{{Server: "a", Limited: true, PerSecond: 1}, {Server: "c", Limited: true, PerSecond: 1}}
		later.RateLimits = []messenger.RateLimit{{Server: "a"}}
		want := changes(5, server("a", 2), server("c", 1))
		want.Previous, want.Counted, want.Gone, want.InFlight = 3, true, []string{"b", "y", "x"}, map[string]int{"a": 2, "c": 1}
		want.Loading = []messenger.Loading{{Model: "m", Ended: true}, {Model: "m", SoftwareVersion: "v1"}}
		want.RateLimits = []messenger.RateLimit{{Server: "a"}, {Server: "c", Limited: true, PerSecond: 1}}
		assertMerged(t, mergeFleet(earlier, later), want)
	})
	t.Run("a whole view with later changes stays whole", func(t *testing.T) {
		want := changes(5, server("a", 2), server("b", 1))
		want.Whole, want.Changes, want.Previous = true, false, 0
		whole := &messenger.Fleet{Fence: 1, Sequence: 4, Whole: true, Servers: []messenger.FleetServer{server("a", 1), server("b", 1)}}
		assertMerged(t, mergeFleet(whole, changes(5, server("a", 2))), want)
	})
	t.Run("a later whole view replaces changes", func(t *testing.T) {
		whole := &messenger.Fleet{Fence: 1, Sequence: 5, Whole: true, Servers: []messenger.FleetServer{server("a", 1)}}
		assertMerged(t, mergeFleet(changes(4, server("b", 1)), whole), whole)
	})
	t.Run("changes don't complete a view for earlier versions", func(t *testing.T) {
		later := changes(5, server("a", 1))
		assertMerged(t, mergeFleet(&messenger.Fleet{Fence: 1, Sequence: 4, Servers: []messenger.FleetServer{server("b", 1)}}, later), later)
	})
	t.Run("another leader's message replaces those before", func(t *testing.T) {
		later := changes(1, server("a", 1))
		later.Fence = 2
		assertMerged(t, mergeFleet(changes(4, server("b", 1)), later), later)
	})
}

// A receivedView is what a receiver knows after messages of the leader, by kind and name.
type receivedView map[string]string

func (v receivedView) apply(f *messenger.Fleet) {
	if f.Whole {
		clear(v)
	}
	for _, s := range f.Servers {
		v["server "+s.Server] = fmt.Sprint(s.StartedAt)
	}
	for _, id := range f.Gone {
		delete(v, "server "+id)
	}
	for id, n := range f.InFlight {
		v["in flight "+id] = fmt.Sprint(n)
	}
	for _, l := range f.Loading {
		v["loading "+l.Model+l.SoftwareVersion] = fmt.Sprint(l.ReadyIn)
		if l.Ended {
			delete(v, "loading "+l.Model+l.SoftwareVersion)
		}
	}
	for _, l := range f.RateLimits {
		v["limit "+l.Server] = fmt.Sprint(l.Limited, l.PerSecond)
	}
}

// drawFleet draws the leader's message with a sequence number.
func drawFleet(t *rapid.T, sequence int64) *messenger.Fleet {
	name := rapid.SampledFrom([]string{"a", "b", "c"})
	whole := rapid.IntRange(0, 5).Draw(t, "whole") == 0
	f := &messenger.Fleet{Fence: 1, Sequence: sequence, Whole: whole, Changes: !whole, InFlight: map[string]int{name.Draw(t, "server in flight"): int(sequence)}}
	if !whole {
		f.Previous = sequence - 1
	}
	changed, gone := name.Draw(t, "changed"), name.Draw(t, "gone")
	f.Servers = []messenger.FleetServer{{Server: changed, StartedAt: sequence}}
	if gone != changed && !whole {
		f.Gone = []string{gone}
	}
	f.Loading = []messenger.Loading{{Model: name.Draw(t, "model"), SoftwareVersion: name.Draw(t, "version"), Ended: !whole && rapid.Bool().Draw(t, "ended")}}
	f.RateLimits = []messenger.RateLimit{{Server: name.Draw(t, "limited"), Limited: rapid.Bool().Draw(t, "has limit"), PerSecond: float64(sequence)}}
	return f
}

// TestMergedFleets checks that receivers of merged messages know the same as those of all of them.
func TestMergedFleets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		one, merged := receivedView{}, receivedView{}
		var pending *messenger.Fleet
		received := int64(0)
		for sequence := range int64(rapid.IntRange(1, 12).Draw(t, "messages")) {
			f := drawFleet(t, sequence+1)
			one.apply(f)
			pending = mergeFleet(pending, f)
			if sequence > 0 && rapid.Bool().Draw(t, "waits") {
				continue
			}
			if pending.Changes && pending.Previous != received {
				t.Fatalf("got changes since message %d, want since %d", pending.Previous, received)
			}
			received = pending.Sequence
			merged.apply(pending)
			pending = nil
		}
		if pending != nil {
			merged.apply(pending)
		}
		if !maps.Equal(one, merged) {
			t.Fatalf("got %v, want %v", merged, one)
		}
	})
}

package relayer

import (
	"reflect"
	"testing"

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

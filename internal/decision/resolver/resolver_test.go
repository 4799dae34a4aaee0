package resolver

import (
	"math/rand/v2"
	"testing"
	"time"
)

func TestResolvePrefersNearZones(t *testing.T) {
	daemons := []Daemon{
		{ID: "far", Zone: "c"},
		{ID: "near", Zone: "a"},
		{ID: "next", Zone: "b"},
		{ID: "leaving", Zone: "a", Leaving: true},
	}
	r := Resolver{Distance: distance, TimeToLive: time.Minute}
	answer := r.Resolve(daemons, "a", newRand())
	assertOrder(t, answer.Daemons, "near", "next", "far")
	if got, want := answer.TimeToLive, time.Minute; got != want {
		t.Errorf("time to live: got %v, want %v", got, want)
	}
}

func TestResolveSpreadsCallers(t *testing.T) {
	const lookUps = 6000
	var daemons []Daemon
	for _, id := range []string{"1", "2", "3", "4", "5", "6"} {
		daemons = append(daemons, Daemon{ID: id, Zone: "a"})
	}
	first := map[string]int{}
	rng := newRand()
	for range lookUps {
		answer := Resolver{}.Resolve(daemons, "a", rng)
		if got, want := len(answer.Daemons), MaxDaemons; got != want {
			t.Fatalf("daemons: got %d, want %d", got, want)
		}
		first[answer.Daemons[0].ID]++
	}
	for _, d := range daemons {
		if got, want := first[d.ID], lookUps/len(daemons); got < want*4/5 || got > want*6/5 {
			t.Errorf("first answers of %s: got %d, want within a fifth of %d", d.ID, got, want)
		}
	}
}

func TestResolveWithoutDaemons(t *testing.T) {
	for name, daemons := range map[string][]Daemon{
		"none":                  nil,
		"all in a planned stop": {{ID: "1", Leaving: true}},
	} {
		t.Run(name, func(t *testing.T) {
			answer := Resolver{}.Resolve(daemons, "a", newRand())
			assertOrder(t, answer.Daemons)
			if got, want := answer.TimeToLive, DefaultTimeToLive; got != want {
				t.Errorf("time to live: got %v, want %v", got, want)
			}
		})
	}
}

func assertOrder(t *testing.T, daemons []Daemon, want ...string) {
	t.Helper()
	if len(daemons) != len(want) {
		t.Fatalf("daemons: got %v, want %v", daemons, want)
	}
	for i, d := range daemons {
		if got := d.ID; got != want[i] {
			t.Errorf("daemon %d: got %s, want %s", i, got, want[i])
		}
	}
}

func distance(_, to string) time.Duration {
	return map[string]time.Duration{"b": time.Millisecond, "c": 40 * time.Millisecond}[to]
}

func newRand() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

package isolator

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

const (
	poisonHash    = 666
	harmlessCount = 8
)

func TestPoisonLosesTwoServersAtMost(t *testing.T) {
	for _, count := range []int{1, 2, 7} {
		t.Run(fmt.Sprintf("%d daemons", count), func(t *testing.T) {
			daemons := make([]Isolator, count)
			lost := 0
			for try := range 20 {
				now := time.Duration(try) * time.Second
				d := &daemons[try%count]
				server := fmt.Sprintf("server-%d", try)
				if !d.MayRun(server, poisonHash, now) {
					continue
				}
				d.Started(server, poisonHash)
				runHarmless(d, server, now)
				lost++
				mergeIntoPeers(daemons, d, server, now)
			}
			if got, want := lost, 2; got != want {
				t.Errorf("servers lost: got %d, want %d", got, want)
			}
			for i := range daemons {
				assertOnlyPoisonous(t, &daemons[i], 20*time.Second)
			}
		})
	}
}

func TestInnocentsThatAlwaysRunBesidePoison(t *testing.T) {
	i := Isolator{PoisonTTL: time.Second, SuspectTTL: time.Hour}
	for round := range 50 {
		now := time.Duration(round) * 2 * time.Second
		if !i.MayRun("server", poisonHash, now) {
			t.Fatalf("poisonous request in round %d: got not allowed, want allowed after its entry expired", round)
		}
		i.Started("server", poisonHash)
		runHarmless(&i, "server", now)
		i.ServerDied("server", now)
		for hash := range uint64(harmlessCount) {
			if i.Poisonous(hash, now) {
				t.Fatalf("harmless request %d in round %d: got poisonous, want not", hash, round)
			}
		}
	}
}

func TestMayRun(t *testing.T) {
	tests := []struct {
		name    string
		prepare func(*Isolator)
		want    bool
	}{
		{"alone", func(*Isolator) {}, true},
		{"beside a request that is not a suspect", func(i *Isolator) { i.Started("b", 9) }, true},
		{"beside a suspect", func(i *Isolator) { i.Started("b", 2) }, false},
		{"running elsewhere", func(i *Isolator) { i.Started("c", 1) }, false},
		{"server of another daemon", func(i *Isolator) { i.Owns = func(string) bool { return false } }, false},
		{"succeeded elsewhere", func(i *Isolator) { i.Started("b", 2); i.Finished("c", 1, true) }, true},
		{"after the other suspect", func(i *Isolator) { i.Started("b", 2); i.Finished("b", 2, false) }, true},
		{"poisonous according to a peer", func(i *Isolator) { i.Merge([]uint64{1}, nil, time.Hour, 0) }, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var i Isolator
			i.Started("a", 1)
			i.Started("a", 2)
			i.ServerDied("a", 0)
			tt.prepare(&i)
			if got := i.MayRun("b", 1, 0); got != tt.want {
				t.Errorf("may run: got %v, want %v", got, tt.want)
			}
		})
	}
}

func TestServerDied(t *testing.T) {
	t.Run("several suspects stay suspects", func(t *testing.T) {
		var i Isolator
		i.Started("a", 1)
		i.Started("a", 2)
		i.Merge(nil, []uint64{1, 2}, time.Hour, 0)
		suspects, poisonous := i.ServerDied("a", 0)
		if want := []uint64{1, 2}; !slices.Equal(suspects, want) || len(poisonous) != 0 {
			t.Errorf("suspects and poisonous: got %v and %v, want %v and none", suspects, poisonous, want)
		}
	})
	t.Run("suspected by a peer while it runs", func(t *testing.T) {
		var i Isolator
		i.Started("a", 1)
		i.Started("a", 2)
		i.Merge(nil, []uint64{1}, time.Hour, 0)
		suspects, poisonous := i.ServerDied("a", 0)
		if want := []uint64{1}; !slices.Equal(poisonous, want) || len(suspects) != 0 {
			t.Errorf("suspects and poisonous: got %v and %v, want none and %v", suspects, poisonous, want)
		}
	})
}

func TestVerdictsAreBoundedAndExpire(t *testing.T) {
	i := Isolator{MaxEntries: 10}
	for hash := range uint64(1000) {
		i.Merge([]uint64{hash}, []uint64{hash + 5000}, time.Minute, 0)
	}
	for name, set := range map[string]*expiringSet{"poisonous": &i.poisonous, "suspects": &i.suspects} {
		if got, want := len(set.byHash), 10; got != want || set.order.Len() != want {
			t.Errorf("%s: got %d and %d in order, want %d", name, got, set.order.Len(), want)
		}
	}
	if !i.Poisonous(999, time.Minute-1) || i.Poisonous(999, time.Minute) {
		t.Error("newest entry: want poisonous until its expiry and not after it")
	}
}

func assertOnlyPoisonous(t *testing.T, i *Isolator, now time.Duration) {
	t.Helper()
	if !i.Poisonous(poisonHash, now) {
		t.Error("poisonous request: got not poisonous, want poisonous")
	}
	for hash := range uint64(harmlessCount) {
		if i.Poisonous(hash, now) {
			t.Errorf("harmless request %d: got poisonous, want not", hash)
		}
	}
}

func runHarmless(i *Isolator, server string, now time.Duration) {
	for hash := range uint64(harmlessCount) {
		if i.MayRun(server, hash, now) {
			i.Started(server, hash)
		}
	}
}

func mergeIntoPeers(daemons []Isolator, from *Isolator, server string, now time.Duration) {
	suspects, poisonous := from.ServerDied(server, now)
	for i := range daemons {
		if &daemons[i] != from {
			daemons[i].Merge(poisonous, suspects, now+time.Hour, now)
		}
	}
}

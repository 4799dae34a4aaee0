package router

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"testing"
)

const (
	affinityReplicas = 6
	affinityChats    = 400
	affinityTurns    = 12
	// affinityCache is the number of prefixes that one replica caches.
	affinityCache = 600
	// affinityTokens is the number of prompt tokens that each turn adds.
	affinityTokens = 200
)

// TestPrefixAffinity compares routing by cached prefixes with routing that ignores them, on a seeded trace of
// interleaved chats whose prompts grow by a turn each time.
func TestPrefixAffinity(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			withAffinity := newAffinitySimulation(seed).run(true)
			withoutAffinity := newAffinitySimulation(seed).run(false)
			t.Logf("prompt tokens saved: %.1f%% with affinity, %.1f%% without; longest prefix hit: %.1f%% and %.1f%%; most requests at one replica: %d and %d of %d",
				withAffinity.saved(), withoutAffinity.saved(), withAffinity.hitShare(), withoutAffinity.hitShare(), withAffinity.maxServed(), withoutAffinity.maxServed(), withAffinity.requests)
			if got, want := withAffinity.saved(), 1.5*withoutAffinity.saved(); got < want {
				t.Errorf("prompt tokens saved: got %.1f%%, want at least %.1f%%, half more than without affinity", got, want)
			}
			if got, want := withAffinity.maxServed(), 2*withAffinity.requests/affinityReplicas; got > want {
				t.Errorf("requests at one replica: got %d, want at most %d", got, want)
			}
		})
	}
}

// An affinitySimulation sends chats to replicas that cache prompt prefixes.
type affinitySimulation struct {
	rng    *rand.Rand
	router Router
	caches [affinityReplicas]prefixCache
	served [affinityReplicas]int

	requests, hits, tokens, savedTokens int
}

// A prefixCache is an LRU cache of prefixes.
type prefixCache struct {
	used map[uint64]int
	now  int
}

func newAffinitySimulation(seed uint64) *affinitySimulation {
	a := &affinitySimulation{rng: rand.New(rand.NewPCG(seed, 5))}
	for i := range a.caches {
		a.caches[i].used = make(map[uint64]int)
	}
	return a
}

func (a *affinitySimulation) run(withPrefixes bool) *affinitySimulation {
	turns := make([]int, affinityChats)
	for range affinityChats * affinityTurns {
		chat := a.rng.IntN(min(affinityChats, 60+a.requests/12))
		if turns[chat] >= affinityTurns {
			continue
		}
		turns[chat]++
		a.send(prefixesOf(chat, turns[chat]), withPrefixes)
	}
	return a
}

func (a *affinitySimulation) send(prefixes []uint64, withPrefixes bool) {
	candidates := make([]Candidate, affinityReplicas)
	for i := range candidates {
		candidates[i] = Candidate{Replica: fmt.Sprint("r", i), Zone: "here", AdapterReady: true, OwnInFlight: a.rng.IntN(6)}
	}
	known := prefixes
	if !withPrefixes {
		known = nil
	}
	at := a.router.Choose(candidatesOf(candidates), known, "here", a.rng).Index
	a.router.Prefixes.RecordSent(candidates[at].Replica, known)
	a.served[at]++
	a.requests++
	a.tokens += len(prefixes) * affinityTokens
	cached := a.caches[at].cachedLength(prefixes)
	a.savedTokens += cached * affinityTokens
	if len(prefixes) > 1 && cached == len(prefixes)-1 {
		a.hits++
	}
	a.caches[at].add(prefixes)
}

func (a *affinitySimulation) hitShare() float64 { return 100 * float64(a.hits) / float64(a.requests) }

func (a *affinitySimulation) maxServed() int {
	most := 0
	for _, n := range a.served {
		most = max(most, n)
	}
	return most
}

func (a *affinitySimulation) saved() float64 { return 100 * float64(a.savedTokens) / float64(a.tokens) }

func (c *prefixCache) add(prefixes []uint64) {
	for _, p := range prefixes {
		c.now++
		c.used[p] = c.now
	}
	for len(c.used) > affinityCache {
		oldest, at := uint64(0), c.now+1
		for p, used := range c.used {
			if used < at {
				oldest, at = p, used
			}
		}
		delete(c.used, oldest)
	}
}

// cachedLength returns how many of the prefixes, from the shortest on, are cached without a gap.
func (c *prefixCache) cachedLength(prefixes []uint64) int {
	for i, p := range prefixes {
		if _, ok := c.used[p]; !ok {
			return i
		}
	}
	return len(prefixes)
}

// prefixesOf returns the hashes of a chat's prompt after each of its turns, shortest first.
func prefixesOf(chat, turns int) []uint64 {
	prefixes := make([]uint64, 0, turns)
	for turn := range turns {
		h := fnv.New64a()
		_, _ = fmt.Fprintf(h, "%d/%d", chat, turn)
		prefixes = append(prefixes, h.Sum64())
	}
	return prefixes
}

// Package selector chooses a server for a request among those that could run it.
//
// Each candidate has a score, its cost in units of a server's full load. The candidate with the lowest sum of score and a
// random part is chosen. The random part keeps daemons that know each other's requests late from choosing the same server.
package selector

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// crossZoneCost is the cost of a server in another zone than the daemon's.
	crossZoneCost = 0.15
	// maxJitter is the range of the random part of a server's score where fullJitterDaemons or more choose by
	// outdated counts of each other's requests, so that they don't all choose the same server. With fewer daemons it
	// is proportionally smaller.
	maxJitter         = 0.6
	fullJitterDaemons = 30.0
	// cachedPromptBonus is the score bonus of a server that has the whole prompt in its cache.
	cachedPromptBonus = 0.3
	// latencyCost weighs how much slower a server answers than the fastest one, relative to that one's latency and up
	// to maxRelativeLatency.
	latencyCost        = 0.3
	maxRelativeLatency = 2.0
	// triedCost is the cost of a server that the request was sent to before.
	triedCost = 1
)

// A Candidate is a server that could run the request.
type Candidate struct {
	// Load is the number of requests per slot.
	Load float64
	// ErrorShare is the smoothed share of error answers, Latency the smoothed time to the first part of an answer, 0 if unknown.
	ErrorShare float64
	Latency    time.Duration
	// OtherZone reports whether the server is in another zone than the daemon.
	OtherZone bool
	// CachedShare is the share of the prompt that the server has cached, 0 if that doesn't matter.
	CachedShare float64
	// Tried reports whether the request was sent to the server before.
	Tried bool
}

// A Choice is the chosen candidate and the best alternative. The indexes are negative for none.
type Choice struct {
	Index, Other      int
	Score, OtherScore float64
}

// Choose returns the candidate with the lowest score after a random part is added to each score. Daemons is the number of daemons
// that choose among the same servers.
func Choose(candidates []Candidate, daemons int, rng *rand.Rand) Choice {
	c := Choice{Index: -1, Other: -1}
	fastest := fastestOf(candidates)
	jitter := maxJitter * min(1, float64(daemons)/fullJitterDaemons)
	for _, i := range rng.Perm(len(candidates)) {
		score := candidates[i].score(fastest) + jitter*rng.Float64()
		switch {
		case c.Index < 0 || score < c.Score:
			c.Other, c.OtherScore = c.Index, c.Score
			c.Index, c.Score = i, score
		case c.Other < 0 || score < c.OtherScore:
			c.Other, c.OtherScore = i, score
		}
	}
	return c
}

// score returns the cost of sending the request to the server. Fastest is the lowest latency of all candidates.
func (c *Candidate) score(fastest time.Duration) float64 {
	score := c.Load + c.ErrorShare - cachedPromptBonus*c.CachedShare
	if c.OtherZone {
		score += crossZoneCost
	}
	if fastest > 0 && c.Latency > fastest {
		score += latencyCost * min(maxRelativeLatency, float64(c.Latency-fastest)/float64(fastest))
	}
	if c.Tried {
		score += triedCost
	}
	return score
}

func fastestOf(candidates []Candidate) time.Duration {
	var fastest time.Duration
	for i := range candidates {
		if l := candidates[i].Latency; l > 0 && (fastest == 0 || l < fastest) {
			fastest = l
		}
	}
	return fastest
}

// LeastAvoided returns the index of the server whose backoff ends first, since a possibly failing server is better than none. The
// index is negative if there are no servers.
func LeastAvoided(until []time.Duration) int {
	if len(until) == 0 {
		return -1
	}
	return slices.Index(until, slices.Min(until))
}

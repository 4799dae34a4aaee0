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
	// longReadShare is the share of the gap objective from which on the reading of a prompt counts as long.
	longReadShare = 0.25
	// equalPauses is the ratio up to which pauses beyond the objective count as equal, so that daemons with the same view don't all choose
	// one server.
	equalPauses = 1.1
	// recentBonus is the bonus of a server to which a connection is probably open. It is at most half of the range of the random part, as a
	// single daemon would otherwise never try the other servers while there is little load.
	recentBonus = 0.02
	// pauseCost and firstCost weigh the squares of the expected pause and first event relative to their objectives, up to maxExpected.
	// Pauses of longer answers, which have more of them, count more, by minLength to maxLength. With a linear cost of 1 the busiest of equal
	// engines had more requests than without forecasts.
	pauseCost   = 2.0
	firstCost   = 1.0
	maxExpected = 3.0
	minLength   = 0.5
	maxLength   = 2.0
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
	// Recent reports whether this daemon has sent the server a request lately, so that a connection is probably open.
	Recent bool
	// Forecast is what is expected of the server, zero if nothing is known.
	Forecast Forecast
}

// A Forecast is what is expected of a server if it gets the request.
type Forecast struct {
	// Pause is the longest pause of streams, First the time to the first event.
	Pause time.Duration
	First time.Duration
	// Read is the time in which the prompt is read, which delays running streams. ReadsLong reports whether this daemon has just sent
	// another long prompt.
	Read      time.Duration
	ReadsLong bool
}

// Criteria are what a choice depends on besides the candidates.
type Criteria struct {
	// Daemons is the number of daemons that choose among the same servers.
	Daemons int
	// EventGap and First are the objectives for pauses and the first event. Forecasts count only if EventGap is above 0.
	EventGap time.Duration
	First    time.Duration
	// Length is the length of the answer relative to the mean.
	Length float64
}

// A Choice is the chosen candidate and the best alternative. The indexes are negative for none.
type Choice struct {
	Index, Other      int
	Score, OtherScore float64
}

// Choose returns the candidate with the lowest score after a random part is added to each score.
func Choose(candidates []Candidate, criteria Criteria, rng *rand.Rand) Choice {
	c := Choice{Index: -1, Other: -1}
	fastest := fastestOf(candidates)
	jitter := maxJitter * min(1, float64(criteria.Daemons)/fullJitterDaemons)
	mayChoose := allowed(candidates, criteria)
	for _, i := range rng.Perm(len(candidates)) {
		if !mayChoose[i] {
			continue
		}
		score := jitter * rng.Float64()
		if criteria.EventGap > 0 && candidates[i].Forecast.Pause > 0 {
			score += candidates[i].forecastScore(criteria)
			if candidates[i].Recent {
				score -= min(recentBonus, jitter/2)
			}
		} else {
			score += candidates[i].score(fastest)
		}
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
	score := c.placeScore() + c.Load
	if fastest > 0 && c.Latency > fastest {
		score += latencyCost * min(maxRelativeLatency, float64(c.Latency-fastest)/float64(fastest))
	}
	return score
}

// placeScore returns the part of the score that doesn't depend on load and speed.
func (c *Candidate) placeScore() float64 {
	score := c.ErrorShare - cachedPromptBonus*c.CachedShare
	if c.OtherZone {
		score += crossZoneCost
	}
	if c.Tried {
		score += triedCost
	}
	return score
}

// forecastScore returns the cost by what is expected of the server. Within the objectives a server's load counts as well, so that
// equally fast servers get equal numbers of requests.
func (c *Candidate) forecastScore(criteria Criteria) float64 {
	length := max(minLength, min(maxLength, criteria.Length))
	score := c.placeScore() + c.Load + pauseCost*length*relative(c.Forecast.Pause, criteria.EventGap)
	if criteria.First > 0 {
		score += firstCost * relative(c.Forecast.First, criteria.First)
	}
	return score
}

// relative returns the square of the expected time relative to its objective: far below it, speed matters little.
func relative(expected, objective time.Duration) float64 {
	share := float64(expected) / float64(objective)
	return min(maxExpected, share*share)
}

// allowed reports which candidates may get the request: those that are expected to stay within the gap objective or, if there are none,
// those with the least expected pause. A long prompt avoids servers that this daemon has just sent another one.
func allowed(candidates []Candidate, criteria Criteria) []bool {
	all := make([]bool, len(candidates))
	for i := range all {
		all[i] = true
	}
	if criteria.EventGap <= 0 {
		return all
	}
	narrow(all, func(i int) bool { return !candidates[i].Tried })
	limit := pauseLimit(candidates, all, criteria.EventGap)
	narrow(all, func(i int) bool { return candidates[i].Forecast.Pause <= limit })
	narrow(all, func(i int) bool {
		f := &candidates[i].Forecast
		return !f.ReadsLong || float64(f.Read) < longReadShare*float64(criteria.EventGap)
	})
	return all
}

// pauseLimit returns the longest pause that is allowed: the objective or, if none of the candidates meets that, little more than the least
// expected one.
func pauseLimit(candidates []Candidate, in []bool, objective time.Duration) time.Duration {
	least := time.Duration(-1)
	for i := range candidates {
		if pause := candidates[i].Forecast.Pause; in[i] && (least < 0 || pause < least) {
			least = pause
		}
	}
	return max(objective, time.Duration(equalPauses*float64(least)))
}

// narrow removes the candidates that don't meet a condition unless none would be left.
func narrow(all []bool, meets func(i int) bool) {
	left := 0
	for i, in := range all {
		if in && meets(i) {
			left++
		}
	}
	if left == 0 {
		return
	}
	for i, in := range all {
		all[i] = in && meets(i)
	}
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

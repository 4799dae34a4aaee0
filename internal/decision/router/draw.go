package router

import (
	"math"
	"math/rand/v2"
	"time"
)

// A selection is the choice of one replica among candidates.
type selection struct {
	candidates Candidates
	zone       string
	rng        *rand.Rand
	// allowSuspects reports whether suspect candidates may be chosen, skippedSuspect whether one was left out.
	allowSuspects  bool
	skippedSuspect bool
	// cached has the request's cached prefixes in its first cachedCount elements, the longest first.
	cached      [maxPrefixes]cachedPrefix
	cachedCount int
}

// A cachedPrefix is a prefix of the request that some replica has cached.
type cachedPrefix struct {
	entry *entry
	// share is the fraction of the request's prefixes that it covers.
	share float64
}

// bonus returns how many requests in flight the replica's cached prefixes outweigh.
func (sel *selection) bonus(replica string) float64 {
	best := 0.0
	for i := range sel.cached[:sel.cachedCount] {
		prefix := &sel.cached[i]
		if prefix.share <= best {
			break
		}
		best = max(best, prefix.share*prefix.entry.weight(replica))
	}
	return best * prefixBonus
}

func (sel *selection) choose() Choice {
	var found [3]scoredCandidate
	count := 0
	for range 2 {
		s, ok := sel.randomCandidate(found[:count])
		if !ok {
			break
		}
		found[count] = s
		count++
	}
	if count == 0 {
		return chooseBest(nil)
	}
	if s, ok := sel.cachedCandidate(found[:count]); ok {
		found[count] = s
		count++
	}
	return chooseBest(found[:count])
}

// find returns the index of a replica.
func (sel *selection) find(replica string) (int, bool) {
	if sel.candidates.Find != nil {
		return sel.candidates.Find(replica)
	}
	for i := range sel.candidates.Len {
		if sel.candidates.At(i).Replica == replica {
			return i, true
		}
	}
	return 0, false
}

// cachedCandidate returns a candidate that has cached the longest known prefix and was not found already.
func (sel *selection) cachedCandidate(found []scoredCandidate) (scoredCandidate, bool) {
	tries := 0
	for i := range sel.cached[:sel.cachedCount] {
		e := sel.cached[i].entry
		for _, record := range e.records[:e.count] {
			if tries == maxCachedTries {
				return scoredCandidate{}, false
			}
			tries++
			at, ok := sel.find(record.cache.replica)
			if !ok {
				continue
			}
			if s, ok := sel.score(at, found); ok {
				return s, true
			}
		}
	}
	return scoredCandidate{}, false
}

// randomCandidate returns a random candidate that was not found already. If no random draw gives one that can take the
// request, it returns the next one that can.
func (sel *selection) randomCandidate(found []scoredCandidate) (scoredCandidate, bool) {
	n := sel.candidates.Len
	if n <= len(found) {
		return scoredCandidate{}, false
	}
	at := 0
	for range maxDraws {
		at = sel.rng.IntN(n)
		if s, ok := sel.score(at, found); ok {
			return s, true
		}
	}
	for i := 1; i < n; i++ {
		if s, ok := sel.score((at+i)%n, found); ok {
			return s, true
		}
	}
	return scoredCandidate{}, false
}

// score returns the candidate's score if it can take the request and was not found already.
func (sel *selection) score(index int, found []scoredCandidate) (scoredCandidate, bool) {
	for _, f := range found {
		if f.index == index {
			return scoredCandidate{}, false
		}
	}
	c := sel.candidates.At(index)
	if c.Suspect && !sel.allowSuspects {
		sel.skippedSuspect = true
		return scoredCandidate{}, false
	}
	load := c.load(sel.candidates.ServiceTime)
	if c.MaxInFlight > 0 && load >= float64(c.MaxInFlight) {
		return scoredCandidate{}, false
	}
	score := load
	if c.Zone != sel.zone {
		score += zonePenalty
	}
	if !c.AdapterReady {
		score += adapterPenalty
	}
	bonus := sel.bonus(c.Replica)
	return scoredCandidate{index, score - bonus, bonus}, true
}

// load returns the estimated number of requests in flight. In each service time, half of the remaining reported ones are
// assumed to end.
func (c Candidate) load(service time.Duration) float64 {
	load := float64(c.OwnInFlight)
	if c.ReportedLoad == 0 {
		return load
	}
	age := max(0, c.ReportAge)
	return load + float64(c.ReportedLoad)*math.Exp2(-float64(age)/float64(service))
}

func chooseBest(found []scoredCandidate) Choice {
	switch len(found) {
	case 0:
		return Choice{Index: -1, Other: -1, Reason: ReasonNone}
	case 1:
		return Choice{Index: found[0].index, Score: found[0].score, Other: -1, Reason: ReasonOnly}
	}
	best, other := found[0], found[1]
	if other.score < best.score {
		best, other = other, best
	}
	for _, s := range found[2:] {
		switch {
		case s.score < best.score:
			best, other = s, best
		case s.score < other.score:
			other = s
		}
	}
	reason := ReasonLoad
	if best.score+best.bonus > other.score+other.bonus {
		reason = ReasonPrefix
	}
	return Choice{Index: best.index, Score: best.score, Other: other.index, OtherScore: other.score, Reason: reason}
}

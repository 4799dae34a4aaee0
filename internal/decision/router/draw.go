package router

import (
	"math"
	"math/rand/v2"
	"time"
)

// A draw is one choice among candidates.
type draw struct {
	candidates Candidates
	zone       string
	rng        *rand.Rand
	// suspects tells that suspect candidates count as well, skipped that one was left out.
	suspects bool
	skipped  bool
	// known are the first knownCount ones, the longest prefix first.
	known      [maxPrefixes]known
	knownCount int
}

// known is a prefix of the request that some replica holds.
type known struct {
	entry *entry
	// share is the part of the request's prefixes that it covers.
	share float64
}

// bonus returns how much the replica's cached prefixes are worth.
func (d *draw) bonus(replica string) float64 {
	best := 0.0
	for i := range d.known[:d.knownCount] {
		k := &d.known[i]
		if k.share <= best {
			break
		}
		best = max(best, k.share*k.entry.weight(replica))
	}
	return best * prefixBonus
}

func (d *draw) choose() Choice {
	var found [3]scored
	count := 0
	for range 2 {
		s, ok := d.random(found[:count])
		if !ok {
			break
		}
		found[count] = s
		count++
	}
	if count == 0 {
		return compare(nil)
	}
	if s, ok := d.holder(found[:count]); ok {
		found[count] = s
		count++
	}
	return compare(found[:count])
}

// find returns the index of a replica.
func (d *draw) find(replica string) (int, bool) {
	if d.candidates.Find != nil {
		return d.candidates.Find(replica)
	}
	for i := range d.candidates.Len {
		if d.candidates.At(i).Replica == replica {
			return i, true
		}
	}
	return 0, false
}

// holder returns a candidate that holds the longest prefix known and was not found already.
func (d *draw) holder(found []scored) (scored, bool) {
	tries := 0
	for i := range d.known[:d.knownCount] {
		e := d.known[i].entry
		for _, held := range e.holdings[:e.count] {
			if tries == maxHolderTries {
				return scored{}, false
			}
			tries++
			at, ok := d.find(held.holder.replica)
			if !ok {
				continue
			}
			if s, ok := d.score(at, found); ok {
				return s, true
			}
		}
	}
	return scored{}, false
}

// random returns a random candidate that was not found already. If random draws meet none that can
// take the request, it returns the next one that can.
func (d *draw) random(found []scored) (scored, bool) {
	n := d.candidates.Len
	if n <= len(found) {
		return scored{}, false
	}
	at := 0
	for range maxDraws {
		at = d.rng.IntN(n)
		if s, ok := d.score(at, found); ok {
			return s, true
		}
	}
	for i := 1; i < n; i++ {
		if s, ok := d.score((at+i)%n, found); ok {
			return s, true
		}
	}
	return scored{}, false
}

// score returns the candidate's score if it can take the request and was not found already.
func (d *draw) score(index int, found []scored) (scored, bool) {
	for _, f := range found {
		if f.index == index {
			return scored{}, false
		}
	}
	c := d.candidates.At(index)
	if c.Suspect && !d.suspects {
		d.skipped = true
		return scored{}, false
	}
	load := c.load(d.candidates.ServiceTime)
	if c.MaxInFlight > 0 && load >= float64(c.MaxInFlight) {
		return scored{}, false
	}
	score := load
	if c.Zone != d.zone {
		score += zonePenalty
	}
	if !c.AdapterReady {
		score += adapterPenalty
	}
	bonus := d.bonus(c.Replica)
	return scored{index, score - bonus, bonus}, true
}

// load returns how many requests are thought to be in flight. Of those in a report, half are taken to
// have ended after each service time.
func (c Candidate) load(service time.Duration) float64 {
	load := float64(c.OwnInFlight)
	if c.ReportedLoad == 0 {
		return load
	}
	age := max(0, c.ReportAge)
	return load + float64(c.ReportedLoad)*math.Exp2(-float64(age)/float64(service))
}

func compare(found []scored) Choice {
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

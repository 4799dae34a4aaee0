// Package router chooses the replica that runs a request.
package router

import (
	"math/rand/v2"
	"time"
)

const (
	// DefaultServiceTime is the service time that is assumed if Candidates.ServiceTime is not set.
	DefaultServiceTime = time.Second
	// prefixBonus is how many requests in flight a fully cached prompt outweighs.
	prefixBonus = 4.0
	// zonePenalty is the cost of another availability zone, in requests in flight.
	zonePenalty = 0.5
	// adapterPenalty is the cost of an adapter that must be loaded first, in requests in flight.
	adapterPenalty = 2.0
	// maxPrefixes bounds the prefixes of a request that are looked up, the longest first.
	maxPrefixes = 16
	// maxCachedTries bounds the replicas with a cached prefix that are tried.
	maxCachedTries = 4
	// maxDraws bounds the random draws before the candidates are tried in order.
	maxDraws = 4
)

// A Reason is why a replica was chosen, for the decision log.
type Reason string

// The reasons.
const (
	// ReasonNone means that no replica can take the request.
	ReasonNone Reason = "no replica free"
	// ReasonOnly means that no other replica could take the request.
	ReasonOnly Reason = "only replica free"
	// ReasonLoad means that the replica had the lowest score of those compared.
	ReasonLoad Reason = "less loaded"
	// ReasonPrefix means that the replica's prefix cache decided.
	ReasonPrefix Reason = "prefix cached"
	// ReasonSuspect means that all other replicas are full or suspect too.
	ReasonSuspect Reason = "only suspect replicas free"
)

// A Candidate is a replica that may run a request. Full replicas are never chosen.
type Candidate struct {
	Replica string
	Server  string
	Zone    string
	// OwnInFlight is the number of this daemon's requests there, including those since the report.
	OwnInFlight int
	// ReportedLoad is the number of other daemons' requests that ran or waited there at the last report.
	ReportedLoad int
	// ReportAge is the age of the report.
	ReportAge time.Duration
	// MaxInFlight bounds the requests that the replica runs at once; zero means no bound.
	MaxInFlight int
	// AdapterReady reports whether the request's adapter is in a slot, or the request needs none.
	AdapterReady bool
	// Suspect reports whether the server may be failing. A suspect is chosen only if no other replica is free.
	Suspect bool
}

// Candidates are the replicas that may run a request.
type Candidates struct {
	// Len is the number of candidates.
	Len int
	// At returns the candidate at an index.
	At func(i int) Candidate
	// Find returns the index of a replica. If it is nil, the candidates are searched in order.
	Find func(replica string) (int, bool)
	// ServiceTime is the mean time that a request runs. It serves to estimate how many requests of an old report have
	// ended. Zero means DefaultServiceTime.
	ServiceTime time.Duration
}

// A Choice is the chosen replica and the best alternative that was compared.
type Choice struct {
	// Index is -1 if no replica can take the request.
	Index int
	Score float64
	// Other is -1 if there was no alternative.
	Other      int
	OtherScore float64
	Reason     Reason
}

// A Router chooses replicas. The replica with the lowest score wins; scores are in requests in flight. The zero value
// is ready to use.
type Router struct {
	Prefixes PrefixTable
}

// A scoredCandidate is a candidate with its score.
type scoredCandidate struct {
	index int
	score float64
	bonus float64
}

// Choose compares two random candidates and one that has cached the longest known prefix of the request, and returns
// the best. Prefixes are ordered by length, shortest first. Zone is the daemon's own. Choose does not allocate.
func (r *Router) Choose(c Candidates, prefixes []uint64, zone string, rng *rand.Rand) Choice {
	sel := selection{candidates: c, zone: zone, rng: rng}
	if sel.candidates.ServiceTime <= 0 {
		sel.candidates.ServiceTime = DefaultServiceTime
	}
	r.lookUpPrefixes(&sel, prefixes)
	choice := sel.choose()
	if choice.Index >= 0 || !sel.skippedSuspect {
		return choice
	}
	sel.allowSuspects = true
	choice = sel.choose()
	if choice.Index >= 0 {
		choice.Reason = ReasonSuspect
	}
	return choice
}

// lookUpPrefixes looks up the request's prefixes, longest first.
func (r *Router) lookUpPrefixes(sel *selection, prefixes []uint64) {
	if len(r.Prefixes.entries) == 0 {
		return
	}
	for i := len(prefixes) - 1; i >= 0 && i >= len(prefixes)-maxPrefixes; i-- {
		if e, ok := r.Prefixes.entries[prefixes[i]]; ok {
			sel.cached[sel.cachedCount] = cachedPrefix{e, float64(i+1) / float64(len(prefixes))}
			sel.cachedCount++
		}
	}
}

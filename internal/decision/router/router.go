// Package router chooses the replica that runs a request.
package router

import (
	"math/rand/v2"
	"time"
)

const (
	// DefaultService is the service time that is expected if the candidates don't state it.
	DefaultServiceTime = time.Second
	// prefixBonus is how many requests in flight a wholly cached prompt outweighs.
	prefixBonus = 4.0
	// zonePenalty is how many requests in flight another availability zone counts for.
	zonePenalty = 0.5
	// adapterPenalty is how many requests in flight an adapter that must be loaded first counts for.
	adapterPenalty = 2.0
	// maxPrefixes bounds the prefixes of a request that are looked at; the longest ones are.
	maxPrefixes = 16
	// maxHolderTries bounds the holders of prefixes that are looked at.
	maxHolderTries = 4
	// maxDraws is how many random draws are made before the candidates are looked at in order.
	maxDraws = 4
)

// A Reason tells why a replica was chosen, for the decision log.
type Reason string

// The reasons.
const (
	// ReasonNone means that no replica can take the request.
	ReasonNone Reason = "no replica free"
	// ReasonOnly means that there was no alternative.
	ReasonOnly Reason = "only replica free"
	// ReasonLoad means that it was the less loaded of the replicas drawn.
	ReasonLoad Reason = "less loaded"
	// ReasonPrefix means that its prefix cache made the difference.
	ReasonPrefix Reason = "prefix cached"
	// ReasonSuspect means that all other replicas are full or suspect too.
	ReasonSuspect Reason = "only suspect replicas free"
)

// A Candidate is a replica that may run a request. Full replicas are never chosen.
type Candidate struct {
	Replica string
	Server  string
	Zone    string
	// OwnInFlight is how many requests this daemon runs there, those since the report included.
	OwnInFlight int
	// ReportedLoad is how many requests of others ran or waited there at the last report.
	ReportedLoad int
	// ReportAge is how old the report is.
	ReportAge time.Duration
	// MaxInFlight is how many requests the replica runs at once; zero means any number.
	MaxInFlight int
	// AdapterReady tells that the adapter asked for is in a slot, or that none is asked for.
	AdapterReady bool
	// Suspect tells that the server may be failing; it is chosen only if no other is free.
	Suspect bool
}

// Candidates are the replicas that may run a request.
type Candidates struct {
	// Len is how many there are.
	Len int
	// At returns the candidate with the index.
	At func(i int) Candidate
	// Find returns the index of a replica; nil means that candidates are compared one by one.
	Find func(replica string) (int, bool)
	// Service is how long a request runs on average, so that it is known how many of the requests in an
	// old report have ended; zero means DefaultService.
	ServiceTime time.Duration
}

// A Choice is the replica chosen and the best alternative that was looked at.
type Choice struct {
	// Index is -1 if no replica can take the request.
	Index int
	Score float64
	// Other is -1 if there was no alternative.
	Other      int
	OtherScore float64
	Reason     Reason
}

// A Router chooses replicas. A score is a number of requests in flight; the lowest wins. The zero
// value is ready to use.
type Router struct {
	Prefixes PrefixTable
}

// scored is a candidate that is compared with others.
type scored struct {
	index int
	score float64
	bonus float64
}

// Choose chooses among two random candidates and the one that is known to hold the longest of the
// request's prefixes, which are ordered by length, shortest first. Zone is the daemon's own. It does
// not allocate.
func (r *Router) Choose(c Candidates, prefixes []uint64, zone string, rng *rand.Rand) Choice {
	d := draw{candidates: c, zone: zone, rng: rng}
	if d.candidates.ServiceTime <= 0 {
		d.candidates.ServiceTime = DefaultServiceTime
	}
	r.lookUp(&d, prefixes)
	choice := d.choose()
	if choice.Index >= 0 || !d.skipped {
		return choice
	}
	d.suspects = true
	choice = d.choose()
	if choice.Index >= 0 {
		choice.Reason = ReasonSuspect
	}
	return choice
}

// lookUp finds the entries of the request's prefixes, longest first.
func (r *Router) lookUp(d *draw, prefixes []uint64) {
	if len(r.Prefixes.entries) == 0 {
		return
	}
	for i := len(prefixes) - 1; i >= 0 && i >= len(prefixes)-maxPrefixes; i-- {
		if e, ok := r.Prefixes.entries[prefixes[i]]; ok {
			d.known[d.knownCount] = known{e, float64(i+1) / float64(len(prefixes))}
			d.knownCount++
		}
	}
}

package breaker

import (
	"slices"
	"time"

	"samphirewharf/internal/decision/selector"
)

const (
	// probeShare is the share of a service's requests that may probe servers in vain while other servers have room, a part of the retry
	// budget. maxProbes bounds the probes that add up.
	probeShare = 0.05
	maxProbes  = 4
	// validGain is what a valid answer to a probe adds, so that servers that are sound again are found faster and faster.
	validGain = 1.25
	// manyProbes is the number of probes left from which on suspect servers are probed although there are unproven ones, and by requests that
	// can't be repeated.
	manyProbes = 2
	// With two suspect servers or more, and at least one in doubtRatio of those that are suspect or proven, servers that aren't proven
	// are in doubt. A daemon of a large fleet sends a server a request in minutes, and would pay for each of many bad servers.
	doubtRatio = 10
	// idleTime is how long after the backoff, or a valid answer, a request that can't be repeated may probe a server: what may be repeated
	// probes first, but a service may have none of that. briefIdleTime is the same after a valid answer, and for a request that no other
	// server could run.
	idleTime      = 30 * time.Second
	briefIdleTime = time.Second
)

// Probes are what one daemon may send to servers of a service that are suspect or in doubt. The zero value allows none at first.
type Probes struct{ left float64 }

// A Request is what matters of a request.
type Request struct {
	// Repeatable reports whether the request may be sent to another server after a failure.
	Repeatable bool
	// Repeat reports whether a server has failed it. The retry budget bounds those.
	Repeat bool
	// Full reports whether servers that have no room now, and aren't suspect, could run the request.
	Full bool
}

// A Choice is which servers may get a request.
type Choice struct {
	// Indexes are those of the servers.
	Indexes []int
	// Probe reports whether the request is a probe.
	Probe bool
	// Failing reports whether none may since all give invalid answers and have been probed lately.
	Failing bool
}

// WithRequest returns the probes after a request of a caller.
func (p Probes) WithRequest() Probes { return p.with(probeShare) }

// WithProbe returns the probes after one was sent.
func (p Probes) WithProbe() Probes { return p.with(-1) }

// WithValid returns the probes after a valid answer to one.
func (p Probes) WithValid() Probes { return p.with(validGain) }

func (p Probes) with(change float64) Probes {
	p.left = min(max(p.left+change, 0), maxProbes)
	return p
}

// AllClosed reports whether all servers may get any request, as on most days.
func AllClosed(now time.Duration, servers []Breaker) bool {
	return !slices.ContainsFunc(servers, func(b Breaker) bool { return b.Open(now) || b.Suspect() })
}

// Choose returns which of the servers that have room may get a request.
func (p Probes) Choose(now time.Duration, servers []Breaker, r Request) Choice {
	c := classify(now, servers)
	sound, doubted := c.sound(servers)
	switch probe := longestWaiting(now, servers, c.suspect, r); {
	case len(sound) == 0 && !r.Full:
		return probedAlone(now, servers, c.suspect, r)
	case len(sound) > 0 && len(doubted) > 0 && r.Repeatable && p.left >= 1 && p.left < manyProbes:
		return Choice{Indexes: doubted, Probe: true}
	case probe >= 0 && (len(sound) == 0 || p.left >= manyProbes || r.Repeatable && p.left >= 1):
		return Choice{Indexes: []int{probe}, Probe: true}
	default:
		return Choice{Indexes: sound}
	}
}

// probedAlone returns which of the suspect servers may get a request that no other server could run. What may give a valid answer is
// better than none.
func probedAlone(now time.Duration, servers []Breaker, suspects []int, r Request) Choice {
	if !r.Repeatable {
		now -= briefIdleTime
	}
	c := Choice{Probe: true}
	for _, i := range suspects {
		if r.Repeat || !servers[i].Failing() || !servers[i].Open(now) {
			c.Indexes = append(c.Indexes, i)
		}
	}
	c.Failing = len(c.Indexes) == 0
	return c
}

// classes are the indexes of servers by their breakers: closed with and without a recent valid answer, open for a failure, and suspect.
type classes struct{ proven, unproven, open, suspect []int }

func classify(now time.Duration, servers []Breaker) classes {
	var c classes
	for i := range servers {
		switch b := &servers[i]; {
		case b.Suspect():
			c.suspect = append(c.suspect, i)
		case b.Open(now):
			c.open = append(c.open, i)
		case b.proven(now):
			c.proven = append(c.proven, i)
		default:
			c.unproven = append(c.unproven, i)
		}
	}
	return c
}

// sound returns the servers that may get any request, and those that are in doubt.
func (c *classes) sound(servers []Breaker) (sound, doubted []int) {
	switch doubt := len(c.suspect) > 1 && len(c.suspect)*doubtRatio >= len(c.suspect)+len(c.proven); {
	case doubt && len(c.proven) > 0:
		return c.proven, c.unproven
	case len(c.proven)+len(c.unproven) > 0:
		sound = slices.Concat(c.proven, c.unproven)
		slices.Sort(sound)
		return sound, nil
	}
	until := make([]time.Duration, 0, len(c.open))
	for _, i := range c.open {
		until = append(until, servers[i].openUntil)
	}
	if i := selector.LeastAvoided(until); i >= 0 {
		return c.open[i : i+1], nil
	}
	return nil, nil
}

// longestWaiting returns the half-open server that has waited for a probe for the longest time, negative for none.
func longestWaiting(now time.Duration, servers []Breaker, suspects []int, r Request) int {
	longest := -1
	for _, i := range suspects {
		if now >= servers[i].halfOpenAt(r) && (longest < 0 || servers[i].openUntil < servers[longest].openUntil) {
			longest = i
		}
	}
	return longest
}

// RetryIn returns the time until the first of the servers may get a request, for which there is none now.
func RetryIn(now time.Duration, servers []Breaker, r Request) time.Duration {
	wait := maxBackoff
	for i := range servers {
		wait = min(wait, max(servers[i].openUntil-now, 0))
	}
	if !r.Repeatable {
		wait += briefIdleTime
	}
	return wait
}

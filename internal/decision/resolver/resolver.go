// Package resolver chooses the daemons for a caller's address look-up.
package resolver

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// MaxDaemons is the maximum number of daemons in an answer.
	MaxDaemons = 4
	// DefaultTimeToLive is how long callers may cache an answer by default.
	DefaultTimeToLive = 30 * time.Second
)

// A Daemon is one daemon of a cell.
type Daemon struct {
	ID      string
	Address string
	Zone    string
	// Leaving reports whether the daemon is in a planned stop.
	Leaving bool
}

// An Answer is the result of an address look-up.
type Answer struct {
	// Daemons are ordered by preference. None of them is in a planned stop.
	Daemons []Daemon
	// TimeToLive is how long the caller may cache the answer.
	TimeToLive time.Duration
}

// A Resolver answers address look-ups. The zero value only distinguishes equal and different zones.
type Resolver struct {
	// Distance returns the one-way network delay between two availability zones.
	Distance func(from, to string) time.Duration
	// TimeToLive is how long callers may cache an answer; zero means DefaultTimeToLive.
	TimeToLive time.Duration
}

type rankedDaemon struct {
	daemon   Daemon
	distance time.Duration
}

// Resolve returns at most MaxDaemons daemons for a caller in the zone, nearest first and in random order at
// equal distance. It returns none if all are in a planned stop.
func (r Resolver) Resolve(daemons []Daemon, zone string, rng *rand.Rand) Answer {
	list := make([]rankedDaemon, 0, len(daemons))
	for _, d := range daemons {
		if !d.Leaving {
			list = append(list, rankedDaemon{d, r.distance(zone, d.Zone)})
		}
	}
	rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	slices.SortStableFunc(list, func(a, b rankedDaemon) int { return int(a.distance - b.distance) })
	list = list[:min(len(list), MaxDaemons)]
	answer := Answer{TimeToLive: r.TimeToLive}
	if answer.TimeToLive <= 0 {
		answer.TimeToLive = DefaultTimeToLive
	}
	for _, entry := range list {
		answer.Daemons = append(answer.Daemons, entry.daemon)
	}
	return answer
}

func (r Resolver) distance(from, to string) time.Duration {
	if from == to {
		return 0
	}
	if r.Distance == nil {
		return 1
	}
	return r.Distance(from, to)
}

// Package pacer paces the retries of a call that fails: the delay doubles with each failure, with jitter, so that
// many daemons don't press a service that is out or has just come back.
package pacer

import (
	"math/rand/v2"
	"time"
)

// jitterShare is the part of a delay by which it is shortened or lengthened at most.
const jitterShare = 4

// A Backoff gives the delays between the tries of one call. It is not safe for concurrent use.
type Backoff struct {
	// First is the delay after the first failure, Max the longest one, both before jitter.
	Initial time.Duration
	Max     time.Duration

	// last is the delay after the latest failure before jitter, 0 if none came since the last success.
	lastDelay time.Duration
}

// Next takes a failure and returns how long to wait before the next try. A nil random leaves out the jitter.
func (b *Backoff) Next(random *rand.Rand) time.Duration {
	b.lastDelay = min(max(b.Initial, 2*b.lastDelay), max(b.Initial, b.Max))
	spread := int64(b.lastDelay / jitterShare)
	if random == nil || spread == 0 {
		return b.lastDelay
	}
	return b.lastDelay + time.Duration(random.Int64N(2*spread+1)-spread)
}

// Reset takes a success: the next failure counts as the first.
func (b *Backoff) Reset() { b.lastDelay = 0 }

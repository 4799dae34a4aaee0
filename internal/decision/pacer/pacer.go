// Package pacer implements exponential backoff with jitter for the retries of a failing call, so that many
// daemons don't overload a service that is down or has just recovered.
package pacer

import (
	"math/rand/v2"
	"time"
)

// jitterDivisor is the divisor for the largest jitter: a delay changes by at most a quarter of itself.
const jitterDivisor = 4

// A Backoff returns the delays between the attempts of one call. It is not safe for concurrent use.
type Backoff struct {
	// Initial is the delay after the first failure and Max the longest delay, both before jitter.
	Initial time.Duration
	Max     time.Duration

	// lastDelay is the delay after the last failure before jitter, 0 if there was none since the last
	// success.
	lastDelay time.Duration
}

// Next records a failure and returns how long to wait before the next attempt. A nil random means no jitter.
func (b *Backoff) Next(random *rand.Rand) time.Duration {
	b.lastDelay = min(max(b.Initial, 2*b.lastDelay), max(b.Initial, b.Max))
	spread := int64(b.lastDelay / jitterDivisor)
	if random == nil || spread == 0 {
		return b.lastDelay
	}
	return b.lastDelay + time.Duration(random.Int64N(2*spread+1)-spread)
}

// Reset records a success: the next failure counts as the first.
func (b *Backoff) Reset() { b.lastDelay = 0 }

package executor

import (
	"math/rand/v2"
	"time"
)

const (
	// minRetry is how long after a first failure a call is repeated at most. The time doubles with each failure in a
	// row, up to maxRetry.
	minRetryDelay = 500 * time.Millisecond
	maxRetryDelay = 8 * time.Second
)

// A backoff spaces the repeats of a call, so that many daemons don't overload a service that comes back. The zero
// value is for a call that has not failed.
type backoff struct {
	// longest is the longest time that the next repeat may wait, 0 before the first.
	maxDelay time.Duration
}

// next returns how long to wait before the next repeat: a random time from half of the longest to all of it.
func (b *backoff) next() time.Duration {
	b.maxDelay = min(max(2*b.maxDelay, minRetryDelay), maxRetryDelay)
	return b.maxDelay/2 + rand.N(b.maxDelay/2)
}

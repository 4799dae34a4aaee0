package executor

import (
	"math/rand/v2"
	"time"
)

const (
	// minRetryDelay bounds the delay before the first retry of a failed call. The bound doubles with each consecutive
	// failure, up to maxRetryDelay.
	minRetryDelay = 500 * time.Millisecond
	maxRetryDelay = 8 * time.Second
)

// A backoff determines the delays between retries of a call, so that many daemons don't overload a recovering service.
// The zero value is for a call that has not failed.
type backoff struct {
	// maxDelay bounds the delay before the next retry; it is 0 before the first one.
	maxDelay time.Duration
}

// next returns the delay before the next retry: a random duration between half of maxDelay and maxDelay.
func (b *backoff) next() time.Duration {
	b.maxDelay = min(max(2*b.maxDelay, minRetryDelay), maxRetryDelay)
	return b.maxDelay/2 + rand.N(b.maxDelay/2)
}

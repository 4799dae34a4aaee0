// Package limiter limits retries and the loads of one cell from the weight store.
package limiter

import "time"

const (
	// DefaultRetryShare is how many retries each success allows by default.
	DefaultRetryShare = 0.1
	// minRetriesPerSecond is the rate of retries that is allowed without any success.
	minRetriesPerSecond = 0.2
	// maxRetries is the capacity of the budget.
	maxRetries = 10.0
)

// A RetryBudget limits retries to a share of successes plus a small minimum rate, so that retries don't
// multiply the load of a failing fleet. The zero value is ready to use and full.
type RetryBudget struct {
	// Share is how many retries each success allows; zero means DefaultRetryShare.
	Share float64

	// used is how much of maxRetries is spent, from 0 to maxRetries.
	used    float64
	updated time.Duration
}

// Spend takes one retry from the budget and reports whether it may be sent.
func (b *RetryBudget) Spend(now time.Duration) bool {
	b.refill(now)
	if b.used > maxRetries-1 {
		return false
	}
	b.used++
	return true
}

// RecordSuccess adds the share of one successful request to the budget.
func (b *RetryBudget) RecordSuccess() {
	share := b.Share
	if share <= 0 {
		share = DefaultRetryShare
	}
	b.used = max(0, b.used-share)
}

func (b *RetryBudget) refill(now time.Duration) {
	if now <= b.updated {
		return
	}
	b.used = max(0, b.used-minRetriesPerSecond*(now-b.updated).Seconds())
	b.updated = now
}

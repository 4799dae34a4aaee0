// Package allotter gives each daemon its share of a budget that all daemons have in common, without communication
// between them.
package allotter

import "time"

const (
	// windowBuckets is the number of buckets in a window.
	windowBuckets = 20
	// safetyFactor is the fraction of the budget that all daemons together may use, since each one's count of daemons
	// lags.
	safetyFactor = 0.8
	// freshFactor is the fraction that a process may use which has just replaced another one. Together they stay within the whole.
	freshFactor = 1 - safetyFactor
)

// A RetryBudget bounds the retries of one service within a sliding window. The zero value allows none.
type RetryBudget struct {
	// Window is the length of the sliding window.
	Window time.Duration
	// Ratio is the number of retries that each request allows.
	Ratio float64
	// Slack is the number of additional retries for all daemons together.
	Slack float64
	// FreshUntil is until when a process that ran before this one may have used its share in the same window.
	FreshUntil time.Duration

	// buckets is a ring of the counts of the last two windows. The rule for retries allows the larger budget of the
	// two; count uses only the newer window.
	buckets [2 * windowBuckets]bucket
}

type bucket struct {
	number   int64
	requests int
	retries  int
}

// CountRequest counts a caller's request.
func (b *RetryBudget) CountRequest(now time.Duration) {
	if c := b.currentBucket(now); c != nil {
		c.requests++
	}
}

// Spend uses one retry and reports whether this daemon's share had one left. Daemons is the number of daemons that
// share the budget.
func (b *RetryBudget) Spend(now time.Duration, daemons int) bool {
	c := b.currentBucket(now)
	if c == nil || b.Remaining(now, daemons) < 1 {
		return false
	}
	c.retries++
	return true
}

// Remaining returns how many retries this daemon may still send in the window that ends now.
func (b *RetryBudget) Remaining(now time.Duration, daemons int) float64 {
	requests, retries := b.count(now)
	factor := safetyFactor
	if now < b.FreshUntil {
		factor = freshFactor
	}
	return factor*(b.Ratio*float64(requests)+b.Slack/float64(max(daemons, 1))) - float64(retries)
}

func (b *RetryBudget) currentBucket(now time.Duration) *bucket {
	if b.Window <= 0 {
		return nil
	}
	number := b.number(now)
	c := &b.buckets[number%int64(len(b.buckets))]
	if c.number != number {
		*c = bucket{number: number}
	}
	return c
}

func (b *RetryBudget) count(now time.Duration) (requests, retries int) {
	if b.Window <= 0 {
		return 0, 0
	}
	last := b.number(now)
	for _, c := range b.buckets {
		// Count one bucket more than the window, since part of the oldest one is inside.
		if c.number > last-windowBuckets-1 && c.number <= last {
			requests += c.requests
			retries += c.retries
		}
	}
	return requests, retries
}

// number returns the bucket number of a time. It starts at 1, so that the zero value of a bucket is never current.
func (b *RetryBudget) number(now time.Duration) int64 { return int64(now/(b.Window/windowBuckets)) + 1 }

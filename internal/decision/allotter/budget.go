// Package allotter gives each daemon its share of a budget that all daemons keep together, without talking to them.
package allotter

import "time"

const (
	// bucketCount is into how many parts a window is cut.
	bucketCount = 20
	// safety is the part of the whole budget that the daemons use together, since their counts of each other lag.
	safety = 0.8
)

// A Budget bounds repeated sends of one service within a sliding window. The zero value allows none.
type Budget struct {
	// Window is the span that the bound holds for.
	Window time.Duration
	// Ratio is how many repeats each request allows.
	Ratio float64
	// Slack is how many repeats all daemons together may send besides.
	Slack float64

	// buckets hold the counts of the last two windows; the rule lets the better one count.
	buckets [2 * bucketCount]bucket
}

type bucket struct {
	number   int64
	requests int
	repeats  int
}

// CountRequest counts a caller's request.
func (b *Budget) CountRequest(now time.Duration) {
	if c := b.at(now); c != nil {
		c.requests++
	}
}

// Spend takes one repeat if this daemon's share has one left. Daemons is how many share the budget.
func (b *Budget) Spend(now time.Duration, daemons int) bool {
	c := b.at(now)
	if c == nil || b.Remaining(now, daemons) < 1 {
		return false
	}
	c.repeats++
	return true
}

// Remaining returns how many repeats this daemon may still send in the window that ends now.
func (b *Budget) Remaining(now time.Duration, daemons int) float64 {
	requests, repeats := b.count(now)
	return safety*(b.Ratio*float64(requests)+b.Slack/float64(max(daemons, 1))) - float64(repeats)
}

func (b *Budget) at(now time.Duration) *bucket {
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

func (b *Budget) count(now time.Duration) (requests, repeats int) {
	if b.Window <= 0 {
		return 0, 0
	}
	last := b.number(now)
	for _, c := range b.buckets {
		// One bucket more than the window, since the oldest one is partly inside.
		if c.number > last-bucketCount-1 && c.number <= last {
			requests += c.requests
			repeats += c.repeats
		}
	}
	return requests, repeats
}

// number returns the bucket of a moment, from 1 so that the zero value of a bucket is never current.
func (b *Budget) number(now time.Duration) int64 { return int64(now/(b.Window/bucketCount)) + 1 }

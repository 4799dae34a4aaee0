package placer

import (
	"math"
	"time"
)

const (
	// refusalTTL is how long a refused request counts as demand.
	refusalTTL = 8 * time.Second
	// rateTimeConstant is the time constant of the exponential decay of arrival rates.
	rateTimeConstant = 6 * time.Second
)

// A History is the arrival rate and the recent refusals of a model. NewHistory returns one.
type History struct {
	rate      float64
	ratedAt   time.Duration
	refused   int
	refusedAt time.Duration
}

// NewHistory returns a history without arrivals.
func NewHistory(now time.Duration) *History { return &History{ratedAt: now} }

// Add counts arrivals in the exponentially decaying rate, and refusals.
func (h *History) Add(now time.Duration, arrived, refused int) {
	h.rate = h.Rate(now) + float64(arrived)/rateTimeConstant.Seconds()
	h.ratedAt = now
	if refused > 0 {
		h.refused = h.RecentRefusals(now) + refused
		h.refusedAt = now
	}
}

// Rate returns the arrivals a second.
func (h *History) Rate(now time.Duration) float64 {
	return h.rate * math.Exp(-float64(now-h.ratedAt)/float64(rateTimeConstant))
}

// RecentRefusals returns the number of requests that were refused lately.
func (h *History) RecentRefusals(now time.Duration) int {
	if now > h.refusedAt+refusalTTL {
		return 0
	}
	return h.refused
}

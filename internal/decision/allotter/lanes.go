package allotter

import "time"

const (
	// initialLimit is the limit before any load was observed.
	initialLimit = 2
	// maxLimit bounds the limit. More loads at once would leave too few hosts for requests.
	maxLimit = 4
	// maxTimelyRatio is the largest ratio of a load's time to its time when alone at which the load is timely.
	maxTimelyRatio = 1.25
	// overdueRatio is the ratio of a running load's time to its time when alone above which too many loads run at once.
	overdueRatio = 1.5
)

// A ConcurrencyLimiter finds how many loads a shared source of weights can serve at once without slowing down. Most
// models are in a store of unknown bandwidth, and loads beyond its capacity only delay each other. The limit starts
// low, doubles while loads are timely, and drops to what the observed times imply. The zero value is ready to use.
type ConcurrencyLimiter struct {
	// limit is the number of loads that may run at once; zero means initialLimit.
	limit int
}

// Limit returns the number of loads that may run at once.
func (l *ConcurrencyLimiter) Limit() int {
	if l.limit == 0 {
		return initialLimit
	}
	return l.limit
}

// ObserveCompleted takes the time of a completed load, its time when alone, and the number of loads that ran at once,
// including itself.
func (l *ConcurrencyLimiter) ObserveCompleted(elapsed, alone time.Duration, concurrent int) {
	if float64(elapsed) > maxTimelyRatio*float64(alone) {
		l.lower(elapsed, alone, concurrent)
		return
	}
	if concurrent >= l.Limit() {
		l.limit = min(2*l.Limit(), maxLimit)
	}
}

// ObserveRunning takes the time so far of a load that is still running.
func (l *ConcurrencyLimiter) ObserveRunning(elapsed, alone time.Duration, concurrent int) {
	if float64(elapsed) > overdueRatio*float64(alone) {
		l.lower(elapsed, alone, concurrent)
	}
}

// lower lowers the limit to the capacity that would explain the observed time.
func (l *ConcurrencyLimiter) lower(elapsed, alone time.Duration, concurrent int) {
	if concurrent > 1 && alone > 0 {
		l.limit = max(1, min(l.Limit(), int(float64(concurrent)*float64(alone)/float64(elapsed))))
	}
}

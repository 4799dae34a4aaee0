package allotter

import "time"

const (
	// lanesFirst is how many lanes there are before anything is known.
	lanesFirst = 2
	// lanesMost bounds the lanes. More loads at once would leave too few hosts for requests.
	lanesMost = 4
	// timelyRatio is up to how many times its own time a load may take to count as timely.
	timelyRatio = 1.25
	// overdueRatio is from how many times its own time on a load shows that there are too many at once.
	overdueRatio = 1.5
)

// ConcurrencyLimiter finds out how many loads a shared source of weights serves at once without slowing them. The load that it
// answers: most models lie in a store that nobody says the width of, and loads beyond it only delay each other. It
// begins with few, doubles while loads are timely, and shrinks to what their times show. The zero value is ready to use.
type ConcurrencyLimiter struct {
	// number is how many loads may run at once, 0 for the first number.
	number int
}

// Limit returns how many loads may run at once.
func (l *ConcurrencyLimiter) Limit() int {
	if l.number == 0 {
		return lanesFirst
	}
	return l.number
}

// ObserveCompleted takes the time of a load that has ended, beside its own time when alone and how many ran with it, itself
// included.
func (l *ConcurrencyLimiter) ObserveCompleted(took, alone time.Duration, together int) {
	if float64(took) > timelyRatio*float64(alone) {
		l.shrink(took, alone, together)
		return
	}
	if together >= l.Limit() {
		l.number = min(2*l.Limit(), lanesMost)
	}
}

// ObserveRunning takes how long a load has been running that hasn't ended.
func (l *ConcurrencyLimiter) ObserveRunning(running, alone time.Duration, together int) {
	if float64(running) > overdueRatio*float64(alone) {
		l.shrink(running, alone, together)
	}
}

// shrink sets the number that a source would have that made the loads take so long.
func (l *ConcurrencyLimiter) shrink(took, alone time.Duration, together int) {
	if together > 1 && alone > 0 {
		l.number = max(1, min(l.Limit(), int(float64(together)*float64(alone)/float64(took))))
	}
}

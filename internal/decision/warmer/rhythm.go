package warmer

import "time"

const (
	// gapAverageWeight is the weight of a new gap in the moving averages.
	gapAverageWeight = 1.0 / 8
	// arrivalDeviations is the number of mean deviations around the mean gap within which an arrival is expected.
	arrivalDeviations = 3
)

// A gapAverage is the moving average of the gaps between arrivals and of their deviation, in seconds.
type gapAverage struct {
	mean      float32
	deviation float32
}

// add adds a gap. A gap of more than twice the mean, such as a night, counts as twice the mean.
func (r *gapAverage) add(gap time.Duration) {
	seconds := float32(gap.Seconds())
	if r.mean == 0 {
		r.mean = seconds
		r.deviation = seconds / 4
		return
	}
	difference := min(seconds-r.mean, r.mean)
	r.mean += difference * gapAverageWeight
	r.deviation += (max(difference, -difference) - r.deviation) * gapAverageWeight
}

// expectedArrival returns the earliest and the latest time after an arrival at which the next one is expected.
func (r *gapAverage) expectedArrival() (early, late time.Duration) {
	spread := r.deviation * arrivalDeviations
	return seconds(max(0, r.mean-spread)), seconds(r.mean + spread)
}

func seconds(s float32) time.Duration { return time.Duration(float64(s) * float64(time.Second)) }

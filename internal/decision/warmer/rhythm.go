package warmer

import "time"

const (
	// rhythmWeight is the weight of a new gap in a rhythm's averages.
	rhythmWeight = 1.0 / 8
	// rhythmDeviations is how many mean deviations around the mean gap a use is expected.
	rhythmDeviations = 3
)

// A rhythm is the mean of the gaps between arrivals and their mean deviation, in seconds.
type rhythm struct {
	mean      float32
	deviation float32
}

// add takes a gap. A gap that is far off, such as a night, counts as one of twice the mean.
func (r *rhythm) add(gap time.Duration) {
	seconds := float32(gap.Seconds())
	if r.mean == 0 {
		r.mean = seconds
		r.deviation = seconds / 4
		return
	}
	difference := min(seconds-r.mean, r.mean)
	r.mean += difference * rhythmWeight
	r.deviation += (max(difference, -difference) - r.deviation) * rhythmWeight
}

// expected returns how long after an arrival the next one is expected, at the earliest and the latest.
func (r *rhythm) expected() (early, late time.Duration) {
	spread := r.deviation * rhythmDeviations
	return seconds(max(0, r.mean-spread)), seconds(r.mean + spread)
}

func seconds(s float32) time.Duration { return time.Duration(float64(s) * float64(time.Second)) }

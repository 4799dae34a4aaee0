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
func (g *gapAverage) add(gap time.Duration) {
	seconds := float32(gap.Seconds())
	if g.mean == 0 {
		g.mean = seconds
		g.deviation = seconds / 4
		return
	}
	difference := min(seconds-g.mean, g.mean)
	g.mean += difference * gapAverageWeight
	g.deviation += (max(difference, -difference) - g.deviation) * gapAverageWeight
}

// expectedArrival returns the earliest and the latest time after an arrival at which the next one is expected.
func (g *gapAverage) expectedArrival() (early, late time.Duration) {
	spread := g.deviation * arrivalDeviations
	return seconds(max(0, g.mean-spread)), seconds(g.mean + spread)
}

func seconds(s float32) time.Duration { return time.Duration(float64(s) * float64(time.Second)) }

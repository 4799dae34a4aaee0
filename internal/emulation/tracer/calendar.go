package tracer

import "time"

const (
	day         = 24 * time.Hour
	officeStart = 9 * time.Hour
	officeEnd   = 18 * time.Hour
	batchStart  = time.Hour
	batchWindow = 4 * time.Hour
)

// hourWeights are the session rates of each hour of a day, relative to the highest one.
var hourWeights = [24]float64{
	0.02, 0.01, 0.01, 0.01, 0.01, 0.02, 0.05, 0.15, 0.5, 0.9, 1, 1,
	0.8, 0.6, 0.9, 1, 1, 0.9, 0.6, 0.4, 0.3, 0.2, 0.1, 0.05,
}

func sumHourWeights() float64 {
	sum := 0.0
	for _, w := range hourWeights {
		sum += w
	}
	return sum
}

func hourWeight(at time.Duration) float64 { return hourWeights[at%day/time.Hour] }

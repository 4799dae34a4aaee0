package calibrator

import "time"

const (
	// lineWeight is the weight of the latest observation.
	lineWeight = 0.02
	// assumedTokenTime, assumedBase and assumedTokens describe the line before there are observations.
	assumedTokenTime = float64(time.Millisecond) / 40
	assumedBase      = float64(15 * time.Millisecond)
	assumedTokens    = 800.0
	// maxTokenTime bounds the slope.
	maxTokenTime = 10 * assumedTokenTime
)

// A line is a linear regression that forgets old observations exponentially. The zero value has the assumed slope and base.
type line struct {
	started              bool
	meanX, meanY         float64
	variance, covariance float64
}

func (l *line) start() {
	if l.started {
		return
	}
	l.started = true
	l.meanX, l.meanY = assumedTokens, assumedBase+assumedTokens*assumedTokenTime
	l.variance = assumedTokens * assumedTokens
	l.covariance = l.variance * assumedTokenTime
}

func (l *line) observe(x, y float64) {
	l.start()
	// A single late answer has a bounded effect.
	y = min(y, 4*max(l.at(x), assumedBase))
	dx, dy := x-l.meanX, y-l.meanY
	l.meanX += lineWeight * dx
	l.meanY += lineWeight * dy
	l.variance = (1 - lineWeight) * (l.variance + lineWeight*dx*dx)
	l.covariance = (1 - lineWeight) * (l.covariance + lineWeight*dx*dy)
}

func (l *line) slope() float64 {
	if !l.started || l.variance < 1 {
		return assumedTokenTime
	}
	return clamp(l.covariance/l.variance, 0, maxTokenTime)
}

func (l *line) at(x float64) float64 {
	if !l.started {
		return assumedBase + assumedTokenTime*x
	}
	return max(0, l.meanY+l.slope()*(x-l.meanX))
}

package calibrator

import (
	"time"

	"samphirewharf/internal/decision/selector"
)

// Forecast returns what is expected of an engine that gets a request, zero if nothing is known of the service.
func (e *Estimate) Forecast(now time.Duration, w Work) selector.Forecast {
	if !e.Known() {
		return selector.Forecast{}
	}
	unit := e.unitAt(now)
	read := e.readTime(unit, w.Prompt)
	return selector.Forecast{
		Pause: e.pause(now, unit, read, w), First: e.first(now, unit, w),
		Read: read, ReadsLong: e.longUntil > now,
	}
}

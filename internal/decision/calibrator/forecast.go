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
	return selector.Forecast{
		Pause: e.Pause(now, w), First: e.First(now, w),
		Read: e.readTime(now, w.Prompt), ReadsLong: e.longUntil > now,
	}
}

package warmer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"samphirewharf/internal/config/cataloger"
)

const (
	weekHours   = 7 * 24
	weekModels  = 45
	weekLoad    = 20 * time.Second
	openingHour = 8
	closingHour = 20
)

// TestPoliciesOverAWeek compares keep-alive by histogram with fixed keep-alives over a week of requests. A third of the
// models is used at random during the day, a third regularly, and a third in bursts.
func TestPoliciesOverAWeek(t *testing.T) {
	requests := week()
	onDemand := replay(t, "on demand", requests, fixed(0))
	fixedLong := replay(t, "fixed 30m", requests, fixed(30*time.Minute))
	fixedShort := replay(t, "fixed 10m", requests, fixed(10*time.Minute))
	limits := cataloger.Limits{
		MinKeepAlive: cataloger.Duration(30 * time.Second), MaxKeepAlive: cataloger.Duration(30 * time.Minute), KeepAliveQuantile: DefaultQuantile,
	}
	coldStart := replay(t, "cold start", requests, &Warmer{Weighting: cataloger.WeightColdStart, Limits: limits})
	idleHours := replay(t, "idle hours", requests, &Warmer{Weighting: cataloger.WeightIdleHours, Limits: limits})
	assertLess(t, "cold starts against fixed 30m", coldStart.cold, fixedLong.cold)
	assertLess(t, "idle time against fixed 30m", coldStart.idle, 0.9*fixedLong.idle)
	assertLess(t, "cold starts against the other weighting", coldStart.cold, idleHours.cold)
	assertLess(t, "idle time against the other weighting", idleHours.idle, coldStart.idle)
	assertLess(t, "cold starts against fixed 10m", idleHours.cold, 0.7*fixedShort.cold)
	assertLess(t, "cold starts against load on demand", idleHours.cold, 0.1*onDemand.cold)
}

type request struct {
	at    time.Duration
	model int
}

// An outcome is the number of cold starts and the hours that replicas were loaded but idle.
type outcome struct{ cold, idle float64 }

// fixed returns a warmer with the same keep-alive for all deployments.
func fixed(keepAlive time.Duration) *Warmer {
	bound := cataloger.Duration(max(keepAlive, 1))
	return &Warmer{Limits: cataloger.Limits{MinKeepAlive: bound, MaxKeepAlive: bound}}
}

// replay replays the requests. Loads take no time, so policies differ only in keep-alive.
func replay(t *testing.T, name string, requests []request, w *Warmer) outcome {
	t.Helper()
	var o outcome
	for _, r := range requests {
		model := fmt.Sprint(r.model)
		e := w.entry(model)
		switch {
		case e == nil:
			o.cold++
		case r.at-e.lastArrival > burstGap:
			warm, idleTime := loadedAt(w, model, r.at)
			o.idle += idleTime.Hours()
			if !warm {
				o.cold++
			}
		}
		w.RecordArrival(model, r.at)
	}
	t.Logf("%s: %.0f cold starts, %.0f idle hours", name, o.cold, o.idle)
	return o
}

// loadedAt reports whether the model's replica is loaded at a time, and how long it was loaded and idle since the last
// use.
func loadedAt(w *Warmer, model string, now time.Duration) (warm bool, idle time.Duration) {
	gap := now - w.entry(model).lastArrival
	keepAlive := w.KeepAlive(model)
	if gap <= keepAlive {
		return true, gap
	}
	window, ok := w.Prewarm(model, weekLoad)
	if !ok || window.Start >= now {
		return false, keepAlive
	}
	return now >= window.Start+weekLoad && now <= window.End, keepAlive + min(now, window.End) - window.Start
}

// week returns the requests of a week, ordered by time.
func week() []request {
	var requests []request
	rng := rand.New(rand.NewPCG(5, 6))
	for model := range weekModels {
		mean := 30 * math.Pow(float64(model+1), 1.8)
		for second := rng.Float64() * mean; second < weekHours*3600; {
			at := seconds(float32(second))
			hour := int(at.Hours()) % 24
			regular, burst := model%3 == 1, model%3 == 2
			if regular || hour >= openingHour && hour < closingHour {
				requests = append(requests, request{at, model})
			}
			switch {
			case burst && rng.IntN(5) > 0:
				second += 0.1
			case regular:
				second += mean * (0.9 + 0.2*rng.Float64())
			default:
				second += mean * rng.ExpFloat64()
			}
		}
	}
	slices.SortStableFunc(requests, func(a, b request) int { return int(a.at - b.at) })
	return requests
}

// Package warmer decides how long idle replicas stay loaded and which of them is evicted first.
package warmer

import (
	"time"

	"samphirewharf/internal/config/cataloger"
)

const (
	// DefaultMinKeepAlive is the shortest keep-alive if nothing is configured.
	DefaultMinKeepAlive = 30 * time.Second
	// DefaultMaxKeepAlive is the longest keep-alive if nothing is configured.
	DefaultMaxKeepAlive = 10 * time.Minute
	// DefaultQuantile is the share of gaps that keep-alive covers if nothing is configured.
	DefaultQuantile = 0.999
	// Soon is the time in which a use counts for the eviction score.
	UseHorizon = 10 * time.Minute

	// burstGap is the longest gap between requests of one burst; such gaps don't count.
	burstGap = time.Second
	// minGaps is how many gaps must be known before the histogram is used.
	minGaps = 4
	// worthKeepingIdle and worthKeepingCold are the shares of gaps within the longest keep-alive from
	// which keeping pays, when idle hours weigh more and when cold starts do.
	worthKeepingIdle = 0.5
	worthKeepingCold = 0.1
	// priorGaps is the weight of the prior in the probability of use.
	priorGaps = 1.0

	gibibyte = 1 << 30
)

// A Warmer keeps the gaps between the arrivals of each deployment, in about 110 bytes a deployment.
// The zero value is ready to use.
type Warmer struct {
	// Weighting tells what weighs more; empty means WeightColdStart.
	Weighting cataloger.Weighting
	// Limits bound keep-alive. Only the keep-alive limits are used; zero ones mean the defaults.
	Limits cataloger.Limits

	byName map[string]int32
	// entries of removed deployments are listed in free.
	entries []entry
	free    []int32
}

// A Window is a time in which a replica is loaded for an expected use.
type Window struct {
	// Start is when its load starts.
	Start time.Duration
	// End is until when it is held if the use does not come.
	End time.Duration
}

type entry struct {
	last   time.Duration
	gaps   histogram
	rhythm rhythm
}

// RecordArrival notes that a request for the deployment arrived.
func (w *Warmer) RecordArrival(deployment string, now time.Duration) {
	e := w.entry(deployment)
	if e == nil {
		w.add(deployment, now)
		return
	}
	gap := now - e.last
	e.last = max(e.last, now)
	if gap > burstGap {
		e.gaps.add(gap)
		e.rhythm.add(gap)
	}
}

// EvictionScore returns the cost of evicting the deployment's idle replica: seconds of reload, times the
// probability of a use within Soon, for each gibibyte. The replica with the lowest score goes first.
func (w *Warmer) EvictionScore(deployment string, reload time.Duration, bytes int64, now time.Duration) float64 {
	gibibytes := float64(max(bytes, 1)) / gibibyte
	return reload.Seconds() * w.UseProbability(deployment, now) / gibibytes
}

// KeepAlive returns how long the deployment's replica stays loaded after its last use: the configured
// quantile of the gaps, within the configured bounds. Where even the longest keep-alive would cover too few
// gaps to pay, it is the shortest.
func (w *Warmer) KeepAlive(deployment string) time.Duration {
	shortest, longest := w.bounds()
	e := w.entry(deployment)
	if e == nil || e.gaps.total < minGaps {
		if w.Weighting == cataloger.WeightIdleHours {
			return shortest
		}
		return longest
	}
	wanted := edges[e.gaps.quantile(w.quantile())]
	if wanted <= longest {
		return max(shortest, wanted)
	}
	covered := e.gaps.below(longest) / float64(e.gaps.total)
	if covered < w.worthKeeping() {
		return shortest
	}
	return longest
}

// Prewarm returns when to load the deployment for its next use and how long to hold it for that, if its
// gaps are regular, longer than keep-alive, and the time of use is known well enough.
func (w *Warmer) Prewarm(deployment string, load time.Duration) (Window, bool) {
	e := w.entry(deployment)
	if e == nil {
		return Window{}, false
	}
	_, longest := w.bounds()
	early, late := e.rhythm.expected()
	if late == 0 || late-early > longest || early-load <= w.KeepAlive(deployment) {
		return Window{}, false
	}
	return Window{Start: e.last + early - load, End: e.last + late}, true
}

// Remove forgets a deployment.
func (w *Warmer) Remove(deployment string) {
	at, ok := w.byName[deployment]
	if !ok {
		return
	}
	delete(w.byName, deployment)
	w.entries[at] = entry{}
	w.free = append(w.free, at)
}

// UseProbability returns how likely the deployment is used within Soon, given how long it has been idle.
func (w *Warmer) UseProbability(deployment string, now time.Duration) float64 {
	e := w.entry(deployment)
	if e == nil {
		return 0
	}
	idle := max(0, now-e.last)
	prior := float64(UseHorizon) / float64(UseHorizon+idle)
	before := e.gaps.below(idle)
	within := e.gaps.below(idle+UseHorizon) - before
	left := float64(e.gaps.total) - before
	return (within + priorGaps*prior) / (left + priorGaps)
}

func (w *Warmer) add(deployment string, now time.Duration) {
	if w.byName == nil {
		w.byName = make(map[string]int32)
	}
	if last := len(w.free) - 1; last >= 0 {
		at := w.free[last]
		w.free = w.free[:last]
		w.entries[at].last = now
		w.byName[deployment] = at
		return
	}
	w.byName[deployment] = int32(len(w.entries))
	w.entries = append(w.entries, entry{last: now})
}

func (w *Warmer) bounds() (shortest, longest time.Duration) {
	shortest = w.Limits.MinKeepAlive.D()
	if shortest <= 0 {
		shortest = DefaultMinKeepAlive
	}
	longest = w.Limits.MaxKeepAlive.D()
	if longest <= 0 {
		longest = DefaultMaxKeepAlive
	}
	return min(shortest, longest), longest
}

func (w *Warmer) entry(deployment string) *entry {
	at, ok := w.byName[deployment]
	if !ok {
		return nil
	}
	return &w.entries[at]
}

func (w *Warmer) quantile() float64 {
	if w.Limits.KeepAliveQuantile > 0 {
		return w.Limits.KeepAliveQuantile
	}
	return DefaultQuantile
}

func (w *Warmer) worthKeeping() float64 {
	if w.Weighting == cataloger.WeightIdleHours {
		return worthKeepingIdle
	}
	return worthKeepingCold
}

// Package warmer decides how long idle replicas stay loaded and which one is evicted first.
package warmer

import (
	"time"

	"samphirewharf/internal/config/cataloger"
)

const (
	// DefaultMinKeepAlive is the shortest keep-alive if none is configured.
	DefaultMinKeepAlive = 30 * time.Second
	// DefaultMaxKeepAlive is the longest keep-alive if none is configured.
	DefaultMaxKeepAlive = 10 * time.Minute
	// DefaultQuantile is the fraction of gaps that the keep-alive covers if none is configured.
	DefaultQuantile = 0.999
	// UseHorizon is how far ahead a use counts for the eviction score.
	UseHorizon = 10 * time.Minute

	// burstGap is the longest gap between requests of one burst. Such gaps are not counted.
	burstGap = time.Second
	// minGaps is the number of gaps below which the histogram is not used.
	minGaps = 4
	// minCoverageIdleHours and minCoverageColdStart are the fractions of gaps that the longest keep-alive must cover
	// for it to be used, with WeightIdleHours and WeightColdStart.
	minCoverageIdleHours = 0.5
	minCoverageColdStart = 0.1
	// priorGaps is the weight of the prior in the probability of a use, as a number of gaps.
	priorGaps = 1.0

	gibibyte = 1 << 30
)

// A Warmer records the gaps between the arrivals of each deployment, in about 110 bytes a deployment. The zero value is
// ready to use.
type Warmer struct {
	// Weighting is whether cold starts or idle hours weigh more; empty means WeightColdStart.
	Weighting cataloger.Weighting
	// Limits bounds the keep-alive. Only the keep-alive limits are used; zero ones mean the defaults.
	Limits cataloger.Limits

	byName map[string]int32
	// entries of removed deployments are listed in freeEntries.
	entries     []entry
	freeEntries []int32
}

// A Window is a period during which a replica is loaded for an expected use.
type Window struct {
	// Start is when the load starts.
	Start time.Duration
	// End is when the replica may be unloaded if the use does not come.
	End time.Duration
}

type entry struct {
	lastArrival time.Duration
	gaps        histogram
	gapAverage  gapAverage
}

// RecordArrival records that a request for the deployment arrived.
func (w *Warmer) RecordArrival(deployment string, now time.Duration) {
	e := w.entry(deployment)
	if e == nil {
		w.add(deployment, now)
		return
	}
	gap := now - e.lastArrival
	e.lastArrival = max(e.lastArrival, now)
	if gap > burstGap {
		e.gaps.add(gap)
		e.gapAverage.add(gap)
	}
}

// EvictionScore returns the cost of evicting the deployment's idle replica: the reload time in seconds, times the
// probability of a use within UseHorizon, for each gibibyte. The replica with the lowest score is evicted first.
func (w *Warmer) EvictionScore(deployment string, reload time.Duration, bytes int64, now time.Duration) float64 {
	gibibytes := float64(max(bytes, 1)) / gibibyte
	return reload.Seconds() * w.UseProbability(deployment, now) / gibibytes
}

// KeepAlive returns how long the deployment's replica stays loaded after its last use: the configured quantile of the
// gaps, within the configured bounds. It is the shortest keep-alive if even the longest one would cover too few gaps.
func (w *Warmer) KeepAlive(deployment string) time.Duration {
	shortest, longest := w.keepAliveBounds()
	e := w.entry(deployment)
	if e == nil || e.gaps.total < minGaps {
		if w.Weighting == cataloger.WeightIdleHours {
			return shortest
		}
		return longest
	}
	wanted := bucketEdges[e.gaps.quantile(w.quantile())]
	if wanted <= longest {
		return max(shortest, wanted)
	}
	covered := e.gaps.countBelow(longest) / float64(e.gaps.total)
	if covered < w.minCoverage() {
		return shortest
	}
	return longest
}

// Prewarm returns when to load the deployment for its next use and until when to keep it loaded. It returns false
// unless the gaps are regular and longer than the keep-alive, and the time of the use can be predicted well enough.
func (w *Warmer) Prewarm(deployment string, load time.Duration) (Window, bool) {
	e := w.entry(deployment)
	if e == nil {
		return Window{}, false
	}
	_, longest := w.keepAliveBounds()
	early, late := e.gapAverage.expectedArrival()
	if late == 0 || late-early > longest || early-load <= w.KeepAlive(deployment) {
		return Window{}, false
	}
	return Window{Start: e.lastArrival + early - load, End: e.lastArrival + late}, true
}

// Remove removes a deployment.
func (w *Warmer) Remove(deployment string) {
	at, ok := w.byName[deployment]
	if !ok {
		return
	}
	delete(w.byName, deployment)
	w.entries[at] = entry{}
	w.freeEntries = append(w.freeEntries, at)
}

// UseProbability returns the probability that the deployment is used within UseHorizon, given how long it has been
// idle.
func (w *Warmer) UseProbability(deployment string, now time.Duration) float64 {
	e := w.entry(deployment)
	if e == nil {
		return 0
	}
	idle := max(0, now-e.lastArrival)
	prior := float64(UseHorizon) / float64(UseHorizon+idle)
	before := e.gaps.countBelow(idle)
	within := e.gaps.countBelow(idle+UseHorizon) - before
	left := float64(e.gaps.total) - before
	return (within + priorGaps*prior) / (left + priorGaps)
}

func (w *Warmer) add(deployment string, now time.Duration) {
	if w.byName == nil {
		w.byName = make(map[string]int32)
	}
	if last := len(w.freeEntries) - 1; last >= 0 {
		at := w.freeEntries[last]
		w.freeEntries = w.freeEntries[:last]
		w.entries[at].lastArrival = now
		w.byName[deployment] = at
		return
	}
	w.byName[deployment] = int32(len(w.entries))
	w.entries = append(w.entries, entry{lastArrival: now})
}

func (w *Warmer) keepAliveBounds() (shortest, longest time.Duration) {
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

func (w *Warmer) minCoverage() float64 {
	if w.Weighting == cataloger.WeightIdleHours {
		return minCoverageIdleHours
	}
	return minCoverageColdStart
}

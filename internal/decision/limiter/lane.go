package limiter

import (
	"math"
	"slices"
	"time"
)

// slowdownHalfLife is the time in which the excess of a learned slowdown halves, so that loads are tried
// again after the weight store was slow.
const slowdownHalfLife = 30 * time.Second

// A loadGroup is the model loads or the adapter loads, which share a concurrency limit at the weight store.
type loadGroup struct {
	// fullSpeedLoads is the concurrency limit up to which loads run at full speed; zero means no limit.
	fullSpeedLoads int
	started        map[string]load
	// slowdown is the moving average of the ratio of actual to expected load times as of learnedAt, zero
	// before the first load.
	slowdown  float64
	learnedAt time.Duration
}

type load struct {
	startedAt time.Duration
	// expected is how long the load takes if the weight store is as fast as configured.
	expected time.Duration
}

// learnedSlowdown returns the learned slowdown, decayed towards 1.
func (g *loadGroup) learnedSlowdown(now time.Duration) float64 {
	if g.slowdown == 0 {
		return 1
	}
	return 1 + (g.slowdown-1)*g.decay(now)
}

// delay returns how long a load waits until the concurrency limit allows it, with the given number of loads
// ahead of it.
func (g *loadGroup) delay(duration time.Duration, ahead int, now time.Duration) time.Duration {
	if g.fullSpeedLoads <= 0 {
		return 0
	}
	excess := len(g.started) + ahead - g.fullSpeedLoads
	if excess < 0 {
		return 0
	}
	slowdown := g.slowdownAt(now)
	remaining := make([]time.Duration, 0, len(g.started))
	for _, started := range g.started {
		remaining = append(remaining, max(0, started.startedAt+scale(started.expected, slowdown)-now))
	}
	slices.Sort(remaining)
	if excess < len(remaining) {
		return remaining[excess]
	}
	rounds := float64(excess) / float64(g.fullSpeedLoads)
	return scale(duration, slowdown*rounds)
}

func (g *loadGroup) finish(key string, now time.Duration) {
	started, ok := g.started[key]
	if !ok {
		return
	}
	delete(g.started, key)
	if started.expected <= 0 {
		return
	}
	observed := float64(now-started.startedAt) / float64(started.expected)
	observed = min(maxSlowdown, max(minSlowdown, observed))
	g.observe(observed, now)
}

func (g *loadGroup) isFull() bool { return g.fullSpeedLoads > 0 && len(g.started) >= g.fullSpeedLoads }

// observe updates the moving average with an observation, which weighs more if the last one is long ago.
func (g *loadGroup) observe(observed float64, now time.Duration) {
	if g.slowdown == 0 {
		g.slowdown = 1
	}
	weight := 1 - (1-slowdownWeight)*g.decay(now)
	g.slowdown += weight * (observed - g.slowdown)
	g.learnedAt = now
}

func (g *loadGroup) remove(key string) { delete(g.started, key) }

// sharedDuration returns how long a load takes beside the started ones if the weight store is as fast as
// configured: proportionally longer beyond the concurrency limit.
func (g *loadGroup) sharedDuration(duration time.Duration) time.Duration {
	sharing := len(g.started) + 1
	if g.fullSpeedLoads <= 0 || sharing <= g.fullSpeedLoads {
		return duration
	}
	return scale(duration, float64(sharing)/float64(g.fullSpeedLoads))
}

// slowdownAt returns the learned slowdown, or the slowdown of a started load that already exceeds it.
func (g *loadGroup) slowdownAt(now time.Duration) float64 {
	slowdown := g.learnedSlowdown(now)
	for _, started := range g.started {
		if started.expected > 0 {
			slowdown = max(slowdown, float64(now-started.startedAt)/float64(started.expected))
		}
	}
	return min(maxSlowdown, slowdown)
}

func (g *loadGroup) start(p PendingLoad, at time.Duration) {
	if g.started == nil {
		g.started = make(map[string]load)
	}
	g.started[p.Key] = load{startedAt: at, expected: g.sharedDuration(p.Duration)}
}

// decay returns the remaining weight of the learned slowdown, from 1 to 0.
func (g *loadGroup) decay(now time.Duration) float64 {
	age := max(0, now-g.learnedAt)
	return math.Exp2(-float64(age) / float64(slowdownHalfLife))
}

func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(math.Min(float64(d)*factor, math.MaxInt64/4))
}

package limiter

import (
	"math"
	"slices"
	"time"
)

// slowdownHalfLife is the time in which a learned slowdown loses half of its excess, so that loads
// are tried again after the weight store was slow.
const slowdownHalfLife = 30 * time.Second

// A lane is the loads of one sort that share the weight store's full speed.
type loadGroup struct {
	// fullSpeed is how many loads run at once at full speed; zero means any number.
	fullSpeedLoads int
	started        map[string]load
	// slowdown is the average of actual over expected load times at learnedAt, zero before the first.
	slowdown  float64
	learnedAt time.Duration
}

type load struct {
	startedAt time.Duration
	// expected is how long it takes if the weight store is as fast as stated.
	expected time.Duration
}

// learnedSlowdown returns the learned slowdown.
func (l *loadGroup) learnedSlowdown(now time.Duration) float64 {
	if l.slowdown == 0 {
		return 1
	}
	return 1 + (l.slowdown-1)*l.decay(now)
}

// delay returns how long a load waits until one of the full-speed loads is done, with so many ahead of it.
func (l *loadGroup) delay(duration time.Duration, ahead int, now time.Duration) time.Duration {
	if l.fullSpeedLoads <= 0 {
		return 0
	}
	excess := len(l.started) + ahead - l.fullSpeedLoads
	if excess < 0 {
		return 0
	}
	slowdown := l.slowdownAt(now)
	remaining := make([]time.Duration, 0, len(l.started))
	for _, started := range l.started {
		remaining = append(remaining, max(0, started.startedAt+scale(started.expected, slowdown)-now))
	}
	slices.Sort(remaining)
	if excess < len(remaining) {
		return remaining[excess]
	}
	rounds := float64(excess) / float64(l.fullSpeedLoads)
	return scale(duration, slowdown*rounds)
}

func (l *loadGroup) finish(key string, now time.Duration) {
	started, ok := l.started[key]
	if !ok {
		return
	}
	delete(l.started, key)
	if started.expected <= 0 {
		return
	}
	observed := float64(now-started.startedAt) / float64(started.expected)
	observed = min(maxSlowdown, max(minSlowdown, observed))
	l.observe(observed, now)
}

func (l *loadGroup) isFull() bool { return l.fullSpeedLoads > 0 && len(l.started) >= l.fullSpeedLoads }

// observe moves the average towards an observation, further if the last one is long ago.
func (l *loadGroup) observe(observed float64, now time.Duration) {
	if l.slowdown == 0 {
		l.slowdown = 1
	}
	weight := 1 - (1-slowdownWeight)*l.decay(now)
	l.slowdown += weight * (observed - l.slowdown)
	l.learnedAt = now
}

func (l *loadGroup) remove(key string) { delete(l.started, key) }

// sharedDuration returns how long a load takes beside the started ones when the weight store is as fast as
// stated: proportionally longer beyond full speed.
func (l *loadGroup) sharedDuration(duration time.Duration) time.Duration {
	sharing := len(l.started) + 1
	if l.fullSpeedLoads <= 0 || sharing <= l.fullSpeedLoads {
		return duration
	}
	return scale(duration, float64(sharing)/float64(l.fullSpeedLoads))
}

// slowdownAt returns the learned slowdown, or that of a started load which is later than that.
func (l *loadGroup) slowdownAt(now time.Duration) float64 {
	slowdown := l.learnedSlowdown(now)
	for _, started := range l.started {
		if started.expected > 0 {
			slowdown = max(slowdown, float64(now-started.startedAt)/float64(started.expected))
		}
	}
	return min(maxSlowdown, slowdown)
}

func (l *loadGroup) start(p PendingLoad, at time.Duration) {
	if l.started == nil {
		l.started = make(map[string]load)
	}
	l.started[p.Key] = load{startedAt: at, expected: l.sharedDuration(p.Duration)}
}

// decay returns the weight left of what was learned, from 1 to 0.
func (l *loadGroup) decay(now time.Duration) float64 {
	age := max(0, now-l.learnedAt)
	return math.Exp2(-float64(age) / float64(slowdownHalfLife))
}

func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(math.Min(float64(d)*factor, math.MaxInt64/4))
}

package limiter

import (
	"cmp"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"samphirewharf/internal/config/cataloger"
)

const (
	// burst is how many model loads may start at once; more would exceed the rate in some second.
	startBurst = 1
	// slowdownWeight is the weight of a new load time in the slowdown's average.
	slowdownWeight = 0.25
	// minSlowdown and maxSlowdown bound what is learned from one load.
	minSlowdown = 0.25
	maxSlowdown = 100.0
)

// A PendingLoad load is one that the placer wants to start from the weight store.
type PendingLoad struct {
	// Key is unique among pending and started loads.
	Key    string
	Urgent bool
	// Deadline is when the load must be done to be of use to a request that waits for it.
	Deadline time.Duration
	// Duration is how long the load takes at full speed.
	Duration time.Duration
	// Adapter tells that an adapter is loaded, not a model.
	Adapter bool
}

// A Decision tells what to do with a pending load.
type Decision uint8

// The verdicts on a pending load.
const (
	// VerdictStart means that the load was counted as started.
	DecisionStart Decision = iota
	// VerdictWait means that the weight store has no share left now.
	DecisionWait
	// VerdictHopeless means that the load can't be done by its deadline.
	DecisionTooLate
)

// A LoadLimiter shares the weight store among the loads of one cell's placer. Limits that are zero don't
// limit, so the zero value lets all loads start at once.
type LoadLimiter struct {
	models   loadGroup
	adapters loadGroup
	// starts is nil if the rate is not limited.
	starts *rate.Limiter
}

// SortPending sorts pending loads: urgent ones first, then by deadline.
func SortPending(pending []PendingLoad) {
	slices.SortFunc(pending, func(a, b PendingLoad) int {
		if a.Urgent != b.Urgent {
			if a.Urgent {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(a.Deadline, b.Deadline), cmp.Compare(a.Key, b.Key))
	})
}

// Abandon forgets a started load without learning from it, such as one whose server died. A load that
// is neither done nor abandoned makes the weight store look ever slower.
func (s *LoadLimiter) Abandon(key string) {
	s.models.remove(key)
	s.adapters.remove(key)
}

// Configure sets the limits. Started loads and what was learned stay.
func (s *LoadLimiter) Configure(store cataloger.WeightStore, now time.Duration) {
	s.models.fullSpeedLoads = store.FullSpeedLoads
	s.adapters.fullSpeedLoads = store.FullSpeedAdapters
	switch {
	case store.LoadsPerSecond <= 0:
		s.starts = nil
	case s.starts == nil:
		s.starts = rate.NewLimiter(rate.Limit(store.LoadsPerSecond), startBurst)
	default:
		s.starts.SetLimitAt(limiterTime(now), rate.Limit(store.LoadsPerSecond))
	}
}

// Finish notes that a started load is done and learns the weight store's speed from it.
func (s *LoadLimiter) Finish(key string, now time.Duration) {
	s.models.finish(key, now)
	s.adapters.finish(key, now)
}

// InFlight returns how many model and adapter loads are started and not done.
func (s *LoadLimiter) InFlight() (models, adapters int) {
	return len(s.models.started), len(s.adapters.started)
}

// Predict returns when a load would be done, with so many other loads of its sort to be started before it.
func (s *LoadLimiter) Predict(p PendingLoad, ahead int, now time.Duration) time.Duration {
	l := s.group(p)
	delay := l.delay(p.Duration, ahead, now)
	if !p.Adapter {
		delay = max(delay, s.rateDelay(ahead, now))
	}
	return now + delay + scale(p.Duration, l.slowdownAt(now))
}

// Resume counts a load as started at the given time, such as one of a former placer.
func (s *LoadLimiter) Resume(p PendingLoad, at time.Duration) { s.group(p).start(p, at) }

// Slowdown returns how many times longer than at full speed model and adapter loads take now.
func (s *LoadLimiter) Slowdown(now time.Duration) (models, adapters float64) {
	return s.models.slowdownAt(now), s.adapters.slowdownAt(now)
}

// TryStart decides on a pending load and counts it as started if it may start. A load that would not be
// done by its deadline if it started as soon as it can is hopeless.
func (s *LoadLimiter) TryStart(p PendingLoad, now time.Duration) Decision {
	if s.Predict(p, 0, now) > p.Deadline {
		return DecisionTooLate
	}
	l := s.group(p)
	if l.isFull() {
		return DecisionWait
	}
	if !p.Adapter && s.starts != nil && !s.starts.AllowN(limiterTime(now), 1) {
		return DecisionWait
	}
	l.start(p, now)
	return DecisionStart
}

func (s *LoadLimiter) group(p PendingLoad) *loadGroup {
	if p.Adapter {
		return &s.adapters
	}
	return &s.models
}

// rateDelay returns how long the rate delays a load that starts after the ones ahead.
func (s *LoadLimiter) rateDelay(ahead int, now time.Duration) time.Duration {
	if s.starts == nil {
		return 0
	}
	missing := float64(ahead+1) - s.starts.TokensAt(limiterTime(now))
	if missing <= 0 {
		return 0
	}
	return time.Duration(missing / float64(s.starts.Limit()) * float64(time.Second))
}

// limiterTime returns the time that stands for now in the rate limiter.
func limiterTime(now time.Duration) time.Time { return time.Unix(0, int64(now)) }

package limiter

import (
	"cmp"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"samphirewharf/internal/config/cataloger"
)

const (
	// startBurst is how many model loads may start at once. More than one would exceed the rate within some
	// second.
	startBurst = 1
	// slowdownWeight is the weight of a new observation in the moving average of the slowdown.
	slowdownWeight = 0.25
	// minSlowdown and maxSlowdown bound a single observation.
	minSlowdown = 0.25
	maxSlowdown = 100.0
)

// A PendingLoad is a load from the weight store that the placer wants to start.
type PendingLoad struct {
	// Key is unique among pending and started loads.
	Key    string
	Urgent bool
	// Deadline is when the load must be done to be useful for a waiting request.
	Deadline time.Duration
	// Duration is how long the load takes at full speed.
	Duration time.Duration
	// Adapter reports whether an adapter is loaded, not a model.
	Adapter bool
}

// A Decision is what to do with a pending load.
type Decision uint8

// The decisions on a pending load.
const (
	// DecisionStart means that the load may start and is counted as started.
	DecisionStart Decision = iota
	// DecisionWait means that the load exceeds a limit now.
	DecisionWait
	// DecisionTooLate means that the load can't be done by its deadline.
	DecisionTooLate
)

// A LoadLimiter limits the loads of one cell's placer from the weight store. A limit of zero means no limit,
// so the zero value lets all loads start at once.
type LoadLimiter struct {
	models   loadGroup
	adapters loadGroup
	// startLimiter is nil if the rate is not limited.
	startLimiter *rate.Limiter
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

// Abandon removes a started load without learning from it, such as one whose server died. Each started load
// must be finished or abandoned, or the observed slowdown keeps growing.
func (s *LoadLimiter) Abandon(key string) {
	s.models.remove(key)
	s.adapters.remove(key)
}

// Configure sets the limits. It keeps the started loads and the learned slowdown.
func (s *LoadLimiter) Configure(store cataloger.WeightStore, now time.Duration) {
	s.models.fullSpeedLoads = store.FullSpeedLoads
	s.adapters.fullSpeedLoads = store.FullSpeedAdapters
	switch {
	case store.LoadsPerSecond <= 0:
		s.startLimiter = nil
	case s.startLimiter == nil:
		s.startLimiter = rate.NewLimiter(rate.Limit(store.LoadsPerSecond), startBurst)
	default:
		s.startLimiter.SetLimitAt(limiterTime(now), rate.Limit(store.LoadsPerSecond))
	}
}

// Finish removes a started load that is done and learns the weight store's speed from it.
func (s *LoadLimiter) Finish(key string, now time.Duration) {
	s.models.finish(key, now)
	s.adapters.finish(key, now)
}

// InFlight returns the numbers of started model and adapter loads.
func (s *LoadLimiter) InFlight() (models, adapters int) {
	return len(s.models.started), len(s.adapters.started)
}

// Predict returns when a load would be done with the given number of loads of its kind ahead of it.
func (s *LoadLimiter) Predict(p PendingLoad, ahead int, now time.Duration) time.Duration {
	g := s.group(p)
	delay := g.delay(p.Duration, ahead, now)
	if !p.Adapter {
		delay = max(delay, s.rateDelay(ahead, now))
	}
	return now + delay + scale(p.Duration, g.slowdownAt(now))
}

// Resume counts a load as started at the given time, such as one that a former placer started.
func (s *LoadLimiter) Resume(p PendingLoad, at time.Duration) { s.group(p).start(p, at) }

// Slowdown returns how many times longer than at full speed model and adapter loads currently take.
func (s *LoadLimiter) Slowdown(now time.Duration) (models, adapters float64) {
	return s.models.slowdownAt(now), s.adapters.slowdownAt(now)
}

// TryStart decides on a pending load and counts it as started if it may start. A load is too late if it would
// not be done by its deadline even when started as early as possible.
func (s *LoadLimiter) TryStart(p PendingLoad, now time.Duration) Decision {
	if s.Predict(p, 0, now) > p.Deadline {
		return DecisionTooLate
	}
	g := s.group(p)
	if g.isFull() {
		return DecisionWait
	}
	if !p.Adapter && s.startLimiter != nil && !s.startLimiter.AllowN(limiterTime(now), 1) {
		return DecisionWait
	}
	g.start(p, now)
	return DecisionStart
}

func (s *LoadLimiter) group(p PendingLoad) *loadGroup {
	if p.Adapter {
		return &s.adapters
	}
	return &s.models
}

// rateDelay returns how long the rate limit delays a load that starts after the ones ahead.
func (s *LoadLimiter) rateDelay(ahead int, now time.Duration) time.Duration {
	if s.startLimiter == nil {
		return 0
	}
	missing := float64(ahead+1) - s.startLimiter.TokensAt(limiterTime(now))
	if missing <= 0 {
		return 0
	}
	return time.Duration(missing / float64(s.startLimiter.Limit()) * float64(time.Second))
}

// limiterTime converts the monotonic time to a time for the rate limiter.
func limiterTime(now time.Duration) time.Time { return time.Unix(0, int64(now)) }

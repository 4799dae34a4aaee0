package admitter

import "time"

const (
	// Never is the predicted time if there are no slots.
	Never = 100 * 365 * 24 * time.Hour
	// DefaultServiceTime is the service time that is assumed without a prior and before the first completion.
	DefaultServiceTime = time.Second
	// MinRetryAfter is the shortest retry delay that a refused caller is given.
	MinRetryAfter = time.Second
	// weightInverse is the inverse of the weight of a new completion in the moving averages.
	weightInverse = 8
)

// An Estimator predicts when the requests of one deployment finish, from the observed service times. The zero value is
// ready to use.
type Estimator struct {
	// Prior is the expected service time before the first completion; zero means DefaultServiceTime.
	Prior time.Duration

	observed  bool
	service   time.Duration
	deviation time.Duration
}

// Deviation returns the mean deviation of the service time.
func (e *Estimator) Deviation() time.Duration { return e.deviation }

// Observe records the service time of one request, which is the time from its dispatch to its completion.
func (e *Estimator) Observe(service time.Duration) {
	if service < 0 {
		return
	}
	if !e.observed {
		e.service = e.ServiceTime()
		e.observed = true
		e.deviation = e.service / 2
	}
	difference := service - e.service
	e.service += difference / weightInverse
	e.deviation += (difference.Abs() - e.deviation) / weightInverse
}

// Predict returns the time until a new request finishes, given the number of requests ahead of it in the queue, the
// slots of all replicas, and the slots in use. It is Never without slots.
func (e *Estimator) Predict(ahead, slots, running int) time.Duration {
	start := e.slotWait(ahead, slots, running)
	if start == Never {
		return Never
	}
	return start + e.ServiceTime()
}

// RetryAfter returns the time until a slot should be free for a new request, at least MinRetryAfter. It is Never
// without slots.
func (e *Estimator) RetryAfter(ahead, slots, running int) time.Duration {
	return max(MinRetryAfter, e.slotWait(ahead, slots, running))
}

// ServiceTime returns the expected service time.
func (e *Estimator) ServiceTime() time.Duration {
	switch {
	case e.observed:
		return e.service
	case e.Prior > 0:
		return e.Prior
	default:
		return DefaultServiceTime
	}
}

// slotWait returns how long a new request waits for a slot. Slots are assumed to become free evenly over the service
// time.
func (e *Estimator) slotWait(ahead, slots, running int) time.Duration {
	if slots <= 0 {
		return Never
	}
	queued := max(0, ahead+running-slots+1)
	wait := float64(e.ServiceTime()) * float64(queued) / float64(slots)
	if wait >= float64(Never) {
		return Never
	}
	return time.Duration(wait)
}

package admitter

import "time"

const (
	// Never is the prediction when there is no slot to run in.
	Never = 100 * 365 * 24 * time.Hour
	// DefaultService is the service time that is expected when there is neither a prior nor a completion.
	DefaultServiceTime = time.Second
	// MinRetryAfter is the least that a refused caller is asked to wait.
	MinRetryAfter = time.Second
	// weightInverse is the inverse of the weight of a new completion in the averages.
	weightInverse = 8
)

// An Estimator predicts when the requests of one deployment finish, from the service times seen so
// far. The zero value is ready to use.
type Estimator struct {
	// Prior is the service time expected before the first completion; zero means DefaultService.
	Prior time.Duration

	observed  bool
	service   time.Duration
	deviation time.Duration
}

// Deviation returns the mean deviation of the service time.
func (e *Estimator) Deviation() time.Duration { return e.deviation }

// Observe takes the time from dispatch to completion of one request.
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

// Predict returns how long from now a new request takes to finish, with so many requests waiting
// ahead of it, so many slots over all replicas, and so many of the slots in use. It is Never without slots.
func (e *Estimator) Predict(ahead, slots, running int) time.Duration {
	start := e.wait(ahead, slots, running)
	if start == Never {
		return Never
	}
	return start + e.ServiceTime()
}

// RetryAfter returns how long from now a slot should be free for a new request, at least MinRetryAfter.
// It is Never without slots.
func (e *Estimator) RetryAfter(ahead, slots, running int) time.Duration {
	return max(MinRetryAfter, e.wait(ahead, slots, running))
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

// wait returns how long a new request waits for a slot; slots come free evenly over a service time.
func (e *Estimator) wait(ahead, slots, running int) time.Duration {
	if slots <= 0 {
		return Never
	}
	turns := max(0, ahead+running-slots+1)
	wait := float64(e.ServiceTime()) * float64(turns) / float64(slots)
	if wait >= float64(Never) {
		return Never
	}
	return time.Duration(wait)
}

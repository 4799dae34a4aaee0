package launcher

import (
	"sync"
	"time"

	"samphirewharf/internal/decision/conductor"
)

// A reachState counts failures in a row. The zero value has seen none.
type reachState struct {
	mu       sync.Mutex
	failures int
	firstAt  time.Time
	lost     bool
}

// observe takes the outcome of one call.
func (r *reach) observe(call string, err error) {
	r.count(call, err)
	if event := r.state.take(err, time.Now()); event != nil {
		r.post(event)
	}
}

// take returns the event that an outcome brings, nil if there is none.
func (s *reachState) take(err error, now time.Time) conductor.Event {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil {
		wasLost := s.lost
		s.failures, s.lost = 0, false
		if wasLost {
			return conductor.StoreReached{}
		}
		return nil
	}
	s.failures++
	if s.failures == 1 {
		s.firstAt = now
	}
	if s.lost || s.failures < lossFailures || now.Sub(s.firstAt) < lossAfter {
		return nil
	}
	s.lost = true
	return conductor.StoreLost{Reason: err.Error()}
}

// answered tells that the service isn't lost.
func (s *reachState) answered() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.lost
}

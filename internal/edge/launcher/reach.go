package launcher

import (
	"sync"
	"time"

	"samphirewharf/internal/decision/conductor"
)

const (
	// lossFailures is after how many failures in a row, over all calls, the service counts as lost. A single watch may be
	// cut.
	lossFailures = 2
	// lossAfter is the pause between the first and the last of them, so that calls cut together count once.
	lossAfter = 50 * time.Millisecond
	// lossSilence is after how long without an answer a single failure is enough. Leases are renewed more often.
	lossSilence = 800 * time.Millisecond
	// freshFor is how long after an answer the service counts as answering.
	freshFor = time.Second
)

// A reach turns the outcomes of calls to the key-value service into its loss and return.
type reach struct {
	post  func(conductor.Event)
	count func(call string, err error)
	state reachState
}

// A reachState counts failures in a row. The zero value has seen none.
type reachState struct {
	mu       sync.Mutex
	failures int
	firstAt  time.Time
	// answeredAt is when the last call was answered.
	answeredAt time.Time
	lost       bool
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
		s.failures, s.lost, s.answeredAt = 0, false, now
		if wasLost {
			return conductor.StoreReached{}
		}
		return nil
	}
	s.failures++
	if s.failures == 1 {
		s.firstAt = now
	}
	repeated := s.failures >= lossFailures && now.Sub(s.firstAt) >= lossAfter
	if s.lost || !repeated && now.Sub(s.answeredAt) < lossSilence {
		return nil
	}
	s.lost = true
	return conductor.StoreLost{Reason: err.Error()}
}

// answers tells that the service has answered a short time ago.
func (s *reachState) answers(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.lost && now.Sub(s.answeredAt) <= freshFor
}

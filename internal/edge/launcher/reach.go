package launcher

import (
	"sync"
	"time"

	"samphirewharf/internal/decision/conductor"
)

const (
	// lossFailures is after how many failures in a row, over all calls, the service counts as lost. A single watch may be
	// cut.
	failuresUntilLost = 2
	// lossAfter is the pause between the first and the last of them, so that calls cut together count once.
	minFailureSpan = 50 * time.Millisecond
	// lossSilence is after how long without an answer a single failure is enough. Leases are renewed more often.
	maxSilence = 800 * time.Millisecond
	// freshFor is how long after an answer the service counts as answering.
	reachableTTL = time.Second
)

// A storeMonitor turns the outcomes of calls to the key-value service into its loss and return.
type storeMonitor struct {
	post   func(conductor.Event)
	count  func(call string, err error)
	health storeHealth
}

// A storeHealth counts failures in a row. The zero value has seen none.
type storeHealth struct {
	mu       sync.Mutex
	failures int
	firstAt  time.Time
	// answeredAt is when the last call was answered.
	answeredAt time.Time
	lost       bool
}

// observe takes the outcome of one call.
func (r *storeMonitor) observe(call string, err error) {
	r.count(call, err)
	if event := r.health.record(err, time.Now()); event != nil {
		r.post(event)
	}
}

// record returns the event that an outcome brings, nil if there is none.
func (s *storeHealth) record(err error, now time.Time) conductor.Event {
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
	repeated := s.failures >= failuresUntilLost && now.Sub(s.firstAt) >= minFailureSpan
	if s.lost || !repeated && now.Sub(s.answeredAt) < maxSilence {
		return nil
	}
	s.lost = true
	return conductor.StoreLost{Reason: err.Error()}
}

// reachable tells that the service has answered a short time ago.
func (s *storeHealth) reachable(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.lost && now.Sub(s.answeredAt) <= reachableTTL
}

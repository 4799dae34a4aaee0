package launcher

import (
	"sync"
	"time"

	"samphirewharf/internal/decision/conductor"
)

const (
	// failuresUntilLost is how many failures in a row, over all calls, make the store count as lost. It is more than one
	// because a single watch may be closed.
	failuresUntilLost = 2
	// minFailureSpan is the least time between the first and the last of them, so that calls that fail together count as
	// one failure.
	minFailureSpan = 50 * time.Millisecond
	// maxSilence is the time without an answer after which a single failure is enough. With the default
	// lease time, the daemon renews its lease every 500 ms, so a reachable store has answered in this time.
	maxSilence = 800 * time.Millisecond
	// reachableTTL is how long the store counts as reachable after an answer.
	reachableTTL = time.Second
)

// A storeMonitor posts an event when the store is lost or reached again, according to the outcomes of calls.
type storeMonitor struct {
	post   func(conductor.Event)
	count  func(call string, err error)
	health storeHealth
}

// A storeHealth tracks consecutive failures of calls to the store. The zero value is ready to use.
type storeHealth struct {
	mu             sync.Mutex
	failures       int
	firstFailureAt time.Time
	// answeredAt is when the last call was answered.
	answeredAt time.Time
	lost       bool
}

// observe handles the outcome of one call.
func (m *storeMonitor) observe(call string, err error) {
	m.count(call, err)
	if event := m.health.record(err, time.Now()); event != nil {
		m.post(event)
	}
}

// record records the outcome of a call and returns the resulting event, nil if there is none.
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
		s.firstFailureAt = now
	}
	repeated := s.failures >= failuresUntilLost && now.Sub(s.firstFailureAt) >= minFailureSpan
	if s.lost || !repeated && now.Sub(s.answeredAt) < maxSilence {
		return nil
	}
	s.lost = true
	return conductor.StoreLost{Reason: err.Error()}
}

// reachable reports whether the store is not lost and has answered within reachableTTL.
func (s *storeHealth) reachable(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.lost && now.Sub(s.answeredAt) <= reachableTTL
}

// answers reports whether the store has answered any call within reachableTTL.
func (s *storeHealth) answers(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.answeredAt) <= reachableTTL
}

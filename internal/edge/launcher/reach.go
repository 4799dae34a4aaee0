package launcher

import (
	"errors"
	"sync"
	"time"

	"samphirewharf/internal/decision/conductor"
	"samphirewharf/internal/external/storer"
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

// A StoreCall is a call to the store that has ended.
type StoreCall struct {
	Name string
	// Watch reports whether it is a call of a watch, Read whether it is that or a read.
	Watch, Read bool
	SentAt      time.Time
	// Err is nil if the store has answered.
	Err error
}

// answerLost reports whether only the answer to a call of a watch may be lost, which says nothing of other calls. After a failed watch
// the daemon lists the entries.
func (c StoreCall) answerLost() bool { return c.Watch && !errors.Is(c.Err, storer.ErrRefused) }

// A storeMonitor posts an event when the store is lost or reached again, according to the outcomes of calls.
type storeMonitor struct {
	post   func(conductor.Event)
	count  func(call string, err error)
	health storeHealth
}

// A storeHealth tracks consecutive failures of calls to the store. The zero value is ready to use.
type storeHealth struct {
	mu sync.Mutex
	// calls are all calls, reads those that bring the view up to date, which alone the store may refuse. Reads that were sent before the
	// store was reached again don't count.
	calls, reads streak
	// answeredAt is when the last call was answered, otherAnsweredAt when the last one was that is no read.
	answeredAt      time.Time
	otherAnsweredAt time.Time
	lost            bool
	reachedAt       time.Time
	// readsLost reports whether the store refuses reads while it answers other calls, so that only a read shows the end of that.
	readsLost bool
}

// A streak is a number of failures in a row.
type streak struct {
	failures       int
	firstFailureAt time.Time
	// answeredSentAt is when the latest call that was answered had been sent.
	answeredSentAt time.Time
}

func (s *streak) answered(sentAt time.Time) {
	s.failures = 0
	if sentAt.After(s.answeredSentAt) {
		s.answeredSentAt = sentAt
	}
}

// failed counts a failure. One of a call that was sent before another one that was answered shows that an answer was lost, not the store.
func (s *streak) failed(sentAt, now time.Time) (counted bool) {
	if !sentAt.After(s.answeredSentAt) {
		return false
	}
	s.failures++
	if s.failures == 1 {
		s.firstFailureAt = now
	}
	return true
}

func (s *streak) repeated(now time.Time) bool {
	return s.failures >= failuresUntilLost && now.Sub(s.firstFailureAt) >= minFailureSpan
}

// observe handles the outcome of one call.
func (m *storeMonitor) observe(c StoreCall) {
	m.count(c.Name, c.Err)
	if event := m.health.record(c, time.Now()); event != nil {
		m.post(event)
	}
}

// record records the outcome of a call and returns the resulting event, nil if there is none.
func (s *storeHealth) record(c StoreCall, now time.Time) conductor.Event {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.Err == nil {
		return s.recordAnswer(c, now)
	}
	failed := c.SentAt.After(s.calls.answeredSentAt) && now.Sub(s.answeredAt) >= maxSilence
	if !c.answerLost() && s.calls.failed(c.SentAt, now) {
		failed = failed || s.calls.repeated(now)
	}
	if c.Read && !c.answerLost() && c.SentAt.After(s.reachedAt) && s.reads.failed(c.SentAt, now) && s.otherAnsweredAt.After(s.reads.firstFailureAt) {
		s.readsLost = s.reads.repeated(now)
		failed = failed || s.readsLost
	}
	if s.lost || !failed {
		return nil
	}
	s.lost = true
	return conductor.StoreLost{Reason: c.Err.Error()}
}

func (s *storeHealth) recordAnswer(c StoreCall, now time.Time) conductor.Event {
	s.calls.answered(c.SentAt)
	s.answeredAt = now
	if c.Read {
		s.reads.answered(c.SentAt)
		s.readsLost = false
	} else {
		s.otherAnsweredAt = now
		// The reads that have failed may have been refused by a store that answers other calls.
		s.readsLost = s.readsLost || s.lost && s.reads.repeated(now)
	}
	if !s.lost || s.readsLost {
		return nil
	}
	s.lost, s.reachedAt = false, now
	s.reads.failures = 0
	return conductor.StoreReached{}
}

// reachable reports whether the store is not lost and has answered within reachableTTL.
func (s *storeHealth) reachable(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.lost && now.Sub(s.answeredAt) <= reachableTTL
}

// answers reports whether the store has answered any call within reachableTTL, also if it refuses reads.
func (s *storeHealth) answers(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.answeredAt) <= reachableTTL
}

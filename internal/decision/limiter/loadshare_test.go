package limiter

import (
	"fmt"
	"testing"
	"time"

	"samphirewharf/internal/config/cataloger"
)

const farDeadline = time.Hour

func TestTakeKeepsRate(t *testing.T) {
	s := newLoadLimiter()
	var started []time.Duration
	for ms := range 20000 {
		now := time.Duration(ms) * time.Millisecond
		key := fmt.Sprint(ms)
		if s.TryStart(PendingLoad{Key: key, Deadline: farDeadline, Duration: time.Millisecond}, now) == DecisionStart {
			started = append(started, now)
			s.Finish(key, now+time.Millisecond)
		}
	}
	if got, want := len(started), 60; got != want {
		t.Errorf("loads started in 20s: got %d, want %d", got, want)
	}
	for i := 3; i < len(started); i++ {
		if got := started[i] - started[i-3]; got < time.Second-time.Millisecond {
			t.Fatalf("time from load %d to %d: got %v, want 1s", i-3, i, got)
		}
	}
}

func TestTakeKeepsFullSpeed(t *testing.T) {
	s := newLoadLimiter()
	for i := range 4 {
		now := time.Duration(i) * time.Second
		assertDecision(t, &s, PendingLoad{Key: fmt.Sprint(i), Deadline: farDeadline, Duration: 10 * time.Second}, now, DecisionStart)
	}
	fifth := PendingLoad{Key: "4", Deadline: farDeadline, Duration: 10 * time.Second}
	assertDecision(t, &s, fifth, 5*time.Second, DecisionWait)
	if got, want := s.Predict(fifth, 0, 5*time.Second), 20*time.Second; got != want {
		t.Errorf("predicted end: got %v, want %v", got, want)
	}
	if got, want := s.Predict(fifth, 1, 5*time.Second), 21*time.Second; got != want {
		t.Errorf("predicted end with one load ahead: got %v, want %v", got, want)
	}
	s.Abandon("2")
	assertDecision(t, &s, fifth, 5*time.Second, DecisionStart)
}

func TestAdaptersHaveTheirOwnShare(t *testing.T) {
	s := newLoadLimiter()
	for i := range 32 {
		assertDecision(t, &s, PendingLoad{Key: fmt.Sprint(i), Deadline: farDeadline, Duration: time.Millisecond, Adapter: true}, 0, DecisionStart)
	}
	assertDecision(t, &s, PendingLoad{Key: "32", Deadline: farDeadline, Duration: time.Millisecond, Adapter: true}, 0, DecisionWait)
	assertDecision(t, &s, PendingLoad{Key: "model", Deadline: farDeadline, Duration: time.Second}, 0, DecisionStart)
	models, adapters := s.InFlight()
	if models != 1 || adapters != 32 {
		t.Errorf("in flight: got %d and %d, want 1 and 32", models, adapters)
	}
}

func TestTakeRefusesHopelessLoads(t *testing.T) {
	s := newLoadLimiter()
	p := PendingLoad{Key: "a", Deadline: 9 * time.Second, Duration: 10 * time.Second}
	assertDecision(t, &s, p, 0, DecisionTooLate)
	if models, _ := s.InFlight(); models != 0 {
		t.Errorf("in flight: got %d, want 0", models)
	}
	p.Deadline = 10 * time.Second
	assertDecision(t, &s, p, 0, DecisionStart)
}

func TestSlowdown(t *testing.T) {
	s := newLoadLimiter()
	now := time.Duration(0)
	for i := range 20 {
		key := fmt.Sprint(i)
		assertDecision(t, &s, PendingLoad{Key: key, Deadline: farDeadline, Duration: time.Second}, now, DecisionStart)
		now += 5 * time.Second
		s.Finish(key, now)
	}
	p := PendingLoad{Key: "next", Deadline: now + 3*time.Second, Duration: time.Second}
	t.Run("learned", func(t *testing.T) {
		got, _ := s.Slowdown(now)
		if got < 4.3 || got > 5 {
			t.Errorf("slowdown: got %g, want about 5", got)
		}
		assertDecision(t, &s, p, now, DecisionTooLate)
	})
	t.Run("decays over time", func(t *testing.T) {
		later := now + 2*time.Minute
		p.Deadline = later + 3*time.Second
		assertDecision(t, &s, p, later, DecisionStart)
	})
	t.Run("observed before the load is done", func(t *testing.T) {
		if got, _ := s.Slowdown(now + 2*time.Minute + 50*time.Second); got != 50 {
			t.Errorf("slowdown: got %g, want 50", got)
		}
	})
}

func TestResumeBeyondFullSpeed(t *testing.T) {
	s := newLoadLimiter()
	for i := range 5 {
		s.Resume(PendingLoad{Key: fmt.Sprint(i), Duration: 4 * time.Second}, 0)
	}
	s.Finish("4", 5*time.Second)
	if got := s.models.learnedSlowdown(5 * time.Second); got != 1 {
		t.Errorf("slowdown after a load beyond full speed: got %g, want 1", got)
	}
}

func TestOrder(t *testing.T) {
	pending := []PendingLoad{{Key: "1", Deadline: 1}, {Key: "2", Deadline: 9, Urgent: true}, {Key: "3", Deadline: 5, Urgent: true}}
	SortPending(pending)
	for i, want := range []string{"3", "2", "1"} {
		if got := pending[i].Key; got != want {
			t.Errorf("load %d: got %s, want %s", i, got, want)
		}
	}
}

func TestZeroLoadShareStartsAll(t *testing.T) {
	var s LoadLimiter
	for i := range 100 {
		assertDecision(t, &s, PendingLoad{Key: fmt.Sprint(i), Deadline: farDeadline, Duration: time.Second}, 0, DecisionStart)
	}
}

func assertDecision(t *testing.T, s *LoadLimiter, p PendingLoad, now time.Duration, want Decision) {
	t.Helper()
	if got := s.TryStart(p, now); got != want {
		t.Errorf("decision on %s at %v: got %d, want %d", p.Key, now, got, want)
	}
}

func newLoadLimiter() LoadLimiter {
	var s LoadLimiter
	s.Configure(cataloger.WeightStore{LoadsPerSecond: 3, FullSpeedLoads: 4, FullSpeedAdapters: 32}, 0)
	return s
}

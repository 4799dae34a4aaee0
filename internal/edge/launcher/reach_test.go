package launcher

import (
	"errors"
	"testing"
	"time"

	"samphirewharf/internal/decision/conductor"
)

var errConnectionReset = errors.New("connection reset")

func assertEvent(t *testing.T, got, want conductor.Event) {
	t.Helper()
	if got != want {
		t.Errorf("got %#v, want %#v", got, want)
	}
}

func TestReach(t *testing.T) {
	start := time.Unix(100, 0)
	at := start.Add
	lost := conductor.StoreLost{Reason: errConnectionReset.Error()}
	newHealth := func() *storeHealth {
		s := &storeHealth{}
		assertEvent(t, s.record(StoreCall{SentAt: start, Err: nil}, start), nil)
		return s
	}
	t.Run("calls that fail together are no loss", func(t *testing.T) {
		s := newHealth()
		for range 3 {
			assertEvent(t, s.record(StoreCall{SentAt: at(10 * time.Millisecond), Err: errConnectionReset}, at(10*time.Millisecond)), nil)
		}
		assertEvent(t, s.record(StoreCall{SentAt: at(20 * time.Millisecond), Err: nil}, at(20*time.Millisecond)), nil)
	})
	t.Run("consecutive failures are a loss", func(t *testing.T) {
		s := newHealth()
		assertEvent(t, s.record(StoreCall{SentAt: at(10 * time.Millisecond), Err: errConnectionReset}, at(10*time.Millisecond)), nil)
		assertEvent(t, s.record(StoreCall{SentAt: at(100 * time.Millisecond), Err: errConnectionReset}, at(100*time.Millisecond)), lost)
		assertEvent(t, s.record(StoreCall{SentAt: at(200 * time.Millisecond), Err: errConnectionReset}, at(200*time.Millisecond)), nil)
		assertEvent(t, s.record(StoreCall{SentAt: at(300 * time.Millisecond), Err: nil}, at(300*time.Millisecond)), conductor.StoreReached{})
	})
	t.Run("a single failure after a silence is a loss", func(t *testing.T) {
		s := newHealth()
		assertEvent(t, s.record(StoreCall{SentAt: at(time.Second), Err: errConnectionReset}, at(time.Second)), lost)
	})
	t.Run("a lost answer is no loss if later calls are answered", func(t *testing.T) {
		s := newHealth()
		assertEvent(t, s.record(StoreCall{SentAt: at(500 * time.Millisecond)}, at(510*time.Millisecond)), nil)
		for i := range time.Duration(3) {
			lostAnswer := StoreCall{Read: true, SentAt: at(100 * time.Millisecond), Err: errConnectionReset}
			assertEvent(t, s.record(lostAnswer, at(2*time.Second+i*100*time.Millisecond)), nil)
		}
	})
	t.Run("a loss that reads show ends with a read", func(t *testing.T) {
		s := newHealth()
		refused := func(d time.Duration) conductor.Event {
			return s.record(StoreCall{Read: true, SentAt: at(d), Err: errConnectionReset}, at(d))
		}
		renewed := func(d time.Duration) conductor.Event { return s.record(StoreCall{SentAt: at(d)}, at(d)) }
		assertEvent(t, refused(100*time.Millisecond), nil)
		assertEvent(t, renewed(200*time.Millisecond), nil)
		assertEvent(t, refused(300*time.Millisecond), lost)
		assertEvent(t, renewed(400*time.Millisecond), nil)
		if s.reachable(at(400*time.Millisecond)) || !s.answers(at(400*time.Millisecond)) {
			t.Error("got reachable or no answers, want a lost store that answers")
		}
		assertEvent(t, s.record(StoreCall{Read: true, SentAt: at(500 * time.Millisecond)}, at(510*time.Millisecond)), conductor.StoreReached{})
	})
	t.Run("a store that answers other calls again is still lost until it answers a read", func(t *testing.T) {
		s := newHealth()
		for _, d := range []time.Duration{100, 200} {
			s.record(StoreCall{Read: true, SentAt: at(d * time.Millisecond), Err: errConnectionReset}, at(d*time.Millisecond))
		}
		assertEvent(t, s.record(StoreCall{SentAt: at(300 * time.Millisecond)}, at(300*time.Millisecond)), nil)
		assertEvent(t, s.record(StoreCall{Read: true, SentAt: at(400 * time.Millisecond)}, at(400*time.Millisecond)), conductor.StoreReached{})
	})
	t.Run("a read from before the end of an outage is no loss", func(t *testing.T) {
		s := newHealth()
		for _, d := range []time.Duration{100, 200} {
			s.record(StoreCall{SentAt: at(d * time.Millisecond), Err: errConnectionReset}, at(d*time.Millisecond))
		}
		assertEvent(t, s.record(StoreCall{SentAt: at(300 * time.Millisecond)}, at(300*time.Millisecond)), conductor.StoreReached{})
		for _, d := range []time.Duration{400, 500} {
			assertEvent(t, s.record(StoreCall{Read: true, SentAt: at(250 * time.Millisecond), Err: errConnectionReset}, at(d*time.Millisecond)), nil)
		}
	})
	t.Run("the store isn't reachable without recent answers, even if no call has failed", func(t *testing.T) {
		s := newHealth()
		if !s.reachable(at(reachableTTL)) || s.reachable(at(reachableTTL+time.Millisecond)) {
			t.Error("got another end of reachability, want it after a second")
		}
	})
}

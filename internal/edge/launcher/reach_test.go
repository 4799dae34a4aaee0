package launcher

import (
	"errors"
	"testing"
	"time"

	"samphirewharf/internal/decision/conductor"
)

var errCut = errors.New("cut")

func assertEvent(t *testing.T, got, want conductor.Event) {
	t.Helper()
	if got != want {
		t.Errorf("got %#v, want %#v", got, want)
	}
}

func TestReach(t *testing.T) {
	start := time.Unix(100, 0)
	at := start.Add
	lost := conductor.StoreLost{Reason: errCut.Error()}
	begin := func() *reachState {
		s := &reachState{}
		assertEvent(t, s.take(nil, start), nil)
		return s
	}
	t.Run("calls that are cut together are no loss", func(t *testing.T) {
		s := begin()
		for range 3 {
			assertEvent(t, s.take(errCut, at(10*time.Millisecond)), nil)
		}
		assertEvent(t, s.take(nil, at(20*time.Millisecond)), nil)
	})
	t.Run("failures that follow each other are one", func(t *testing.T) {
		s := begin()
		assertEvent(t, s.take(errCut, at(10*time.Millisecond)), nil)
		assertEvent(t, s.take(errCut, at(100*time.Millisecond)), lost)
		assertEvent(t, s.take(errCut, at(200*time.Millisecond)), nil)
		assertEvent(t, s.take(nil, at(300*time.Millisecond)), conductor.StoreReached{})
	})
	t.Run("a single failure after a silence is one too", func(t *testing.T) {
		s := begin()
		assertEvent(t, s.take(errCut, at(time.Second)), lost)
	})
	t.Run("without recent answers the view isn't fresh, whether or not a call has failed", func(t *testing.T) {
		s := begin()
		if !s.answers(at(freshFor)) || s.answers(at(freshFor+time.Millisecond)) {
			t.Error("got another end of freshness, want it after a second")
		}
	})
}

package calibrator

import (
	"testing"
	"time"
)

const steadyGap = 60 * time.Millisecond

// observe has an engine work for some seconds with a gap between events at a batch of 8.
func observe(e *Estimate, from time.Duration, seconds int, gap time.Duration) time.Duration {
	now := from
	for range seconds {
		now += time.Second
		e.ObserveEvents(now, Work{Batch: 8}, Window{Gaps: int(time.Second / gap), Span: time.Second, Longest: gap})
	}
	return now
}

func assertNear(t *testing.T, what string, got, want float64) {
	t.Helper()
	if got < 0.85*want || got > 1.15*want {
		t.Errorf("got %s %.3f, want about %.3f", what, got, want)
	}
}

// engines returns estimates of engines that were observed with the given gaps, and the time after that.
func engines(gaps ...time.Duration) (*Service, []*Estimate, time.Duration) {
	s, now := &Service{}, time.Duration(0)
	var list []*Estimate
	for _, gap := range gaps {
		e := s.NewEstimate()
		now = observe(e, 0, 3*medianInterval, gap)
		list = append(list, e)
	}
	return s, list, now
}

func TestEstimate(t *testing.T) {
	t.Run("a change of speed counts after a second of work", func(t *testing.T) {
		_, list, now := engines(steadyGap, steadyGap, steadyGap)
		before := list[0].Slowness(now)
		now = observe(list[0], now, 1, 2*steadyGap)
		assertNear(t, "slowness", list[0].Slowness(now)/before, 2)
	})
	t.Run("a cold engine has the median speed", func(t *testing.T) {
		s, list, now := engines(steadyGap/2, steadyGap, 2*steadyGap)
		assertNear(t, "pause", float64(s.NewEstimate().Pause(now, Work{Batch: 8})), float64(list[1].Pause(now, Work{Batch: 8})))
	})
	t.Run("pauses grow with the batch, the prompt and slowness", func(t *testing.T) {
		_, list, now := engines(steadyGap/2, steadyGap, 2*steadyGap)
		base := list[1].Pause(now, Work{Batch: 8})
		for what, longer := range map[string]time.Duration{
			"batch": list[1].Pause(now, Work{Batch: 20}), "prompt": list[1].Pause(now, Work{Batch: 8, Prompt: 2000}), "slowness": list[2].Pause(now, Work{Batch: 8}),
		} {
			if longer <= base {
				t.Errorf("%s: got pause %v, want more than %v", what, longer, base)
			}
		}
	})
	t.Run("a slow engine approaches the median while it has no work", func(t *testing.T) {
		_, list, now := engines(steadyGap, steadyGap, 3*steadyGap)
		assertNear(t, "slowness", list[2].Slowness(now+5*time.Minute), 1)
	})
	t.Run("first events are learned by the tokens of the prompt", func(t *testing.T) {
		_, list, now := engines(steadyGap, steadyGap, steadyGap)
		for i := range 400 {
			prompt := 500 + 100*(i%20)
			list[i%3].ObserveFirst(now, Work{Batch: 8, Prompt: prompt}, 30*time.Millisecond+time.Duration(prompt)*time.Millisecond/20)
		}
		assertNear(t, "first event", list[0].First(now, Work{Batch: 8, Prompt: 2000}).Seconds(), 0.13)
	})
	t.Run("prompts that were just sent have to be read first", func(t *testing.T) {
		_, list, now := engines(steadyGap, steadyGap, steadyGap)
		alone := list[0].First(now, Work{Batch: 8, Prompt: 100})
		list[0].ObserveSend(now, 8000, 200*time.Millisecond)
		if got, want := list[0].First(now, Work{Batch: 8, Prompt: 100}), alone+100*time.Millisecond; got < want {
			t.Errorf("got first event after %v, want at least %v", got, want)
		}
		if !list[0].Forecast(now+150*time.Millisecond, Work{Batch: 8}).ReadsLong {
			t.Error("got no long prompt within the objective, want one")
		}
	})
}

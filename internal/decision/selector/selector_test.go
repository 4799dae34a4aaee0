package selector

import (
	"math/rand/v2"
	"testing"
	"time"
)

var streaming = Criteria{Daemons: 68, EventGap: 200 * time.Millisecond, First: 500 * time.Millisecond, Length: 1}

// shares returns how often each candidate is chosen in a thousand choices.
func shares(candidates []Candidate, criteria Criteria) []int {
	rng := rand.New(rand.NewPCG(1, 2))
	chosen := make([]int, len(candidates))
	for range 1000 {
		chosen[Choose(candidates, criteria, rng).Index]++
	}
	return chosen
}

func expecting(load float64, pause time.Duration) Candidate {
	return Candidate{Load: load, Forecast: Forecast{Pause: pause, First: 40 * time.Millisecond}}
}

func assertShare(t *testing.T, candidates []Candidate, criteria Criteria, index, least, most int) {
	t.Helper()
	if got := shares(candidates, criteria)[index]; got < least || got > most {
		t.Errorf("got candidate %d chosen %d times in 1000, want from %d to %d", index, got, least, most)
	}
}

func TestChoose(t *testing.T) {
	slow, fast := expecting(0, 210*time.Millisecond), expecting(0.9, 190*time.Millisecond)
	t.Run("no server beyond the gap objective while another one is within it", func(t *testing.T) {
		assertShare(t, []Candidate{slow, fast}, streaming, 0, 0, 0)
	})
	t.Run("the server with the least pause if none is within the objective", func(t *testing.T) {
		assertShare(t, []Candidate{expecting(0, 400*time.Millisecond), expecting(0.9, 300*time.Millisecond)}, streaming, 1, 1000, 1000)
	})
	t.Run("forecasts don't count without a gap objective", func(t *testing.T) {
		assertShare(t, []Candidate{slow, fast}, Criteria{Daemons: 68}, 0, 1000, 1000)
	})
	t.Run("daemons don't all choose the fastest server", func(t *testing.T) {
		assertShare(t, []Candidate{expecting(0.2, 50*time.Millisecond), expecting(0.2, 80*time.Millisecond)}, streaming, 1, 150, 500)
	})
	t.Run("long answers go to fast servers more often than short ones", func(t *testing.T) {
		candidates := []Candidate{expecting(0.3, 80*time.Millisecond), expecting(0.1, 140*time.Millisecond)}
		short, long := streaming, streaming
		short.Length, long.Length = 0.3, 3
		if s, l := shares(candidates, short)[0], shares(candidates, long)[0]; l < s+100 {
			t.Errorf("got the fast server chosen %d times for long answers, %d times for short ones", l, s)
		}
	})
	t.Run("no second long prompt at one server", func(t *testing.T) {
		candidates := []Candidate{expecting(0.1, 80*time.Millisecond), expecting(0.9, 80*time.Millisecond)}
		candidates[0].Forecast.ReadsLong = true
		for i := range candidates {
			candidates[i].Forecast.Read = 100 * time.Millisecond
		}
		assertShare(t, candidates, streaming, 0, 0, 0)
		assertShare(t, candidates[:1], streaming, 0, 1000, 1000)
	})
	t.Run("an open connection decides between equal servers only", func(t *testing.T) {
		candidates := []Candidate{expecting(0.2, 80*time.Millisecond), expecting(0.2, 80*time.Millisecond)}
		candidates[1].Recent = true
		assertShare(t, candidates, streaming, 1, 505, 600)
	})
	t.Run("no servers", func(t *testing.T) {
		if got := Choose(nil, streaming, rand.New(rand.NewPCG(1, 2))); got.Index >= 0 {
			t.Errorf("got candidate %d, want none", got.Index)
		}
	})
}

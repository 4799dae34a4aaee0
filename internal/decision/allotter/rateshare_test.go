package allotter

import (
	"fmt"
	"math"
	"testing"
	"time"
)

func TestShareRate(t *testing.T) {
	for _, c := range []struct {
		daemons int
		rate    float64
		sharers int
	}{{1, 4, 1}, {7, 4.3, 7}, {7, 2.4, 6}, {60, 2, 6}, {420, 1000, 420}, {60, 0.5, 4}} {
		t.Run(fmt.Sprintf("%d of %d daemons share %v requests a second", c.sharers, c.daemons, c.rate), func(t *testing.T) {
			var daemons []string
			for i := range c.daemons {
				daemons = append(daemons, fmt.Sprintf("d%d", i))
			}
			sum, sharers := 0.0, 0
			for _, d := range daemons {
				if share := ShareRate(c.rate, "s1", d, daemons); share > 0 {
					sum += share
					sharers++
				}
			}
			if math.Abs(sum-c.rate) > 1e-9 || sharers != c.sharers {
				t.Errorf("got %v from %d daemons, want %v from %d", sum, sharers, c.rate, c.sharers)
			}
		})
	}
	t.Run("a server that takes no request has no sharers", func(t *testing.T) {
		if got := ShareRate(0, "s1", "d1", []string{"d1"}); got != 0 {
			t.Errorf("got %v, want 0", got)
		}
	})
}

func TestRateShare(t *testing.T) {
	assertWait := func(t *testing.T, s *RateShare, now, want time.Duration) {
		t.Helper()
		if got := s.Wait(now); got < want || got > want+2*time.Millisecond {
			t.Errorf("got wait %v at %v, want %v", got, now, want)
		}
	}
	t.Run("requests are spaced by the rate", func(t *testing.T) {
		s := NewRateShare(0, 2, nil, 1)
		assertWait(t, &s, time.Second, 0)
		s.Take(time.Second)
		assertWait(t, &s, time.Second, 500*time.Millisecond)
		assertWait(t, &s, 1300*time.Millisecond, 200*time.Millisecond)
		assertWait(t, &s, 1501*time.Millisecond, 0)
	})
	t.Run("requests of shortly before count", func(t *testing.T) {
		now := 10 * time.Second
		s := NewRateShare(now, 2, []time.Duration{now - 5*time.Second, now - 1900*time.Millisecond, now - time.Second, now - 500*time.Millisecond, now, now}, 1)
		assertWait(t, &s, now, time.Second)
	})
	t.Run("requests of shortly before count for the daemons without a share", func(t *testing.T) {
		now := 10 * time.Second
		s := NewRateShare(now, 2, []time.Duration{now - time.Second}, 6)
		assertWait(t, &s, now, 2*time.Second)
	})
	t.Run("the wait for requests of before is bounded", func(t *testing.T) {
		now := 10 * time.Second
		s := NewRateShare(now, 2, []time.Duration{now - time.Second}, 100)
		assertWait(t, &s, now, maxRateDebt)
	})
	t.Run("an idle daemon saves one request at most", func(t *testing.T) {
		s := NewRateShare(0, 2, nil, 1)
		s.Take(time.Minute)
		assertWait(t, &s, time.Minute, 500*time.Millisecond)
	})
	t.Run("a changed rate keeps what was taken", func(t *testing.T) {
		s := NewRateShare(0, 2, nil, 1)
		s.Take(0)
		s.SetRate(0, 1)
		assertWait(t, &s, 0, time.Second)
	})
	t.Run("there is no request without a share", func(t *testing.T) {
		var s RateShare
		if got := s.Wait(0); got != Unavailable {
			t.Errorf("got wait %v, want none", got)
		}
	})
}

package tracker

import (
	"math/rand/v2"
	"testing"
	"time"

	"samphirewharf/internal/external/storer"
)

func TestLease(t *testing.T) {
	cases := []struct {
		name   string
		result storer.Result
		at     time.Duration
		want   bool
	}{
		{"valid after a renewal", storer.ResultOK, 2 * time.Second, true},
		{"valid until the TTL minus the margins", storer.ResultOK, 9499 * time.Millisecond, true},
		{"not valid within the margins", storer.ResultOK, 9500 * time.Millisecond, false},
		{"not valid after a renewal with unknown outcome", storer.ResultUnknown, 2 * time.Second, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			lease := NewLease(rand.New(rand.NewPCG(1, 2)))
			lease.ApplyRenewal(time.Second, c.result, false)
			if got := lease.Valid(c.at); got != c.want {
				t.Errorf("got valid %t, want %t", got, c.want)
			}
		})
	}
	t.Run("renewals are jittered", func(t *testing.T) {
		lease := NewLease(rand.New(rand.NewPCG(1, 2)))
		gaps := make(map[time.Duration]bool)
		for range 100 {
			now := lease.NextRenewal()
			if !lease.Due(now) {
				t.Fatalf("got not due at %v, want due", now)
			}
			gap := lease.NextRenewal() - now
			gaps[gap] = true
			if gap < 2970*time.Millisecond || gap > 3630*time.Millisecond {
				t.Errorf("got %v between renewals, want 3.3s within a tenth", gap)
			}
		}
		if len(gaps) < 50 {
			t.Errorf("got %d different intervals, want at least 50", len(gaps))
		}
	})
	t.Run("a lost lease starts a new epoch", func(t *testing.T) {
		lease := NewLease(rand.New(rand.NewPCG(1, 2)))
		lease.ApplyRenewal(0, storer.ResultOK, false)
		lease.ApplyRenewal(0, storer.ResultOK, false)
		lease.ApplyRenewal(0, storer.ResultOK, true)
		if got, want := lease.Epoch(), 2; got != want {
			t.Errorf("got epoch %d, want %d", got, want)
		}
	})
}

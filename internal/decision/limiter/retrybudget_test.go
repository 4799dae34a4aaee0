package limiter

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

func TestRetryBudgetBoundsAmplification(t *testing.T) {
	const requests = 60000
	for _, failing := range []float64{0, 0.02, 0.5, 0.9, 1} {
		t.Run(fmt.Sprintf("%g failing", failing), func(t *testing.T) {
			var b RetryBudget
			rng := rand.New(rand.NewPCG(1, 2))
			sent := 0
			for i := range requests {
				now := time.Duration(i) * time.Millisecond
				for try := true; try; {
					sent++
					if rng.Float64() >= failing {
						b.RecordSuccess()
						break
					}
					try = b.Spend(now)
				}
			}
			got := float64(sent) / requests
			if want := 1.1; got > want {
				t.Errorf("amplification: got %.4f, want at most %g", got, want)
			}
			t.Logf("amplification %.4f", got)
		})
	}
}

func TestRetryBudgetFloorAndShare(t *testing.T) {
	for share, want := range map[float64]int{0: 10, 0.25: 4} {
		b := RetryBudget{Share: share}
		for b.Spend(0) {
			continue
		}
		if b.Spend(time.Second) || !b.Spend(5*time.Second) {
			t.Error("retry without success: want refused after 1s and allowed after 5s")
		}
		got := 0
		for ; !b.Spend(5 * time.Second); got++ {
			b.RecordSuccess()
		}
		if got != want && got != want+1 {
			t.Errorf("successes for a retry at share %g: got %d, want %d", share, got, want)
		}
	}
}

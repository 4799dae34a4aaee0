package allotter

import (
	"testing"
	"time"
)

const window = 10 * time.Second

func spendAll(b *RetryBudget, now time.Duration, daemons int) int {
	n := 0
	for b.Spend(now, daemons) {
		n++
	}
	return n
}

func assertSpent(t *testing.T, got, want int) {
	t.Helper()
	if got != want {
		t.Errorf("got %d retries, want %d", got, want)
	}
}

func TestBudget(t *testing.T) {
	t.Run("the zero value allows nothing", func(t *testing.T) {
		assertSpent(t, spendAll(&RetryBudget{}, time.Second, 1), 0)
	})
	t.Run("slack is divided among the daemons", func(t *testing.T) {
		b := RetryBudget{Window: window, Ratio: 0.2, Slack: 50}
		assertSpent(t, spendAll(&b, time.Second, 5), 8)
	})
	t.Run("requests add to the budget", func(t *testing.T) {
		b := RetryBudget{Window: window, Ratio: 0.2, Slack: 50}
		for range 100 {
			b.CountRequest(time.Second)
		}
		assertSpent(t, spendAll(&b, time.Second, 5), 24)
	})
	t.Run("a process that replaces another one doesn't use its share again", func(t *testing.T) {
		const daemons, requests = 7, 200
		spent := 0
		for range daemons {
			before := RetryBudget{Window: window, Ratio: 0.2, Slack: 50}
			after := RetryBudget{Window: window, Ratio: 0.2, Slack: 50, FreshUntil: 15*time.Second + window}
			for range requests {
				before.CountRequest(14 * time.Second)
				after.CountRequest(16 * time.Second)
			}
			spent += spendAll(&before, 14*time.Second, daemons) + spendAll(&after, 16*time.Second, daemons)
		}
		if most := int(0.2*daemons*requests + 50); spent > most {
			t.Errorf("got %d retries in one window, want at most %d", spent, most)
		}
	})
	t.Run("the share is whole again a window after the start", func(t *testing.T) {
		b := RetryBudget{Window: window, Ratio: 0.2, Slack: 50, FreshUntil: window}
		assertSpent(t, spendAll(&b, window, 5), 8)
	})
	t.Run("the budget is restored only after the window", func(t *testing.T) {
		b := RetryBudget{Window: window, Slack: 50}
		spendAll(&b, 5*time.Second, 5)
		assertSpent(t, spendAll(&b, 14*time.Second, 5), 0)
		assertSpent(t, spendAll(&b, 16*time.Second, 5), 8)
	})
	t.Run("all daemons together stay within the budget in every window", func(t *testing.T) {
		const daemons = 6
		budgets := make([]RetryBudget, daemons)
		var sent []time.Duration
		for i := range budgets {
			budgets[i] = RetryBudget{Window: window, Ratio: 0.2, Slack: 52}
		}
		for now := time.Duration(0); now < 60*time.Second; now += 20 * time.Millisecond {
			b := &budgets[int(now/time.Millisecond)%daemons]
			b.CountRequest(now)
			for b.Spend(now, daemons) {
				sent = append(sent, now)
			}
		}
		for i, from := range sent {
			n := 0
			for _, at := range sent[i:] {
				if at < from+window {
					n++
				}
			}
			if got, want := float64(n), 0.2*500+52; got > want {
				t.Fatalf("got %v retries in the window from %v, want at most %v", got, from, want)
			}
		}
	})
}

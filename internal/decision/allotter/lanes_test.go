package allotter

import (
	"testing"
	"time"
)

func TestLanes(t *testing.T) {
	const alone = 10 * time.Second
	assertLimit := func(t *testing.T, l *ConcurrencyLimiter, want int) {
		t.Helper()
		if got := l.Limit(); got != want {
			t.Errorf("got limit %d, want %d", got, want)
		}
	}
	t.Run("the limit doubles while loads are timely", func(t *testing.T) {
		var l ConcurrencyLimiter
		assertLimit(t, &l, initialLimit)
		l.ObserveCompleted(alone, alone, 1)
		assertLimit(t, &l, initialLimit)
		l.ObserveCompleted(alone, alone, 2)
		assertLimit(t, &l, 4)
		l.ObserveCompleted(alone, alone, 4)
		assertLimit(t, &l, maxLimit)
	})
	t.Run("the limit drops to the capacity that the times imply", func(t *testing.T) {
		var l ConcurrencyLimiter
		l.ObserveRunning(12*time.Second, alone, 2)
		assertLimit(t, &l, initialLimit)
		l.ObserveRunning(16*time.Second, alone, 2)
		assertLimit(t, &l, 1)
		l.ObserveCompleted(40*time.Second, alone, 4)
		assertLimit(t, &l, 1)
	})
	t.Run("a slow load that runs alone changes nothing", func(t *testing.T) {
		var l ConcurrencyLimiter
		l.ObserveCompleted(30*time.Second, alone, 1)
		assertLimit(t, &l, initialLimit)
	})
	t.Run("loads from a store of capacity 1 end about as soon as with a fixed limit of four", func(t *testing.T) {
		var l ConcurrencyLimiter
		if got, withFour := simulateLast(&l, 1, 8, alone), 8*alone; got > withFour+alone {
			t.Errorf("got the last of 8 loads after %v, want within %v", got, withFour+alone)
		}
		var limiter ConcurrencyLimiter
		if got, want := simulateFirst(&limiter, 1, 8, alone), 2*alone; got > want {
			t.Errorf("got the first of 8 loads after %v, want within %v", got, want)
		}
	})
	t.Run("a store of capacity 4 is fully used", func(t *testing.T) {
		var l ConcurrencyLimiter
		if got, want := simulateLast(&l, 4, 12, alone), 4*alone; got > want {
			t.Errorf("got the last of 12 loads after %v, want within %v", got, want)
		}
	})
}

// A storeLoad is a load from a simulated weight store, with its remaining work and start time.
type storeLoad struct {
	remaining  time.Duration
	startedAt  time.Duration
	concurrent int
}

// simulateLoads simulates loads from a store that serves capacity loads at full speed, and returns when each one ended.
func simulateLoads(l *ConcurrencyLimiter, capacity, loads int, alone time.Duration) []time.Duration {
	const step = 50 * time.Millisecond
	var ends []time.Duration
	var running []*storeLoad
	started := 0
	for now := time.Duration(0); len(ends) < loads && now < time.Hour; now += step {
		for started < loads && len(running) < l.Limit() {
			running = append(running, &storeLoad{remaining: alone, startedAt: now})
			started++
		}
		speed := min(1, float64(capacity)/float64(len(running)))
		var stillRunning []*storeLoad
		for _, r := range running {
			r.concurrent = max(r.concurrent, len(running))
			r.remaining -= time.Duration(float64(step) * speed)
			if r.remaining <= 0 {
				l.ObserveCompleted(now+step-r.startedAt, alone, r.concurrent)
				ends = append(ends, now+step)
				continue
			}
			l.ObserveRunning(now+step-r.startedAt, alone, r.concurrent)
			stillRunning = append(stillRunning, r)
		}
		running = stillRunning
	}
	return ends
}

func simulateLast(l *ConcurrencyLimiter, capacity, loads int, alone time.Duration) time.Duration {
	ends := simulateLoads(l, capacity, loads, alone)
	return ends[len(ends)-1]
}

func simulateFirst(l *ConcurrencyLimiter, capacity, loads int, alone time.Duration) time.Duration {
	return simulateLoads(l, capacity, loads, alone)[0]
}

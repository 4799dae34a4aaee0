package allotter

import (
	"testing"
	"time"
)

func TestLanes(t *testing.T) {
	const alone = 10 * time.Second
	assertNumber := func(t *testing.T, l *ConcurrencyLimiter, want int) {
		t.Helper()
		if got := l.Limit(); got != want {
			t.Errorf("got %d lanes, want %d", got, want)
		}
	}
	t.Run("they double while loads are timely", func(t *testing.T) {
		var l ConcurrencyLimiter
		assertNumber(t, &l, lanesFirst)
		l.ObserveCompleted(alone, alone, 1)
		assertNumber(t, &l, lanesFirst)
		l.ObserveCompleted(alone, alone, 2)
		assertNumber(t, &l, 4)
		l.ObserveCompleted(alone, alone, 4)
		assertNumber(t, &l, lanesMost)
	})
	t.Run("they shrink to what the times show", func(t *testing.T) {
		var l ConcurrencyLimiter
		l.ObserveRunning(12*time.Second, alone, 2)
		assertNumber(t, &l, lanesFirst)
		l.ObserveRunning(16*time.Second, alone, 2)
		assertNumber(t, &l, 1)
		l.ObserveCompleted(40*time.Second, alone, 4)
		assertNumber(t, &l, 1)
	})
	t.Run("a slow load alone shows nothing", func(t *testing.T) {
		var l ConcurrencyLimiter
		l.ObserveCompleted(30*time.Second, alone, 1)
		assertNumber(t, &l, lanesFirst)
	})
	t.Run("all loads of a narrow store are there sooner than with four at once", func(t *testing.T) {
		var l ConcurrencyLimiter
		if got, four := playStore(&l, 1, 8, alone), 8*alone; got > four+alone {
			t.Errorf("got the last of 8 loads after %v, want within %v", got, four+alone)
		}
		var first ConcurrencyLimiter
		if got, want := playFirst(&first, 1, 8, alone), 2*alone; got > want {
			t.Errorf("got the first of 8 loads after %v, want within %v", got, want)
		}
	})
	t.Run("a wide store is used in full", func(t *testing.T) {
		var l ConcurrencyLimiter
		if got, want := playStore(&l, 4, 12, alone), 4*alone; got > want {
			t.Errorf("got the last of 12 loads after %v, want within %v", got, want)
		}
	})
}

// A storeLoad is a load of a played weight store: its work left and when it began.
type storeLoad struct {
	left     time.Duration
	began    time.Duration
	together int
}

// playLoads plays loads from a store that serves so many at full speed, and returns when each ended.
func playLoads(l *ConcurrencyLimiter, width, loads int, alone time.Duration) []time.Duration {
	const step = 50 * time.Millisecond
	var ends []time.Duration
	var running []*storeLoad
	begun := 0
	for now := time.Duration(0); len(ends) < loads && now < time.Hour; now += step {
		for begun < loads && len(running) < l.Limit() {
			running = append(running, &storeLoad{left: alone, began: now})
			begun++
		}
		speed := min(1, float64(width)/float64(len(running)))
		var left []*storeLoad
		for _, r := range running {
			r.together = max(r.together, len(running))
			r.left -= time.Duration(float64(step) * speed)
			if r.left <= 0 {
				l.ObserveCompleted(now+step-r.began, alone, r.together)
				ends = append(ends, now+step)
				continue
			}
			l.ObserveRunning(now+step-r.began, alone, r.together)
			left = append(left, r)
		}
		running = left
	}
	return ends
}

func playStore(l *ConcurrencyLimiter, width, loads int, alone time.Duration) time.Duration {
	ends := playLoads(l, width, loads, alone)
	return ends[len(ends)-1]
}

func playFirst(l *ConcurrencyLimiter, width, loads int, alone time.Duration) time.Duration {
	return playLoads(l, width, loads, alone)[0]
}

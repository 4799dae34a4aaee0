package loader_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"samphirewharf/internal/standin/loader"
)

// A loadTimer runs concurrent loads and records how long each takes, in virtual time.
type loadTimer struct {
	group     sync.WaitGroup
	durations []time.Duration
}

func (l *loadTimer) run(i int, load func(context.Context, time.Duration) error, d time.Duration) {
	defer l.group.Done()
	began := time.Now()
	if load(context.Background(), d) == nil {
		l.durations[i] = time.Since(began)
	}
}

func measureLoads(n int, load func(context.Context, time.Duration) error, d time.Duration) []time.Duration {
	l := &loadTimer{durations: make([]time.Duration, n)}
	l.group.Add(n)
	for i := range n {
		go l.run(i, load, d)
	}
	l.group.Wait()
	return l.durations
}

func assertLongest(t *testing.T, durations []time.Duration, want time.Duration) {
	t.Helper()
	var got time.Duration
	for _, d := range durations {
		got = max(got, d)
	}
	if diff := got - want; diff < -time.Microsecond || diff > time.Microsecond {
		t.Errorf("got longest %v, want %v", got, want)
	}
}

func TestStore(t *testing.T) {
	for _, test := range []struct {
		name     string
		store    *loader.Store
		n        int
		adapters bool
		want     time.Duration
	}{
		{"no limits", &loader.Store{}, 100, false, time.Second},
		{"loads at full speed", &loader.Store{FullSpeedLoads: 4}, 4, false, time.Second},
		{"twice as many loads", &loader.Store{FullSpeedLoads: 4}, 8, false, 2 * time.Second},
		{"adapters at full speed", &loader.Store{FullSpeedLoads: 4, FullSpeedAdapters: 32}, 32, true, time.Second},
		{"three times as many adapters", &loader.Store{FullSpeedAdapters: 32}, 96, true, 3 * time.Second},
		{"rate of loads", &loader.Store{LoadsPerSecond: 0.5}, 3, false, 5 * time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				load := test.store.Load
				if test.adapters {
					load = test.store.LoadAdapter
				}
				assertLongest(t, measureLoads(test.n, load, time.Second), test.want)
			})
		})
	}
	t.Run("slow factor changes running loads", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			store := &loader.Store{}
			time.AfterFunc(500*time.Millisecond, func() { store.SetSlowFactor(4) })
			assertLongest(t, measureLoads(1, store.Load, time.Second), 2500*time.Millisecond)
		})
	})
	t.Run("a cancelled load frees its share", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			store := &loader.Store{FullSpeedLoads: 1}
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			if got := store.Load(ctx, time.Minute); !errors.Is(got, context.DeadlineExceeded) {
				t.Errorf("got %v, want %v", got, context.DeadlineExceeded)
			}
			assertLongest(t, measureLoads(1, store.Load, time.Second), time.Second)
			if got, want := store.Counts().PeakLoads, 1; got != want {
				t.Errorf("got peak %d, want %d", got, want)
			}
		})
	})
}

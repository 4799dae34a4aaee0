// Package loader is a stand-in for the weight store that engines share. It models the store's limits:
// a rate of loads, and a number of loads and of adapter loads that run at full speed.
package loader

import (
	"context"
	"fmt"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// A Store is a stand-in for the weight store. The zero value has no limits. Fields must not be changed after the first
// load.
type Store struct {
	// LoadsPerSecond is how many loads may start per second; zero means no limit.
	LoadsPerSecond float64
	// FullSpeedLoads is how many loads run at full speed; a larger number of loads shares the same bandwidth.
	// Zero means no limit.
	FullSpeedLoads int
	// FullSpeedAdapters is the same for adapter loads.
	FullSpeedAdapters int

	mu         sync.Mutex
	limiter    *rate.Limiter
	slowFactor float64
	models     transfers
	adapters   transfers
}

// Counts are the numbers of loads.
type Counts struct {
	Loads        int64
	AdapterLoads int64
	// PeakLoads and PeakAdapterLoads are the largest numbers of concurrent transfers.
	PeakLoads        int
	PeakAdapterLoads int
	// Loading and LoadingAdapters are the current numbers of transfers.
	Loading         int
	LoadingAdapters int
}

// transfers are the transfers of one kind.
type transfers struct {
	started int64
	active  int
	peak    int
	// changed is closed and replaced by a new channel when the speed changes; nil before the first change.
	changed chan struct{}
}

// Counts returns the numbers of loads.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Counts{
		Loads:            s.models.started,
		AdapterLoads:     s.adapters.started,
		PeakLoads:        s.models.peak,
		PeakAdapterLoads: s.adapters.peak,
		Loading:          s.models.active,
		LoadingAdapters:  s.adapters.active,
	}
}

// Load waits for the rate limit, then for a transfer that takes the given time at full speed.
func (s *Store) Load(ctx context.Context, atFullSpeed time.Duration) error {
	if err := s.rateLimiter().Wait(ctx); err != nil {
		return fmt.Errorf("load from weight store: %w", err)
	}
	return s.transfer(ctx, &s.models, s.FullSpeedLoads, atFullSpeed)
}

// LoadAdapter waits for the transfer of an adapter that takes the given time at full speed.
func (s *Store) LoadAdapter(ctx context.Context, atFullSpeed time.Duration) error {
	return s.transfer(ctx, &s.adapters, s.FullSpeedAdapters, atFullSpeed)
}

// SetSlowFactor makes all transfers, and the remainder of running ones, take the given multiple of their time; 0 means 1.
func (s *Store) SetSlowFactor(factor float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slowFactor = factor
	s.models.addActive(0)
	s.adapters.addActive(0)
}

func (s *Store) rateLimiter() *rate.Limiter {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.limiter == nil {
		s.limiter = rate.NewLimiter(rate.Inf, 1)
		if s.LoadsPerSecond > 0 {
			s.limiter.SetLimit(rate.Limit(s.LoadsPerSecond))
		}
	}
	return s.limiter
}

// transfer waits until a transfer is complete. Its speed depends on the number of concurrent transfers.
func (s *Store) transfer(ctx context.Context, t *transfers, fullSpeed int, remaining time.Duration) error {
	s.begin(t)
	defer s.end(t)
	for {
		speed, changed := s.speed(t, fullSpeed)
		began := time.Now()
		timer := time.NewTimer(time.Duration(float64(remaining) / speed))
		select {
		case <-timer.C:
			return nil
		case <-changed:
		case <-ctx.Done():
			timer.Stop()
			return fmt.Errorf("load from weight store: %w", ctx.Err())
		}
		timer.Stop()
		remaining -= time.Duration(float64(time.Since(began)) * speed)
	}
}

func (s *Store) begin(t *transfers) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t.started++
	t.addActive(1)
	t.peak = max(t.peak, t.active)
}

func (s *Store) end(t *transfers) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t.addActive(-1)
}

// speed returns the speed of each transfer as a share of full speed, and a channel that is closed when it changes.
func (s *Store) speed(t *transfers, fullSpeed int) (float64, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	speed := 1.0
	if fullSpeed > 0 && t.active > fullSpeed {
		speed = float64(fullSpeed) / float64(t.active)
	}
	if s.slowFactor > 0 {
		speed /= s.slowFactor
	}
	return speed, t.changed
}

func (t *transfers) addActive(delta int) {
	t.active += delta
	if t.changed != nil {
		close(t.changed)
	}
	t.changed = make(chan struct{})
}

package emulator

import "time"

// A weightStore serves loads of one kind. Up to a limit they run concurrently at full speed; beyond it they share
// the bandwidth equally. The rate of starts is limited, too.
type weightStore struct {
	clock *clock
	// fullSpeedLoads is how many concurrent loads run at full speed; zero means no limit.
	fullSpeedLoads int
	// minStartInterval is the minimum time between two starts.
	minStartInterval time.Duration

	active []*transfer
	// updated is when the remaining work of the active transfers was last updated.
	updated   time.Duration
	nextStart time.Duration
	// generation is incremented with each scheduled completion, so that an outdated one is ignored.
	generation int
	// peakLoads is the maximum number of concurrent transfers, delayedLoads the number of starts that the rate limit
	// delayed.
	peakLoads    int
	delayedLoads int
}

// A transfer is one load in progress. Its remaining work is measured as nanoseconds at full speed.
type transfer struct {
	remaining float64
	done      func()
}

// load starts a load as soon as the rate limit allows. It takes the given duration at full speed.
func (s *weightStore) load(duration time.Duration, done func()) {
	start := max(s.clock.now, s.nextStart)
	if start > s.clock.now {
		s.delayedLoads++
	}
	s.nextStart = start + s.minStartInterval
	s.clock.callAt(start, func() {
		s.updateProgress()
		s.active = append(s.active, &transfer{remaining: float64(duration), done: done})
		s.peakLoads = max(s.peakLoads, len(s.active))
		s.scheduleCompletion()
	})
}

// finishTransfers ends the transfers without remaining work.
func (s *weightStore) finishTransfers(generation int) {
	if generation != s.generation {
		return
	}
	s.updateProgress()
	var done []func()
	unfinished := s.active[:0]
	for _, t := range s.active {
		if t.remaining < 1 {
			done = append(done, t.done)
			continue
		}
		unfinished = append(unfinished, t)
	}
	s.active = unfinished
	s.scheduleCompletion()
	for _, f := range done {
		f()
	}
}

func (s *weightStore) scheduleCompletion() {
	s.generation++
	if len(s.active) == 0 {
		return
	}
	least := s.active[0].remaining
	for _, t := range s.active {
		least = min(least, t.remaining)
	}
	generation := s.generation
	s.clock.callAfter(time.Duration(least/s.speed())+1, func() { s.finishTransfers(generation) })
}

// speed returns the speed of each active transfer as a fraction of full speed.
func (s *weightStore) speed() float64 {
	if s.fullSpeedLoads <= 0 || len(s.active) <= s.fullSpeedLoads {
		return 1
	}
	return float64(s.fullSpeedLoads) / float64(len(s.active))
}

func (s *weightStore) updateProgress() {
	passed := float64(s.clock.now-s.updated) * s.speed()
	s.updated = s.clock.now
	for _, t := range s.active {
		t.remaining -= passed
	}
}

package emulator

import "time"

// A weightStore serves loads of one sort: so many at once at full speed, proportionally slower beyond,
// and started at a limited rate.
type weightStore struct {
	clock *clock
	// fullSpeed is how many loads run at once at full speed; zero means any number.
	fullSpeed int
	// spacing is the least time between two starts.
	spacing time.Duration

	active []*transfer
	// updated is when the work left of the active transfers was last brought up to date.
	updated   time.Duration
	nextStart time.Duration
	// generation numbers the changes of active, so that an outdated completion is ignored.
	generation int
	// most is the largest number of transfers at once, delayed how many starts the rate delayed.
	most    int
	delayed int
}

// A transfer is one load and the work that is left of it, as time at full speed.
type transfer struct {
	left float64
	done func()
}

// load starts a load of the given time at full speed as soon as the rate allows.
func (s *weightStore) load(full time.Duration, done func()) {
	start := max(s.clock.now, s.nextStart)
	if start > s.clock.now {
		s.delayed++
	}
	s.nextStart = start + s.spacing
	s.clock.at(start, func() {
		s.update()
		s.active = append(s.active, &transfer{left: float64(full), done: done})
		s.most = max(s.most, len(s.active))
		s.schedule()
	})
}

// finish ends the transfers that have no work left.
func (s *weightStore) finish(generation int) {
	if generation != s.generation {
		return
	}
	s.update()
	var done []func()
	kept := s.active[:0]
	for _, t := range s.active {
		if t.left < 1 {
			done = append(done, t.done)
			continue
		}
		kept = append(kept, t)
	}
	s.active = kept
	s.schedule()
	for _, f := range done {
		f()
	}
}

func (s *weightStore) schedule() {
	s.generation++
	if len(s.active) == 0 {
		return
	}
	least := s.active[0].left
	for _, t := range s.active {
		least = min(least, t.left)
	}
	generation := s.generation
	s.clock.after(time.Duration(least/s.speed())+1, func() { s.finish(generation) })
}

// speed returns the speed of each transfer, 1 being full speed.
func (s *weightStore) speed() float64 {
	if s.fullSpeed <= 0 || len(s.active) <= s.fullSpeed {
		return 1
	}
	return float64(s.fullSpeed) / float64(len(s.active))
}

func (s *weightStore) update() {
	passed := float64(s.clock.now-s.updated) * s.speed()
	s.updated = s.clock.now
	for _, t := range s.active {
		t.left -= passed
	}
}

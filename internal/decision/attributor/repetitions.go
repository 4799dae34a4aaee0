package attributor

import (
	"slices"
	"time"
)

// Repetitions schedule messages about traits, each of which is sent several times, since messages may be lost. The zero value is ready to
// use.
type Repetitions struct {
	byTrait map[Trait]*repetition
}

// A repetition is when a message is due next, and how often it is sent from then on.
type repetition struct {
	at   time.Duration
	left int
}

// Schedule has the message about a trait sent at a time, or when it was due before that, and some times in all.
func (r *Repetitions) Schedule(t Trait, at time.Duration, times int) {
	if r.byTrait == nil {
		r.byTrait = make(map[Trait]*repetition)
	}
	if scheduled, ok := r.byTrait[t]; ok {
		at = min(at, scheduled.at)
	}
	r.byTrait[t] = &repetition{at: at, left: times}
}

// TakeDue returns the traits that are due, and schedules their next repetition after an interval.
func (r *Repetitions) TakeDue(now, interval time.Duration) []Trait {
	var due []Trait
	for t, scheduled := range r.byTrait {
		if now < scheduled.at {
			continue
		}
		due = append(due, t)
		scheduled.left--
		scheduled.at = now + interval
		if scheduled.left <= 0 {
			delete(r.byTrait, t)
		}
	}
	slices.SortFunc(due, Trait.Compare)
	return due
}

// NextAt returns when a message is due next, but not after a time.
func (r *Repetitions) NextAt(latest time.Duration) time.Duration {
	for _, scheduled := range r.byTrait {
		latest = min(latest, scheduled.at)
	}
	return latest
}

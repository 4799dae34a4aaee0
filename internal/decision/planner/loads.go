package planner

import "time"

// LoadLimits are the limits of the weight store, as function fields.
type LoadLimits struct {
	// Predict returns how long a load takes if it starts now.
	Predict func(now time.Duration, full time.Duration, remote bool) time.Duration
	// Start takes a place for a load of the given time, or reports that none is free.
	Start func(now time.Duration, id string, full time.Duration, remote, urgent bool) bool
	// Finish gives the place of a load that is done back, Abandon that of one that came to nothing.
	Finish  func(now time.Duration, id string)
	Abandon func(id string)
	// StartAdapter and FinishAdapter do the same for adapters.
	StartAdapter  func(now time.Duration, id string, full time.Duration) bool
	FinishAdapter func(now time.Duration, id string)
}

func (l LoadLimits) abandon(id string) {
	if l.Abandon != nil {
		l.Abandon(id)
	}
}

func (l LoadLimits) finish(now time.Duration, id string) {
	if l.Finish != nil {
		l.Finish(now, id)
	}
}

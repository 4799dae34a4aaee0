package planner

import "time"

// LoadLimits gives access to the limits on the concurrency and rate of loads from the weight store. A nil
// function limits nothing.
type LoadLimits struct {
	// Predict returns the duration of a load that starts now and takes full at full speed.
	Predict func(now time.Duration, full time.Duration, remote bool) time.Duration
	// Start reserves capacity for a load and reports whether it could.
	Start func(now time.Duration, id string, full time.Duration, remote, urgent bool) bool
	// Finish releases the capacity of a finished load, Abandon that of a load that will not finish.
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

// Package refuser defines the result codes and the refusals that callers receive.
package refuser

import "time"

// A RunState states whether a backend server ran a refused request.
type RunState uint8

// The run states.
const (
	// NotRun means that no backend server ran the request: each one that it was sent to, if any, answered that it had
	// not run it.
	NotRun RunState = iota
	// MayHaveRun means that the request was sent to a backend server that did not confirm that it had not run it.
	MayHaveRun
	// DidRun means that a backend server is known to have run the request.
	DidRun
)

// String returns the text used on the wire.
func (r RunState) String() string {
	switch r {
	case NotRun:
		return "not run"
	case DidRun:
		return "ran"
	default:
		return "may have run"
	}
}

// A Refusal is the final response to a request that was not served.
type Refusal struct {
	// Code is the reason; see docs/RESULT-CODES.md.
	Code Code
	// Ran states whether a backend server ran the request.
	Ran RunState
	// RetryAfter is the delay after which a retry is worthwhile. Zero means that a retry is not advised.
	RetryAfter time.Duration
	// Detail is a human-readable sentence. It names the deployment or setting concerned.
	Detail string
}

// Package refuser defines the numbered result codes and the refusals that callers receive.
package refuser

import "time"

// A RunState states whether a refused request reached a backend server.
type RunState uint8

// The values of Ran.
const (
	// NotRun means that no byte of the request was sent to a backend server.
	NotRun RunState = iota
	// MayHaveRun means that the request was sent and its outcome is unknown.
	MayHaveRun
	// DidRun means that a backend server is known to have run the request.
	DidRun
)

// String returns the wording used on the wire.
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

// A Refusal is the final answer to a request that was not served.
type Refusal struct {
	// Code tells why; see docs/RESULT-CODES.md.
	Code Code
	// Ran is NotRun only if no byte was sent to a backend server.
	Ran RunState
	// RetryAfter is when a repeat is worth sending. Zero means that a repeat is not advised.
	RetryAfter time.Duration
	// Detail is a sentence for people. It names the deployment or setting concerned.
	Detail string
}

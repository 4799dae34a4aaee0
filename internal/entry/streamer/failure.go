package streamer

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"

	"samphirewharf/internal/decision/reducer"
	"samphirewharf/internal/network/dialer"
	"samphirewharf/internal/network/inspector"
)

// idleConnClosedText is the text of net/http's unexported error for a connection that the server closed while idle.
const idleConnClosedText = "server closed idle connection"

// ErrOtherRequest is returned for a response with another request's X-Request-Id.
var ErrOtherRequest = errors.New("response belongs to another request")

// maxDetailBytes bounds the part of a log line that says why an answer was given up.
const maxDetailBytes = 256

// Detail returns the start of an error's text for a log line. Errors may quote what a server sent.
func Detail(err error) string {
	text := err.Error()
	return strings.ToValidUTF8(text[:min(len(text), maxDetailBytes)], "")
}

// A Failure is the error of a failed call.
type Failure struct {
	// Outcome is never AttemptDone.
	Outcome reducer.AttemptOutcome
	// ServerDied is true if the server closed the connection while it was processing the request.
	ServerDied bool
	// TimedOut is true if no byte was sent because the connection wasn't opened in time.
	TimedOut bool
	// Status and Header are those of the response, if the server responded that it did not run the request.
	Status int
	Header http.Header
	// RetryAfter is the delay that the server requested.
	RetryAfter time.Duration
	Err        error
}

// Error returns the message of the cause.
func (f *Failure) Error() string { return f.Err.Error() }

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Err }

// classify returns the failure for the error of a call with the given context. Sent is true if bytes of the request
// may have been sent.
func classify(ctx context.Context, err error, sent bool) *Failure {
	switch {
	case errors.Is(context.Cause(ctx), context.Canceled):
		return &Failure{Outcome: reducer.AttemptCancelled, Err: err}
	case !sent:
		return &Failure{Outcome: reducer.AttemptNotSent, TimedOut: ctx.Err() != nil || dialer.TimedOut(err), Err: err}
	default:
		return &Failure{Outcome: reducer.AttemptFailed, ServerDied: ctx.Err() == nil && isBroken(err), Err: err}
	}
}

// isBroken reports whether an error means that the server closed the connection, which happens when the server dies.
// The Transport then closes its own side too, so that a write may fail because the connection is closed.
func isBroken(err error) bool {
	// After an invalid head it is the Transport that closes the connection.
	if errors.Is(err, inspector.ErrInvalidHead) || strings.Contains(err.Error(), idleConnClosedText) {
		return false
	}
	for _, cause := range []error{io.EOF, io.ErrUnexpectedEOF, net.ErrClosed, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, cause) {
			return true
		}
	}
	return false
}

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
)

// idleClosed is the text of net/http's unexported error for a connection that the server closed while it was unused.
const idleConnClosedText = "server closed idle connection"

// ErrOtherRequest means that an answer carried another request's X-Request-Id.
var ErrOtherRequest = errors.New("answer belongs to another request")

// A Failure tells how a call failed.
type Failure struct {
	// Outcome is never AttemptDone.
	Outcome reducer.AttemptOutcome
	// Died tells that the server broke the connection off while it had the request.
	ServerDied bool
	// Status and Header are the server's, if it answered that it did not run the request.
	Status int
	Header http.Header
	// RetryAfter is what the server asked for.
	RetryAfter time.Duration
	Err        error
}

// Error returns the cause.
func (f *Failure) Error() string { return f.Err.Error() }

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Err }

// classify returns the failure for an error of a call whose context is given. Sent tells that bytes of
// the request may have left.
func classify(ctx context.Context, err error, sent bool) *Failure {
	switch {
	case errors.Is(context.Cause(ctx), context.Canceled):
		return &Failure{Outcome: reducer.AttemptCancelled, Err: err}
	case !sent:
		return &Failure{Outcome: reducer.AttemptNotSent, Err: err}
	default:
		return &Failure{Outcome: reducer.AttemptFailed, ServerDied: ctx.Err() == nil && isBroken(err), Err: err}
	}
}

// isBroken tells that an error means that the server closed the connection, which it does when it dies. The Transport
// closes its side too when it sees that, so that a write may fail for a closed connection.
func isBroken(err error) bool {
	if strings.Contains(err.Error(), idleConnClosedText) {
		return false
	}
	for _, cause := range []error{io.EOF, io.ErrUnexpectedEOF, net.ErrClosed, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, cause) {
			return true
		}
	}
	return false
}

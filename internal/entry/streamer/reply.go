package streamer

import (
	"context"
	"fmt"
	"io"
	"mime"
	"net/http"
	"sync"
	"time"

	"samphirewharf/internal/decision/reducer"
	"samphirewharf/internal/network/bounder"
	"samphirewharf/internal/network/inspector"
)

// eventStreamType is the media type of an event stream.
const eventStreamType = "text/event-stream"

// A Reply is a response whose header has been received. The caller must end it with Finish or Discard.
type Reply struct {
	*http.Response

	client *Client
	ctx    context.Context
	// connectTimer ends the call if it has no connection in time; nil for no limit.
	connectTimer *time.Timer
	// cancel ends the call.
	cancel context.CancelCauseFunc

	mu sync.Mutex
	// conn is the connection that the call uses, nil until it has one.
	conn *inspector.Conn
	// reused reports whether the connection has carried calls before.
	reused bool
	// writes is the connection's number of writes when the call acquired it.
	writes int
	// withdrawn reports whether the call was ended before anything was sent.
	withdrawn bool
}

// Discard ends the reply and closes its connection, so that no later call reads the rest of the response.
func (r *Reply) Discard() {
	r.closeConn()
	_ = r.Body.Close()
}

// Failure returns the failure for an error from reading the body.
func (r *Reply) Failure(err error) *Failure { return r.newFailure(r.ctx, err) }

// Finish ends a reply whose body has been read to the end. Its connection may be reused.
func (r *Reply) Finish() { _ = r.Body.Close() }

// IsEventStream reports whether the body is an event stream, for each reader of the header: it has one type and no coding.
func (r *Reply) IsEventStream() bool {
	media, _, err := mime.ParseMediaType(r.Header.Get("Content-Type"))
	return err == nil && media == eventStreamType && len(r.Header["Content-Type"]) == 1 && len(r.Header["Content-Encoding"]) == 0
}

// ReadUpTo reads at most limit bytes of the body, and one more to detect a longer body. It returns true if the body
// ended within the limit.
func (r *Reply) ReadUpTo(limit int) (p []byte, complete bool, err error) {
	p, err = io.ReadAll(io.LimitReader(r.Body, int64(limit)+1))
	return p, len(p) <= limit, err
}

// check returns a failure if the response belongs to another request, says that the request wasn't run, or announces a body
// that is too large.
func (r *Reply) check(id string) error {
	echoed := r.Header.Get(r.client.identityHeader())
	refused := r.client.notRun(r.StatusCode, r.Header)
	// On a connection that has carried another request, a refusal without ID may be the repeated answer to that.
	if echoed != id && id != "" && (echoed != "" || refused && r.wasReused()) {
		return &Failure{
			Outcome: reducer.AttemptFailed,
			Err:     fmt.Errorf("request %q received the response to %q: %w", id, echoed, ErrOtherRequest),
		}
	}
	if refused {
		return &Failure{
			Outcome:    reducer.AttemptNotRun,
			Status:     r.StatusCode,
			Header:     r.Header,
			RetryAfter: RetryAfter(r.Header),
			Err:        fmt.Errorf("server refused request %q before running it", id),
		}
	}
	if limit := r.client.maxAnswerBytes(); r.ContentLength > limit {
		return &Failure{Outcome: reducer.AttemptFailed, Err: fmt.Errorf("body of %d bytes: %w (%d)", r.ContentLength, bounder.ErrTooLarge, limit)}
	}
	return nil
}

func (r *Reply) closeConn() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.conn != nil {
		_ = r.conn.Close()
	}
}

func (r *Reply) newFailure(ctx context.Context, err error) *Failure {
	r.closeConn()
	if r.wasWithdrawn() {
		return &Failure{Outcome: reducer.AttemptNotSent, Err: fmt.Errorf("%w: %w", ErrWithdrawn, err)}
	}
	return classify(ctx, err, r.wasSent())
}

func (r *Reply) gotConn(conn *inspector.Conn, reused bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.connectTimer != nil {
		r.connectTimer.Stop()
	}
	r.conn, r.reused, r.writes = conn, reused, conn.Writes()
	if r.withdrawn {
		conn.SealAt(r.writes)
	}
}

// withdraw ends the call if nothing of the request has been sent.
func (r *Reply) withdraw() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.conn != nil && !r.conn.SealAt(r.writes) {
		return
	}
	r.withdrawn = true
	r.cancel(ErrWithdrawn)
}

func (r *Reply) wasWithdrawn() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.withdrawn
}

// wasReused reports whether the connection has carried calls before.
func (r *Reply) wasReused() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reused
}

// wasSent reports whether bytes of the request may have been sent. It must be called after closeConn.
func (r *Reply) wasSent() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.conn != nil && r.conn.Writes() != r.writes
}

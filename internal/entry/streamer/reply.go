package streamer

import (
	"context"
	"fmt"
	"io"
	"mime"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"

	"samphirewharf/internal/decision/reducer"
)

// eventType is the media type of an event stream.
const eventStreamType = "text/event-stream"

// A Reply is an answer whose header has come. End it with Finish or Discard.
type Reply struct {
	*http.Response

	client *Client
	ctx    context.Context

	mu sync.Mutex
	// conn is the connection that the call was given; nil while it waits for one.
	conn net.Conn
	// writes is the connection's count of writes when the call got it.
	writes int64
}

// Discard ends the reply and closes its connection, so that no later call meets what is still to come.
func (r *Reply) Discard() {
	r.closeConn()
	_ = r.Body.Close()
}

// Failure returns the failure for an error that came with reading the body.
func (r *Reply) Failure(err error) *Failure { return r.newFailure(r.ctx, err) }

// Finish ends a reply whose body was read to its end; its connection may be used again.
func (r *Reply) Finish() { _ = r.Body.Close() }

// IsEventStream tells that the body is an event stream.
func (r *Reply) IsEventStream() bool {
	media, _, err := mime.ParseMediaType(r.Header.Get("Content-Type"))
	return err == nil && media == eventStreamType
}

// ReadUpTo reads at most limit bytes of the body. Whole tells that the body ended there.
func (r *Reply) ReadUpTo(limit int) (p []byte, whole bool, err error) {
	p, err = io.ReadAll(io.LimitReader(r.Body, int64(limit)+1))
	return p, len(p) <= limit, err
}

// check finds answers that belong to another request or say that the request wasn't run.
func (r *Reply) check(id string) error {
	if echoed := r.Header.Get(r.client.identityHeader()); echoed != "" && id != "" && echoed != id {
		return &Failure{
			Outcome: reducer.AttemptFailed,
			Err:     fmt.Errorf("request %q got the answer to %q: %w", id, echoed, ErrOtherRequest),
		}
	}
	if r.client.notRun(r.StatusCode, r.Header) {
		return &Failure{
			Outcome:    reducer.AttemptNotRun,
			Status:     r.StatusCode,
			Header:     r.Header,
			RetryAfter: RetryAfter(r.Header),
			Err:        fmt.Errorf("server refused request %q before running it", id),
		}
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
	return classify(ctx, err, r.wasSent())
}

func (r *Reply) gotConn(info httptrace.GotConnInfo) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conn = info.Conn
	if counted, ok := info.Conn.(*trackedConn); ok {
		r.writes = counted.writes.Load()
	}
}

// wasSent tells that bytes of the request may have left. Call it after closeConn.
func (r *Reply) wasSent() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.conn == nil {
		return false
	}
	counted, ok := r.conn.(*trackedConn)
	return !ok || counted.writes.Load() != r.writes
}

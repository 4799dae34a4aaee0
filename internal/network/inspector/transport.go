// Package inspector sends HTTP requests and decides what counts as an answer: which heads are valid, and when a body without a length has
// ended. No other code sees an answer before that. Its connections count their writes, so that a client can tell whether any byte of a
// request was sent.
package inspector

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
)

// ErrUnsolicited is returned for an answer of which a part was received before its request was sent, after the answer to the request before.
// net/http may take it for the answer to the next request on the connection.
var ErrUnsolicited = errors.New("a part of the answer was received before its request was sent")

// A Transport is an http.Transport that opens its connections as Conns. NewTransport returns one.
type Transport struct {
	*http.Transport

	dialContext func(ctx context.Context, network, address string) (net.Conn, error)
}

// NewTransport returns a Transport that sends requests by t, which must have a DialContext and belongs to the Transport from then on.
func NewTransport(t *http.Transport) *Transport {
	transport := &Transport{Transport: t, dialContext: t.DialContext}
	t.DialContext = transport.dial
	return transport
}

func (t *Transport) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := t.dialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: conn}, nil
}

// RoundTrip sends a request.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) { return t.Send(r, nil) }

// Send sends a request. The error wraps ErrInvalidHead for an answer whose head isn't valid, and ErrUnsolicited for one that isn't to the
// request. It calls onConn, which may be nil, with each connection that is chosen for the request, before anything of the
// request is written there. Reused reports whether the connection has carried requests before.
func (t *Transport) Send(r *http.Request, onConn func(c *Conn, reused bool)) (*http.Response, error) {
	if r.URL.Scheme != "http" {
		// The http.Transport would report connections that aren't Conns.
		return nil, fmt.Errorf("send by %s: %w", r.URL.Scheme, errors.ErrUnsupported)
	}
	e := &exchange{onConn: onConn}
	trace := &httptrace.ClientTrace{GotConn: e.gotConn}
	response, err := t.Transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil {
		return nil, e.failure(err)
	}
	if e.conn != nil && (e.unsolicited || !e.conn.answeredSince(e.before)) {
		_, _ = e.conn.Close(), response.Body.Close()
		return nil, ErrUnsolicited
	}
	return response, nil
}

// An exchange is a request and its answer.
type exchange struct {
	onConn func(c *Conn, reused bool)
	// conn is the connection that the http.Transport chose last, nil if there is none yet.
	conn *Conn
	// before is the number of answers that were received on it for earlier requests, unsolicited whether more than those was received.
	before      int
	unsolicited bool
	// headErr is the error for an invalid head on a connection before that one, nil if there was none.
	headErr error
}

func (e *exchange) gotConn(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(*Conn)
	if !ok {
		return
	}
	if e.conn != nil {
		e.headErr = e.conn.headError()
	}
	e.conn = conn
	e.before, e.unsolicited = 0, false
	if info.Reused {
		answers, exact := conn.expectAnswer()
		e.before, e.unsolicited = answers, !exact
	}
	if e.onConn != nil {
		e.onConn(conn, info.Reused)
	}
}

// failure returns the error for an exchange without an answer. net/http may return an error that followed from that for an invalid head.
func (e *exchange) failure(err error) error {
	if e.conn == nil || errors.Is(err, ErrInvalidHead) {
		return err
	}
	if headErr := cmp.Or(e.headErr, e.conn.headError()); headErr != nil {
		return fmt.Errorf("%w: %w", headErr, err)
	}
	return err
}

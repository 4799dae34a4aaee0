// Package streamer sends requests to backend servers and other daemons and streams their responses.
//
// It uses net/http's Transport: the client of nbhttp returns a response only when its body is complete, so that it can
// neither stream nor apply backpressure to a server. The Transport must not retry a request by itself; see
// singleUseBody.
package streamer

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"samphirewharf/internal/decision/reducer"
	"samphirewharf/internal/network/bounder"
	"samphirewharf/internal/network/dialer"
	"samphirewharf/internal/network/filter"
	"samphirewharf/internal/network/inspector"
)

const (
	// idleTimeout is how long an idle connection stays open.
	idleTimeout = 30 * time.Second
	// maxIdleConnsPerServer bounds the idle connections to one server.
	maxIdleConnsPerServer = 32
	// maxIdleConns bounds the idle connections to all servers.
	maxIdleConns = 1024
	// bufferBytes is the size of the read and write buffers of one connection.
	bufferBytes = 8 << 10
	// maxRetryAfter bounds the values of Retry-After that are accepted; larger ones are ignored.
	maxRetryAfter = 24 * time.Hour
	// DefaultDialTimeout bounds the time for opening a connection.
	DefaultDialTimeout = time.Second
	// DefaultMaxAnswerBytes bounds the body of a response.
	DefaultMaxAnswerBytes = 32 << 20
)

// A Client sends requests. The zero value is ready to use. Connections are reused, except for calls with
// NewConnection.
type Client struct {
	// DialTimeout bounds the time for opening a connection; zero means DefaultDialTimeout.
	DialTimeout time.Duration
	// Dial opens connections; nil means by TCP, within DialTimeout.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// MaxAnswerBytes bounds the body of a response; zero means DefaultMaxAnswerBytes.
	MaxAnswerBytes int64
	// IdentityHeader is the response header that identifies the request; empty means X-Request-Id.
	IdentityHeader string
	// NotRun reports whether a response says that the server did not run the request; nil means a 503 with X-Not-Run.
	NotRun func(status int, header http.Header) bool

	once     sync.Once
	pooled   *inspector.Transport
	unpooled *inspector.Transport
}

// A Call is one request to a server.
type Call struct {
	// Address is IP:PORT.
	Address string
	// Host is the Host header; empty means Address.
	Host   string
	Method string
	// Path is the escaped path, including the query.
	Path string
	// Header may be nil.
	Header http.Header
	Body   []byte
	// ID is the X-Request-Id. A response with a different one is a failure.
	ID string
	// NewConnection requests a new connection, so that the request isn't sent on one that the server is closing.
	NewConnection bool
	// ConnectTimeout bounds the time until the call has a connection; zero means the client's DialTimeout.
	ConnectTimeout time.Duration
	// Withdrawal ends the call before anything is sent; nil for a call that isn't withdrawn.
	Withdrawal *Withdrawal
}

// errConnectTimeout is the cause of a call that got no connection in time.
var errConnectTimeout = errors.New("no connection in time")

// Close closes idle connections.
func (c *Client) Close() {
	c.once.Do(c.start)
	c.pooled.CloseIdleConnections()
	c.unpooled.CloseIdleConnections()
}

// Send sends a request once and returns the response when its header has arrived. The error is a *Failure. The context
// bounds the whole call, including reading the response.
func (c *Client) Send(ctx context.Context, call Call) (*Reply, error) {
	c.once.Do(c.start)
	target, err := url.Parse("http://" + call.Address + call.Path)
	if err != nil {
		return nil, &Failure{Outcome: reducer.AttemptNotSent, Err: fmt.Errorf("parse path %q: %w", call.Path, err)}
	}
	header := call.Header
	if header == nil {
		header = make(http.Header)
	}
	reply := &Reply{client: c}
	ctx, reply.cancel = context.WithCancelCause(ctx)
	if call.ConnectTimeout > 0 {
		reply.connectTimer = time.AfterFunc(call.ConnectTimeout, func() { reply.cancel(errConnectTimeout) })
	}
	if call.Withdrawal != nil {
		call.Withdrawal.attach(reply)
	}
	request := (&http.Request{
		Method:        call.Method,
		Host:          call.Host,
		URL:           target,
		Header:        header,
		Body:          &singleUseBody{Reader: bytes.NewReader(call.Body)},
		ContentLength: contentLength(call.Body),
	}).WithContext(ctx)
	response, err := c.transport(call.NewConnection).Send(request, reply.gotConn) //nolint:bodyclose // the reply's Finish or Discard closes it
	if err != nil {
		return nil, reply.newFailure(ctx, err)
	}
	// Fields of the connection are dropped before anything is checked, since callers don't get them.
	response.Header = filter.EndToEnd(response.Header)
	reply.Response = response
	reply.ctx = ctx
	response.Body = bounder.NewBody(response.Body, c.maxAnswerBytes())
	if err := reply.check(call.ID); err != nil {
		reply.Discard()
		return nil, err
	}
	return reply, nil
}

func (c *Client) start() {
	c.pooled = c.newTransport()
	c.unpooled = c.newTransport()
	c.unpooled.DisableKeepAlives = true
}

func (c *Client) newTransport() *inspector.Transport {
	return inspector.NewTransport(&http.Transport{
		DialContext:            c.dialFunc(),
		DisableCompression:     true,
		MaxIdleConns:           maxIdleConns,
		MaxIdleConnsPerHost:    maxIdleConnsPerServer,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: bounder.MaxHeaderBytes,
		ReadBufferSize:         bufferBytes,
		WriteBufferSize:        bufferBytes,
	})
}

func (c *Client) dialFunc() func(ctx context.Context, network, address string) (net.Conn, error) {
	if c.Dial != nil {
		return c.Dial
	}
	return dialer.Dialer{Timeout: cmp.Or(max(c.DialTimeout, 0), DefaultDialTimeout)}.Dial
}

func (c *Client) transport(newConnection bool) *inspector.Transport {
	if newConnection {
		return c.unpooled
	}
	return c.pooled
}

// A singleUseBody is a request body that can be read only once. Since it hides whether the body is empty, and there is
// no GetBody, the Transport never considers a request replayable, even without a body or with an Idempotency-Key.
type singleUseBody struct{ io.Reader }

// Close does nothing.
func (*singleUseBody) Close() error { return nil }

// contentLength returns the length of a body, or -1 (unknown) if it is empty; see singleUseBody.
func contentLength(p []byte) int64 {
	if len(p) == 0 {
		return -1
	}
	return int64(len(p))
}

// RetryAfter returns the delay in the Retry-After header, zero if the header has no number of seconds.
func RetryAfter(header http.Header) time.Duration {
	seconds, err := strconv.ParseFloat(strings.TrimSpace(header.Get("Retry-After")), 64)
	if err != nil || !(seconds >= 0 && seconds < maxRetryAfter.Seconds()) {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

func (c *Client) maxAnswerBytes() int64 {
	if c.MaxAnswerBytes > 0 {
		return c.MaxAnswerBytes
	}
	return DefaultMaxAnswerBytes
}

func (c *Client) identityHeader() string {
	if c.IdentityHeader == "" {
		return "X-Request-Id"
	}
	return c.IdentityHeader
}

func (c *Client) notRun(status int, header http.Header) bool {
	if c.NotRun == nil {
		return status == http.StatusServiceUnavailable && header.Get("X-Not-Run") == "true"
	}
	return c.NotRun(status, header)
}

// Package streamer sends requests to backend servers and other daemons and reads their answers as they come.
//
// It uses net/http's Transport: the client of nbhttp holds an answer back until its body is whole, so that it can
// neither stream nor hold a server back. The Transport is kept from repeating a request by itself; see body.
package streamer

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"samphirewharf/internal/decision/reducer"
	"samphirewharf/internal/network/dialer"
)

const (
	// idleTimeout is how long an unused connection is kept.
	idleTimeout = 30 * time.Second
	// maxIdlePerServer is how many unused connections to one server are kept.
	maxIdleConnsPerServer = 32
	// maxIdle is how many unused connections are kept.
	maxIdleConns = 1024
	// bufferBytes is the size of the read and write buffers of one connection.
	bufferBytes = 8 << 10
	// maxHeaderBytes bounds the header of an answer.
	maxHeaderBytes = 64 << 10
	// maxRetryAfter is the longest Retry-After that is believed.
	maxRetryAfter = 24 * time.Hour
	// DefaultDialTimeout bounds the time for a connection.
	DefaultDialTimeout = time.Second
)

// A Client sends requests. The zero value works. Connections are reused, except by calls that are Fresh.
type Client struct {
	// DialTimeout bounds the time for a connection; zero means DefaultDialTimeout.
	DialTimeout time.Duration
	// IdentityHeader is the field in which servers name the request that they answer; empty means X-Request-Id.
	IdentityHeader string
	// NotRun tells from an answer that the server did not run the request; nil means a 503 with X-Not-Run.
	NotRun func(status int, header http.Header) bool

	once   sync.Once
	pooled *http.Transport
	unpooled  *http.Transport
}

// A Call is one request to a server.
type Call struct {
	// Address is IP:PORT.
	Address string
	// Host is the Host field; empty means Address.
	Host   string
	Method string
	// Path is the escaped path with the query.
	Path string
	// Header may be nil.
	Header http.Header
	Body   []byte
	// ID is the X-Request-Id; an answer that carries another one is a failure.
	ID string
	// Fresh asks for a connection of its own, so that the request can't meet one that the server is just closing.
	NewConnection bool
}

// Close closes the unused connections.
func (c *Client) Close() {
	c.once.Do(c.start)
	c.pooled.CloseIdleConnections()
	c.unpooled.CloseIdleConnections()
}

// Send sends a request once and returns the answer when its header has come. The error is a *Failure. The context
// bounds the whole call, the reading of the answer included.
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
	trace := &httptrace.ClientTrace{GotConn: reply.gotConn}
	request := (&http.Request{
		Method:        call.Method,
		Host:          call.Host,
		URL:           target,
		Header:        header,
		Body:          &singleUseBody{Reader: bytes.NewReader(call.Body)},
		ContentLength: contentLength(call.Body),
	}).WithContext(httptrace.WithClientTrace(ctx, trace))
	response, err := c.transport(call.NewConnection).RoundTrip(request) //nolint:bodyclose // the reply's Finish or Discard closes it
	if err != nil {
		return nil, reply.newFailure(ctx, err)
	}
	reply.Response = response
	reply.ctx = ctx
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

func (c *Client) newTransport() *http.Transport {
	timeout := c.DialTimeout
	if timeout <= 0 {
		timeout = DefaultDialTimeout
	}
	return &http.Transport{
		DialContext:            (&trackingDialer{dialer: dialer.Dialer{Timeout: timeout}}).dial,
		DisableCompression:     true,
		MaxIdleConns:           maxIdleConns,
		MaxIdleConnsPerHost:    maxIdleConnsPerServer,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		ReadBufferSize:         bufferBytes,
		WriteBufferSize:        bufferBytes,
	}
}

func (c *Client) transport(newConnection bool) *http.Transport {
	if newConnection {
		return c.unpooled
	}
	return c.pooled
}

// A singleUseBody is a request's body that can be read once. Since the Transport knows neither its length, if empty, nor how
// to get it again, it takes no request for repeatable: not one without a body, and not one with an Idempotency-Key.
type singleUseBody struct{ io.Reader }

// Close does nothing.
func (*singleUseBody) Close() error { return nil }

func contentLength(p []byte) int64 {
	if len(p) == 0 {
		return -1
	}
	return int64(len(p))
}

// RetryAfter returns what a header asks for in Retry-After, zero if it asks for nothing in seconds.
func RetryAfter(header http.Header) time.Duration {
	seconds, err := strconv.ParseFloat(strings.TrimSpace(header.Get("Retry-After")), 64)
	if err != nil || !(seconds >= 0 && seconds < maxRetryAfter.Seconds()) {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
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

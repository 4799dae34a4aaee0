package acceptor

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/lesismal/nbio/nbhttp"

	"samphirewharf/internal/caller/refuser"
	"samphirewharf/internal/network/bounder"
)

const (
	// readBytes is the size of the read buffer of one connection.
	readBytes = 4 << 10
	// minLingerBytes bounds how much of a refused request is read and discarded before the connection is closed, so that
	// the caller gets the response instead of a reset. More is read where bodies may be larger.
	minLingerBytes = 256 << 10
	// freeBodyBytes is how much of a body needs no part of Limits.MaxSharedBytes.
	freeBodyBytes = 32 << 10
	// overloadRetryDelay is the Retry-After of requests for whose bodies there is no room.
	overloadRetryDelay = time.Second
	// stopIdleTimeout is how long an idle connection stays open during shutdown, for a request that is in transit.
	stopIdleTimeout = 250 * time.Millisecond
	// stopRetryDelay is the Retry-After of requests that aren't complete when the server ends.
	stopRetryDelay = 500 * time.Millisecond
	// shortWriteTimeout bounds a write in progress after its response has been abandoned.
	shortWriteTimeout = 500 * time.Millisecond
)

// errNoStatusLine is returned for a response that doesn't begin with its status line, whose status can't be replaced.
var errNoStatusLine = errors.New("response does not begin with a status line")

// A connection reads one caller's requests and passes them to the handler one at a time.
type connection struct {
	net.Conn
	server    *Server
	parser    *nbhttp.Parser
	processor *processor
	// ctx is cancelled when the caller disconnects.
	ctx    context.Context
	cancel context.CancelFunc
	// handlerSlot is a semaphore held while a request is handled, so that responses are sent in the order of the
	// requests.
	handlerSlot chan struct{}
	// hold is what the body of the request that is being read takes up.
	hold bounder.Hold

	mu sync.Mutex
	// handling is true while the handler runs.
	handling bool
	// requestStart is when the first byte of an incomplete request arrived; zero if there is no incomplete request.
	requestStart time.Time
	// status replaces that of the response that is written next, 0 for none.
	status int
	// stopping reports whether the connection is closed once it is idle for stopIdleTimeout, ending whether it is closed as soon as no
	// request is handled.
	stopping bool
	ending   bool
}

func newConnection(server *Server, conn net.Conn) *connection {
	c := &connection{Conn: conn, server: server, handlerSlot: make(chan struct{}, 1)}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.hold = bounder.NewHold(&server.bodies, freeBodyBytes)
	c.processor = &processor{Processor: nbhttp.NewServerProcessor(), connection: c, limits: server.limits}
	c.parser = nbhttp.NewParser(c, server.engine, c.processor, false, c.execute)
	return c
}

// SetReadDeadline does nothing: nbhttp calls it after a response, but the connection sets its own deadlines.
func (c *connection) SetReadDeadline(time.Time) error { return nil }

// Write writes to the caller and blocks until the kernel has accepted all of the data or the write timeout expires.
func (c *connection) Write(p []byte) (int, error) {
	err := c.SetWriteDeadline(time.Now().Add(c.server.limits.WriteTimeout))
	if err != nil {
		c.cancel()
		return 0, err
	}
	data, err := c.withStatus(p)
	if err != nil {
		c.abort()
		return 0, err
	}
	n, err := c.Conn.Write(data)
	if err != nil {
		c.cancel()
		return min(n, len(p)), err
	}
	return len(p), nil
}

// replaceStatus has the next response begin with a status in place of the one that nbhttp writes.
func (c *connection) replaceStatus(status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.status = status
}

// withStatus returns the data to write, with the status line replaced if it begins a response with another status.
func (c *connection) withStatus(p []byte) ([]byte, error) {
	c.mu.Lock()
	status := c.status
	c.status = 0
	c.mu.Unlock()
	if status == 0 {
		return p, nil
	}
	protocol, _, _ := bytes.Cut(p, []byte(" "))
	_, rest, ok := bytes.Cut(p, []byte("\r\n"))
	if !ok || !bytes.HasPrefix(protocol, []byte("HTTP/")) {
		return nil, errNoStatusLine
	}
	data := make([]byte, 0, len(p))
	data = append(data, protocol...)
	data = append(data, ' ')
	data = strconv.AppendInt(data, int64(status), 10)
	data = append(data, " \r\n"...)
	return append(data, rest...), nil
}

// abort closes the connection, so that the caller sees that its response is incomplete.
func (c *connection) abort() {
	c.cancel()
	_ = c.Close()
}

// execute runs the handler for a request in a new goroutine. The parser calls it. It blocks while the previous request
// is handled.
func (c *connection) execute(handle func()) bool {
	c.handlerSlot <- struct{}{}
	c.setHandling(true)
	t := task{connection: c, handle: handle, hold: c.hold}
	c.hold = bounder.NewHold(&c.server.bodies, freeBodyBytes)
	go t.run()
	return true
}

// shortenWriteTimeout shortens the timeout of a write in progress. Later writes have the full timeout.
func (c *connection) shortenWriteTimeout() { _ = c.SetWriteDeadline(time.Now().Add(shortWriteTimeout)) }

// linger discards what the caller still sends, up to a limited time and size.
func (c *connection) linger() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	_ = c.Conn.SetReadDeadline(time.Now().Add(refuseTimeout))
	_, _ = io.CopyN(io.Discard, c.Conn, max(minLingerBytes, int64(c.server.limits.MaxBodyBytes)))
}

func (c *connection) releaseHold() { c.hold.Release() }

func (c *connection) isHandling() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.handling
}

// read reads once and parses the data. It returns a refusal for a request that can't be accepted.
func (c *connection) read(buffer []byte) (*refuser.Refusal, error) {
	n, err := c.Read(buffer)
	if n == 0 && err != nil {
		return c.readErrorRefusal(err), err
	}
	c.setRequestStart(time.Now())
	c.processor.completed = false
	parseErr := c.processor.countBytes(n)
	if parseErr == nil {
		parseErr = c.parser.Parse(buffer[:n])
	}
	if c.processor.refusal != nil {
		return c.processor.refusal, nil
	}
	if parseErr != nil {
		return parseErrorRefusal(parseErr), nil
	}
	if !c.processor.completed && len(bytes.Trim(buffer[:n], "\r\n")) > 0 {
		// The parser tells of a request only once its method is complete.
		c.processor.partial = true
	}
	if !c.processor.partial {
		c.setRequestStart(time.Time{})
	}
	return nil, nil
}

// readErrorRefusal returns the refusal for a request that ended before it was complete, nil if there is none.
func (c *connection) readErrorRefusal(err error) *refuser.Refusal {
	if !c.processor.partial || c.isHandling() {
		return nil
	}
	if c.isEnding() {
		return &refuser.Refusal{Code: refuser.CodeDaemonStopping, RetryAfter: stopRetryDelay, Detail: "the request was not complete"}
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return &refuser.Refusal{
			Code:   refuser.CodeRequestTimeout,
			Detail: fmt.Sprintf("the request was not complete after %s", c.server.limits.ReadTimeout),
		}
	}
	if errors.Is(err, io.EOF) {
		return &refuser.Refusal{Code: refuser.CodeMalformedRequest, Detail: "the request ended before it was complete"}
	}
	return nil
}

// refuse writes the response to a request that is refused before it reaches the handler.
func (c *connection) refuse(refusal refuser.Refusal) {
	body := refusal.Problem()
	response := http.Response{
		StatusCode:    refusal.Code.HTTPStatus(),
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        http.Header{},
		Body:          io.NopCloser(bytes.NewReader(body)),
		ContentLength: int64(len(body)),
		Close:         true,
	}
	refusal.SetHeader(response.Header)
	var buffer bytes.Buffer
	if err := response.Write(&buffer); err != nil {
		return
	}
	_ = c.SetWriteDeadline(time.Now().Add(refuseTimeout))
	if _, err := c.Conn.Write(buffer.Bytes()); err == nil {
		c.linger()
	}
}

// A rejection refuses a connection that exceeds the connection limit.
type rejection struct{ *connection }

// run writes the refusal and closes the connection.
func (r rejection) run() {
	defer r.server.rejections.Add(-1)
	r.refuse(r.server.tooManyConnections())
	r.abort()
}

// run reads requests until the caller disconnects or sends one that can't be accepted.
func (c *connection) run() {
	defer c.server.remove(c)
	defer c.abort()
	defer c.releaseHold()
	buffer := make([]byte, readBytes)
	c.updateDeadline()
	for {
		refusal, err := c.read(buffer)
		if refusal == nil && err == nil {
			continue
		}
		if err != nil {
			c.cancel()
		}
		c.handlerSlot <- struct{}{}
		if refusal != nil {
			c.refuse(*refusal)
		}
		c.parser.CloseAndClean(err)
		return
	}
}

func (c *connection) setHandling(handling bool) {
	c.mu.Lock()
	c.handling = handling
	c.mu.Unlock()
	c.updateDeadline()
}

// setRequestStart records when a request began to arrive, unless one is already arriving. Zero means that none is.
func (c *connection) setRequestStart(now time.Time) {
	c.mu.Lock()
	if now.IsZero() || c.requestStart.IsZero() {
		c.requestStart = now
	}
	c.mu.Unlock()
	c.updateDeadline()
}

// stop closes the connection as soon as it is idle.
func (c *connection) stop() {
	c.mu.Lock()
	c.stopping = true
	c.mu.Unlock()
	c.updateDeadline()
}

// end closes the connection at once, or when the request that is handled has its response. A request that has been read in part is refused.
func (c *connection) end() {
	c.mu.Lock()
	c.ending = true
	c.mu.Unlock()
	c.updateDeadline()
}

func (c *connection) isEnding() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ending
}

// updateDeadline sets the read deadline for the current state.
func (c *connection) updateDeadline() {
	c.mu.Lock()
	defer c.mu.Unlock()
	var deadline time.Time
	switch {
	case c.ending && !c.handling:
		deadline = time.Now()
	case c.ending:
	case !c.requestStart.IsZero():
		deadline = c.requestStart.Add(c.server.limits.ReadTimeout)
	case c.handling:
	case c.stopping:
		deadline = time.Now().Add(stopIdleTimeout)
	default:
		deadline = time.Now().Add(c.server.idleTimeout())
	}
	_ = c.Conn.SetReadDeadline(deadline)
}

func parseErrorRefusal(err error) *refuser.Refusal {
	if errors.Is(err, nbhttp.ErrTooLong) {
		return &refuser.Refusal{Code: refuser.CodeRequestTooLarge, Detail: "the request is larger than the limit"}
	}
	return &refuser.Refusal{Code: refuser.CodeMalformedRequest, Detail: "the request is not well-formed HTTP: " + err.Error()}
}

// Package breaker stands in for servers whose answers are broken.
package breaker

import (
	"context"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Upload is a body of a request that is still being sent as a server of Dial resets the connection.
var Upload = strings.Repeat("x", 256<<10)

// Dial returns a function that opens connections to a server that answers a request at once and resets the connection in the middle of
// the upload. The kernel reports a reset once: here the write of the upload gets it, and the reads find the end of what had arrived.
func Dial(answer string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(context.Context, string, string) (net.Conn, error) {
		return &conn{
			answer: strings.NewReader(answer), begun: make(chan struct{}), reset: make(chan struct{}), ended: make(chan struct{}), closed: make(chan struct{}),
		}, nil
	}
}

// A conn is the client's end of a connection of Dial.
type conn struct {
	net.Conn
	answer *strings.Reader
	// begun is closed by the first write, reset by the next one, which fails once ended is closed by the read that finds the end.
	begun, reset, ended, closed              chan struct{}
	beginOnce, resetOnce, endOnce, closeOnce sync.Once
}

func (c *conn) Write(p []byte) (int, error) {
	first := false
	c.beginOnce.Do(func() {
		first = true
		close(c.begun)
	})
	if first {
		return len(p), nil
	}
	c.resetOnce.Do(func() { close(c.reset) })
	select {
	case <-c.ended:
	case <-c.closed:
	}
	return 0, &net.OpError{Op: "write", Net: "tcp", Err: os.NewSyscallError("write", syscall.ECONNRESET)}
}

func (c *conn) Read(p []byte) (int, error) {
	await := c.begun
	if c.answer.Len() == 0 {
		await = c.reset
	}
	select {
	case <-await:
	case <-c.closed:
		return 0, net.ErrClosed
	}
	if n, err := c.answer.Read(p); err == nil {
		return n, nil
	}
	c.endOnce.Do(func() { close(c.ended) })
	return 0, io.EOF
}

// Close ends the reads and writes.
func (c *conn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return nil
}

// SetWriteDeadline has no effect, since writes don't wait for the server.
func (c *conn) SetWriteDeadline(time.Time) error { return nil }

package inspector

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

var (
	// ErrSealed is returned for a write to a sealed connection.
	ErrSealed = errors.New("connection is sealed")
	// ErrReset is returned in place of the end of a connection that was reset.
	ErrReset = errors.New("connection was reset before the end of the answer")
	// errEndedAnswer is returned for a write that the end of the connection has interrupted.
	errEndedAnswer = fmt.Errorf("server ended the connection amid the request: %w", io.ErrUnexpectedEOF)
)

// past is a deadline that ends a write at once.
var past = time.Unix(1, 0)

// A Conn is a client's connection that counts its writes and can be sealed. A sealed connection rejects all writes. What is read are valid
// heads of answers and their bodies, and its end is that of the server: if the connection was reset, reading it ends in an error. It is
// safe for concurrent use.
type Conn struct {
	net.Conn

	// writing is held during each write.
	writing sync.Mutex
	// writeErr is the error of the first write that failed, nil if none has. It is guarded by writing.
	writeErr error

	mu sync.Mutex
	// writes is the number of attempted writes, whether or not they succeeded. It is counted before each write, so that an unchanged
	// number after the connection was sealed or closed proves that nothing was sent.
	writes int
	// sealed is true once writes are rejected. It never becomes false again.
	sealed bool
	// answer checks the answer to the current request.
	answer answer
	// answers is the number of final heads that were received.
	answers int
	// headErr is the error for a head that isn't valid, nil if there was none. Nothing is read after it.
	headErr error
}

// Read reads from the connection. The error wraps ErrInvalidHead if the bytes that were received are no valid head of an answer, none of
// which are returned then.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if headErr := c.check(p[:n]); headErr != nil {
		return 0, headErr
	}
	if errors.Is(err, io.EOF) {
		err = c.endError()
	}
	return n, err
}

func (c *Conn) check(p []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.headErr != nil {
		return c.headErr
	}
	begun := c.answer.complete
	c.headErr = c.answer.read(p)
	if !begun && c.answer.complete {
		c.answers++
	}
	return c.headErr
}

// headError returns the error for an invalid head, nil if there was none.
func (c *Conn) headError() error { return c.check(nil) }

// expectAnswer has the next bytes checked as those of another answer. It returns the number of final heads that were received before, and
// whether nothing was received after the answer before.
func (c *Conn) expectAnswer() (answers int, exact bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	exact = c.answer.exact()
	c.answer = answer{}
	return c.answers, exact
}

// answeredSince reports whether a final head was received after a number of others.
func (c *Conn) answeredSince(answers int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answers > answers
}

// endError returns the error for the end of what can be read. The kernel reports a reset to one call alone: if that was a write, reads
// find an end as if the server had closed the connection. A write that fails after the server has closed it gets EPIPE in place of the
// reset.
func (c *Conn) endError() error {
	if !c.writing.TryLock() {
		// The error of the running write is needed. It may wait for a server that reads no more, and what it sends has no use any more.
		_ = c.SetWriteDeadline(past)
		c.writing.Lock()
	}
	defer c.writing.Unlock()
	if c.writeErr == nil || errors.Is(c.writeErr, syscall.EPIPE) {
		return io.EOF
	}
	return fmt.Errorf("%w: %w", ErrReset, c.writeErr)
}

// Write counts a write and passes it on, unless the connection is sealed.
func (c *Conn) Write(p []byte) (int, error) {
	if !c.countWrite() {
		return 0, ErrSealed
	}
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		err = errEndedAnswer
	case c.writeErr == nil:
		c.writeErr = err
	}
	return n, err
}

func (c *Conn) countWrite() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return false
	}
	c.writes++
	return true
}

// Writes returns the number of attempted writes.
func (c *Conn) Writes() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// SealAt seals the connection if the number of attempted writes is still the given one. It reports whether it is.
func (c *Conn) SealAt(writes int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = c.sealed || c.writes == writes
	return c.writes == writes
}

package sender

import (
	"context"
	"errors"
	"net"
	"net/http/httptrace"
	"sync"

	"samphirewharf/internal/network/dialer"
)

var errConnSealed = errors.New("connection is sealed")

// A trackingDialer dials connections that count their writes.
type trackingDialer struct {
	dialer dialer.Dialer
}

func (t *trackingDialer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := t.dialer.Dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &trackedConn{Conn: conn}, nil
}

// A trackedConn is a connection that counts attempted writes and can be sealed against further ones.
type trackedConn struct {
	net.Conn

	mu sync.Mutex
	// writes is how many writes were attempted, whether or not they succeeded.
	writes int
	// sealed tells that no write is let through any more. It never becomes false again.
	sealed bool
}

// Write counts and passes on a write, unless the connection is sealed.
func (c *trackedConn) Write(data []byte) (int, error) {
	if !c.beginWrite() {
		return 0, errConnSealed
	}
	return c.Conn.Write(data)
}

func (c *trackedConn) beginWrite() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return false
	}
	c.writes++
	return true
}

func (c *trackedConn) writeCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// sealAt seals the connection and returns whether its count of writes is still the given one.
func (c *trackedConn) sealAt(writes int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.writes == writes
}

// A connUse follows the use of a connection by one request.
type connUse struct {
	mu     sync.Mutex
	conn   *trackedConn
	writes int
	// written tells that an earlier connection was written to. It never becomes false again.
	written bool
}

// gotConn takes note of the connection that the transport chose. The transport may choose another one
// after a failure; that one is sealed unless nothing was written to the first.
func (u *connUse) gotConn(info httptrace.GotConnInfo) {
	u.mu.Lock()
	defer u.mu.Unlock()
	conn, ok := info.Conn.(*trackedConn)
	if !ok {
		u.written = true
		return
	}
	if u.conn != nil && !u.conn.sealAt(u.writes) {
		u.written = true
	}
	u.conn = conn
	u.writes = conn.writeCount()
	if u.written {
		conn.sealAt(u.writes)
	}
}

// seal ends the use after a failure and returns whether no byte of the request was or will be written.
func (u *connUse) seal() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.conn == nil {
		return !u.written
	}
	return u.conn.sealAt(u.writes) && !u.written
}

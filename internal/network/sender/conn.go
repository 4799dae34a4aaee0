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

// A trackingDialer opens connections that count their writes.
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

// A trackedConn is a connection that counts attempted writes and can be sealed. A sealed connection rejects all
// writes.
type trackedConn struct {
	net.Conn

	mu sync.Mutex
	// writes is the number of attempted writes, whether or not they succeeded.
	writes int
	// sealed is true once writes are rejected. It never becomes false again.
	sealed bool
}

// Write counts a write and passes it on, unless the connection is sealed.
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

// sealAt seals the connection and reports whether its write count is still the given one.
func (c *trackedConn) sealAt(writes int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.writes == writes
}

// A connUse tracks which connections one request uses.
type connUse struct {
	mu     sync.Mutex
	conn   *trackedConn
	writes int
	// written is true if an earlier connection of the request was written to. It never becomes false again.
	written bool
}

// gotConn records the connection that the transport chose. The transport may choose another one after a failure; that
// one is sealed unless nothing was written to the first.
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

// seal seals the current connection after a failure and reports whether no byte of the request was or will be written.
func (u *connUse) seal() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.conn == nil {
		return !u.written
	}
	return u.conn.sealAt(u.writes) && !u.written
}

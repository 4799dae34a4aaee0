package streamer

import (
	"context"
	"errors"
	"net"
	"sync/atomic"

	"samphirewharf/internal/network/dialer"
)

// sealedWrites is the count of a connection that accepts no more writes.
const sealedWrites = -1

var errSealed = errors.New("connection accepts no more writes")

// A trackedConn counts the writes to a connection.
type trackedConn struct {
	net.Conn
	// writes is incremented before each write, so that an unchanged count after the connection has been closed proves
	// that nothing was sent.
	writes atomic.Int64
}

// Write counts the write and passes it on, unless the connection is sealed.
func (c *trackedConn) Write(p []byte) (int, error) {
	for {
		n := c.writes.Load()
		if n == sealedWrites {
			return 0, errSealed
		}
		if c.writes.CompareAndSwap(n, n+1) {
			return c.Conn.Write(p)
		}
	}
}

// seal rejects all further writes if the count is the given one. It reports whether it is.
func (c *trackedConn) seal(writes int64) bool { return c.writes.CompareAndSwap(writes, sealedWrites) }

// writtenSince reports whether something was written after the count was the given one.
func (c *trackedConn) writtenSince(writes int64) bool {
	n := c.writes.Load()
	return n != writes && n != sealedWrites
}

// A trackingDialer opens connections that count their writes.
type trackingDialer struct{ dialer dialer.Dialer }

func (d *trackingDialer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := d.dialer.Dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &trackedConn{Conn: conn}, nil
}

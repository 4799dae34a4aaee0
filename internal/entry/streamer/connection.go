package streamer

import (
	"context"
	"net"
	"sync/atomic"

	"samphirewharf/internal/network/dialer"
)

// A trackedConn notes whether anything was written to it.
type trackedConn struct {
	net.Conn
	// writes is counted before each write, so that a count that hasn't changed when the connection has been
	// closed proves that nothing was sent.
	writes atomic.Int64
}

// Write counts and writes.
func (c *trackedConn) Write(p []byte) (int, error) {
	c.writes.Add(1)
	return c.Conn.Write(p)
}

// A trackingDialer makes connections that count their writes.
type trackingDialer struct{ dialer dialer.Dialer }

func (c *trackingDialer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := c.dialer.Dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &trackedConn{Conn: conn}, nil
}

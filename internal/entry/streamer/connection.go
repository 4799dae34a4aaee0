package streamer

import (
	"context"
	"net"
	"sync/atomic"

	"samphirewharf/internal/network/dialer"
)

// A trackedConn counts the writes to a connection.
type trackedConn struct {
	net.Conn
	// writes is incremented before each write, so that an unchanged count after the connection has been closed proves
	// that nothing was sent.
	writes atomic.Int64
}

// Write counts the write and passes it on.
func (c *trackedConn) Write(p []byte) (int, error) {
	c.writes.Add(1)
	return c.Conn.Write(p)
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

// Package dialer opens connections that notice when their peer has fallen silent for good.
package dialer

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// DefaultTimeout bounds connecting.
	DefaultTimeout = time.Second
	// DefaultSilence is how long sent data may stay unacknowledged, or an idle peer leave probes unanswered, until the
	// connection breaks. It covers several retransmissions on a lossy link.
	DefaultUserTimeout = 2500 * time.Millisecond
	// probeIdle, probeInterval and probeCount are the keep-alive probes of an idle connection.
	probeIdle     = 2 * time.Second
	probeInterval = time.Second
	probeCount    = 2
)

// A Dialer opens TCP connections. The zero value works.
type Dialer struct {
	// Timeout bounds connecting; zero means DefaultTimeout.
	Timeout time.Duration
	// Silence is how long a silent peer is waited for; zero means DefaultSilence.
	UserTimeout time.Duration
}

// Dial connects to an address.
func (d Dialer) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	netDialer := net.Dialer{
		Timeout: cmp.Or(max(d.Timeout, 0), DefaultTimeout),
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount,
		},
		Control: d.control,
	}
	conn, err := netDialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w", address, err)
	}
	return conn, nil
}

// control sets the time after which unacknowledged data breaks the connection.
func (d Dialer) control(_, _ string, raw syscall.RawConn) error {
	timeout := cmp.Or(max(d.UserTimeout, 0), DefaultUserTimeout)
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	if err != nil {
		return fmt.Errorf("set socket option: %w", err)
	}
	if optionErr != nil {
		return fmt.Errorf("set TCP user timeout: %w", optionErr)
	}
	return nil
}

// Package dialer opens TCP connections that detect an unresponsive peer.
package dialer

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// DefaultTimeout bounds the time for opening a connection.
	DefaultTimeout = time.Second
	// DefaultUserTimeout is how long sent data may stay unacknowledged, or an idle peer may leave probes unanswered,
	// before the connection is closed. With TCP_USER_TIMEOUT set, Linux disregards probeCount. It leaves a probe and a
	// retransmission after a silence of one and a half seconds.
	DefaultUserTimeout = 4 * time.Second
	// probeIdle, probeInterval and probeCount configure the keep-alive probes of an idle connection. Linux counts in seconds.
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 3
)

// A Dialer opens TCP connections. The zero value is ready to use.
type Dialer struct {
	// Timeout bounds the time for opening a connection; zero means DefaultTimeout.
	Timeout time.Duration
	// UserTimeout is how long sent data may stay unacknowledged; zero means DefaultUserTimeout.
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

// TimedOut reports whether an error means that something took too long.
func TimedOut(err error) bool {
	var timeout net.Error
	return errors.Is(err, context.DeadlineExceeded) || errors.As(err, &timeout) && timeout.Timeout()
}

// control sets the TCP user timeout, after which unacknowledged data breaks the connection.
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

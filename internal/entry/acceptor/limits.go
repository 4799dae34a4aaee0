package acceptor

import (
	"cmp"
	"time"
)

// Limits bound what callers may take of a daemon. Zero fields stand for the defaults.
type Limits struct {
	// Connections is how many connections are held at once.
	Connections int
	// HeaderBytes is the size of a request's line and header fields.
	HeaderBytes int
	// BodyBytes is the size of a request's body.
	BodyBytes int
	// SendTimeout is how long a caller may take to send one request.
	SendTimeout time.Duration
	// IdleTimeout is how long a connection may wait for its next request.
	IdleTimeout time.Duration
	// WriteTimeout is how long one write of at most writeBytes may wait for the caller to read.
	WriteTimeout time.Duration
	// SocketBytes is the size of the kernel's send buffer of one connection.
	SocketBytes int
}

// The default limits.
const (
	DefaultConnections  = 8192
	DefaultHeaderBytes  = 16 << 10
	DefaultBodyBytes    = 1<<20 + 64<<10
	DefaultSendTimeout  = 10 * time.Second
	DefaultIdleTimeout  = 90 * time.Second
	DefaultWriteTimeout = 20 * time.Second
	DefaultSocketBytes  = 64 << 10
)

// withDefaults returns the limits with the defaults in place of zero fields.
func (l Limits) withDefaults() Limits {
	l.Connections = cmp.Or(max(l.Connections, 0), DefaultConnections)
	l.HeaderBytes = cmp.Or(max(l.HeaderBytes, 0), DefaultHeaderBytes)
	l.BodyBytes = cmp.Or(max(l.BodyBytes, 0), DefaultBodyBytes)
	l.SendTimeout = cmp.Or(max(l.SendTimeout, 0), DefaultSendTimeout)
	l.IdleTimeout = cmp.Or(max(l.IdleTimeout, 0), DefaultIdleTimeout)
	l.WriteTimeout = cmp.Or(max(l.WriteTimeout, 0), DefaultWriteTimeout)
	l.SocketBytes = cmp.Or(max(l.SocketBytes, 0), DefaultSocketBytes)
	return l
}

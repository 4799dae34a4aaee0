package acceptor

import "time"

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
	l.Connections = orDefault(l.Connections, DefaultConnections)
	l.HeaderBytes = orDefault(l.HeaderBytes, DefaultHeaderBytes)
	l.BodyBytes = orDefault(l.BodyBytes, DefaultBodyBytes)
	l.SendTimeout = orDefault(l.SendTimeout, DefaultSendTimeout)
	l.IdleTimeout = orDefault(l.IdleTimeout, DefaultIdleTimeout)
	l.WriteTimeout = orDefault(l.WriteTimeout, DefaultWriteTimeout)
	l.SocketBytes = orDefault(l.SocketBytes, DefaultSocketBytes)
	return l
}

func orDefault[T int | time.Duration](value, fallback T) T {
	if value > 0 {
		return value
	}
	return fallback
}

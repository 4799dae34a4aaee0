package acceptor

import (
	"cmp"
	"time"

	"samphirewharf/internal/network/bounder"
)

// Limits are the limits of a Server. Zero fields mean the defaults.
type Limits struct {
	// MaxConnections bounds the number of open connections.
	MaxConnections int
	// MaxHeaderBytes bounds the size of a request's line and header fields.
	MaxHeaderBytes int
	// MaxBodyBytes bounds the size of a request's body.
	MaxBodyBytes int
	// MaxSharedBytes bounds the bodies of all requests together that are being read or handled, without the first freeBodyBytes of each.
	MaxSharedBytes int
	// ReadTimeout bounds the time for reading one request.
	ReadTimeout time.Duration
	// IdleTimeout bounds how long a connection may wait for its next request.
	IdleTimeout time.Duration
	// WriteTimeout bounds how long one write of at most maxWriteBytes may wait for the caller to read.
	WriteTimeout time.Duration
	// SendBufferBytes is the size of the kernel's send buffer of one connection.
	SendBufferBytes int
}

// The default limits.
const (
	DefaultMaxConnections  = 8192
	DefaultMaxHeaderBytes  = 16 << 10
	DefaultMaxBodyBytes    = 1<<20 + 64<<10
	DefaultMaxSharedBytes  = bounder.DefaultBudget
	DefaultReadTimeout     = 10 * time.Second
	DefaultIdleTimeout     = 90 * time.Second
	DefaultWriteTimeout    = 20 * time.Second
	DefaultSendBufferBytes = 64 << 10
)

// withDefaults returns the limits with zero fields replaced by the defaults.
func (l Limits) withDefaults() Limits {
	l.MaxConnections = cmp.Or(max(l.MaxConnections, 0), DefaultMaxConnections)
	l.MaxHeaderBytes = cmp.Or(max(l.MaxHeaderBytes, 0), DefaultMaxHeaderBytes)
	l.MaxBodyBytes = cmp.Or(max(l.MaxBodyBytes, 0), DefaultMaxBodyBytes)
	l.MaxSharedBytes = cmp.Or(max(l.MaxSharedBytes, 0), DefaultMaxSharedBytes)
	l.ReadTimeout = cmp.Or(max(l.ReadTimeout, 0), DefaultReadTimeout)
	l.IdleTimeout = cmp.Or(max(l.IdleTimeout, 0), DefaultIdleTimeout)
	l.WriteTimeout = cmp.Or(max(l.WriteTimeout, 0), DefaultWriteTimeout)
	l.SendBufferBytes = cmp.Or(max(l.SendBufferBytes, 0), DefaultSendBufferBytes)
	return l
}

package inspector

import (
	"errors"
	"net"
	"sync"
)

// ErrSealed is returned for a write to a sealed connection.
var ErrSealed = errors.New("connection is sealed")

// A Conn is a client's connection that counts its writes and can be sealed. A sealed connection rejects all writes. It is safe for
// concurrent use.
type Conn struct {
	net.Conn

	mu sync.Mutex
	// writes is the number of attempted writes, whether or not they succeeded. It is counted before each write, so that an unchanged
	// number after the connection was sealed or closed proves that nothing was sent.
	writes int
	// sealed is true once writes are rejected. It never becomes false again.
	sealed bool
}

// Write counts a write and passes it on, unless the connection is sealed.
func (c *Conn) Write(p []byte) (int, error) {
	if !c.countWrite() {
		return 0, ErrSealed
	}
	return c.Conn.Write(p)
}

func (c *Conn) countWrite() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return false
	}
	c.writes++
	return true
}

// Writes returns the number of attempted writes.
func (c *Conn) Writes() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// SealAt seals the connection if the number of attempted writes is still the given one. It reports whether it is.
func (c *Conn) SealAt(writes int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = c.sealed || c.writes == writes
	return c.writes == writes
}

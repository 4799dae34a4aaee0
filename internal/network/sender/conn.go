package sender

import (
	"sync"

	"samphirewharf/internal/network/inspector"
)

// A connUse tracks which connections one request uses.
type connUse struct {
	mu     sync.Mutex
	conn   *inspector.Conn
	writes int
	// written is true if an earlier connection of the request was written to. It never becomes false again.
	written bool
}

// gotConn records the connection that the transport chose. The transport may choose another one after a failure; that
// one is sealed unless nothing was written to the first.
func (u *connUse) gotConn(conn *inspector.Conn, _ bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.conn != nil && !u.conn.SealAt(u.writes) {
		u.written = true
	}
	u.conn = conn
	u.writes = conn.Writes()
	if u.written {
		conn.SealAt(u.writes)
	}
}

// seal seals the current connection after a failure and reports whether no byte of the request was or will be written.
func (u *connUse) seal() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.conn == nil {
		return !u.written
	}
	return u.conn.SealAt(u.writes) && !u.written
}

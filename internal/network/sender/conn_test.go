package sender

import (
	"errors"
	"net"
	"testing"

	"samphirewharf/internal/network/inspector"
)

// A countingConn counts the bytes written to it.
type countingConn struct {
	net.Conn
	bytes int
}

func (c *countingConn) Write(p []byte) (int, error) {
	c.bytes += len(p)
	return len(p), nil
}

func assertSealed(t *testing.T, u *connUse, want bool) {
	t.Helper()
	if got := u.seal(); got != want {
		t.Errorf("got nothing written %v, want %v", got, want)
	}
}

func TestConnUse(t *testing.T) {
	t.Run("a write after sealing is rejected", func(t *testing.T) {
		inner := &countingConn{}
		conn := &inspector.Conn{Conn: inner}
		_, _ = conn.Write([]byte("an earlier request"))
		before := inner.bytes
		var use connUse
		use.gotConn(conn, false)
		assertSealed(t, &use, true)
		if _, got := conn.Write([]byte("late")); !errors.Is(got, inspector.ErrSealed) {
			t.Errorf("got %v, want %v", got, inspector.ErrSealed)
		}
		if got := inner.bytes; got != before {
			t.Errorf("got %d bytes, want %d", got, before)
		}
	})
	t.Run("a write before sealing counts as sent", func(t *testing.T) {
		conn := &inspector.Conn{Conn: &countingConn{}}
		var use connUse
		use.gotConn(conn, false)
		_, _ = conn.Write([]byte("x"))
		assertSealed(t, &use, false)
	})
	for _, written := range []bool{true, false} {
		t.Run("a second connection is sealed only after a write to the first", func(t *testing.T) {
			first, second := &inspector.Conn{Conn: &countingConn{}}, &inspector.Conn{Conn: &countingConn{}}
			var use connUse
			use.gotConn(first, false)
			if written {
				_, _ = first.Write([]byte("x"))
			}
			use.gotConn(second, false)
			_, err := second.Write([]byte("x"))
			if got, want := errors.Is(err, inspector.ErrSealed), written; got != want {
				t.Errorf("got second connection sealed %v, want %v", got, want)
			}
			assertSealed(t, &use, false)
		})
	}
}

package inspector

import (
	"errors"
	"testing"
)

// Guards against a request that is written to a connection that opens as the request is withdrawn.
func TestSealedConnectionAcceptsNoWrites(t *testing.T) {
	conn := &Conn{writes: 3}
	if conn.SealAt(2) {
		t.Error("got a connection sealed that was written to, want none")
	}
	if !conn.SealAt(3) {
		t.Error("got a connection not sealed, want it sealed")
	}
	if _, err := conn.Write([]byte("x")); !errors.Is(err, ErrSealed) {
		t.Errorf("got error %v, want %v", err, ErrSealed)
	}
	if got := conn.Writes(); got != 3 {
		t.Errorf("got %d writes, want 3", got)
	}
}

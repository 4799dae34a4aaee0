package streamer

import (
	"errors"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"samphirewharf/internal/decision/reducer"
)

// newFullListener returns the address of a listener that accepts nothing and whose backlog is full, so that connections to it
// stay unopened.
func newFullListener(t *testing.T) string {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = unix.Close(fd) })
	if err := errors.Join(unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}), unix.Listen(fd, 0)); err != nil {
		t.Fatal(err)
	}
	bound, err := unix.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	address := "127.0.0.1:" + strconv.Itoa(bound.(*unix.SockaddrInet4).Port)
	for range 2 {
		conn, err := net.DialTimeout("tcp", address, 100*time.Millisecond)
		if err != nil {
			break
		}
		t.Cleanup(func() { _ = conn.Close() })
	}
	return address
}

func TestConnectTimeout(t *testing.T) {
	client := &Client{}
	t.Cleanup(client.Close)
	start := time.Now()
	_, err := client.Send(t.Context(), Call{Address: newFullListener(t), Method: http.MethodPost, Path: "/", NewConnection: true, ConnectTimeout: 150 * time.Millisecond})
	var got *Failure
	if !errors.As(err, &got) || got.Outcome != reducer.AttemptNotSent || !got.TimedOut {
		t.Errorf("got %+v (%v), want an attempt that was not sent for lack of a connection in time", got, err)
	}
	if elapsed := time.Since(start); elapsed > DefaultDialTimeout*3/4 {
		t.Errorf("got the failure after %v, want it after the call's own timeout", elapsed)
	}
}

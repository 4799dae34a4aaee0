package dialer

import (
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// silenceLimit is how long a connection that has gone silent may stay unnoticed.
const silenceLimit = 4 * time.Second

// silentServer is how long a sound server may be silent.
const silentServer = 1500 * time.Millisecond

// TestConnectionsOutliveASilentServer checks that a probe or a retransmission follows a silence before the kernel gives up.
func TestConnectionsOutliveASilentServer(t *testing.T) {
	t.Run("an idle one", func(t *testing.T) {
		// Linux gives up at the user timeout, whatever the count of probes.
		givesUpAt := min(DefaultUserTimeout, probeIdle+probeCount*probeInterval)
		if got := givesUpAt - probeIdle - probeInterval; got < silentServer {
			t.Errorf("got a silence of %v borne from the first probe on, want %v", got, silentServer)
		}
	})
	t.Run("one with unacknowledged data", func(t *testing.T) {
		last := time.Duration(0)
		for at, pause := minRetransmissionTimeout, minRetransmissionTimeout; at < DefaultUserTimeout; at += pause {
			pause *= 2
			last = at
		}
		if last < silentServer {
			t.Errorf("got the last retransmission after %v, want it after a silence of %v", last, silentServer)
		}
	})
}

// minRetransmissionTimeout is Linux's least time to the first retransmission, which doubles from then on.
const minRetransmissionTimeout = 200 * time.Millisecond

// TestSilentConnectionsAreNoticed checks that the kernel closes connections whose peer no longer answers, idle or not.
func TestSilentConnectionsAreNoticed(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	conn, err := Dialer{}.Dial(t.Context(), "tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	option := func(level, name int) int {
		t.Helper()
		raw, err := conn.(*net.TCPConn).SyscallConn()
		if err != nil {
			t.Fatal(err)
		}
		value := 0
		var optionErr error
		if err := raw.Control(func(fd uintptr) { value, optionErr = unix.GetsockoptInt(int(fd), level, name) }); err != nil || optionErr != nil {
			t.Fatal(err, optionErr)
		}
		return value
	}
	t.Run("an idle one", func(t *testing.T) {
		if option(unix.SOL_SOCKET, unix.SO_KEEPALIVE) == 0 {
			t.Error("got no keep-alive probes, want some")
		}
		probes := option(unix.IPPROTO_TCP, unix.TCP_KEEPCNT) * option(unix.IPPROTO_TCP, unix.TCP_KEEPINTVL)
		got := time.Duration(option(unix.IPPROTO_TCP, unix.TCP_KEEPIDLE)+probes) * time.Second
		if got > silenceLimit {
			t.Errorf("got it noticed after %v, want at most %v", got, silenceLimit)
		}
	})
	t.Run("one with unacknowledged data", func(t *testing.T) {
		got := time.Duration(option(unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)) * time.Millisecond
		if got == 0 || got > silenceLimit {
			t.Errorf("got it noticed after %v, want at most %v", got, silenceLimit)
		}
	})
}

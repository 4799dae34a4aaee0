package acceptor

import (
	"net"
	"os"
	"time"

	"golang.org/x/sys/unix"
)

// takeBacklog returns the connections that wait at a listener. An Accept whose deadline has expired doesn't look for them, however
// many arrived while the process wasn't scheduled.
func takeBacklog(listener net.Listener) []net.Conn {
	tcp, ok := listener.(*net.TCPListener)
	if !ok {
		return nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return nil
	}
	var waiting []net.Conn
	// The error means that the listener is closed, so that nothing waits there.
	_ = raw.Control(func(listenerFD uintptr) {
		for {
			fd, _, err := unix.Accept4(int(listenerFD), unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
			if err != nil {
				return
			}
			if conn := newConn(fd); conn != nil {
				waiting = append(waiting, conn)
			}
		}
	})
	return waiting
}

// newConn returns the connection with a descriptor, nil if it has ended already.
func newConn(fd int) net.Conn {
	file := os.NewFile(uintptr(fd), "connection")
	conn, err := net.FileConn(file)
	_ = file.Close()
	if err != nil {
		return nil
	}
	return conn
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

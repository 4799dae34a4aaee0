package inspector

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
)

// connect returns both ends of a TCP connection, the client's end as a Conn.
func connect(t *testing.T) (client *Conn, server *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	conn, err := (&Transport{dialContext: (&net.Dialer{}).DialContext}).dial(context.Background(), "tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = conn.Close(), accepted.Close() })
	return conn.(*Conn), accepted.(*net.TCPConn)
}

// An uploader writes until a write fails.
type uploader struct {
	conn net.Conn
	err  chan error
}

func (u *uploader) run() {
	for part := make([]byte, 64<<10); ; {
		if _, err := u.conn.Write(part); err != nil {
			u.err <- err
			return
		}
	}
}

// Guards against a part of an answer that is taken for the whole, and against whole answers that are lost, as a server answers before it
// has read the upload.
func TestEndsOfConnectionsAmidUploads(t *testing.T) {
	for _, c := range []struct {
		name       string
		end, reset bool
		// want is the error of the write; nil if the write still waits as the client reads.
		want  error
		whole bool
	}{
		{name: "a reset", reset: true, want: syscall.ECONNRESET},
		{name: "an end", end: true, whole: true},
		{name: "an end, and a reset later", end: true, reset: true, want: syscall.EPIPE, whole: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			client, server := connect(t)
			_, _ = io.WriteString(server, "HTTP/1.1 200 OK\r\n\r\nanswer")
			if c.end {
				_ = server.CloseWrite()
			}
			u := &uploader{conn: client, err: make(chan error, 1)}
			go u.run()
			if c.reset {
				_ = server.SetLinger(0)
				_ = server.Close()
				if err := <-u.err; !errors.Is(err, c.want) {
					t.Fatalf("got error %v of the write, want %v", err, c.want)
				}
			}
			got, err := io.ReadAll(client)
			if whole := err == nil && string(got) == "HTTP/1.1 200 OK\r\n\r\nanswer"; whole != c.whole {
				t.Errorf("got %q and error %v, want a whole answer %v", got, err, c.whole)
			}
		})
	}
}

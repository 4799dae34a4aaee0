package sender_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"samphirewharf/internal/network/sender"
)

// A scriptedServer handles each accepted connection with the next function and then closes it.
type scriptedServer struct {
	listener net.Listener
	requests atomic.Int64
}

func startScriptedServer(t *testing.T, handlers ...func(*scriptedServer, net.Conn)) *scriptedServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &scriptedServer{listener: listener}
	t.Cleanup(func() { _ = listener.Close() })
	go s.run(handlers)
	return s
}

func (s *scriptedServer) run(handlers []func(*scriptedServer, net.Conn)) {
	for _, handle := range handlers {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		handle(s, conn)
		_ = conn.Close()
	}
}

func (s *scriptedServer) read(conn net.Conn) bool {
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, r.Body)
	s.requests.Add(1)
	return true
}

func respond(s *scriptedServer, conn net.Conn) {
	if s.read(conn) {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	}
}

func readAndDrop(s *scriptedServer, conn net.Conn) { s.read(conn) }

func respondThenReadAndDrop(s *scriptedServer, conn net.Conn) {
	respond(s, conn)
	s.read(conn)
}

func post(t *testing.T, s *sender.Sender, ctx context.Context, address, body string) error {
	t.Helper()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Idempotency-Key", "k")
	response, err := s.Do(r)
	if err != nil {
		return err
	}
	_, _ = io.Copy(io.Discard, response.Body)
	return response.Body.Close()
}

func assertNotSent(t *testing.T, err error, want bool) {
	t.Helper()
	if err == nil {
		t.Fatal("got no error, want one")
	}
	if got := errors.Is(err, sender.ErrNotSent); got != want {
		t.Errorf("got not sent %v, want %v: %v", got, want, err)
	}
}

func assertRequests(t *testing.T, s *scriptedServer, want int64) {
	t.Helper()
	if got := s.requests.Load(); got != want {
		t.Errorf("got %d requests at the server, want %d", got, want)
	}
}

func TestSenderDo(t *testing.T) {
	t.Run("a request on a refused connection is not sent", func(t *testing.T) {
		server := startScriptedServer(t)
		_ = server.listener.Close()
		assertNotSent(t, post(t, &sender.Sender{}, t.Context(), server.listener.Addr().String(), "x"), true)
	})
	t.Run("a request with a cancelled context is not sent", func(t *testing.T) {
		server := startScriptedServer(t, respond)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		assertNotSent(t, post(t, &sender.Sender{}, ctx, server.listener.Addr().String(), "x"), true)
		assertRequests(t, server, 0)
	})
	t.Run("a request on a dropped connection may have been received", func(t *testing.T) {
		server := startScriptedServer(t, readAndDrop, respond)
		assertNotSent(t, post(t, &sender.Sender{}, t.Context(), server.listener.Addr().String(), "x"), false)
		assertRequests(t, server, 1)
	})
	for _, body := range []string{"x", ""} {
		t.Run("a request on a reused connection is not retried with body "+body, func(t *testing.T) {
			server := startScriptedServer(t, respondThenReadAndDrop, respond)
			address := server.listener.Addr().String()
			s := &sender.Sender{}
			if err := post(t, s, t.Context(), address, body); err != nil {
				t.Fatal(err)
			}
			assertNotSent(t, post(t, s, t.Context(), address, body), false)
			assertRequests(t, server, 2)
		})
	}
}

// endless answers with a head and then repeats a part until the connection is closed.
func endless(written *atomic.Int64, head, part string) func(*scriptedServer, net.Conn) {
	return func(s *scriptedServer, conn net.Conn) {
		if !s.read(conn) {
			return
		}
		_, _ = io.WriteString(conn, head)
		part := strings.Repeat(part, 1024)
		for {
			n, err := io.WriteString(conn, part)
			written.Add(int64(n))
			if err != nil {
				return
			}
		}
	}
}

func TestEndlessResponses(t *testing.T) {
	const mostSent = 40 << 20
	for _, c := range []struct{ name, head, part string }{
		{"a status line", "", "HTTP/1.1"},
		{"a header", "HTTP/1.1 200 OK\r\n", "X-More: x\r\n"},
		{"interim responses", "", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		{"an extension of a chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;a=", "x"},
		{"extensions of chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1;" + strings.Repeat("x", 500) + "\r\nx\r\n"},
		{"trailers", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "A: x\r\n"},
		{"a body without a length", "HTTP/1.1 200 OK\r\n\r\n", "xxxx"},
		{"a body of a huge length", "HTTP/1.1 200 OK\r\nContent-Length: 999999999999\r\n\r\n", "xxxx"},
	} {
		t.Run(c.name, func(t *testing.T) {
			var written atomic.Int64
			s := startScriptedServer(t, endless(&written, c.head, c.part))
			var client sender.Sender
			r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+s.listener.Addr().String(), http.NoBody)
			if err != nil {
				t.Fatal(err)
			}
			response, err := client.Do(r)
			if err == nil {
				_, err = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
			}
			if err == nil {
				t.Error("got a complete response, want none")
			}
			if got := written.Load(); got > mostSent {
				t.Errorf("got %d bytes sent by the server, want at most %d", got, mostSent)
			}
		})
	}
}

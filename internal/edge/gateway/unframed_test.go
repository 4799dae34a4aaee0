package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"samphirewharf/internal/decision/conductor"
)

func TestUnframedAnswers(t *testing.T) {
	serve := func(t *testing.T, text string) *harness {
		t.Helper()
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = listener.Close() })
		s := &unframedServer{listener: listener, text: text}
		go s.run()
		return newHarness(t, sendOnceTo(listener.Addr().String()))
	}
	const (
		head   = "HTTP/1.1 200 OK\r\nX-Seal: s\r\nX-Id: id-1\r\n"
		stream = head + "Content-Type: text/event-stream\r\n\r\n"
	)
	t.Run("an answer that ends with its connection is complete", func(t *testing.T) {
		status, body, _, err := serve(t, head+"\r\nwhole").send("/read/a")
		assertEqual(t, "status", status, 200)
		assertEqual(t, "body", body, "whole")
		assertEqual(t, "error", err, nil)
	})
	t.Run("a stream that ends with its connection is complete", func(t *testing.T) {
		_, body, _, err := serve(t, stream+event(1)+event(2)).send("/stream/a")
		assertEqual(t, "body", body, event(1)+event(2))
		assertEqual(t, "error", err, nil)
	})
	t.Run("a stream that ends inside an event was broken off", func(t *testing.T) {
		h := serve(t, stream+event(1)+"id: 2\nda")
		_, body, _, err := h.send("/stream/a")
		assertEqual(t, "body", body, event(1))
		if err == nil {
			t.Error("got a complete answer, want one that is cut off")
		}
		assertEqual(t, "cause", h.ended(1)[0].Cause, conductor.CauseBroken)
	})
}

// An unframedServer answers a request with a text and closes the connection.
type unframedServer struct {
	listener net.Listener
	text     string
}

func (s *unframedServer) run() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		if r, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(conn, s.text)
		}
		_ = conn.Close()
	}
}

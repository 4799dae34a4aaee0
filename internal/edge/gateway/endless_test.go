package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"samphirewharf/internal/decision/conductor"
	"samphirewharf/internal/decision/reducer"
	"samphirewharf/internal/entry/streamer"
	"samphirewharf/internal/network/bounder"
)

// An endlessServer answers each request with a head and then with a part that it repeats until the connection is closed.
type endlessServer struct {
	listener net.Listener
	head     string
	part     string
	written  atomic.Int64
}

func startEndless(t *testing.T, head, part string) *endlessServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &endlessServer{listener: listener, head: head, part: strings.Repeat(part, max(1, 4096/max(len(part), 1)))}
	t.Cleanup(func() { _ = listener.Close() })
	go s.run()
	return s
}

func (s *endlessServer) run() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.serve(conn)
	}
}

func (s *endlessServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	if _, err := io.WriteString(conn, s.head); err != nil {
		return
	}
	for {
		n, err := io.WriteString(conn, s.part)
		s.written.Add(int64(n))
		if err != nil {
			return
		}
	}
}

func TestEndlessAnswers(t *testing.T) {
	const (
		answered = "HTTP/1.1 200 OK\r\nX-Seal: s\r\nX-Id: id-1\r\n"
		stream   = answered + "Content-Type: text/event-stream\r\n\r\n"
		// soon is how long after its start an attempt must have ended, and mostSent how much more than the bound a server can have
		// sent meanwhile: what connections buffer.
		soon     = 1500 * time.Millisecond
		mostSent = 16 << 20
	)
	for _, c := range []struct {
		name, path, head, part string
		most                   int64
	}{
		{"bytes that are no answer", "/read/a", "", "x", 0},
		{"a status line", "/read/a", "HTTP/1.1 200 ", "O", 0},
		{"a field of the header", "/read/a", answered + "X-Long: ", "x", 0},
		{"fields of the header", "/read/a", answered, "X-More: x\r\n", 0},
		{"interim answers", "/read/a", "", "HTTP/1.1 103 Early Hints\r\n\r\n", 0},
		{"a field of an interim answer", "/read/a", "HTTP/1.1 103 Early Hints\r\nLink: ", "x", 0},
		{"an extension of a chunk", "/read/a", answered + "Transfer-Encoding: chunked\r\n\r\n1;a=", "x", 0},
		{"extensions of chunks", "/read/a", answered + "Transfer-Encoding: chunked\r\n\r\n", "1;" + strings.Repeat("x", 500) + "\r\nx\r\n", 0},
		{"a trailer", "/read/a", answered + "Trailer: A\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nA: ", "x", 0},
		{"trailers", "/read/a", answered + "Trailer: A\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "A: x\r\n", 0},
		{"trailers of a stream", "/stream/a", answered + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "A: x\r\n", 0},
		{"a body without a length", "/read/a", answered + "\r\n", "x", testMaxAnswerBytes},
		{"a body of a huge length", "/read/a", answered + "Content-Length: 999999999999\r\n\r\n", "x", 0},
		{"a chunked body", "/read/a", answered + "Transfer-Encoding: chunked\r\n\r\n", "40\r\n" + strings.Repeat("x", 64) + "\r\n", 2 * testMaxAnswerBytes},
		{"one event", "/stream/a", stream, "data: x\n", 0},
		{"empty lines between events", "/stream/a", stream, "\n", 0},
		{"comments", "/stream/a", stream, ":\n\n", 0},
		{"events without an ID", "/stream/a", stream, "data: x\n\n", 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := startEndless(t, c.head, c.part)
			h := newHarness(t, sendOnceTo(s.listener.Addr().String()))
			start := time.Now()
			status, _, _, err := h.send(c.path)
			if status == http.StatusOK && err == nil {
				t.Error("got a complete answer, want none")
			}
			assertEqual(t, "cause", h.ended(1)[0].Cause, conductor.CauseInvalid)
			if got := time.Since(start); got > soon {
				t.Errorf("got the end after %v, want it within %v", got, soon)
			}
			if got, want := s.written.Load(), c.most+mostSent; got > want {
				t.Errorf("got %d bytes sent by the server, want at most %d", got, want)
			}
		})
	}
}

// Guards against streams whose large events together take up the memory of the process.
func TestLargeEventsShareABound(t *testing.T) {
	line := "data: " + strings.Repeat("x", 4*streamer.SmallEventBytes) + "\n"
	address := backend(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Seal", "s")
		w.Header().Set("X-Id", r.Header.Get("X-Id"))
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, event(1)+"id: 2\n"+line+"\n"+event(3))
	})
	for _, c := range []struct {
		name    string
		limit   int64
		whole   bool
		outcome reducer.AttemptOutcome
	}{
		{"there is room", bounder.DefaultBudget, true, reducer.AttemptDone},
		{"there is no room", 1, false, reducer.AttemptFailed},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, sendOnceTo(address))
			h.gateway.answers.Limit = c.limit
			_, body, _, err := h.send("/stream/a")
			assertEqual(t, "whole", err == nil && strings.HasSuffix(body, event(3)), c.whole)
			ended := h.ended(1)[0]
			assertEqual(t, "outcome", ended.Outcome, c.outcome)
			assertEqual(t, "cause", ended.Cause, conductor.CauseNone)
			assertEqual(t, "reserved bytes", h.gateway.answers.Reserved(), 0)
		})
	}
}

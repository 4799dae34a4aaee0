package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"samphirewharf/internal/decision/conductor"
	"samphirewharf/internal/decision/reducer"
)

// A breakingServer answers the requests with texts in turn, each on a connection of its own, and ends the connection after each.
type breakingServer struct {
	listener net.Listener
	texts    chan string
	// reset has it reset the connection in place of closing it.
	reset bool
}

func newBreakingServer(t *testing.T, reset bool) *breakingServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	s := &breakingServer{listener: listener, texts: make(chan string, 2), reset: reset}
	go s.run()
	return s
}

func (s *breakingServer) run() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		if r, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(conn, <-s.texts)
		}
		if tcp, ok := conn.(*net.TCPConn); ok && s.reset {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

// brokenOffAnswers returns complete answers of a server in all framings, by name. Those without a length end with the connection.
func brokenOffAnswers(body string, stream bool) map[string]string {
	head := "HTTP/1.1 200 OK\r\nX-Seal: s\r\nX-Id: id-1\r\n"
	if stream {
		head += "Content-Type: text/event-stream\r\n"
	}
	length := fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body))
	chunk := fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	return map[string]string{
		"with a length":                 head + length + body,
		"with a length first":           strings.Replace(head, "\r\n", "\r\n"+strings.TrimSuffix(length, "\r\n"), 1) + "\r\n" + body,
		"with chunks":                   head + chunk,
		"with a trailer":                head + strings.TrimSuffix(chunk, "\r\n") + "X-End: 1\r\n\r\n",
		"without a length":              head + "\r\n" + body,
		"with a length, after a 103":    "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + head + length + body,
		"with line feeds alone":         strings.ReplaceAll(head+length, "\r\n", "\n") + body,
		"with a field over two lines":   head + "X-Long: a\r\n b\r\n" + length + body,
		"with a length, in HTTP/1.0":    strings.Replace(head, "HTTP/1.1", "HTTP/1.0", 1) + length + body,
		"with a length given two times": head + strings.TrimSuffix(length, "\r\n") + length + body,
	}
}

// bodyStart returns where the body of an answer begins.
func bodyStart(answer string) int {
	final := strings.LastIndex(answer, "HTTP/1.")
	for _, blank := range []string{"\r\n\r\n", "\n\n"} {
		if i := strings.Index(answer[final:], blank); i >= 0 {
			return final + i + len(blank)
		}
	}
	return len(answer)
}

// Guards against a success that looks whole though the server has stopped in the middle of its answer, at any byte of the head or of a
// framed body.
func TestAnswersThatBreakOff(t *testing.T) {
	for _, ending := range []string{"closes", "resets"} {
		server := newBreakingServer(t, ending == "resets")
		h := newHarness(t, sendOnceTo(server.listener.Addr().String()))
		for path, body := range map[string]string{"/read/a": "whole answer", "/stream/a": event(1) + event(2)} {
			for name, answer := range brokenOffAnswers(body, path == "/stream/a") {
				t.Run(fmt.Sprintf("%s %s, %s", path, name, ending), func(t *testing.T) {
					end := len(answer)
					if name == "without a length" {
						// The rest can't be told from a shorter answer if the connection is closed.
						end = bodyStart(answer)
					}
					for cut := range end {
						server.texts <- answer[:cut]
						status, got, _, err := h.send(path)
						// The last two bytes end the answer, whose body is complete before them.
						whole := name == "with chunks" && cut >= end-2 || name == "with a trailer" && cut >= end-2
						if status == http.StatusOK && err == nil && (!whole || got != body) {
							t.Fatalf("got 200 and the whole body %q after %q, want a failure", got, answer[:cut])
						}
					}
				})
			}
		}
	}
}

// Guards against a resumption whose answer breaks off in its head, and that ends the stream as if it were complete.
func TestResumptionsThatBreakOff(t *testing.T) {
	server := newBreakingServer(t, false)
	address := server.listener.Addr().String()
	attempts := 0
	h := newHarness(t, func(e conductor.Event) []conductor.Effect {
		switch e := e.(type) {
		case conductor.RequestArrived:
			attempts = 1
			return []conductor.Effect{sendTo(address)}
		case conductor.AttemptEnded:
			if e.Outcome == reducer.AttemptDone {
				return nil
			}
			if attempts++; attempts > 2 {
				return []conductor.Effect{conductor.Refuse{Reason: conductor.RefusedBroken, MayHaveRun: true}}
			}
			s := sendTo(address)
			s.Attempt = attempts
			return []conductor.Effect{s}
		}
		return nil
	})
	begun := brokenOffAnswers(event(1)+event(2), true)["with a length"]
	begun = begun[:len(begun)-3]
	for name, answer := range brokenOffAnswers(event(2)+event(3), true) {
		t.Run(name, func(t *testing.T) {
			for cut := range bodyStart(answer) {
				server.texts <- begun
				server.texts <- answer[:cut]
				_, got, _, err := h.send("/stream/a")
				if err == nil || got != event(1) {
					t.Fatalf("got %q and error %v after %q, want the first event alone, and the answer cut", got, err, answer[:cut])
				}
			}
		})
	}
	t.Run("a whole one goes on", func(t *testing.T) {
		server.texts <- begun
		server.texts <- brokenOffAnswers(event(2)+event(3), true)["with a length"]
		_, got, _, err := h.send("/stream/a")
		assertEqual(t, "body", got, event(1)+event(2)+event(3))
		assertEqual(t, "error", err, nil)
	})
}

// Guards against a kept answer that is written while another attempt writes to the caller.
func TestKeptAnswerEndsTheAttempt(t *testing.T) {
	failing := backend(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Seal", "s")
		w.Header().Set("X-Id", r.Header.Get("X-Id"))
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = io.WriteString(w, "kept")
	})
	silent := backend(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	})
	h := newHarness(t, func(e conductor.Event) []conductor.Effect {
		switch e := e.(type) {
		case conductor.RequestArrived:
			s := sendTo(failing)
			s.BufferErrors = true
			return []conductor.Effect{s}
		case conductor.AttemptEnded:
			if e.Buffered {
				s := sendTo(silent)
				s.Attempt = 2
				return []conductor.Effect{s, conductor.Deliver{}}
			}
		}
		return nil
	})
	status, body, _, err := h.send("/read/a")
	assertEqual(t, "error", err, nil)
	assertEqual(t, "status", status, http.StatusInternalServerError)
	assertEqual(t, "body", body, "kept")
	assertEqual(t, "attempts that have ended", len(h.ended(2)), 2)
}

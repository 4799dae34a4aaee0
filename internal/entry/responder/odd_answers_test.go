package responder

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"
)

// rawEngine answers each request with the given bytes and closes the connection.
func rawEngine(t *testing.T, answer string) string {
	t.Helper()
	return engine(t, func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, answer)
		_ = conn.Close()
	})
}

func ask(t *testing.T, address, body string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_, _ = io.WriteString(conn, "POST /v1/completions HTTP/1.1\r\nHost: h\r\nContent-Type: application/json\r\nContent-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body)
	_ = conn.SetReadDeadline(time.Now().Add(1500 * time.Millisecond))
	return conn
}

// TestProtocolSwitch guards against an answer that switches protocols, which no caller has asked for.
func TestProtocolSwitch(t *testing.T) {
	for name, body := range map[string]string{"a stream": `{"model":"small","stream":true}`, "an answer": `{"model":"small"}`} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, dispatchTo(failed, rawEngine(t, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: odd\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nodd")))
			got, _ := io.ReadAll(ask(t, h.address, body))
			if !strings.HasPrefix(string(got), "HTTP/1.1 502") {
				t.Errorf("got %q, want status 502", got)
			}
		})
	}
}

// TestEventsBeforeOtherText guards against events that are held back because text that isn't passed on has come with them.
func TestEventsBeforeOtherText(t *testing.T) {
	for name, after := range map[string]string{"a comment": ": comment\n\n", "an empty line": "\n", "nothing": "", "part of the next": "id: 2\nda"} {
		t.Run(name, func(t *testing.T) {
			more := make(chan struct{})
			defer close(more)
			h := newHarness(t, dispatchTo(failed, engine(t, func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Type", "text/event-stream")
				_, _ = io.WriteString(w, eventOf(1)+after)
				_ = http.NewResponseController(w).Flush()
				<-more
			})))
			reader := bufio.NewReader(ask(t, h.address, `{"model":"small","stream":true}`))
			for {
				line, err := reader.ReadString('\n')
				if err != nil {
					t.Fatalf("got %v, want the event while the engine makes the next one", err)
				}
				if strings.HasPrefix(line, "data: ") {
					return
				}
			}
		})
	}
}

// TestStreamThatNobodyAskedFor guards against callers that asked for one answer and get a stream of events.
func TestStreamThatNobodyAskedFor(t *testing.T) {
	h := newHarness(t, dispatchTo(failed, engine(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, eventsOf(1, 2)+doneEvent)
	})))
	response, _ := do(t, newRequest(t, h.address, "/v1/completions", `{"model":"small"}`))
	assertEqual(t, "status", response.StatusCode, http.StatusBadGateway)
}

// TestEncodedStream guards against events under a content coding, which the daemon reads as text and the caller decodes.
func TestEncodedStream(t *testing.T) {
	h := newHarness(t, dispatchTo(failed, engine(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("Content-Encoding", "deflate")
		_, _ = io.WriteString(w, eventsOf(1, 2)+doneEvent)
	})))
	response, _ := do(t, newRequest(t, h.address, "/v1/completions", `{"model":"small","stream":true}`))
	if coding := response.Header.Get("Content-Encoding"); response.StatusCode == http.StatusOK && coding != "" {
		t.Errorf("got status 200 with coding %q, want none", coding)
	}
}

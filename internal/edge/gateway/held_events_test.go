package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestEventsBeforeOtherText guards against events that are held back because text that isn't passed on has come with them.
func TestEventsBeforeOtherText(t *testing.T) {
	for name, after := range map[string]string{
		"a comment":         ": comment\n\n",
		"an empty line":     "\n",
		"a reconnection":    "retry: 5\n\n",
		"part of the next":  "id: 2\nda",
		"nothing":           "",
		"two empty lines":   "\r\n\r\n",
		"part of a comment": ": comm",
	} {
		t.Run(name, func(t *testing.T) {
			more := make(chan struct{})
			address := backend(t, func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("X-Seal", "s")
				w.Header().Set("Content-Type", "text/event-stream")
				_, _ = io.WriteString(w, event(1)+after)
				_ = http.NewResponseController(w).Flush()
				<-more
			})
			defer close(more)
			h := newHarness(t, sendOnceTo(address))
			conn, err := net.Dial("tcp", h.address)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			_, _ = io.WriteString(conn, "GET /stream/a HTTP/1.1\r\nHost: h\r\nX-Id: id-1\r\n\r\n")
			_ = conn.SetReadDeadline(time.Now().Add(1500 * time.Millisecond))
			reader := bufio.NewReader(conn)
			for {
				line, err := reader.ReadString('\n')
				if err != nil {
					t.Fatalf("got %v, want the event while the server makes the next one", err)
				}
				if strings.HasPrefix(line, "data: e1") {
					return
				}
			}
		})
	}
}

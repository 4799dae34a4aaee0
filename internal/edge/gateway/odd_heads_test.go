package gateway

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// rawBackend answers each request with the given bytes and closes the connection.
func rawBackend(t *testing.T, answer string) string {
	t.Helper()
	return backend(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, answer)
		_ = conn.Close()
	})
}

// TestProtocolSwitch guards against an answer that switches protocols, which no caller has asked for.
func TestProtocolSwitch(t *testing.T) {
	for _, path := range []string{"/read/a", "/stream/a"} {
		t.Run(path, func(t *testing.T) {
			h := newHarness(t, sendOnceTo(rawBackend(t, "HTTP/1.1 101 Switching Protocols\r\nX-Seal: s\r\nX-Id: id-1\r\nConnection: Upgrade\r\nUpgrade: odd\r\n\r\nHTTP/1.1 200 OK\r\nX-Seal: odd\r\nX-Id: id-1\r\nContent-Length: 3\r\n\r\nodd")))
			conn, err := net.Dial("tcp", h.address)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			_, _ = io.WriteString(conn, "GET "+path+" HTTP/1.1\r\nHost: h\r\nX-Id: id-1\r\n\r\n")
			_ = conn.SetReadDeadline(time.Now().Add(1500 * time.Millisecond))
			got, _ := io.ReadAll(conn)
			if !strings.HasPrefix(string(got), "HTTP/1.1 502") {
				t.Errorf("got %q, want status 502", got)
			}
		})
	}
}

// TestFieldsNamedByTheConnection guards against successes without the seal that was checked.
func TestFieldsNamedByTheConnection(t *testing.T) {
	for _, path := range []string{"/read/a", "/stream/a"} {
		t.Run(path, func(t *testing.T) {
			h := newHarness(t, sendOnceTo(rawBackend(t, "HTTP/1.1 200 OK\r\nX-Seal: s\r\nX-Id: id-1\r\nContent-Type: text/event-stream\r\nConnection: X-Seal, Content-Type\r\nContent-Length: 32\r\n\r\n"+events(1, 2))))
			status, body, header, _ := h.send(path)
			if status == http.StatusOK && (header.Get("X-Seal") == "" || header.Get("Content-Type") != "text/event-stream") {
				t.Errorf("got status 200 with seal %q, type %q and body %q, want none without its seal and type", header.Get("X-Seal"), header.Get("Content-Type"), body)
			}
		})
	}
}

// TestAnswersOfTwoTypes guards against events that a caller may read as another type.
func TestAnswersOfTwoTypes(t *testing.T) {
	h := newHarness(t, sendOnceTo(rawBackend(t, "HTTP/1.1 200 OK\r\nX-Seal: s\r\nX-Id: id-1\r\nContent-Type: text/event-stream\r\nContent-Type: text/html\r\nConnection: close\r\n\r\n"+events(1, 2))))
	status, _, header, _ := h.send("/stream/a")
	if types := header.Values("Content-Type"); status == http.StatusOK && len(types) > 1 {
		t.Errorf("got status 200 with types %q, want one", types)
	}
}

// TestDetailsOfHeads guards against control characters of servers in log lines, which explain prints.
func TestDetailsOfHeads(t *testing.T) {
	for name, answer := range map[string]string{
		"a field":    "HTTP/1.1 200 OK\r\nodd\x1b[2Jfield\r\n\r\n",
		"a length":   "HTTP/1.1 200 OK\r\nContent-Length: \x1b[2J\r\n\r\n",
		"a coding":   "HTTP/1.1 200 OK\r\nTransfer-Encoding: odd\x1b[2J\r\n\r\n",
		"a status":   "HTTP/1.1 2\x1b[2J0 OK\r\n\r\n",
		"a protocol": "odd\x1b[2J\r\n\r\n",
		"an ID":      "HTTP/1.1 200 OK\r\nX-Id: odd\x1b[2J\r\n\r\n",
		"a chunk":    "HTTP/1.1 200 OK\r\nX-Seal: s\r\nX-Id: id-1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\nzz\x1b[2J\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, sendOnceTo(rawBackend(t, answer)))
			_, _, _, _ = h.send("/stream/a")
			if ended := h.ended(1)[0]; strings.ContainsRune(ended.Detail, '\x1b') {
				t.Errorf("got detail %q, want no control characters", ended.Detail)
			}
		})
	}
}

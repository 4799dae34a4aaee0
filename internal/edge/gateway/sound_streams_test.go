package gateway

import (
	"net/http"
	"strings"
	"testing"
)

// TestHeadOfAStream guards against sound answers to HEAD, which have no events, that are refused.
func TestHeadOfAStream(t *testing.T) {
	h := newHarness(t, sendOnceTo(backend(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Seal", "s")
		w.Header().Set("Content-Type", "text/event-stream")
	})))
	r, err := http.NewRequest(http.MethodHead, "http://"+h.address+"/stream/a", http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	r.Host = "h"
	r.Header.Set("X-Id", "id-1")
	response, err := h.client.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	assertEqual(t, "status", response.StatusCode, http.StatusOK)
}

// TestCallersWithoutEvents guards against sound streams that are refused to callers that say that they have no event.
func TestCallersWithoutEvents(t *testing.T) {
	sound := func(text string) string {
		return "HTTP/1.1 200 OK\r\nX-Seal: s\r\nX-Id: id-1\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n" + text
	}
	for _, c := range []struct{ name, path, last, text string }{
		{"numbers", "/stream/a", "0", events(1, 3)},
		{"numbers where no route may be resumed", "/plain/a", "0", events(1, 3)},
		{"no numbers", "/plain/a", "0", "data: a\n\n"},
		{"a route that can't be resumed", "/once/a", "opaque", events(1, 3)},
		{"a version line", "/stream/a", "", "weight-versions: 4\nid: 1\nevent: token\ndata: a\ndata: b\n\n"},
		{"CRLF", "/stream/a", "", strings.ReplaceAll(events(1, 3), "\n", "\r\n")},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, sendOnceTo(rawBackend(t, sound(c.text))))
			header := http.Header{}
			if c.last != "" {
				header.Set("Last-Event-Id", c.last)
			}
			status, body, _, _ := h.sendWith(c.path, header)
			assertEqual(t, "status", status, http.StatusOK)
			assertEqual(t, "events", body, c.text)
		})
	}
}

package gateway

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"samphirewharf/internal/fleet/matcher"
)

// TestFirstEventsAfterARouteMoved guards against first events that are believed again once a configuration has no resumable route to the
// servers that number theirs.
func TestFirstEventsAfterARouteMoved(t *testing.T) {
	for name, block := range map[string]string{"an empty ID": "id:\ndata: odd\n\n", "no ID": "data: odd\n\n", "far ahead": "id: 999\ndata: odd\n\n"} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, sendOnceTo(rawBackend(t, "HTTP/1.1 200 OK\r\nX-Seal: s\r\nX-Id: id-1\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"+block+events(2, 4))))
			moved, err := matcher.New(4, []matcher.Route{
				{Name: "stream", Host: "h", Prefix: "/stream/", Kind: matcher.KindStream, Resumable: true, Timeout: time.Second, Shares: []matcher.Share{{Service: "p", Weight: 1}}},
				{Name: "once", Host: "h", Prefix: "/once/", Kind: matcher.KindStream, Timeout: time.Second, Shares: []matcher.Share{{Service: "s", Weight: 1}}},
			}, []matcher.Service{{Name: "s"}, {Name: "p"}}, matcher.Limits{})
			if err != nil {
				t.Fatal(err)
			}
			h.configuration.Store(moved.WithNumbersOf(h.configuration.Load()))
			status, body, _, _ := h.send("/once/a")
			if status == http.StatusOK && strings.Contains(body, "odd") {
				t.Errorf("got %q, want no event that no run made", body)
			}
		})
	}
}

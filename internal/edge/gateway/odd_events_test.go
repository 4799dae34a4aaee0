package gateway

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"samphirewharf/internal/decision/conductor"
	"samphirewharf/internal/decision/reducer"
)

const (
	// oddStreamEvents is the number of events of a whole stream, callerHas the ID of the last event of a caller that takes one up.
	oddStreamEvents = 8
	callerHas       = 5
)

// events returns the events of a stream from one ID to another.
func events(from, to int) string {
	var b strings.Builder
	for n := from; n <= to; n++ {
		b.WriteString(event(n))
	}
	return b.String()
}

// oddBlocks are blocks that a server may write in place of the event with ID N, which follow no event of a numbered stream.
var oddBlocks = map[string]string{
	"no ID":                      "data: odd\n\n",
	"an empty ID":                "id:\ndata: odd\n\n",
	"a field without a value":    "id\ndata: odd\n\n",
	"an ID that is no number":    "id: odd\ndata: odd\n\n",
	"an ID far ahead":            "id: 999\ndata: odd\n\n",
	"a negative ID":              "id: -3\ndata: odd\n\n",
	"ID 0":                       "id: 0\ndata: odd\n\n",
	"a huge ID":                  "id: 99999999999999999999\ndata: odd\n\n",
	"an ID with a sign":          "id: +N\ndata: odd\n\n",
	"an ID with a leading zero":  "id: 0N\ndata: odd\n\n",
	"an ID after two spaces":     "id:  N\ndata: odd\n\n",
	"two IDs, the second due":    "id: 999\nid: N\ndata: odd\n\n",
	"two IDs, the first due":     "id: N\nid:\ndata: odd\n\n",
	"the same ID twice":          "id: N\nid: N\ndata: odd\n\n",
	"an ID without data":         "id: N\n\n",
	"text":                       "odd text\n\n",
	"text before an event":       "odd text\nid: N\ndata: odd\n\n",
	"JSON":                       "{\"error\": \"odd\"}\n\n",
	"a page":                     "<html>odd</html>\n\n",
	"bytes":                      "\xff\x00\xfe odd\n\n",
	"a byte order mark":          "\xef\xbb\xbfid: N\ndata: odd\n\n",
	"a carriage return in data":  "id: N\ndata: e\rid: 999\n\n",
	"events ended by CR":         "id: N\rdata: odd\r\rid: 999\ndata: odd\n\n",
	"a NUL in the ID":            "id: N\x00\ndata: odd\n\n",
	"a field name with a space":  "id : N\ndata: odd\n\n",
	"a head":                     "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n",
	"a number of another script": "id: \u0667\ndata: odd\n\n",
}

// An oddServer writes something else in place of one event of each stream.
type oddServer struct {
	// place is the ID of the event that block replaces.
	place       int
	block       string
	contentType string
}

func (s oddServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	w.Header().Set("X-Seal", "odd")
	w.Header().Set("Content-Type", s.contentType)
	for n := last + 1; n <= oddStreamEvents; n++ {
		text := event(n)
		if n == s.place {
			text = strings.ReplaceAll(s.block, "N", strconv.Itoa(n))
		}
		_, _ = io.WriteString(w, text)
		_ = http.NewResponseController(w).Flush()
	}
}

// soundStream writes the events after the last one that the caller has, at most to the given one, and then breaks off.
func soundStream(to int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		w.Header().Set("X-Seal", "sound")
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, events(last+1, to))
		_ = http.NewResponseController(w).Flush()
		if to < oddStreamEvents {
			panic(http.ErrAbortHandler)
		}
	}
}

// sendInTurn sends each attempt of a request to the next of the servers, and refuses it after the last one.
func sendInTurn(addresses ...string) func(conductor.Event) []conductor.Effect {
	send := func(i int) []conductor.Effect {
		if i >= len(addresses) {
			return []conductor.Effect{conductor.Refuse{Reason: conductor.RefusedBroken, MayHaveRun: true}}
		}
		s := sendTo(addresses[i])
		s.Attempt, s.Server = i+1, "i-"+strconv.Itoa(i+1)
		return []conductor.Effect{s}
	}
	return func(e conductor.Event) []conductor.Effect {
		switch e := e.(type) {
		case conductor.RequestArrived:
			return send(0)
		case conductor.AttemptEnded:
			if e.Outcome != reducer.AttemptDone {
				return send(e.Attempt)
			}
		}
		return nil
	}
}

// assertGivenUp checks that an attempt was given up as invalid, with a reason and the last event that the caller had.
func assertGivenUp(t *testing.T, name string, ended conductor.AttemptEnded, last int) {
	t.Helper()
	assertEqual(t, name+": outcome", ended.Outcome, reducer.AttemptFailed)
	assertEqual(t, name+": cause", ended.Cause, conductor.CauseInvalid)
	if after := fmt.Sprintf("after event %d: ", last); last > 0 && !strings.HasPrefix(ended.Detail, after) || ended.Detail == "" {
		t.Errorf("%s: got detail %q, want a reason that begins with %q", name, ended.Detail, after)
	}
}

// An oddCase is where in a stream a server writes a block.
type oddCase struct {
	name string
	// callerHas is the last event that the caller names, brokenAfter the last one of a sound server that breaks off before, 0 for none.
	callerHas, brokenAfter int
	place                  int
	delegated              bool
}

var oddCases = []oddCase{
	{name: "first", place: 1},
	{name: "first, for another daemon", place: 1, delegated: true},
	{name: "middle", place: 4},
	{name: "last", place: oddStreamEvents},
	{name: "first of a take-up", callerHas: callerHas, place: callerHas + 1},
	{name: "first of a take-up, for another daemon", callerHas: callerHas, place: callerHas + 1, delegated: true},
	{name: "second of a take-up", callerHas: callerHas, place: callerHas + 2},
	{name: "first of a resumption", brokenAfter: 3, place: 4},
	{name: "second of a resumption", brokenAfter: 3, place: 5},
	{name: "first of a take-up's resumption", callerHas: callerHas, brokenAfter: callerHas + 1, place: callerHas + 2},
}

// play sends a stream to servers of which one writes the block and the next one is sound, and checks that the caller gets all events of
// the sound one.
func (c oddCase) play(t *testing.T, h *harness, name, block, contentType string) {
	t.Helper()
	var addresses []string
	start := func(handler http.HandlerFunc) {
		server := httptest.NewServer(handler)
		t.Cleanup(server.Close)
		addresses = append(addresses, server.Listener.Addr().String())
	}
	if c.brokenAfter > 0 {
		start(soundStream(c.brokenAfter))
	}
	start(oddServer{place: c.place, block: block, contentType: contentType}.ServeHTTP)
	start(soundStream(oddStreamEvents))
	h.restart(sendInTurn(addresses...))
	header := http.Header{}
	if c.callerHas > 0 {
		header.Set("Last-Event-Id", strconv.Itoa(c.callerHas))
	}
	if c.delegated {
		header.Set(delegatorHeader, "d-2")
		header.Set(versionHeader, "3")
	}
	status, body, answered, err := h.sendWith("/stream/a", header)
	assertEqual(t, name+": status", status, http.StatusOK)
	assertEqual(t, name+": events", body, events(c.callerHas+1, oddStreamEvents))
	assertEqual(t, name+": type", answered.Get("Content-Type"), "text/event-stream")
	assertEqual(t, name+": error", err, nil)
	if odd := len(addresses) - 1; err == nil && len(h.ended(1)) >= odd {
		assertGivenUp(t, name, h.ended(odd)[odd-1], c.place-1)
	}
}

// TestEventsThatFollowNone guards against callers that get events which no run has made, from servers that write something else in place
// of an event.
func TestEventsThatFollowNone(t *testing.T) {
	for _, c := range oddCases {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, nil)
			for name, block := range oddBlocks {
				c.play(t, h, name, block, "text/event-stream")
			}
			if c.place != max(c.callerHas, c.brokenAfter)+1 {
				return
			}
			for _, contentType := range []string{"text/plain", "application/json", "text/event-streams", ""} {
				c.play(t, h, "answer of type "+contentType, event(c.place), contentType)
			}
		})
	}
}

// TestDrawnEventsThatFollowNone is TestEventsThatFollowNone for blocks of lines that are drawn at random.
func TestDrawnEventsThatFollowNone(t *testing.T) {
	h := newHarness(t, nil)
	rapid.Check(t, func(r *rapid.T) {
		c := rapid.SampledFrom(oddCases).Draw(r, "case")
		lines := rapid.SliceOfN(rapid.SampledFrom([]string{
			"data: odd", "data", "id:", "id: 999", "id: -1", "id: 0", "id: NN", "event: odd", "retry: 5", ": odd", "odd", "odd: odd", "\xff", "id: N ",
		}), 1, 4).Draw(r, "lines")
		block := "data: odd\n" + strings.Join(lines, rapid.SampledFrom([]string{"\n", "\r\n"}).Draw(r, "end")) + "\n\n"
		c.play(t, h, block, block, "text/event-stream")
		if t.Failed() {
			r.FailNow()
		}
	})
}

// TestStreamsWithoutNumbers guards against streams of servers that number no events, which are refused although nothing says that they
// do, and against odd events on routes that can't be resumed of a service that does.
func TestStreamsWithoutNumbers(t *testing.T) {
	text := func(s string) string {
		return backend(t, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Seal", "s")
			w.Header().Set("Content-Type", "text/event-stream")
			_, _ = io.WriteString(w, s)
		})
	}
	const plain = "data: a\n\n: comment\n\nid: opaque\ndata: b\n\nevent: end\ndata\n\n"
	for _, c := range []struct {
		name, path, last, text, want string
		status                       int
	}{
		{"without numbers", "/plain/a", "", plain, plain, http.StatusOK},
		{"without numbers, taken up after an ID that is no number", "/plain/a", "opaque", plain, plain, http.StatusOK},
		{"without numbers, taken up after a number", "/plain/a", "5", plain, "", http.StatusBadGateway},
		{"numbers from another start", "/plain/a", "", events(40, 44), events(40, 44), http.StatusOK},
		{"numbers that begin within the stream", "/plain/a", "", "data: a\n\n" + events(1, 2), "data: a\n\n", 0},
		{"a route that can't be resumed", "/once/a", "", events(1, 4), events(1, 4), http.StatusOK},
		{"an odd event on a route that can't be resumed", "/once/a", "", plain, "", http.StatusBadGateway},
		{"an odd event later on it", "/once/a", "", events(1, 4) + plain, events(1, 4), 0},
		{"a stream that ends before its first event", "/stream/a", "", ": comment\n\n", "", http.StatusBadGateway},
		{"a caller that has all events", "/stream/a", "8", "", "", http.StatusOK},
		{"a server that begins anew", "/stream/a", "3", events(1, 5), events(4, 5), http.StatusOK},
		{"a server that begins anew and ends before the caller's event", "/stream/a", "3", events(1, 2), "", http.StatusBadGateway},
		{"a caller that names no event", "/stream/a", "opaque", events(1, 4), "", http.StatusBadRequest},
		{"a caller that names a negative number", "/stream/a", "-1", events(1, 4), "", http.StatusBadRequest},
		{"a caller that names the largest number", "/stream/a", "9223372036854775807", events(1, 4), "", http.StatusBadRequest},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, sendOnceTo(text(c.text)))
			defer h.client.CloseIdleConnections()
			header := http.Header{}
			if c.last != "" {
				header.Set("Last-Event-Id", c.last)
			}
			status, body, _, err := h.sendWith(c.path, header)
			if c.status == 0 {
				assertEqual(t, "broken off", err != nil, true)
			} else {
				assertEqual(t, "status", status, c.status)
			}
			if c.status < http.StatusBadRequest {
				assertEqual(t, "events", body, c.want)
			} else if strings.Contains(body, "data") {
				t.Errorf("got %q, want none of the server's text", body)
			}
		})
	}
}

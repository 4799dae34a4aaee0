package responder

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"samphirewharf/internal/caller/refuser"
	"samphirewharf/internal/decision/reducer"
)

// oddStreamEvents is the number of events of a whole stream.
const oddStreamEvents = 8

// eventsOf returns the events of a stream from one number to another.
func eventsOf(from, to int) string {
	var b strings.Builder
	for n := from; n <= to; n++ {
		b.WriteString(eventOf(n))
	}
	return b.String()
}

const doneEvent = "data: [DONE]\n\n"

// unnumberedBlocks are events without a number that an engine may write in place of event @. A fresh stream may begin with one, since
// nothing says yet that its events are numbered.
var unnumberedBlocks = map[string]string{
	"no ID":                      "data: odd\n\n",
	"an empty ID":                "id:\ndata: odd\n\n",
	"a field without a value":    "id\ndata: odd\n\n",
	"an ID that is no number":    "id: odd\ndata: odd\n\n",
	"a negative ID":              "id: -3\ndata: odd\n\n",
	"a huge ID":                  "id: 99999999999999999999\ndata: odd\n\n",
	"an ID with a sign":          "id: +@\ndata: odd\n\n",
	"an ID with a leading zero":  "id: 0@\ndata: odd\n\n",
	"an ID after two spaces":     "id:  @\ndata: odd\n\n",
	"a NUL in the ID":            "id: @\x00\ndata: odd\n\n",
	"a number of another script": "id: \u0667\ndata: odd\n\n",
	"an end within data":         "data: odd\ndata: [DONE]\n\n",
	"a refusal":                  "event: error\ndata: {}\n\n",
}

// oddBlocks are other blocks that an engine may write in place of event @, which no numbered stream has there.
var oddBlocks = map[string]string{
	"an ID far ahead":           "id: 999\ndata: odd\n\n",
	"two IDs, the second due":   "id: 999\nid: @\ndata: odd\n\n",
	"two IDs, the first due":    "id: @\nid:\ndata: odd\n\n",
	"an ID without data":        "id: @\n\n",
	"text":                      "odd text\n\n",
	"text before an event":      "odd text\nid: @\ndata: odd\n\n",
	"JSON":                      "{\"error\": \"odd\"}\n\n",
	"a page":                    "<html>odd</html>\n\n",
	"bytes":                     "\xff\x00\xfe odd\n\n",
	"a byte order mark":         "\xef\xbb\xbfid: @\ndata: odd\n\n",
	"a carriage return in data": "id: @\ndata: e\rid: 999\n\n",
	"events ended by CR":        "id: @\rdata: odd\r\rid: 999\ndata: odd\n\n",
	"a head":                    "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n",
	"an end with a number":      "id: @\ndata: [DONE]\n\n",
}

// An oddCase is where in a stream an engine writes a block.
type oddCase struct {
	name string
	// first is the number of a stream's first event, place how many events come before the block.
	first, place int
	// brokenAfter is how many events a sound engine writes before it breaks off, 0 for none.
	brokenAfter int
	// forward says that the block comes from another daemon, behind that it comes from an engine that another daemon uses.
	forward, behind bool
}

var oddCases = []oddCase{
	{name: "first", first: 1},
	{name: "first, from 0", first: 0},
	{name: "middle", first: 1, place: 3},
	{name: "last", first: 1, place: oddStreamEvents - 1},
	{name: "first of a resumption", first: 1, brokenAfter: 3, place: 3},
	{name: "first of a resumption, from 0", first: 0, brokenAfter: 3, place: 3},
	{name: "second of a resumption", first: 1, brokenAfter: 3, place: 4},
	{name: "first of another daemon", first: 1, forward: true},
	{name: "middle of another daemon", first: 1, forward: true, place: 3},
	{name: "first of another daemon that goes on", first: 1, forward: true, brokenAfter: 3, place: 3},
	{name: "first behind another daemon", first: 1, behind: true},
	{name: "first of a resumption behind another daemon", first: 1, behind: true, brokenAfter: 3, place: 3},
}

// stream returns an engine that writes a stream from the resumed event on, in which a block replaces the event after place others. It
// breaks off after a number of events. A negative number means never.
func (c oddCase) stream(place int, block, contentType string, brokenAfter int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		from, _ := strconv.Atoi(r.Header.Get("X-Resume-From"))
		w.Header()["Content-Type"] = []string{contentType}
		for i := from; i < oddStreamEvents; i++ {
			text := eventOf(c.first + i)
			switch i {
			case place:
				text = strings.ReplaceAll(block, "@", strconv.Itoa(c.first+i))
			case brokenAfter:
				abort(w)
				return
			}
			_, _ = io.WriteString(w, text)
			_ = http.NewResponseController(w).Flush()
		}
		_, _ = io.WriteString(w, doneEvent)
	}
}

// play sends a stream to servers of which one writes the block and the next one is sound. It returns what the caller got and the end of
// the attempt with the block.
func (c oddCase) play(t *testing.T, block, contentType string) (got string, ended reducer.AttemptEnded, logged string) {
	t.Helper()
	var addresses []string
	if c.brokenAfter > 0 {
		addresses = append(addresses, engine(t, c.stream(-1, "", "text/event-stream", c.brokenAfter)))
	}
	odd := len(addresses) + 1
	addresses = append(addresses, engine(t, c.stream(c.place, block, contentType, -1)), engine(t, c.stream(-1, "", "text/event-stream", -1)))
	h := newHarness(t, dispatchTo(failed, addresses...))
	if c.forward {
		h.step = forwardOnce(h.step, odd)
	}
	lines := h.logLines()
	front := h
	if c.behind {
		front = newHarness(t, forwardOnce(dispatchTo(failed, h.address), 1))
	}
	// A busy machine may take a while to open a connection, which is no end that these tests are about.
	h.responder.Client.DialTimeout, front.responder.Client.DialTimeout = waitTimeout, waitTimeout
	_, got = do(t, newRequest(t, front.address, "/v1/completions", `{"model":"small","stream":true}`, "X-Request-Id", "odd-1"))
	ended = h.awaitEnd(odd)
	return got, ended, lines.String()
}

// forwardOnce returns a step function that calls another daemon in one attempt.
func forwardOnce(step func(reducer.Event) []reducer.Effect, attempt int) func(reducer.Event) []reducer.Effect {
	return func(event reducer.Event) []reducer.Effect {
		effects := step(event)
		for i, effect := range effects {
			if d, ok := effect.(reducer.Dispatch); ok && d.Attempt == attempt {
				effects[i] = reducer.Forward{Request: d.Request, Attempt: d.Attempt, Daemon: d.Server, Address: d.Address, Timeout: d.Timeout}
			}
		}
		return effects
	}
}

// assertGivenUp checks that an attempt was given up, and that the log says at which server, after which event and why.
func assertGivenUp(t *testing.T, ended reducer.AttemptEnded, logged string, events int) {
	t.Helper()
	assertEqual(t, "outcome", ended.Outcome, reducer.AttemptFailed)
	assertEqual(t, "events", ended.Tokens, events)
	assertContains(t, logged, `"level":"info"`)
	assertContains(t, logged, fmt.Sprintf(`"Request":"odd-1","Attempt":%d,"Server":"s%d","Address":"127.0.0.1:`, ended.Attempt, ended.Attempt))
	assertContains(t, logged, fmt.Sprintf(`"Events":%d,`, events))
	assertContains(t, logged, `"Detail":"`)
}

// TestEventsThatFollowNone guards against callers that get events which no run has made, from engines that write something else in place
// of an event.
func TestEventsThatFollowNone(t *testing.T) {
	for _, c := range oddCases {
		whole := eventsOf(c.first, c.first+oddStreamEvents-1) + doneEvent
		assertWhole := func(name, block, contentType string) {
			t.Run(c.name+"/"+name, func(t *testing.T) {
				t.Parallel()
				got, ended, logged := c.play(t, block, contentType)
				assertEqual(t, "stream", got, whole)
				assertGivenUp(t, ended, logged, c.place)
			})
		}
		for name, block := range oddBlocks {
			assertWhole(name, block, "text/event-stream")
		}
		for name, block := range unnumberedBlocks {
			if c.place > 0 {
				assertWhole(name, block, "text/event-stream")
			}
		}
		if c.place != c.brokenAfter {
			continue
		}
		for _, contentType := range []string{"text/plain", "application/json", "text/event-streams", ""} {
			assertWhole("answer of type "+contentType, "id: @\ndata: odd\n\n", contentType)
		}
	}
}

// TestFreshStreamsThatBeginWithoutNumber guards against streams that are joined after an event of which nothing says that no run made it.
func TestFreshStreamsThatBeginWithoutNumber(t *testing.T) {
	for name, block := range unnumberedBlocks {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			got, ended, logged := oddCase{first: 1}.play(t, block, "text/event-stream")
			prefix, _, refused := strings.Cut(got, "event: error\ndata: {\"")
			assertEqual(t, "events", prefix, strings.ReplaceAll(block, "@", "1"))
			assertEqual(t, "refused", refused, true)
			assertGivenUp(t, ended, logged, 1)
		})
	}
}

// TestStreamForms guards against sound streams that are refused, and ends of streams that are believed although no run made them.
func TestStreamForms(t *testing.T) {
	const opaque = "id: a-1\ndata: x\n\n: comment\n\nid: a-2\ndata: y\n\n"
	const sound = "text/event-stream; charset=utf-8"
	for _, test := range []struct {
		name, contentType, text string
		// want is what the caller gets before it is refused, or the text if whole is true.
		want  string
		whole bool
	}{
		{"from 0", sound, eventsOf(0, 2) + doneEvent, "", true},
		{"from 1", sound, eventsOf(1, 3) + doneEvent, "", true},
		{"from 2", sound, eventsOf(2, 4) + doneEvent, "", false},
		{"without numbers", sound, "data: x\n\ndata: y\n\n" + doneEvent, "", true},
		{"opaque IDs", sound, opaque + doneEvent, "", true},
		{"numbers after none", sound, "data: x\n\n" + eventsOf(1, 2) + doneEvent, "data: x\n\n", false},
		{"no event", sound, doneEvent, "", false},
		{"only a comment", sound, ": comment\n\n" + doneEvent, "", false},
		{"an end with a number", sound, eventsOf(1, 2) + "id: 3\n" + doneEvent, eventsOf(1, 2), false},
		{"no end", sound, eventsOf(1, 2), eventsOf(1, 2), false},
		{"another type", "application/json", "{}", "", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, dispatchTo(failed, engine(t, func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Type", test.contentType)
				_, _ = io.WriteString(w, test.text)
			})))
			response, got := do(t, newRequest(t, h.address, "/v1/completions", `{"model":"small","stream":true}`))
			if test.whole {
				assertEqual(t, "stream", got, test.text)
				return
			}
			events, _, _ := strings.Cut(got, "event: error\n")
			if test.want == "" {
				started := false
				h.await("end", func(events []reducer.Event) bool {
					started = hasStarted(events)
					return countOf[reducer.AttemptEnded](events) == 1
				})
				assertEqual(t, "start reported", started, false)
				assertEqual(t, "status", response.StatusCode, http.StatusBadGateway)
				assertEqual(t, "type", response.Header.Get("Content-Type"), refuser.ProblemType)
				return
			}
			assertEqual(t, "events", events, test.want)
			assertEqual(t, "refused", len(got) > len(events), true)
		})
	}
}

// TestResumedStreams guards against attempts that are joined although they don't continue what the caller has.
func TestResumedStreams(t *testing.T) {
	stream := func(text string, broken bool) string {
		return engine(t, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "text/event-stream")
			_, _ = io.WriteString(w, text)
			_ = http.NewResponseController(w).Flush()
			if broken {
				abort(w)
			}
		})
	}
	for _, test := range []struct {
		name, first, second string
		whole               bool
	}{
		{"all events were sent", eventsOf(1, 3), doneEvent, true},
		{"a shorter answer", eventsOf(1, 3), eventsOf(1, 2) + doneEvent, false},
		{"without numbers", "data: x\n\n", doneEvent, false},
		{"numbers that count from 0 instead of 1", eventsOf(1, 3), eventsOf(3, 7) + doneEvent, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, dispatchTo(failed, stream(test.first, true), stream(test.second, false)))
			_, got := do(t, newRequest(t, h.address, "/v1/completions", `{"model":"small","stream":true}`))
			events, _, refused := strings.Cut(got, "event: error\n")
			assertEqual(t, "refused", refused, !test.whole)
			if test.whole {
				test.first += doneEvent
			}
			assertEqual(t, "events", events, test.first)
		})
	}
}

// TestErrorStatus guards against errors of engines that no longer reach callers that asked for a stream.
func TestErrorStatus(t *testing.T) {
	h := newHarness(t, dispatchTo(failed, engine(t, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusBadRequest)
		_, _ = io.WriteString(w, "too long")
	})))
	response, got := do(t, newRequest(t, h.address, "/v1/completions", `{"model":"small","stream":true}`))
	assertEqual(t, "status", response.StatusCode, http.StatusBadRequest)
	assertEqual(t, "body", got, "too long")
}

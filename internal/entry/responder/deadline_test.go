package responder

import (
	"io"
	"net/http"
	"testing"
	"time"

	"samphirewharf/internal/decision/reducer"
)

// TestStreamPastDeadline checks that the deadline applies to the start of a stream: a stream that has started
// continues after it.
func TestStreamPastDeadline(t *testing.T) {
	const deadline = time.Second
	address := engine(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, eventOf(0))
		_ = http.NewResponseController(w).Flush()
		time.Sleep(deadline + deadline/2)
		_, _ = io.WriteString(w, eventOf(1)+"data: [DONE]\n\n")
	})
	h := newHarness(t, func(event reducer.Event) []reducer.Effect {
		if _, ok := event.(reducer.RequestArrived); !ok {
			return nil
		}
		return []reducer.Effect{reducer.Dispatch{Attempt: 1, Address: address, Timeout: deadline}}
	})
	_, got := do(t, newRequest(t, h.address, "/v1/completions", `{"model":"small","stream":true}`))
	assertEqual(t, "stream", got, eventOf(0)+eventOf(1)+"data: [DONE]\n\n")
	assertEqual(t, "outcome", h.awaitEnd(1).Outcome, reducer.AttemptDone)
}

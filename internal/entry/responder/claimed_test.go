package responder

import (
	"context"
	"errors"
	"io"
	"net/http"
	"testing"

	"samphirewharf/internal/decision/reducer"
)

// TestClaimedRequestOutlivesItsCaller checks that a request that must not be repeated continues when its caller
// disconnects, so that its response is stored for a repeated request. Cancelling it would leave its outcome unknown
// forever.
func TestClaimedRequestOutlivesItsCaller(t *testing.T) {
	started, proceed := make(chan struct{}), make(chan struct{})
	address := engine(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		close(started)
		select {
		case <-proceed:
			_, _ = io.WriteString(w, "booked")
		case <-r.Context().Done():
		}
	})
	h := newHarness(t, func(event reducer.Event) []reducer.Effect {
		if _, ok := event.(reducer.RequestArrived); !ok {
			return nil
		}
		return []reducer.Effect{reducer.Dispatch{Attempt: 1, Address: address, Timeout: waitTimeout, KeepAnswer: true}}
	})
	ctx, cancel := context.WithCancel(context.Background())
	request := newRequest(t, h.address, "/services/rezervasyon/a", "{}", "Idempotency-Key", "k").WithContext(ctx)
	left := make(chan error, 1)
	go func() {
		response, err := http.DefaultClient.Do(request)
		if err == nil {
			_ = response.Body.Close()
		}
		left <- err
	}()
	<-started
	cancel()
	if err := <-left; !errors.Is(err, context.Canceled) {
		t.Fatalf("got %v, want the caller's request to be cancelled", err)
	}
	h.await("caller left", func(events []reducer.Event) bool {
		for _, e := range events {
			if _, ok := e.(reducer.CallerLeft); ok {
				return true
			}
		}
		return false
	})
	close(proceed)
	ended := h.awaitEnd(1)
	assertEqual(t, "outcome", ended.Outcome, reducer.AttemptDone)
	assertEqual(t, "answer", string(ended.Answer), "booked")
}

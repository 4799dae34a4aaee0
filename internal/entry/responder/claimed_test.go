package responder

import (
	"context"
	"errors"
	"io"
	"net/http"
	"testing"

	"samphirewharf/internal/decision/reducer"
)

// TestClaimedRequestOutlivesItsCaller checks that a request which must not be repeated goes on when its caller has left, so
// that its answer is kept for a repeat. Breaking it off would leave its outcome open for good.
func TestClaimedRequestOutlivesItsCaller(t *testing.T) {
	begun, goOn := make(chan struct{}), make(chan struct{})
	address := engine(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		close(begun)
		select {
		case <-goOn:
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
	<-begun
	cancel()
	if err := <-left; !errors.Is(err, context.Canceled) {
		t.Fatalf("got %v, want the caller to have left", err)
	}
	h.await("caller left", func(events []reducer.Event) bool {
		for _, e := range events {
			if _, ok := e.(reducer.CallerLeft); ok {
				return true
			}
		}
		return false
	})
	close(goOn)
	ended := h.awaitEnd(1)
	assertEqual(t, "outcome", ended.Outcome, reducer.AttemptDone)
	assertEqual(t, "answer", string(ended.Answer), "booked")
}

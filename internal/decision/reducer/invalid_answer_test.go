package reducer

import (
	"testing"

	"samphirewharf/internal/caller/refuser"
)

// TestInvalidAnswers guards against requests that go back to the engine whose answer was given up, and against repeats without a bound.
func TestInvalidAnswers(t *testing.T) {
	const requests = 200
	f := newFixture(1, 3, 1, 0, 1)
	repeats, spent := 0, 0
	for id := RequestID(1); id <= requests; id++ {
		effects := f.step(RequestArrived{Request: id, Target: f.deploymentNames[0], Urgent: true, Stream: true, BodyHash: uint64(id)})
		last := ""
		for attempt := 1; ; attempt++ {
			var sent *Dispatch
			for _, effect := range effects {
				switch e := effect.(type) {
				case Dispatch:
					sent = &e
				case Refuse:
					if e.Refusal.Code == refuser.CodeRetryBudgetSpent {
						spent++
					}
				}
			}
			if sent == nil {
				break
			}
			if sent.Server == last {
				t.Fatalf("got attempt %d of request %d at %s again, want another server", attempt, id, last)
			}
			if attempt > 1 {
				repeats++
				if sent.ResumeFrom != 3 {
					t.Errorf("got attempt %d after %d events, want 3", attempt, sent.ResumeFrom)
				}
			}
			last = sent.Server
			effects = f.step(AttemptEnded{Request: id, Attempt: attempt, Outcome: AttemptFailed, Tokens: 3})
		}
	}
	if repeats == 0 || repeats > requests/10 || spent < requests/2 {
		t.Errorf("got %d repeats of %d requests, of which %d were refused for the budget, want few repeats", repeats, requests, spent)
	}
}

package conductor

import (
	"testing"
	"time"

	"samphirewharf/internal/decision/calibrator"
	"samphirewharf/internal/decision/reducer"
)

// newSpeedHarness returns a machine that has seen streams at two engines, e2 with four times the gaps of e1.
func newSpeedHarness(t *testing.T) *harness {
	t.Helper()
	h := newHarness(t)
	h.engine("e1", "a", loadedModel("m1"))
	h.engine("e2", "a", loadedModel("m1"))
	for range 80 {
		id := h.request(quick, "m1", "")
		gap := 50 * time.Millisecond
		if one[Send](h).Server == "e2" {
			gap = 200 * time.Millisecond
		}
		h.advance(50 * time.Millisecond)
		h.step(AttemptStarted{Request: id, Attempt: 1})
		h.step(AttemptProgressed{Request: id, Attempt: 1, Pace: calibrator.Window{Gaps: 5, Span: 5 * gap, Longest: gap}})
		h.end(id, 1, reducer.AttemptDone, CauseNone)
	}
	return h
}

// sends returns how many of a number of requests go to e1 while each is answered at once.
func (h *harness) sendsToFirst(n int, send func() reducer.RequestID) int {
	first := 0
	for range n {
		id := send()
		if one[Send](h).Server == "e1" {
			first++
		}
		h.end(id, 1, reducer.AttemptDone, CauseNone)
	}
	return first
}

func TestStreamsAvoidSlowEngines(t *testing.T) {
	t.Run("streams with a gap objective go to the fast engine", func(t *testing.T) {
		h := newSpeedHarness(t)
		assertEqual(t, "sends to the fast engine", h.sendsToFirst(40, func() reducer.RequestID { return h.request(quick, "m1", "") }), 40)
	})
	t.Run("requests without a gap objective are assigned as before", func(t *testing.T) {
		h := newSpeedHarness(t)
		route := quick
		route.EventGapObjective = 0
		if got := h.sendsToFirst(200, func() reducer.RequestID { return h.request(route, "m1", "") }); got < 60 || got > 140 {
			t.Errorf("got %d of 200 requests at one of two engines with equal latency, want about half", got)
		}
	})
	t.Run("the decision names the expected pause", func(t *testing.T) {
		h := newSpeedHarness(t)
		h.request(quick, "m1", "")
		got := one[LogDecision](h)
		assertBetween(t, "expected pause", got.ExpectedPause, 40*time.Millisecond, 120*time.Millisecond)
		assertEqual(t, "pace is reported", one[Send](h).ReportPace, true)
	})
	t.Run("nothing is refused if all engines are slow", func(t *testing.T) {
		h := newSpeedHarness(t)
		h.step(ServerRemoved{ID: "e1", Revision: h.revision + 1})
		h.request(quick, "m1", "")
		assertEqual(t, "server", one[Send](h).Server, "e2")
	})
	t.Run("an engine that has restarted is known no more", func(t *testing.T) {
		h := newSpeedHarness(t)
		e := h.machine.servers["e2"].entry
		e.StartedAt++
		h.change(e)
		if h.machine.servers["e2"].speed.estimate != nil {
			t.Error("got an estimate of the earlier incarnation, want none")
		}
	})
	t.Run("prompts that an engine has cached are not read again", func(t *testing.T) {
		h := newSpeedHarness(t)
		r := newRequest(RequestArrived{Route: quick, InputTokens: 1000, Parts: []PromptPart{{ID: 1, Tokens: 900}, {ID: 2, Tokens: 100}}}, h.now)
		s := h.machine.servers["e1"]
		assertEqual(t, "unread tokens", unreadTokens(r, s.cachedParts.CachedShare(r.Parts)), 1000)
		s.cachedParts.Add(r.Parts[:1])
		assertEqual(t, "unread tokens", unreadTokens(r, s.cachedParts.CachedShare(r.Parts)), 100)
	})
}

package conductor

import (
	"testing"
	"time"

	"samphirewharf/internal/decision/reducer"
	"samphirewharf/internal/fleet/matcher"
	"samphirewharf/internal/peer/messenger"
)

// refusals returns the refusals of a request so far.
func (h *harness) refusals(id reducer.RequestID) []Refuse {
	var list []Refuse
	for _, e := range findIn[Refuse](h.all) {
		if e.Request == id {
			list = append(list, e)
		}
	}
	return list
}

func (h *harness) assertRefusedWithin(id reducer.RequestID, reason RefusalReason, within, least, most time.Duration) {
	h.t.Helper()
	h.advance(within)
	list := h.refusals(id)
	if len(list) != 1 {
		h.t.Fatalf("got %d refusals after %v, want 1", len(list), within)
	}
	assertEqual(h.t, "reason", list[0].Reason, reason)
	assertEqual(h.t, "may have run", list[0].MayHaveRun, false)
	assertBetween(h.t, "retry after", list[0].RetryAfter, least, most)
}

func TestColdRequests(t *testing.T) {
	newBusyHarness := func(t *testing.T) *harness {
		t.Helper()
		h := newHarness(t)
		h.engine("e1", "a", loadedModel("m1"), loadedModel("m2"))
		h.becomeLeader()
		h.reportIdle(0, loadedModel("m1"), loadedModel("m2"))
		for range 60 {
			for _, model := range []string{"m1", "m2"} {
				id := h.request(quick, model, "")
				h.end(id, 1, reducer.AttemptDone, CauseNone)
			}
			h.advance(10 * time.Millisecond)
		}
		return h
	}
	t.Run("the leader refuses a request at once whose model would be ready too late", func(t *testing.T) {
		h := newBusyHarness(t)
		id := h.request(deep, "m3", "")
		h.assertRefusedWithin(id, RefusedCold, urgentDemandDelay+minPlanInterval+5*time.Millisecond, 10*time.Second, 20*time.Second)
		h.assertNextRefusedAtOnce(deep, "m3")
	})
	t.Run("other daemons refuse it when they receive the forecast", func(t *testing.T) {
		h := newHarness(t)
		h.step(LeaderChanged{Leader: Leader{Name: "d2", Instance: "x", FencingToken: 7}})
		h.engine("e1", "a", loadedModel("m1"))
		id := h.request(deep, "m2", "")
		none[Refuse](h)
		h.step(PeerReceived{Message: messenger.Message{From: "d2", Fleet: &messenger.Fleet{
			Fence: 7, Sequence: 1, Loading: []messenger.Loading{{Service: engineService, Model: "m2", ReadyIn: 13 * time.Second}},
		}}})
		h.assertRefusedWithin(id, RefusedCold, time.Millisecond, 13*time.Second, 14*time.Second)
		h.assertNextRefusedAtOnce(deep, "m2")
	})
	t.Run("a request whose model will be ready in time waits", func(t *testing.T) {
		h := newHarness(t)
		h.step(LeaderChanged{Leader: Leader{Name: "d2", Instance: "x", FencingToken: 7}})
		h.engine("e1", "a", loadedModel("m1"))
		h.step(PeerReceived{Message: messenger.Message{From: "d2", Fleet: &messenger.Fleet{
			Fence: 7, Sequence: 1, Loading: []messenger.Loading{{Service: engineService, Model: "m2", ReadyIn: 4 * time.Second}},
		}}})
		id := h.request(deep, "m2", "")
		h.advance(time.Second)
		assertEqual(t, "refusals", len(h.refusals(id)), 0)
	})
}

// A process that becomes the leader again after a restart on the same host makes its first plan shortly after its start.
func TestPlanAtStart(t *testing.T) {
	h := newHarness(t)
	h.engine("e1", "a", loadedModel("m1"), loadedModel("m2"))
	h.step(LeaderChanged{Leader: Leader{Name: "d1", Instance: "before", FencingToken: 5}})
	h.step(LeaderRemoved{})
	h.step(BecomeLeaderEnded{FencingToken: 7})
	h.reportIdle(0, loadedModel("m1"), loadedModel("m2"))
	for range 20 {
		h.end(h.request(quick, "m1", ""), 1, reducer.AttemptDone, CauseNone)
		h.end(h.request(quick, "m2", ""), 1, reducer.AttemptDone, CauseNone)
	}
	id := h.request(deep, "m3", "")
	h.advance(urgentDemandDelay + 2*minPlanInterval)
	assertEqual(t, "refusals", len(h.refusals(id)), 1)
}

func (h *harness) assertNextRefusedAtOnce(route matcher.Route, model string) {
	h.t.Helper()
	h.request(route, model, "")
	assertEqual(h.t, "reason", one[Refuse](h).Reason, RefusedCold)
}

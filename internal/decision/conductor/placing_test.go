package conductor

import (
	"testing"
	"time"

	"samphirewharf/internal/decision/reducer"
	"samphirewharf/internal/fleet/matcher"
	"samphirewharf/internal/peer/messenger"
)

// refusals returns the refusals of a request so far.
func (b *harness) refusals(id reducer.RequestID) []Refuse {
	var list []Refuse
	for _, e := range findIn[Refuse](b.all) {
		if e.Request == id {
			list = append(list, e)
		}
	}
	return list
}

func (b *harness) assertRefusedWithin(id reducer.RequestID, reason RefusalReason, within, least, most time.Duration) {
	b.t.Helper()
	b.advance(within)
	list := b.refusals(id)
	if len(list) != 1 {
		b.t.Fatalf("got %d refusals after %v, want 1", len(list), within)
	}
	assertEqual(b.t, "reason", list[0].Reason, reason)
	assertEqual(b.t, "may have run", list[0].MayHaveRun, false)
	assertBetween(b.t, "retry after", list[0].RetryAfter, least, most)
}

func TestColdRequests(t *testing.T) {
	newBusyHarness := func(t *testing.T) *harness {
		t.Helper()
		b := newHarness(t)
		b.engine("e1", "a", heldModel("m1"), heldModel("m2"))
		b.becomeLeader()
		b.reportIdle(0, heldModel("m1"), heldModel("m2"))
		for range 60 {
			for _, model := range []string{"m1", "m2"} {
				id := b.request(quick, model, "")
				b.end(id, 1, reducer.AttemptDone, CauseNone)
			}
			b.advance(10 * time.Millisecond)
		}
		return b
	}
	t.Run("the leader refuses a request at once whose model would be ready too late", func(t *testing.T) {
		b := newBusyHarness(t)
		id := b.request(deep, "m3", "")
		b.assertRefusedWithin(id, RefusedCold, urgentDemandDelay+minPlanInterval+5*time.Millisecond, 10*time.Second, 20*time.Second)
		b.assertNextRefusedAtOnce(deep, "m3")
	})
	t.Run("other daemons refuse it when they receive the forecast", func(t *testing.T) {
		b := newHarness(t)
		b.step(LeaderChanged{Leader: Leader{Name: "d2", Instance: "x", FencingToken: 7}})
		b.engine("e1", "a", heldModel("m1"))
		id := b.request(deep, "m2", "")
		none[Refuse](b)
		b.step(PeerReceived{Message: messenger.Message{From: "d2", Fleet: &messenger.Fleet{
			Fence: 7, Sequence: 1, Loading: []messenger.Loading{{Service: engineService, Model: "m2", ReadyIn: 13 * time.Second}},
		}}})
		b.assertRefusedWithin(id, RefusedCold, time.Millisecond, 13*time.Second, 14*time.Second)
		b.assertNextRefusedAtOnce(deep, "m2")
	})
	t.Run("a request whose model will be ready in time waits", func(t *testing.T) {
		b := newHarness(t)
		b.step(LeaderChanged{Leader: Leader{Name: "d2", Instance: "x", FencingToken: 7}})
		b.engine("e1", "a", heldModel("m1"))
		b.step(PeerReceived{Message: messenger.Message{From: "d2", Fleet: &messenger.Fleet{
			Fence: 7, Sequence: 1, Loading: []messenger.Loading{{Service: engineService, Model: "m2", ReadyIn: 4 * time.Second}},
		}}})
		id := b.request(deep, "m2", "")
		b.advance(time.Second)
		assertEqual(t, "refusals", len(b.refusals(id)), 0)
	})
}

// A process that becomes the leader again after a restart on the same host makes its first plan at once.
func TestPlanAtStart(t *testing.T) {
	b := newHarness(t)
	b.engine("e1", "a", heldModel("m1"), heldModel("m2"))
	b.step(LeaderChanged{Leader: Leader{Name: "d1", Instance: "before", FencingToken: 5}})
	b.step(LeaderRemoved{})
	b.step(BecomeLeaderEnded{FencingToken: 7})
	b.reportIdle(0, heldModel("m1"), heldModel("m2"))
	for range 20 {
		b.end(b.request(quick, "m1", ""), 1, reducer.AttemptDone, CauseNone)
		b.end(b.request(quick, "m2", ""), 1, reducer.AttemptDone, CauseNone)
	}
	id := b.request(deep, "m3", "")
	b.advance(urgentDemandDelay + 2*minPlanInterval)
	assertEqual(t, "refusals", len(b.refusals(id)), 1)
}

func (b *harness) assertNextRefusedAtOnce(route matcher.Route, model string) {
	b.t.Helper()
	b.request(route, model, "")
	assertEqual(b.t, "reason", one[Refuse](b).Reason, RefusedCold)
}

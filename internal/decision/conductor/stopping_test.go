package conductor

import (
	"fmt"
	"testing"
	"time"

	"samphirewharf/internal/decision/reducer"
	"samphirewharf/internal/fleet/matcher"
	"samphirewharf/internal/fleet/registrar"
	"samphirewharf/internal/peer/messenger"
)

func TestStopOfHolder(t *testing.T) {
	start := func(t *testing.T) *harness {
		t.Helper()
		h := newHarness(t)
		h.engine("e1", "a")
		h.becomeLeader()
		h.reportIdle(0)
		return h
	}
	t.Run("the leader resigns at once if another daemon can become the leader", func(t *testing.T) {
		h := start(t)
		h.step(StopRequested{})
		one[Resign](h)
		one[RevokeLease](h)
		assertEqual(t, "may order", h.machine.mayOrder(), false)
	})
	t.Run("in an outage the leader continues to give orders, since no other daemon can become the leader", func(t *testing.T) {
		h := start(t)
		h.step(StoreLost{Reason: "status 503"})
		h.step(StopRequested{})
		none[Resign](h)
		none[RevokeLease](h)
		h.step(PeerReceived{Message: messenger.Message{From: "d2", Demand: &messenger.Demand{
			Models: []messenger.ModelDemand{{Service: engineService, Model: "m1", Waiting: 3}},
		}}})
		h.advance(50 * time.Millisecond)
		assertEqual(t, "orders", len(h.orders()), 1)
		h.answer(registrar.OrderAccepted)
	})
	t.Run("the leader resigns as soon as the outage is over", func(t *testing.T) {
		h := start(t)
		h.step(StoreLost{Reason: "status 503"})
		h.step(StopRequested{})
		h.advance(time.Second)
		h.step(StoreReached{})
		one[Resign](h)
		one[RevokeLease](h)
		assertEqual(t, "may order", h.machine.mayOrder(), false)
		h.step(StoreLost{Reason: "status 503"})
		h.step(StoreReached{})
		none[Resign](h)
	})
	t.Run("the leader resigns before the process exits", func(t *testing.T) {
		h := start(t)
		h.step(StoreLost{Reason: "status 503"})
		h.step(StopRequested{})
		h.advance(10 * time.Second)
		assertEqual(t, "exits", len(findIn[Exit](h.all)), 1)
		assertEqual(t, "resignations", len(findIn[Resign](h.all)), 1)
		assertEqual(t, "may order", h.machine.mayOrder(), false)
	})
	t.Run("in an outage the leader resigns at once if engines don't check fencing tokens", func(t *testing.T) {
		h := start(t)
		h.machine.settings.EnginesCheckFencing = false
		h.step(StoreLost{Reason: "status 503"})
		h.step(StopRequested{})
		one[Resign](h)
		assertEqual(t, "may order", h.machine.mayOrder(), false)
	})
}

// Guards against requests that are cut without an answer at the end of a planned stop.
func TestStopAnswersRequests(t *testing.T) {
	once := deep
	once.Resumable = false
	// stopWith returns a daemon that was asked to stop some time before a request arrived.
	stopWith := func(t *testing.T, route matcher.Route, since time.Duration) (*harness, reducer.RequestID) {
		t.Helper()
		h := newHarness(t)
		h.engine("e1", "a", loadedModel("m1"))
		h.plainServer("p1", "a")
		h.step(StopRequested{})
		h.advance(since)
		if route.Kind == matcher.KindStream {
			return h, h.request(route, "m1", "")
		}
		return h, h.request(route, "", "")
	}
	assertAnswered := func(t *testing.T, h *harness, id reducer.RequestID, mayHaveRun bool) {
		t.Helper()
		h.advance(testSettings().StopTimeout)
		assertEqual(t, "exits", len(findIn[Exit](h.all)), 1)
		refusals := h.refusals(id)
		if len(refusals) != 1 {
			t.Fatalf("got %d refusals, want 1", len(refusals))
		}
		assertEqual(t, "may have run", refusals[0].MayHaveRun, mayHaveRun)
	}
	for name, route := range map[string]matcher.Route{"a stream that may be resumed": quick, "a stream that may not be repeated": once} {
		t.Run(name+" and has not begun at the end", func(t *testing.T) {
			h, id := stopWith(t, route, 2*time.Second)
			one[Send](h)
			assertAnswered(t, h, id, true)
		})
		t.Run(name+" comes too late to end", func(t *testing.T) {
			h, id := stopWith(t, route, 3*time.Second)
			none[Send](h)
			assertAnswered(t, h, id, false)
		})
	}
	for since := time.Duration(0); since < 7*time.Second; since += 500 * time.Millisecond {
		for _, route := range []matcher.Route{booking, reading} {
			t.Run(fmt.Sprintf("%s after %v whose server is silent", route.Name, since), func(t *testing.T) {
				h, id := stopWith(t, route, since)
				sent := len(find[Send](h)) > 0
				assertAnswered(t, h, id, sent)
			})
		}
	}
}

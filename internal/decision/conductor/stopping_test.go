package conductor

import (
	"testing"
	"time"

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

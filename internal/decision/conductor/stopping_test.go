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
		b := newHarness(t)
		b.engine("e1", "a")
		b.becomeLeader()
		b.reportIdle(0)
		return b
	}
	t.Run("the leader resigns at once if another daemon can become the leader", func(t *testing.T) {
		b := start(t)
		b.step(StopRequested{})
		one[Resign](b)
		one[RevokeLease](b)
		assertEqual(t, "may order", b.machine.mayOrder(), false)
	})
	t.Run("in an outage the leader continues to give orders, since no other daemon can become the leader", func(t *testing.T) {
		b := start(t)
		b.step(StoreLost{Reason: "status 503"})
		b.step(StopRequested{})
		none[Resign](b)
		none[RevokeLease](b)
		b.step(PeerReceived{Message: messenger.Message{From: "d2", Demand: &messenger.Demand{
			Models: []messenger.ModelDemand{{Service: engineService, Model: "m1", Waiting: 3}},
		}}})
		b.advance(50 * time.Millisecond)
		assertEqual(t, "orders", len(b.orders()), 1)
		b.answer(registrar.OrderAccepted)
	})
	t.Run("the leader resigns as soon as the outage is over", func(t *testing.T) {
		b := start(t)
		b.step(StoreLost{Reason: "status 503"})
		b.step(StopRequested{})
		b.advance(time.Second)
		b.step(StoreReached{})
		one[Resign](b)
		one[RevokeLease](b)
		assertEqual(t, "may order", b.machine.mayOrder(), false)
		b.step(StoreLost{Reason: "status 503"})
		b.step(StoreReached{})
		none[Resign](b)
	})
	t.Run("the leader resigns before the process exits", func(t *testing.T) {
		b := start(t)
		b.step(StoreLost{Reason: "status 503"})
		b.step(StopRequested{})
		b.advance(10 * time.Second)
		assertEqual(t, "exits", len(findIn[Exit](b.all)), 1)
		assertEqual(t, "resignations", len(findIn[Resign](b.all)), 1)
		assertEqual(t, "may order", b.machine.mayOrder(), false)
	})
	t.Run("in an outage the leader resigns at once if engines don't check fencing tokens", func(t *testing.T) {
		b := start(t)
		b.machine.settings.EnginesCheckFencing = false
		b.step(StoreLost{Reason: "status 503"})
		b.step(StopRequested{})
		one[Resign](b)
		assertEqual(t, "may order", b.machine.mayOrder(), false)
	})
}

package conductor

import (
	"testing"
	"time"

	"samphirewharf/internal/fleet/registrar"
	"samphirewharf/internal/peer/messenger"
)

func TestStopOfHolder(t *testing.T) {
	start := func(t *testing.T) *bed {
		t.Helper()
		b := newBed(t)
		b.engine("e1", "a")
		b.hold()
		b.settle(0)
		return b
	}
	t.Run("the role is free at once while another daemon can take it", func(t *testing.T) {
		b := start(t)
		b.do(StopRequested{})
		one[Resign](b)
		one[RevokeLease](b)
		assertEqual(t, "may order", b.machine.mayOrder(), false)
	})
	t.Run("in an outage it goes on giving orders, since nobody can take the role", func(t *testing.T) {
		b := start(t)
		b.do(StoreLost{Reason: "status 503"})
		b.do(StopRequested{})
		none[Resign](b)
		none[RevokeLease](b)
		b.do(PeerReceived{Message: messenger.Message{From: "d2", Demand: &messenger.Demand{
			Models: []messenger.ModelDemand{{Service: engineService, Model: "m1", Waiting: 3}},
		}}})
		b.advance(50 * time.Millisecond)
		assertEqual(t, "orders", len(b.orders()), 1)
		b.answer(registrar.OrderAccepted)
	})
	t.Run("the role is free as soon as the outage is over", func(t *testing.T) {
		b := start(t)
		b.do(StoreLost{Reason: "status 503"})
		b.do(StopRequested{})
		b.advance(time.Second)
		b.do(StoreReached{})
		one[Resign](b)
		one[RevokeLease](b)
		assertEqual(t, "may order", b.machine.mayOrder(), false)
		b.do(StoreLost{Reason: "status 503"})
		b.do(StoreReached{})
		none[Resign](b)
	})
	t.Run("the role is given up before the process ends", func(t *testing.T) {
		b := start(t)
		b.do(StoreLost{Reason: "status 503"})
		b.do(StopRequested{})
		b.advance(10 * time.Second)
		assertEqual(t, "exits", len(findIn[Exit](b.all)), 1)
		assertEqual(t, "releases", len(findIn[Resign](b.all)), 1)
		assertEqual(t, "may order", b.machine.mayOrder(), false)
	})
	t.Run("engines that don't check fencing numbers get no order in a stop", func(t *testing.T) {
		b := start(t)
		b.machine.settings.EnginesCheckFencing = false
		b.do(StoreLost{Reason: "status 503"})
		b.do(StopRequested{})
		one[Resign](b)
		assertEqual(t, "may order", b.machine.mayOrder(), false)
	})
}

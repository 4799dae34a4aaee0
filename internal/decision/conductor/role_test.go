package conductor

import (
	"testing"
	"time"

	"samphirewharf/internal/decision/reducer"
	"samphirewharf/internal/fleet/registrar"
	"samphirewharf/internal/peer/messenger"
)

// reportIdle answers the polls of the last event with the report of an idle engine.
func (b *harness) reportIdle(accepted int64, models ...registrar.LoadedModel) {
	b.t.Helper()
	for _, id := range b.machine.placement.engineIDs() {
		b.report(id, accepted, false, models...)
	}
}

func (b *harness) report(id string, accepted int64, busy bool, models ...registrar.LoadedModel) {
	b.step(ServerReported{Server: id, StartedAt: 1, SentAt: b.now, OK: true, Report: registrar.Report{
		Weights: registrar.Weights{Models: models}, Busy: busy, OrdersAccepted: accepted,
	}})
}

func (b *harness) answer(result registrar.OrderResult) {
	b.t.Helper()
	orders := findIn[SendOrder](b.all)
	if len(orders) == 0 {
		b.t.Fatal("got no order, want one")
	}
	b.step(OrderEnded{Order: orders[len(orders)-1].Order, Result: result})
}

func (b *harness) orders() []SendOrder { return findIn[SendOrder](b.all) }

func TestRole(t *testing.T) {
	t.Run("the first order waits for the takeover delay after the previous leader", func(t *testing.T) {
		b := newHarness(t)
		b.engine("e1", "a")
		b.advance(200 * time.Millisecond)
		b.step(BecomeLeaderEnded{FencingToken: 7})
		taken := b.now
		b.advance(time.Second)
		b.reportIdle(0)
		b.request(deep, "m1", "")
		for len(b.orders()) == 0 && b.now < taken+10*time.Second {
			b.advance(50 * time.Millisecond)
		}
		assertBetween(t, "first order after", b.now-taken, 3*time.Second, 3500*time.Millisecond)
		assertEqual(t, "fence", b.orders()[0].Order.FencingToken, 7)
	})
	t.Run("a new process of the same daemon gives orders without delay", func(t *testing.T) {
		b := newHarness(t)
		b.step(LeaderChanged{Leader: Leader{Name: "d1", Instance: "before", FencingToken: 5}})
		b.step(LeaderRemoved{})
		b.advance(200 * time.Millisecond)
		b.step(BecomeLeaderEnded{FencingToken: 7})
		assertEqual(t, "may order", b.machine.mayOrder(), true)
	})
	t.Run("a leader without a valid lease gives no orders", func(t *testing.T) {
		b := newHarness(t)
		b.becomeLeader()
		assertEqual(t, "may order", b.machine.mayOrder(), true)
		b.now += 3 * time.Second
		b.step(Ticked{})
		assertEqual(t, "may order", b.machine.mayOrder(), false)
	})
	t.Run("a leader continues in an outage if engines check fencing tokens", func(t *testing.T) {
		b := newHarness(t)
		b.becomeLeader()
		b.step(StoreLost{Reason: "silent"})
		b.now += 3 * time.Second
		b.step(Ticked{})
		assertEqual(t, "may order", b.machine.mayOrder(), true)
		b.machine.settings.EnginesCheckFencing = false
		assertEqual(t, "may order", b.machine.mayOrder(), false)
	})
	t.Run("a higher fencing token ends the leadership", func(t *testing.T) {
		for _, how := range []string{"seen in the store", "received from the leader", "refused by an engine"} {
			b := newHarness(t)
			b.engine("e1", "a")
			b.becomeLeader()
			b.reportIdle(0)
			switch how {
			case "seen in the store":
				b.step(LeaderChanged{Leader: Leader{Name: "d2", Instance: "x", FencingToken: 10000}})
			case "received from the leader":
				b.step(PeerReceived{Message: messenger.Message{From: "d2", Fleet: &messenger.Fleet{Fence: 10000, Sequence: 1}}})
			default:
				b.request(deep, "m1", "")
				b.advance(10 * time.Millisecond)
				b.answer(registrar.OrderFenced)
			}
			assertEqual(t, "may order, "+how, b.machine.mayOrder(), false)
		}
	})
	t.Run("a lease that has expired at the service ends the leadership", func(t *testing.T) {
		b := newHarness(t)
		b.becomeLeader()
		b.step(LeaseRenewed{SentAt: b.now, OK: true, Lost: true})
		assertEqual(t, "may order", b.machine.mayOrder(), false)
	})
	t.Run("a message of a former leader is ignored", func(t *testing.T) {
		b := newHarness(t)
		b.engine("e1", "a", heldModel("m1"))
		sendFleet := func(fence, sequence int64, models ...registrar.LoadedModel) {
			b.step(PeerReceived{Message: messenger.Message{From: "d2", Fleet: &messenger.Fleet{
				Fence: fence, Sequence: sequence, Servers: []messenger.FleetServer{{Server: "e1", StartedAt: 1, Models: models}},
			}}})
		}
		sendFleet(9, 1, heldModel("m2"))
		sendFleet(8, 5, heldModel("m3"))
		b.request(quick, "m2", "")
		one[Send](b)
	})
}

func TestRegistration(t *testing.T) {
	t.Run("a failed write of the record is retried after a delay", func(t *testing.T) {
		b := newHarness(t)
		b.step(DaemonRemoved{Name: "d1"})
		one[Register](b)
		writes := 1
		fail := func() {
			for b.step(RegisterEnded{}); len(find[Register](b)) > 0 && writes < 1000; b.step(RegisterEnded{}) {
				writes++
			}
		}
		fail()
		for end := b.now + time.Second; b.now < end; b.now += 10 * time.Millisecond {
			b.step(LeaseRenewed{SentAt: b.now, OK: true})
			if len(find[Register](b)) > 0 {
				writes++
				fail()
			}
		}
		if writes < 2 || writes > 5 {
			t.Errorf("got %d writes in a second, want from 2 to 5", writes)
		}
	})
}

func TestOrders(t *testing.T) {
	start := func(t *testing.T) *harness {
		t.Helper()
		b := newHarness(t)
		b.engine("e1", "a")
		b.becomeLeader()
		b.reportIdle(0)
		b.request(deep, "m1", "")
		b.advance(10 * time.Millisecond)
		if len(b.orders()) != 1 {
			t.Fatalf("got %d orders, want 1", len(b.orders()))
		}
		return b
	}
	t.Run("a load order carries the expected count of accepted orders", func(t *testing.T) {
		b := start(t)
		o := b.orders()[0].Order
		assertEqual(t, "order", o, registrar.Order{
			Server: "e1", Address: "e1:80", Operation: registrar.OperationLoad, Model: "m1", ExpectedOrders: 0, Leader: "d1", FencingToken: o.FencingToken,
		})
	})
	t.Run("a loading engine gets no other order, not even for an adapter", func(t *testing.T) {
		b := start(t)
		b.answer(registrar.OrderAccepted)
		b.request(deep, "m2", "")
		b.request(deep, "m1", "a1")
		b.advance(time.Second)
		assertEqual(t, "orders", len(b.orders()), 1)
	})
	t.Run("an order of unknown outcome is repeated with the same expected count, so that only one takes effect", func(t *testing.T) {
		b := start(t)
		b.answer(registrar.OrderUnknown)
		b.advance(reportLag + 10*time.Millisecond)
		assertEqual(t, "orders before the report", len(b.orders()), 1)
		b.report("e1", 0, false)
		b.advance(10 * time.Millisecond)
		orders := b.orders()
		assertEqual(t, "orders", len(orders), 2)
		assertEqual(t, "count", orders[1].Order.ExpectedOrders, 0)
	})
	t.Run("a report that may be older than the last order is ignored", func(t *testing.T) {
		b := start(t)
		b.answer(registrar.OrderAccepted)
		b.advance(100 * time.Millisecond)
		b.report("e1", 0, false)
		b.request(deep, "m2", "")
		b.advance(10 * time.Millisecond)
		assertEqual(t, "orders", len(b.orders()), 1)
	})
	t.Run("a report that may be older than the entry doesn't free a loaded model's memory", func(t *testing.T) {
		b := start(t)
		b.answer(registrar.OrderAccepted)
		b.advance(reportLag + time.Millisecond)
		e := b.machine.servers["e1"].entry
		e.Weights.Models = []registrar.LoadedModel{heldModel("m1")}
		b.change(e)
		b.report("e1", 1, false)
		b.request(deep, "m3", "")
		b.advance(50 * time.Millisecond)
		for _, o := range b.orders()[1:] {
			t.Errorf("got order %+v, want none while m1 takes up the memory", o.Order)
		}
	})
	t.Run("an entry that is older than the report of a load doesn't free the model's memory", func(t *testing.T) {
		b := start(t)
		before := b.machine.servers["e1"].entry
		b.answer(registrar.OrderAccepted)
		b.advance(7 * time.Second)
		b.report("e1", 1, false, heldModel("m1"))
		// The entry was written before the load was done and delayed on its way.
		b.change(before)
		b.request(deep, "m3", "")
		b.advance(50 * time.Millisecond)
		for _, o := range b.orders()[1:] {
			if o.Order.Operation == registrar.OperationLoad {
				t.Errorf("got order %+v, want none while m1 takes up the memory", o.Order)
			}
		}
	})
	t.Run("a model whose unload got no answer keeps its memory until the engine reports it as gone", func(t *testing.T) {
		b := newHarness(t)
		b.engine("e1", "a", heldModel("m1"), heldModel("m2"))
		b.becomeLeader()
		b.reportIdle(0, heldModel("m1"), heldModel("m2"))
		for range 60 {
			b.request(deep, "m3", "")
		}
		b.advance(20 * time.Millisecond)
		assertEqual(t, "first model to unload", b.orders()[0].Order.Model, "m1")
		b.answer(registrar.OrderUnknown)
		for range 3 {
			b.request(deep, "m1", "")
		}
		b.advance(reportLag + 10*time.Millisecond)
		b.report("e1", 0, false, heldModel("m1"), heldModel("m2"))
		b.advance(20 * time.Millisecond)
		orders := b.orders()
		assertEqual(t, "next model to unload", orders[len(orders)-1].Order.Model, "m2")
		b.answer(registrar.OrderAccepted)
		e := b.machine.servers["e1"].entry
		e.Weights.Models = []registrar.LoadedModel{heldModel("m1")}
		b.change(e)
		b.advance(50 * time.Millisecond)
		for _, o := range b.orders() {
			if o.Order.Operation == registrar.OperationLoad {
				t.Errorf("got order %+v, want none while m1 takes up the memory", o.Order)
			}
		}
	})
	t.Run("a request that finds a model missing frees no memory", func(t *testing.T) {
		b := newHarness(t)
		b.engine("e1", "a", heldModel("m1"))
		b.becomeLeader()
		b.reportIdle(0, heldModel("m1"))
		id := b.request(quick, "m1", "")
		b.end(id, 1, reducer.AttemptNotRun, CauseAbsent)
		b.request(deep, "m3", "")
		b.advance(50 * time.Millisecond)
		for _, o := range b.orders() {
			if o.Order.Operation == registrar.OperationLoad {
				t.Errorf("got order %+v, want none while m1 takes up the memory", o.Order)
			}
		}
	})
	t.Run("an engine that is busy with another leader's order gets no order", func(t *testing.T) {
		b := newHarness(t)
		b.engine("e1", "a")
		b.becomeLeader()
		b.report("e1", 3, true)
		b.request(deep, "m1", "")
		b.advance(time.Second)
		assertEqual(t, "orders", len(b.orders()), 0)
		b.report("e1", 3, false)
		b.advance(10 * time.Millisecond)
		assertEqual(t, "orders", len(b.orders()), 1)
	})
	t.Run("a refused order isn't repeated before the engine has reported its count", func(t *testing.T) {
		b := start(t)
		b.answer(registrar.OrderConflict)
		b.advance(200 * time.Millisecond)
		assertEqual(t, "orders", len(b.orders()), 1)
	})
	t.Run("a restart of the engine resets its count", func(t *testing.T) {
		b := start(t)
		b.answer(registrar.OrderAccepted)
		e := b.machine.servers["e1"].entry
		e.StartedAt = 2
		b.change(e)
		b.advance(time.Second)
		assertEqual(t, "orders", len(b.orders()), 1)
		b.step(ServerReported{Server: "e1", StartedAt: 2, SentAt: b.now, OK: true})
		b.advance(10 * time.Millisecond)
		assertEqual(t, "orders", len(b.orders()), 2)
	})
	t.Run("an adapter is loaded once and used as soon as it is loaded", func(t *testing.T) {
		b := newHarness(t)
		b.engine("e1", "a", heldModel("m1"))
		b.becomeLeader()
		b.reportIdle(0, heldModel("m1"))
		b.request(quick, "m1", "a3")
		b.advance(minPlanInterval + 5*time.Millisecond)
		b.answer(registrar.OrderAccepted)
		b.request(quick, "m1", "a3")
		b.advance(50 * time.Millisecond)
		assertEqual(t, "orders", len(b.orders()), 1)
		assertEqual(t, "sends", len(findIn[Send](b.all)), 2)
	})
	t.Run("an adapter with a pending order at one engine is not ordered at another", func(t *testing.T) {
		b := newHarness(t)
		b.engine("e1", "a", heldModel("m1"))
		b.engine("e2", "a", heldModel("m1"))
		b.becomeLeader()
		b.reportIdle(0, heldModel("m1"))
		b.request(quick, "m1", "a3")
		b.advance(5 * (planInterval + minPlanInterval))
		assertEqual(t, "orders", len(b.orders()), 1)
	})
	t.Run("adapter slots are never exceeded", func(t *testing.T) {
		b := newHarness(t)
		b.engine("e1", "a", heldModel("m1", "a1", "a2"))
		b.becomeLeader()
		b.reportIdle(0, heldModel("m1", "a1", "a2"))
		b.request(quick, "m1", "a3")
		b.advance(10 * time.Millisecond)
		o := b.orders()[0].Order
		assertEqual(t, "operation", o.Operation, registrar.OperationUnload)
		b.answer(registrar.OrderAlreadyDone)
		b.advance(10 * time.Millisecond)
		assertEqual(t, "operation", b.orders()[1].Order.Operation, registrar.OperationLoad)
		b.answer(registrar.OrderAccepted)
		b.advance(20 * time.Millisecond)
		// The entry is outdated: it has both old adapters and lacks the new one.
		b.change(b.machine.servers["e1"].entry)
		b.request(quick, "m1", "a4")
		b.advance(10 * time.Millisecond)
		assertEqual(t, "operation", b.orders()[2].Order.Operation, registrar.OperationUnload)
	})
}

func TestHolderUnknownInOutage(t *testing.T) {
	b := newHarness(t)
	b.engine("e1", "a")
	b.step(DaemonChanged{Daemon: Daemon{Name: "d2", PeerAddress: "10.0.0.2:2", Zone: "a"}})
	b.step(DaemonChanged{Daemon: Daemon{Name: "d3", PeerAddress: "10.0.0.3:2", Zone: "a"}})
	b.step(StoreLost{Reason: "silent"})
	// The leader's message is relayed by another daemon.
	b.step(PeerReceived{Message: messenger.Message{From: "d3", Fleet: &messenger.Fleet{Holder: "d2", Fence: 9, Sequence: 1}}})
	b.request(deep, "m1", "")
	b.advance(20 * time.Millisecond)
	sent := 0
	for _, e := range findIn[SendPeer](b.all) {
		if e.Message.Demand != nil {
			sent++
			assertEqual(t, "demand is sent to", e.Address, "10.0.0.2:2")
		}
	}
	if sent == 0 {
		t.Error("got no demand sent, want some to the leader")
	}
}

func TestNewHolderElsewhere(t *testing.T) {
	b := newHarness(t)
	b.engine("e1", "a", heldModel("m1"))
	b.step(LeaderChanged{Leader: Leader{Name: "d2", Instance: "x", FencingToken: 7}})
	b.step(PeerReceived{Message: messenger.Message{From: "d2", Fleet: &messenger.Fleet{Holder: "d2", Fence: 7, Sequence: 1}}})
	t.Run("a request waits for an adapter, which loads fast", func(t *testing.T) {
		id := b.request(quick, "m1", "a1")
		b.advance(10 * time.Millisecond)
		assertEqual(t, "refusals", len(b.refusals(id)), 0)
	})
	t.Run("a request doesn't wait while a new leader may not give orders yet", func(t *testing.T) {
		b.step(LeaderRemoved{})
		b.step(LeaderChanged{Leader: Leader{Name: "d3", Instance: "y", FencingToken: 8}})
		b.step(PeerReceived{Message: messenger.Message{From: "d3", Fleet: &messenger.Fleet{Holder: "d3", Fence: 8, Sequence: 1}}})
		id := b.request(quick, "m1", "a2")
		b.assertRefusedWithin(id, RefusedCold, time.Millisecond, testSettings().TakeoverDelay, testSettings().TakeoverDelay+time.Second)
	})
	t.Run("a request waits again after the takeover delay", func(t *testing.T) {
		b.advance(testSettings().TakeoverDelay + takeoverMargin)
		b.step(PeerReceived{Message: messenger.Message{From: "d3", Fleet: &messenger.Fleet{Holder: "d3", Fence: 8, Sequence: 2}}})
		id := b.request(quick, "m1", "a3")
		b.advance(10 * time.Millisecond)
		assertEqual(t, "refusals", len(b.refusals(id)), 0)
	})
}

package conductor

import (
	"testing"
	"time"

	"samphirewharf/internal/decision/elector"
	"samphirewharf/internal/decision/reducer"
	"samphirewharf/internal/fleet/registrar"
	"samphirewharf/internal/peer/messenger"
)

// reportIdle reports all engines as idle, with the same models.
func (h *harness) reportIdle(accepted int64, models ...registrar.LoadedModel) {
	h.t.Helper()
	for _, id := range h.machine.placement.engineIDs() {
		h.report(id, accepted, false, models...)
	}
}

func (h *harness) report(id string, accepted int64, busy bool, models ...registrar.LoadedModel) {
	h.step(ServerReported{Server: id, StartedAt: 1, SentAt: h.now, OK: true, Report: registrar.Report{
		Weights: registrar.Weights{Models: models}, Busy: busy, OrdersAccepted: accepted,
	}})
}

func (h *harness) answer(result registrar.OrderResult) {
	h.t.Helper()
	orders := findIn[SendOrder](h.all)
	if len(orders) == 0 {
		h.t.Fatal("got no order, want one")
	}
	h.step(OrderEnded{Order: orders[len(orders)-1].Order, Result: result})
}

func (h *harness) orders() []SendOrder { return findIn[SendOrder](h.all) }

func TestRole(t *testing.T) {
	t.Run("the first order waits for the takeover delay after the previous leader", func(t *testing.T) {
		h := newHarness(t)
		h.engine("e1", "a")
		h.advance(200 * time.Millisecond)
		h.step(BecomeLeaderEnded{FencingToken: 7})
		leaderSince := h.now
		h.advance(time.Second)
		h.reportIdle(0)
		h.request(deep, "m1", "")
		for len(h.orders()) == 0 && h.now < leaderSince+10*time.Second {
			h.advance(50 * time.Millisecond)
		}
		assertBetween(t, "first order after", h.now-leaderSince, 3*time.Second, 3500*time.Millisecond)
		assertEqual(t, "fencing token", h.orders()[0].Order.FencingToken, 7)
	})
	t.Run("a new process on the same host gives orders without delay", func(t *testing.T) {
		h := newHarness(t)
		h.step(LeaderChanged{Leader: Leader{Name: "d1", Instance: "before", FencingToken: 5}})
		h.step(LeaderRemoved{})
		h.advance(200 * time.Millisecond)
		h.step(BecomeLeaderEnded{FencingToken: 7})
		assertEqual(t, "may order", h.machine.mayOrder(), true)
	})
	t.Run("a leader without a valid lease gives no orders", func(t *testing.T) {
		h := newHarness(t)
		h.becomeLeader()
		assertEqual(t, "may order", h.machine.mayOrder(), true)
		h.now += 3 * time.Second
		h.step(Ticked{})
		assertEqual(t, "may order", h.machine.mayOrder(), false)
	})
	t.Run("a leader continues in an outage if engines check fencing tokens", func(t *testing.T) {
		h := newHarness(t)
		h.becomeLeader()
		h.step(StoreLost{Reason: "silent"})
		h.now += 3 * time.Second
		h.step(Ticked{})
		assertEqual(t, "may order", h.machine.mayOrder(), true)
		h.machine.settings.EnginesCheckFencing = false
		assertEqual(t, "may order", h.machine.mayOrder(), false)
	})
	t.Run("a higher fencing token ends the leadership", func(t *testing.T) {
		for _, how := range []string{"seen in the store", "received from the leader", "refused by an engine"} {
			h := newHarness(t)
			h.engine("e1", "a")
			h.becomeLeader()
			h.reportIdle(0)
			switch how {
			case "seen in the store":
				h.step(LeaderChanged{Leader: Leader{Name: "d2", Instance: "x", FencingToken: 10000}})
			case "received from the leader":
				h.step(PeerReceived{Message: messenger.Message{From: "d2", Fleet: &messenger.Fleet{Fence: 10000, Sequence: 1}}})
			default:
				h.request(deep, "m1", "")
				h.advance(10 * time.Millisecond)
				h.answer(registrar.OrderFenced)
			}
			assertEqual(t, "may order, "+how, h.machine.mayOrder(), false)
		}
	})
	t.Run("a lease that has expired at the store ends the leadership", func(t *testing.T) {
		h := newHarness(t)
		h.becomeLeader()
		h.step(LeaseRenewed{SentAt: h.now, OK: true, Lost: true})
		assertEqual(t, "may order", h.machine.mayOrder(), false)
	})
	t.Run("a message of a former leader is ignored", func(t *testing.T) {
		h := newHarness(t)
		h.engine("e1", "a", loadedModel("m1"))
		sendFleet := func(token, sequence int64, models ...registrar.LoadedModel) {
			h.step(PeerReceived{Message: messenger.Message{From: "d2", Fleet: &messenger.Fleet{
				Fence: token, Sequence: sequence, Servers: []messenger.FleetServer{{Server: "e1", StartedAt: 1, Models: models}},
			}}})
		}
		sendFleet(9, 1, loadedModel("m2"))
		sendFleet(8, 5, loadedModel("m3"))
		h.request(quick, "m2", "")
		one[Send](h)
	})
}

func TestRegistration(t *testing.T) {
	t.Run("a failed write of the record is retried after a delay", func(t *testing.T) {
		h := newHarness(t)
		h.step(DaemonRemoved{Name: "d1"})
		one[Register](h)
		writes := 1
		fail := func() {
			for h.step(RegisterEnded{}); len(find[Register](h)) > 0 && writes < 1000; h.step(RegisterEnded{}) {
				writes++
			}
		}
		fail()
		for end := h.now + time.Second; h.now < end; h.now += 10 * time.Millisecond {
			h.step(LeaseRenewed{SentAt: h.now, OK: true})
			if len(find[Register](h)) > 0 {
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
		h := newHarness(t)
		h.engine("e1", "a")
		h.becomeLeader()
		h.reportIdle(0)
		h.request(deep, "m1", "")
		h.advance(10 * time.Millisecond)
		if len(h.orders()) != 1 {
			t.Fatalf("got %d orders, want 1", len(h.orders()))
		}
		return h
	}
	t.Run("a load order carries the expected count of accepted orders", func(t *testing.T) {
		h := start(t)
		o := h.orders()[0].Order
		assertEqual(t, "order", o, registrar.Order{
			Server: "e1", Address: "e1:80", Operation: registrar.OperationLoad, Model: "m1", ExpectedOrders: 0, Leader: "d1", FencingToken: o.FencingToken,
		})
	})
	t.Run("a loading engine gets no other order, not even for an adapter", func(t *testing.T) {
		h := start(t)
		h.answer(registrar.OrderAccepted)
		h.request(deep, "m2", "")
		h.request(deep, "m1", "a1")
		h.advance(time.Second)
		assertEqual(t, "orders", len(h.orders()), 1)
	})
	t.Run("an order of unknown outcome is repeated with the same expected count, so that only one takes effect", func(t *testing.T) {
		h := start(t)
		h.answer(registrar.OrderUnknown)
		h.advance(reportLag + 10*time.Millisecond)
		assertEqual(t, "orders before the report", len(h.orders()), 1)
		h.report("e1", 0, false)
		h.advance(10 * time.Millisecond)
		orders := h.orders()
		assertEqual(t, "orders", len(orders), 2)
		assertEqual(t, "count", orders[1].Order.ExpectedOrders, 0)
	})
	t.Run("a report that may be older than the last order is ignored", func(t *testing.T) {
		h := start(t)
		h.answer(registrar.OrderAccepted)
		h.advance(100 * time.Millisecond)
		h.report("e1", 0, false)
		h.request(deep, "m2", "")
		h.advance(10 * time.Millisecond)
		assertEqual(t, "orders", len(h.orders()), 1)
	})
	t.Run("a report that may be older than the entry doesn't free a loaded model's memory", func(t *testing.T) {
		h := start(t)
		h.answer(registrar.OrderAccepted)
		h.advance(reportLag + time.Millisecond)
		e := h.machine.servers["e1"].entry
		e.Weights.Models = []registrar.LoadedModel{loadedModel("m1")}
		h.change(e)
		h.report("e1", 1, false)
		h.request(deep, "m3", "")
		h.advance(50 * time.Millisecond)
		for _, o := range h.orders()[1:] {
			t.Errorf("got order %+v, want none while m1 takes up the memory", o.Order)
		}
	})
	t.Run("an entry that is older than the report of a load doesn't free the model's memory", func(t *testing.T) {
		h := start(t)
		before := h.machine.servers["e1"].entry
		h.answer(registrar.OrderAccepted)
		h.advance(7 * time.Second)
		h.report("e1", 1, false, loadedModel("m1"))
		// The entry was written before the load was done and delayed on its way.
		h.change(before)
		h.request(deep, "m3", "")
		h.advance(50 * time.Millisecond)
		for _, o := range h.orders()[1:] {
			if o.Order.Operation == registrar.OperationLoad {
				t.Errorf("got order %+v, want none while m1 takes up the memory", o.Order)
			}
		}
	})
	t.Run("a model whose unload got no answer keeps its memory until the engine reports it as gone", func(t *testing.T) {
		h := newHarness(t)
		h.engine("e1", "a", loadedModel("m1"), loadedModel("m2"))
		h.becomeLeader()
		h.reportIdle(0, loadedModel("m1"), loadedModel("m2"))
		for range 60 {
			h.request(deep, "m3", "")
		}
		h.advance(20 * time.Millisecond)
		assertEqual(t, "first model to unload", h.orders()[0].Order.Model, "m1")
		h.answer(registrar.OrderUnknown)
		for range 3 {
			h.request(deep, "m1", "")
		}
		h.advance(reportLag + 10*time.Millisecond)
		h.report("e1", 0, false, loadedModel("m1"), loadedModel("m2"))
		h.advance(20 * time.Millisecond)
		orders := h.orders()
		assertEqual(t, "next model to unload", orders[len(orders)-1].Order.Model, "m2")
		h.answer(registrar.OrderAccepted)
		e := h.machine.servers["e1"].entry
		e.Weights.Models = []registrar.LoadedModel{loadedModel("m1")}
		h.change(e)
		h.advance(50 * time.Millisecond)
		for _, o := range h.orders() {
			if o.Order.Operation == registrar.OperationLoad {
				t.Errorf("got order %+v, want none while m1 takes up the memory", o.Order)
			}
		}
	})
	t.Run("a request that finds a model absent frees no memory", func(t *testing.T) {
		h := newHarness(t)
		h.engine("e1", "a", loadedModel("m1"))
		h.becomeLeader()
		h.reportIdle(0, loadedModel("m1"))
		id := h.request(quick, "m1", "")
		h.end(id, 1, reducer.AttemptNotRun, CauseAbsent)
		h.request(deep, "m3", "")
		h.advance(50 * time.Millisecond)
		for _, o := range h.orders() {
			if o.Order.Operation == registrar.OperationLoad {
				t.Errorf("got order %+v, want none while m1 takes up the memory", o.Order)
			}
		}
	})
	t.Run("an engine that is busy with another leader's order gets no order", func(t *testing.T) {
		h := newHarness(t)
		h.engine("e1", "a")
		h.becomeLeader()
		h.report("e1", 3, true)
		h.request(deep, "m1", "")
		h.advance(time.Second)
		assertEqual(t, "orders", len(h.orders()), 0)
		h.report("e1", 3, false)
		h.advance(10 * time.Millisecond)
		assertEqual(t, "orders", len(h.orders()), 1)
	})
	t.Run("a refused order isn't repeated before the engine has reported its count", func(t *testing.T) {
		h := start(t)
		h.answer(registrar.OrderConflict)
		h.advance(200 * time.Millisecond)
		assertEqual(t, "orders", len(h.orders()), 1)
	})
	t.Run("a restart of the engine resets its count", func(t *testing.T) {
		h := start(t)
		h.answer(registrar.OrderAccepted)
		e := h.machine.servers["e1"].entry
		e.StartedAt = 2
		h.change(e)
		h.advance(time.Second)
		assertEqual(t, "orders", len(h.orders()), 1)
		h.step(ServerReported{Server: "e1", StartedAt: 2, SentAt: h.now, OK: true})
		h.advance(10 * time.Millisecond)
		assertEqual(t, "orders", len(h.orders()), 2)
	})
	t.Run("an adapter is loaded once and used as soon as it is loaded", func(t *testing.T) {
		h := newHarness(t)
		h.engine("e1", "a", loadedModel("m1"))
		h.becomeLeader()
		h.reportIdle(0, loadedModel("m1"))
		h.request(quick, "m1", "a3")
		h.advance(minPlanInterval + 5*time.Millisecond)
		h.answer(registrar.OrderAccepted)
		h.request(quick, "m1", "a3")
		h.advance(50 * time.Millisecond)
		assertEqual(t, "orders", len(h.orders()), 1)
		assertEqual(t, "sends", len(findIn[Send](h.all)), 2)
	})
	t.Run("an adapter with a pending order at one engine is not ordered at another", func(t *testing.T) {
		h := newHarness(t)
		h.engine("e1", "a", loadedModel("m1"))
		h.engine("e2", "a", loadedModel("m1"))
		h.becomeLeader()
		h.reportIdle(0, loadedModel("m1"))
		h.request(quick, "m1", "a3")
		h.advance(5 * (planInterval + minPlanInterval))
		assertEqual(t, "orders", len(h.orders()), 1)
	})
	t.Run("adapter slots are never exceeded", func(t *testing.T) {
		h := newHarness(t)
		h.engine("e1", "a", loadedModel("m1", "a1", "a2"))
		h.becomeLeader()
		h.reportIdle(0, loadedModel("m1", "a1", "a2"))
		h.request(quick, "m1", "a3")
		h.advance(10 * time.Millisecond)
		o := h.orders()[0].Order
		assertEqual(t, "operation", o.Operation, registrar.OperationUnload)
		h.answer(registrar.OrderAlreadyDone)
		h.advance(10 * time.Millisecond)
		assertEqual(t, "operation", h.orders()[1].Order.Operation, registrar.OperationLoad)
		h.answer(registrar.OrderAccepted)
		h.advance(20 * time.Millisecond)
		// The entry is outdated: it has both old adapters and lacks the new one.
		h.change(h.machine.servers["e1"].entry)
		h.request(quick, "m1", "a4")
		h.advance(10 * time.Millisecond)
		assertEqual(t, "operation", h.orders()[2].Order.Operation, registrar.OperationUnload)
	})
}

func TestHolderUnknownInOutage(t *testing.T) {
	h := newHarness(t)
	h.engine("e1", "a")
	h.step(DaemonChanged{Daemon: Daemon{Name: "d2", PeerAddress: "10.0.0.2:2", Zone: "a"}})
	h.step(DaemonChanged{Daemon: Daemon{Name: "d3", PeerAddress: "10.0.0.3:2", Zone: "a"}})
	h.step(StoreLost{Reason: "silent"})
	// The leader's message is relayed by another daemon.
	h.step(PeerReceived{Message: messenger.Message{From: "d3", Fleet: &messenger.Fleet{Holder: "d2", Fence: 9, Sequence: 1}}})
	h.request(deep, "m1", "")
	h.advance(20 * time.Millisecond)
	sent := 0
	for _, e := range findIn[SendPeer](h.all) {
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
	h := newHarness(t)
	h.engine("e1", "a", loadedModel("m1"))
	h.step(LeaderChanged{Leader: Leader{Name: "d2", Instance: "x", FencingToken: 7}})
	h.step(PeerReceived{Message: messenger.Message{From: "d2", Fleet: &messenger.Fleet{Holder: "d2", Fence: 7, Sequence: 1}}})
	t.Run("a request waits for an adapter, which loads fast", func(t *testing.T) {
		id := h.request(quick, "m1", "a1")
		h.advance(10 * time.Millisecond)
		assertEqual(t, "refusals", len(h.refusals(id)), 0)
	})
	t.Run("a request doesn't wait while a new leader may not give orders yet", func(t *testing.T) {
		h.step(LeaderRemoved{})
		h.step(LeaderChanged{Leader: Leader{Name: "d3", Instance: "y", FencingToken: 8}})
		h.step(PeerReceived{Message: messenger.Message{From: "d3", Fleet: &messenger.Fleet{Holder: "d3", Fence: 8, Sequence: 1}}})
		id := h.request(quick, "m1", "a2")
		h.assertRefusedWithin(id, RefusedCold, time.Millisecond, testSettings().TakeoverDelay, testSettings().TakeoverDelay+time.Second)
	})
	t.Run("a request waits again after the takeover delay", func(t *testing.T) {
		h.advance(testSettings().TakeoverDelay + elector.Margin)
		h.step(PeerReceived{Message: messenger.Message{From: "d3", Fleet: &messenger.Fleet{Holder: "d3", Fence: 8, Sequence: 2}}})
		id := h.request(quick, "m1", "a3")
		h.advance(10 * time.Millisecond)
		assertEqual(t, "refusals", len(h.refusals(id)), 0)
	})
}

package conductor

import (
	"fmt"
	"testing"
	"time"

	"samphirewharf/internal/decision/placer"
	"samphirewharf/internal/fleet/registrar"
)

// Loads that the previous leader has started in the same window count to the weight store's ceiling.
func TestLoadsOfThePreviousLeader(t *testing.T) {
	const engines, loading = 14, 8
	newLeader := func(t *testing.T) *harness {
		t.Helper()
		h := newHarness(t)
		h.step(LeaderChanged{Leader: Leader{Name: "d2", Instance: "x", FencingToken: 7}})
		for i := range engines {
			h.engine(fmt.Sprintf("e%02d", i), "a")
		}
		h.step(LeaderRemoved{})
		h.becomeLeader()
		for i, id := range h.machine.placement.engineIDs() {
			h.report(id, 1, i < loading)
		}
		return h
	}
	budget := func(h *harness) int {
		return h.machine.loadBudget(engineService, h.machine.engineSettings(engineService))
	}
	all := int(2 * testSettings().LoadWindow.Seconds() * testSettings().LoadOverage)
	t.Run("they are in the window", func(t *testing.T) {
		h := newLeader(t)
		assertEqual(t, "loads left", budget(h), all-loading)
		assertEqual(t, "running loads", h.machine.runningWeightStoreLoads(engineService), loading)
	})
	t.Run("they leave it", func(t *testing.T) {
		h := newLeader(t)
		h.advance(testSettings().LoadWindow + time.Millisecond)
		for _, id := range h.machine.placement.engineIDs() {
			h.report(id, 1, false)
		}
		assertEqual(t, "loads left", budget(h), all)
		assertEqual(t, "running loads", h.machine.runningWeightStoreLoads(engineService), 0)
	})
}

// TestEnginesThatStayBusy guards against models that are never loaded because engines say for good that they carry out an order.
func TestEnginesThatStayBusy(t *testing.T) {
	// newLeader returns a leader of three engines, of which some are busy when it first hears of them.
	newLeader := func(t *testing.T, busy int) *harness {
		t.Helper()
		h := newHarness(t)
		for i := range 3 {
			h.engine(fmt.Sprintf("e%d", i), "a", loadedModel("m1"))
		}
		h.becomeLeader()
		for i := range 3 {
			h.report(fmt.Sprintf("e%d", i), 0, i < busy, loadedModel("m1"))
		}
		return h
	}
	// play has the engines report for a time, during which requests for m2 come. Those that accept an order are stuck with it from then on.
	// It returns the engines that were ordered to load m2.
	play := func(h *harness, duration time.Duration, stuck map[string]bool) (loads []string) {
		for end := h.now + duration; h.now < end; {
			h.request(deep, "m2", "")
			h.advance(250 * time.Millisecond)
			orders := h.orders()
			h.all = nil
			for _, o := range orders {
				if o.Order.Operation == registrar.OperationLoad && o.Order.Model == "m2" {
					loads = append(loads, o.Order.Server)
				}
				stuck[o.Order.Server] = true
				h.step(OrderEnded{Order: o.Order, Result: registrar.OrderAccepted})
			}
			h.advance(250 * time.Millisecond)
			for _, id := range h.machine.placement.engineIDs() {
				h.report(id, 0, stuck[id], loadedModel("m1"))
			}
		}
		return loads
	}
	longest := placer.LongestLoadTime(testConfiguration(t, 1).Services[engineService].Engine)
	t.Run("with orders of the leader before", func(t *testing.T) {
		h := newLeader(t, 2)
		stuck := map[string]bool{"e0": true, "e1": true}
		assertEqual(t, "loads while theirs may go on", fmt.Sprint(play(h, longest-3*time.Second, stuck)), "[]")
		assertEqual(t, "loads after that", fmt.Sprint(play(h, 10*time.Second, stuck)), "[e2]")
	})
	t.Run("with this leader's orders", func(t *testing.T) {
		h := newLeader(t, 0)
		stuck := make(map[string]bool)
		assertEqual(t, "loads while the first may go on", fmt.Sprint(play(h, longest-3*time.Second, stuck)), "[e0 e1]")
		assertEqual(t, "loads after that", fmt.Sprint(play(h, 10*time.Second, stuck)), "[e2]")
	})
}

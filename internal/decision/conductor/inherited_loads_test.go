package conductor

import (
	"fmt"
	"testing"
	"time"
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

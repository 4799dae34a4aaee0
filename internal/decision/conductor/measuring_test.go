package conductor

import (
	"math"
	"testing"
	"time"

	"samphirewharf/internal/decision/reducer"
)

func TestMeasuring(t *testing.T) {
	last := func(h *harness) UpdateGauges {
		t.Helper()
		h.advance(measureInterval)
		list := findIn[UpdateGauges](h.all)
		if len(list) == 0 {
			t.Fatal("got no gauges, want some every second")
		}
		return list[len(list)-1]
	}
	t.Run("current requests", func(t *testing.T) {
		h := newHarness(t)
		h.engine("e1", "a", loadedModel("m1"))
		id := h.request(deep, "m1", "")
		h.request(deep, "m2", "")
		got := last(h).Services[engineService]
		assertEqual(t, "running", got.Running, 1)
		assertEqual(t, "queued", got.Queued, 1)
		assertEqual(t, "slots taken", got.SlotsTaken, 1)
		assertEqual(t, "slots", got.Slots, 4)
		assertEqual(t, "token capacity", got.TokenCapacity, 100000)
		h.end(id, 1, reducer.AttemptDone, CauseNone)
		assertEqual(t, "running", last(h).Services[engineService].Running, 0)
	})
	t.Run("remaining retries", func(t *testing.T) {
		h := newHarness(t)
		h.advance(testSettings().RetryWindow)
		h.plainServer("s1", "a")
		h.plainServer("s2", "a")
		h.end(h.request(reading, "", ""), 1, reducer.AttemptDone, CauseNone)
		before := last(h).Services[plainService].RetriesLeft
		h.end(h.request(reading, "", ""), 1, reducer.AttemptFailed, CauseBroken)
		spent := before - last(h).Services[plainService].RetriesLeft
		// A request adds 0.2 to the share, of which 0.8 is usable.
		assertEqual(t, "retries spent", math.Round(100*spent), 84)
	})
	t.Run("the age of the view and the configuration", func(t *testing.T) {
		h := newHarness(t)
		got := last(h)
		assertEqual(t, "view age", got.ViewAge, 0)
		assertBetween(t, "configuration age", got.ConfigurationAge, measureInterval/2, 3*measureInterval)
		h.step(StoreLost{Reason: "silent"})
		h.advance(2 * time.Second)
		assertBetween(t, "view age", last(h).ViewAge, 2*time.Second, 3*time.Second)
	})
	t.Run("leadership", func(t *testing.T) {
		h := newHarness(t)
		assertEqual(t, "is leader", last(h).IsLeader, false)
		h = newHarness(t)
		h.becomeLeader()
		got := last(h)
		assertEqual(t, "is leader", got.IsLeader, true)
		assertEqual(t, "fleet age", got.FleetAge, 0)
	})
}

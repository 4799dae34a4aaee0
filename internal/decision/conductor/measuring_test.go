package conductor

import (
	"math"
	"testing"
	"time"

	"samphirewharf/internal/decision/reducer"
)

func TestMeasuring(t *testing.T) {
	last := func(b *harness) UpdateGauges {
		t.Helper()
		b.advance(measureInterval)
		list := findIn[UpdateGauges](b.all)
		if len(list) == 0 {
			t.Fatal("got no gauges, want some every second")
		}
		return list[len(list)-1]
	}
	t.Run("current requests", func(t *testing.T) {
		b := newHarness(t)
		b.engine("e1", "a", heldModel("m1"))
		id := b.request(deep, "m1", "")
		b.request(deep, "m2", "")
		got := last(b).Services[engineService]
		assertEqual(t, "running", got.Running, 1)
		assertEqual(t, "queued", got.Queued, 1)
		assertEqual(t, "slots taken", got.SlotsTaken, 1)
		assertEqual(t, "slots", got.Slots, 4)
		assertEqual(t, "token capacity", got.TokenCapacity, 100000)
		b.end(id, 1, reducer.AttemptDone, CauseNone)
		assertEqual(t, "running", last(b).Services[engineService].Running, 0)
	})
	t.Run("remaining retries", func(t *testing.T) {
		b := newHarness(t)
		b.plainServer("s1", "a")
		b.plainServer("s2", "a")
		b.end(b.request(reading, "", ""), 1, reducer.AttemptDone, CauseNone)
		before := last(b).Services[plainService].RetriesLeft
		b.end(b.request(reading, "", ""), 1, reducer.AttemptFailed, CauseBroken)
		spent := before - last(b).Services[plainService].RetriesLeft
		// A request adds 0.2 to the share, of which 0.8 is usable.
		assertEqual(t, "retries spent", math.Round(100*spent), 84)
	})
	t.Run("the age of the view and the configuration", func(t *testing.T) {
		b := newHarness(t)
		got := last(b)
		assertEqual(t, "view age", got.ViewAge, 0)
		assertBetween(t, "configuration age", got.ConfigurationAge, measureInterval/2, 3*measureInterval)
		b.step(StoreLost{Reason: "silent"})
		b.advance(2 * time.Second)
		assertBetween(t, "view age", last(b).ViewAge, 2*time.Second, 3*time.Second)
	})
	t.Run("leadership", func(t *testing.T) {
		b := newHarness(t)
		assertEqual(t, "is leader", last(b).IsLeader, false)
		b = newHarness(t)
		b.becomeLeader()
		got := last(b)
		assertEqual(t, "is leader", got.IsLeader, true)
		assertEqual(t, "fleet age", got.FleetAge, 0)
	})
}

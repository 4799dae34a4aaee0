package conductor

import (
	"testing"

	"samphirewharf/internal/decision/elector"
)

func TestRestoredLeader(t *testing.T) {
	self := func(h *harness) Leader {
		return Leader{Name: h.machine.settings.Self.Name, Instance: h.machine.settings.Self.Instance}
	}
	t.Run("a leader gives up the record that the copy has of it", func(t *testing.T) {
		h := newHarness(t)
		leader := self(h)
		leader.FencingToken = 60
		h.step(LeaderChanged{Leader: leader})
		h.step(LeaseRenewed{SentAt: h.now, OK: true, Lost: true})
		leader.FencingToken = restoredRevision(60)
		h.step(LeaderChanged{Leader: leader})
		assertEqual(t, "fencing token", one[Resign](h).FencingToken, leader.FencingToken)
		if h.machine.isLeader() {
			t.Error("got a leader under an ended lease, want none")
		}
	})
	t.Run("a leader that hears of its record before it loses its lease gives it up then", func(t *testing.T) {
		h := newHarness(t)
		leader := self(h)
		leader.FencingToken = 60
		h.step(LeaderChanged{Leader: leader})
		leader.FencingToken = restoredRevision(60)
		h.step(LeaderChanged{Leader: leader})
		h.step(LeaseRenewed{SentAt: h.now, OK: true, Lost: true})
		assertEqual(t, "fencing token", one[Resign](h).FencingToken, leader.FencingToken)
	})
	t.Run("a leader after the restoration waits until the lease of the one before has ended", func(t *testing.T) {
		h := newHarness(t)
		h.step(LeaderChanged{Leader: Leader{Name: "d2", Instance: "i2", FencingToken: 60}})
		h.step(LeaderRemoved{Revision: restoredRevision(40)})
		leader := self(h)
		leader.FencingToken = restoredRevision(45)
		h.step(LeaderChanged{Leader: leader})
		h.advance(h.machine.settings.TakeoverDelay + h.machine.settings.LeaseTTL)
		if h.machine.mayOrder() {
			t.Error("got orders while the lease of the leader before may last, want none")
		}
		h.advance(2 * elector.Margin)
		if !h.machine.mayOrder() {
			t.Error("got no orders, want them")
		}
	})
	t.Run("the first leader doesn't wait for a lease if the store was restored long before", func(t *testing.T) {
		h := newHarness(t)
		leader := self(h)
		leader.FencingToken = restoredRevision(45)
		h.step(LeaderChanged{Leader: leader})
		h.advance(h.machine.settings.TakeoverDelay + 2*elector.Margin)
		if !h.machine.mayOrder() {
			t.Error("got no orders, want them")
		}
	})
}

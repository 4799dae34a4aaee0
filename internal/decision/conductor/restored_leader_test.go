package conductor

import (
	"fmt"
	"testing"
	"time"

	"samphirewharf/internal/decision/elector"
	"samphirewharf/internal/fleet/sequencer"
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
	t.Run("a daemon gives up the record of an earlier leadership than its last one", func(t *testing.T) {
		h := newHarness(t)
		for _, token := range []int64{60, 70} {
			leader := self(h)
			leader.FencingToken = token
			h.step(LeaderChanged{Leader: leader})
			h.step(LeaseRenewed{SentAt: h.now, OK: true, Lost: true})
		}
		leader := self(h)
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

// Guards against a process that stands still in an attempt to become the leader, and leads by the record of an ended lease when it
// goes on.
func TestLeaseEndsDuringCampaign(t *testing.T) {
	ended := func(t *testing.T) *harness {
		t.Helper()
		h := newHarness(t)
		h.advance(200 * time.Millisecond)
		if len(findIn[BecomeLeader](h.all)) != 1 {
			t.Fatal("got no attempt to become the leader, want one")
		}
		h.step(LeaseRenewed{SentAt: h.now, OK: true, Lost: true})
		return h
	}
	t.Run("the answer comes after the end", func(t *testing.T) {
		h := ended(t)
		h.step(BecomeLeaderEnded{FencingToken: 40})
		assertEqual(t, "fencing token", one[Resign](h).FencingToken, 40)
		assertEqual(t, "is leader", h.machine.isLeader(), false)
	})
	t.Run("the record is seen before the answer", func(t *testing.T) {
		h := ended(t)
		h.step(LeaderChanged{Leader: Leader{Name: h.machine.settings.Self.Name, Instance: h.machine.settings.Self.Instance, FencingToken: 40}})
		assertEqual(t, "fencing token", one[Resign](h).FencingToken, 40)
		assertEqual(t, "is leader", h.machine.isLeader(), false)
	})
	t.Run("the next attempt succeeds", func(t *testing.T) {
		h := ended(t)
		h.step(BecomeLeaderEnded{FencingToken: 40})
		h.step(LeaderRemoved{Revision: 41})
		h.step(RegisterEnded{OK: true})
		h.all = nil
		h.advance(2 * time.Second)
		assertEqual(t, "attempts", len(findIn[BecomeLeader](h.all)), 1)
		h.step(BecomeLeaderEnded{FencingToken: 50})
		assertEqual(t, "is leader", h.machine.isLeader(), true)
	})
}

// Guards against two hosts that give orders in turn. Each case leads to the election of d1, whose host has led before, and at the
// earliest some time after its begin another host may have given its last order.
func TestHostsDontTakeTurns(t *testing.T) {
	settings := testSettings()
	elect := func(h *harness, token int64) {
		h.t.Helper()
		h.advance(200 * time.Millisecond)
		h.step(BecomeLeaderEnded{FencingToken: token})
	}
	before := Leader{Name: settings.Self.Name, Instance: "before", FencingToken: 7}
	other := Leader{Name: "d2", Instance: "i2", FencingToken: 32}
	restored := func(leader Leader, epoch int64) Leader {
		leader.FencingToken = sequencer.NewRevision(epoch, leader.FencingToken)
		return leader
	}
	for _, c := range []struct {
		name string
		play func(h *harness)
		// least is the least time from the begin to the first order, leastFenced that where engines check fencing tokens.
		least, leastFenced time.Duration
	}{
		{"a restoration brings back the record of an earlier process, after another host has led", func(h *harness) {
			h.step(LeaderChanged{Leader: before})
			h.step(LeaderRemoved{})
			h.step(LeaderChanged{Leader: other})
			h.step(LeaderChanged{Leader: restored(before, 1)})
			h.step(LeaderRemoved{})
			elect(h, sequencer.NewRevision(1, 40))
		}, settings.LeaseTTL + settings.TakeoverDelay, settings.LeaseTTL + settings.TakeoverDelay},
		{"two restorations bring it back", func(h *harness) {
			h.step(LeaderChanged{Leader: other})
			h.step(LeaderChanged{Leader: restored(before, 1)})
			h.step(LeaderChanged{Leader: restored(before, 2)})
			h.step(LeaderRemoved{})
			elect(h, sequencer.NewRevision(2, 40))
		}, settings.LeaseTTL + settings.TakeoverDelay, settings.LeaseTTL + settings.TakeoverDelay},
		{"the record of the other host is gone before the restoration is seen", func(h *harness) {
			h.step(LeaderChanged{Leader: other})
			h.step(LeaderRemoved{})
			h.step(DaemonsListed{Revision: sequencer.NewRevision(1, 30), Leader: &Leader{Name: before.Name, Instance: before.Instance, FencingToken: sequencer.NewRevision(1, 7)}})
			h.step(LeaderRemoved{})
			elect(h, sequencer.NewRevision(1, 40))
		}, settings.LeaseTTL + settings.TakeoverDelay, settings.LeaseTTL + settings.TakeoverDelay},
		{"another host may have led unseen since the record of an earlier process", func(h *harness) {
			h.step(LeaderChanged{Leader: before})
			h.step(LeaderRemoved{})
			elect(h, 40)
		}, settings.TakeoverDelay, 0},
		{"another host may have led unseen since the lease of this process ended", func(h *harness) {
			elect(h, 40)
			h.step(LeaseRenewed{SentAt: h.now, OK: true, Lost: true})
			h.step(RegisterEnded{OK: true})
			elect(h, 60)
		}, settings.TakeoverDelay, 0},
		{"the process starts after a restoration", func(h *harness) {
			h.step(ServersListed{Revision: sequencer.NewRevision(1, 39)})
			elect(h, sequencer.NewRevision(1, 40))
		}, settings.LeaseTTL + settings.TakeoverDelay, settings.TakeoverDelay},
	} {
		for _, fenced := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, engines check fencing tokens: %v", c.name, fenced), func(t *testing.T) {
				s := testSettings()
				s.EnginesCheckFencing = fenced
				h := newHarnessWith(t, s)
				begin := h.now
				c.play(h)
				least := c.least
				if fenced {
					least = c.leastFenced
				}
				for !h.machine.mayOrder() && h.now < begin+time.Minute {
					h.advance(10 * time.Millisecond)
				}
				assertBetween(t, "first order after", h.now-begin, least, least+time.Second)
			})
		}
	}
}

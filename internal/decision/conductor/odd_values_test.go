package conductor

import (
	"fmt"
	"math"
	"testing"
	"time"

	"samphirewharf/internal/fleet/registrar"
	"samphirewharf/internal/fleet/sequencer"
	"samphirewharf/internal/peer/messenger"
)

// TestOddCountsOfOrders guards against a model that is loaded nowhere since an engine whose count of orders is odd, and which so refuses
// each order, gets them all.
func TestOddCountsOfOrders(t *testing.T) {
	for _, count := range []int64{-1, 1 << 40, math.MinInt64, math.MaxInt64} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			h := newHarness(t)
			h.engine("odd", "a")
			h.engine("sound", "a")
			h.becomeLeader()
			h.report("odd", count, false)
			h.report("sound", 0, false)
			ordered := playOrders(h, 5*time.Second, registrar.OrderConflict, func() { h.report("odd", count, false) })
			assertEqual(t, "orders at the sound engine", ordered["sound"], 1)
		})
	}
}

// playOrders has requests for m2 come for a time, the odd engine answer its orders with a result, and the others accept theirs. It
// returns the number of orders by engine.
func playOrders(h *harness, duration time.Duration, result registrar.OrderResult, report func()) map[string]int {
	ordered := make(map[string]int)
	for end := h.now + duration; h.now < end; {
		h.request(deep, "m2", "")
		h.advance(250 * time.Millisecond)
		effects := h.all
		h.all = nil
		for _, o := range findIn[SendOrder](effects) {
			ordered[o.Order.Server]++
			if o.Order.Server != "odd" {
				h.step(OrderEnded{Order: o.Order, Result: registrar.OrderAccepted})
				continue
			}
			h.step(OrderEnded{Order: o.Order, Result: result})
		}
		if len(findIn[BecomeLeader](effects)) > 0 {
			h.revision++
			h.step(BecomeLeaderEnded{FencingToken: h.revision})
		}
		h.advance(250 * time.Millisecond)
		report()
	}
	return ordered
}

// TestViewOfAnEndedLeader guards against a late message of an ended leader, which a daemon that starts gets first, that outlasts the
// leader's own.
func TestViewOfAnEndedLeader(t *testing.T) {
	h := newHarness(t)
	h.engine("e1", "a", loadedModel("m1"))
	h.step(LeaderChanged{Leader: Leader{Name: "d2", Instance: "x", FencingToken: 9}})
	for _, fleet := range []messenger.Fleet{{Fence: 5, Sequence: math.MaxInt64}, {Fence: 9, Sequence: 1}} {
		model := map[int64]string{5: "m3", 9: "m2"}[fleet.Fence]
		fleet.Holder, fleet.Whole = "d2", true
		fleet.Servers = []messenger.FleetServer{{Server: "e1", StartedAt: 1, Models: []registrar.LoadedModel{loadedModel(model)}}}
		h.step(PeerReceived{Message: messenger.Message{From: "d3", Fleet: &fleet}})
	}
	for model, want := range map[string]bool{"m1": false, "m2": true, "m3": false} {
		assertEqual(t, model, h.machine.hasModel(h.machine.servers["e1"], model, ""), want)
	}
}

// TestFirstEpochs guards against a server that is lost since the first lists are of other epochs of the store, as from daemons whose view
// is older, or have none.
func TestFirstEpochs(t *testing.T) {
	for _, epochs := range [][]int64{{0, 2}, {2, 0, 2}, {2, 1, 0, 2}} {
		t.Run(fmt.Sprint(epochs), func(t *testing.T) {
			h := newHarness(t)
			e := registrar.Entry{ID: "s1", StartedAt: 1, Service: plainService, Address: "s1:80", Zone: "a", Slots: 6}
			for i, epoch := range epochs {
				e.Revision = sequencer.NewRevision(epoch, int64(200+i))
				h.step(ServersListed{Entries: []registrar.Entry{e}, Revision: e.Revision})
			}
			h.request(booking, "", "")
			assertEqual(t, "server", one[Send](h).Server, "s1")
		})
	}
}

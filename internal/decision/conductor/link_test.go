package conductor

import (
	"testing"
	"time"

	"samphirewharf/internal/decision/reducer"
)

const (
	// linkContact is how long after a host has lost its links its callers may go unserved.
	linkContact = 3 * time.Second
	// leastCutOffShare is the least share of first attempts that are served at hosts without links, relative to the others.
	leastCutOffShare = 2.0 / 3
)

// cutOff has a daemon lose its links to all engines.
func (f *virtualFleet) cutOff(i int) {
	d := f.daemons[i]
	d.cutOff = true
	for _, id := range f.serverIDs() {
		for request, a := range f.servers[id].running {
			if a.daemon == d {
				delete(f.servers[id].running, request)
				f.after(fleetPeerDelay, func() {
					f.step(d, AttemptEnded{Request: request, Attempt: a.send.Attempt, Outcome: reducer.AttemptFailed, Cause: CauseBroken, Status: 200})
				})
			}
		}
	}
}

// servedShare returns the share of the requests of a time that were served at the first attempt, at daemons without links or the
// others.
func (f *virtualFleet) servedShare(cutOff bool, from, to time.Duration) float64 {
	served, all := 0, 0
	for _, d := range f.daemons {
		for _, r := range d.requests {
			if d.wasCutOff == cutOff && !r.relayed && r.arrivedAt >= from && r.arrivedAt < to {
				all++
				served += boolToInt(r.served)
			}
		}
	}
	return float64(served) / float64(max(all, 1))
}

func TestCallersOfHostsWithoutLinksToServers(t *testing.T) {
	for _, c := range []struct {
		name    string
		daemons int
		cutOff  []int
	}{
		{"one of seven", 7, []int{3}},
		{"four of seven", 7, []int{2, 3, 4, 6}},
		{"the leader and another one", 7, []int{0, 5}},
		{"both keepers and the leader", 7, []int{0, 1}},
		{"most of a zone of 60", 60, []int{0, 3, 6, 9, 12, 15, 18, 21, 24, 27, 30, 33, 36, 39, 42}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newVirtualFleet(t, c.daemons, 18, 7)
			f.press(4*time.Second, 80, 0)
			for _, i := range c.cutOff {
				f.daemons[i].wasCutOff = true
				f.cutOff(i)
			}
			cutAt := f.now
			f.press(12*time.Second, 80, 0)
			if f.falseDowns > 0 {
				t.Errorf("got engines taken for down %d times by hosts with links, want never: all engines are up", f.falseDowns)
			}
			for _, i := range c.cutOff {
				f.daemons[i].cutOff = false
			}
			healedAt := f.now
			f.press(6*time.Second, 80, 0)
			got, others := f.servedShare(true, cutAt+linkContact, healedAt-time.Second), f.servedShare(false, cutAt+linkContact, healedAt-time.Second)
			t.Logf("served at hosts without links %.2f, at the others %.2f", got, others)
			if got < leastCutOffShare*others || others < leastBegunShare {
				t.Errorf("got a share of %.2f served at hosts without links and %.2f at others, want at least %.2f of that", got, others, leastCutOffShare)
			}
			for _, r := range f.requests {
				if r.refused == RefusedPoison && r.ended {
					t.Fatal("got a request held back, want none: no server has ended")
				}
			}
			if got := f.servedShare(true, healedAt+time.Second, f.now-time.Second); got < leastCutOffShare {
				t.Errorf("got a share of %.2f served after the links were back, want at least %.2f", got, leastCutOffShare)
			}
		})
	}
}

package conductor

import (
	"fmt"
	"testing"
	"time"
)

// listDaemons passes a list of daemons besides this one.
func (h *harness) listDaemons(count int, revision int64) {
	list := []DaemonChanged{{Daemon: h.machine.settings.Self, Revision: revision}}
	for i := range count {
		name := fmt.Sprintf("other-%d", i)
		list = append(list, DaemonChanged{Daemon: Daemon{Name: name, Instance: name, PeerAddress: name, Zone: "a"}, Revision: revision})
	}
	h.step(DaemonsListed{Daemons: list, Revision: revision})
}

// All records of daemons are gone for a moment after the store was restored or away for longer than their leases.
func TestSharesOutliveRecords(t *testing.T) {
	newShared := func(t *testing.T) *harness {
		t.Helper()
		h := newHarness(t)
		h.plainServer("s1", "a")
		h.listDaemons(9, 200)
		h.step(ServerAdvised{Server: "s1", StartedAt: 1, Advice: Advice{RateLimited: true, RateLimit: 20}})
		h.advance(time.Second)
		h.listDaemons(0, restoredRevision(100))
		return h
	}
	t.Run("a budget", func(t *testing.T) {
		assertEqual(t, "daemons", newShared(t).machine.daemonCount(), 10)
	})
	t.Run("a server's rate", func(t *testing.T) {
		h := newShared(t)
		h.advance(time.Second)
		assertEqual(t, "requests a second", h.machine.servers["s1"].rateShare.Rate(), 2)
	})
	t.Run("daemons that stay away give their shares to others", func(t *testing.T) {
		h := newShared(t)
		h.advance(daemonShareTTL + 2*time.Second)
		assertEqual(t, "daemons", h.machine.daemonCount(), 1)
		assertEqual(t, "requests a second", h.machine.servers["s1"].rateShare.Rate(), 20)
	})
	t.Run("a daemon that comes back counts once", func(t *testing.T) {
		h := newShared(t)
		h.listDaemons(9, restoredRevision(101))
		assertEqual(t, "daemons", h.machine.daemonCount(), 10)
	})
}

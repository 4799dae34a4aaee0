package conductor

import (
	"fmt"
	"testing"
	"time"

	"samphirewharf/internal/fleet/registrar"
)

// newFleetHarness returns a machine among other daemons that have more CPU, so that it is not a follower.
func newFleetHarness(t *testing.T) *harness {
	t.Helper()
	h := newHarness(t)
	for i := range 4 {
		h.step(DaemonChanged{Daemon: Daemon{
			Name: fmt.Sprintf("c%d", i), PeerAddress: fmt.Sprintf("10.0.1.%d:2", i), Zone: []string{"a", "b"}[i%2], CPUMillicores: 800,
		}})
	}
	return h
}

func (h *harness) upstream() string {
	h.t.Helper()
	if h.machine.subscriber.Upstream() == "" {
		h.t.Fatal("got no upstream, want one")
	}
	return h.machine.subscriber.Upstream()
}

func (h *harness) following() bool { return h.machine.subscriber.Following() }

func TestFollowers(t *testing.T) {
	daemons := func(n, zones int) []Daemon {
		var list []Daemon
		for i := range n {
			list = append(list, Daemon{Name: fmt.Sprintf("d%02d", i), Zone: fmt.Sprintf("z%d", i%zones), CPUMillicores: 200})
		}
		return list
	}
	for _, c := range []struct{ daemons, zones, want int }{{1, 1, 1}, {7, 3, 2}, {60, 4, 8}, {76, 4, 10}, {420, 7, 53}} {
		assertEqual(t, fmt.Sprintf("followers of %d", c.daemons), len(Followers(daemons(c.daemons, c.zones))), c.want)
	}
	t.Run("the daemons with the most CPU in different zones", func(t *testing.T) {
		list := daemons(7, 3)
		list[4].CPUMillicores = 800
		assertEqual(t, "followers", fmt.Sprint(Followers(list)), "[d00 d04]")
	})
}

func TestFeed(t *testing.T) {
	t.Run("a daemon that receives relayed updates stops watching the store", func(t *testing.T) {
		h := newFleetHarness(t)
		assertEqual(t, "following", h.following(), true)
		h.step(UpdatesReceived{From: h.upstream(), Fresh: true})
		assertEqual(t, "following", h.following(), false)
	})
	t.Run("a silent upstream makes it watch the store itself in time for configuration changes, and subscribe to another upstream", func(t *testing.T) {
		h := newFleetHarness(t)
		first := h.upstream()
		h.step(UpdatesReceived{From: first, Fresh: true})
		h.advance(1300 * time.Millisecond)
		assertEqual(t, "following", h.following(), true)
		if h.upstream() == first {
			t.Errorf("got upstream %s again, want another", first)
		}
	})
	t.Run("an upstream that is out of date makes it watch the store itself at once", func(t *testing.T) {
		h := newFleetHarness(t)
		first := h.upstream()
		h.step(UpdatesReceived{From: first, Fresh: true})
		h.step(UpdatesReceived{From: first, Fresh: false})
		assertEqual(t, "following", h.following(), true)
		if h.upstream() == first {
			t.Errorf("got upstream %s again, want another", first)
		}
	})
	t.Run("a daemon that can't reach the store either doesn't watch it, and subscribes once a second", func(t *testing.T) {
		h := newFleetHarness(t)
		first := h.upstream()
		h.step(UpdatesReceived{From: first, Fresh: true})
		h.step(StoreLost{Reason: "busy"})
		subscriptions := len(findIn[Subscribe](h.all))
		for range 10 {
			h.step(UpdatesReceived{From: h.upstream(), Fresh: false})
			h.advance(500 * time.Millisecond)
			assertEqual(t, "following", h.following(), false)
			if h.upstream() == first && h.now < 2*time.Second {
				t.Errorf("got upstream %s still after %v, want another", first, h.now)
			}
		}
		if got := len(findIn[Subscribe](h.all)) - subscriptions; got > 6 {
			t.Errorf("got %d subscriptions in 5 s, want one a second", got)
		}
	})
	t.Run("after an outage it waits a moment for its upstream before it watches the store itself", func(t *testing.T) {
		h := newFleetHarness(t)
		first := h.upstream()
		h.step(StoreLost{Reason: "busy"})
		h.step(UpdatesReceived{From: first, Fresh: false})
		h.advance(3 * time.Second)
		h.step(StoreReached{})
		assertEqual(t, "following", h.following(), false)
		h.advance(time.Second / 2)
		h.step(UpdatesReceived{From: h.upstream(), Fresh: true})
		h.advance(time.Second)
		assertEqual(t, "following", h.following(), false)
	})
	t.Run("an upstream that is up to date again is kept", func(t *testing.T) {
		h := newFleetHarness(t)
		first := h.upstream()
		h.step(StoreLost{Reason: "busy"})
		h.step(UpdatesReceived{From: first, Fresh: false})
		h.advance(time.Second)
		h.step(StoreReached{})
		for range 6 {
			h.step(UpdatesReceived{From: first, Fresh: true})
			h.advance(400 * time.Millisecond)
			assertEqual(t, "upstream", h.upstream(), first)
			assertEqual(t, "following", h.following(), false)
		}
	})
	t.Run("after an outage a daemon that watches the store goes on until it is fed", func(t *testing.T) {
		h := newFleetHarness(t)
		h.machine.followers = []string{h.machine.settings.Self.Name, "c0"}
		h.step(StoreLost{Reason: "busy"})
		h.advance(time.Second)
		assertEqual(t, "following in the outage", h.following(), true)
		h.step(StoreReached{})
		h.machine.daemonSetChanged()
		h.step(Ticked{})
		assertEqual(t, "following", h.following(), true)
		h.step(UpdatesReceived{From: h.upstream(), Fresh: true})
		assertEqual(t, "following once fed", h.following(), false)
	})
	t.Run("after an outage it watches the store if its upstream stays out of date", func(t *testing.T) {
		h := newFleetHarness(t)
		h.step(StoreLost{Reason: "busy"})
		h.advance(3 * time.Second)
		h.step(StoreReached{})
		h.advance(time.Second + 10*time.Millisecond)
		assertEqual(t, "following", h.following(), true)
	})
	t.Run("a follower that the store refuses receives updates from another one", func(t *testing.T) {
		h := newHarness(t)
		h.step(DaemonChanged{Daemon: Daemon{Name: "d2", PeerAddress: "10.0.1.2:2", Zone: "b"}})
		assertEqual(t, "upstream", h.machine.subscriber.Upstream(), "")
		h.step(StoreLost{Reason: "busy"})
		assertEqual(t, "upstream", h.upstream(), "d2")
		assertEqual(t, "subscribed to", one[Subscribe](h).Address, "10.0.1.2:2")
		h.step(UpdatesReceived{From: "d2", Fresh: true})
		// The upstream's view counts, even though this daemon can't reach the store.
		h.plainServer("s1", "a")
		h.step(ServerRemoved{ID: "s1", Revision: 1000})
		h.request(booking, "", "")
		assertEqual(t, "reason", one[Refuse](h).Reason, RefusedNoServer)
	})
	t.Run("a removal takes effect at once if only the upstream had lost the store", func(t *testing.T) {
		h := newFleetHarness(t)
		h.step(UpdatesReceived{From: h.upstream(), Fresh: true})
		h.advance(time.Second)
		h.step(UpdatesReceived{From: h.upstream(), Fresh: true})
		e := h.plainServer("s1", "a")
		h.step(UpdatesReceived{From: h.upstream(), Fresh: false})
		assertEqual(t, "following", h.following(), true)
		h.step(ServersListed{Revision: e.Revision + 1})
		h.request(booking, "", "")
		assertEqual(t, "reason", one[Refuse](h).Reason, RefusedNoServer)
	})
	t.Run("a removal is delayed if this daemon had lost the store too", func(t *testing.T) {
		h := newFleetHarness(t)
		h.step(UpdatesReceived{From: h.upstream(), Fresh: true})
		h.advance(time.Second)
		h.step(UpdatesReceived{From: h.upstream(), Fresh: true})
		e := h.plainServer("s1", "a")
		h.step(UpdatesReceived{From: h.upstream(), Fresh: false})
		h.step(StoreLost{Reason: "silent"})
		h.step(StoreReached{})
		h.step(ServersListed{Revision: e.Revision + 1})
		h.request(booking, "", "")
		one[Send](h)
	})
	t.Run("relayed updates that are older than the current view change nothing", func(t *testing.T) {
		h := newHarness(t)
		e := h.plainServer("s1", "a")
		h.step(ServersListed{Revision: e.Revision - 1})
		h.request(booking, "", "")
		one[Send](h)
		h.step(ServerRemoved{ID: "s1", Revision: e.Revision + 5})
		h.step(ServersListed{Entries: []registrar.Entry{e}, Revision: e.Revision + 1})
		h.request(booking, "", "")
		none[Send](h)
	})
}

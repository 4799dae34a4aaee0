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
	b := newHarness(t)
	for i := range 4 {
		b.step(DaemonChanged{Daemon: Daemon{
			Name: fmt.Sprintf("c%d", i), PeerAddress: fmt.Sprintf("10.0.1.%d:2", i), Zone: []string{"a", "b"}[i%2], CPUMillicores: 800,
		}})
	}
	return b
}

func (b *harness) upstream() string {
	b.t.Helper()
	if b.machine.relay.upstream == "" {
		b.t.Fatal("got no upstream, want one")
	}
	return b.machine.relay.upstream
}

func (b *harness) following() bool { return b.machine.relay.following }

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
	t.Run("a daemon that receives relayed updates stops watching the service", func(t *testing.T) {
		b := newFleetHarness(t)
		assertEqual(t, "following", b.following(), true)
		b.step(UpdatesReceived{From: b.upstream(), Fresh: true})
		assertEqual(t, "following", b.following(), false)
	})
	t.Run("a silent upstream makes it watch the service itself in time for configuration changes, and subscribe to another upstream", func(t *testing.T) {
		b := newFleetHarness(t)
		first := b.upstream()
		b.step(UpdatesReceived{From: first, Fresh: true})
		b.advance(1300 * time.Millisecond)
		assertEqual(t, "following", b.following(), true)
		if b.upstream() == first {
			t.Errorf("got upstream %s again, want another", first)
		}
	})
	t.Run("an upstream that is out of date makes it watch the service itself at once", func(t *testing.T) {
		b := newFleetHarness(t)
		first := b.upstream()
		b.step(UpdatesReceived{From: first, Fresh: true})
		b.step(UpdatesReceived{From: first, Fresh: false})
		assertEqual(t, "following", b.following(), true)
		if b.upstream() == first {
			t.Errorf("got upstream %s again, want another", first)
		}
	})
	t.Run("a follower that the service refuses receives updates from another one", func(t *testing.T) {
		b := newHarness(t)
		b.step(DaemonChanged{Daemon: Daemon{Name: "d2", PeerAddress: "10.0.1.2:2", Zone: "b"}})
		assertEqual(t, "upstream", b.machine.relay.upstream, "")
		b.step(StoreLost{Reason: "busy"})
		assertEqual(t, "upstream", b.upstream(), "d2")
		assertEqual(t, "subscribed to", one[Subscribe](b).Address, "10.0.1.2:2")
		b.step(UpdatesReceived{From: "d2", Fresh: true})
		// The upstream's view counts, even though this daemon can't reach the service.
		b.plainServer("s1", "a")
		b.step(ServerRemoved{ID: "s1", Revision: 1000})
		b.request(booking, "", "")
		assertEqual(t, "reason", one[Refuse](b).Reason, RefusedNoServer)
	})
	t.Run("a removal takes effect at once if only the upstream had lost the service", func(t *testing.T) {
		b := newFleetHarness(t)
		b.step(UpdatesReceived{From: b.upstream(), Fresh: true})
		b.advance(time.Second)
		b.step(UpdatesReceived{From: b.upstream(), Fresh: true})
		e := b.plainServer("s1", "a")
		b.step(UpdatesReceived{From: b.upstream(), Fresh: false})
		assertEqual(t, "following", b.following(), true)
		b.step(ServersListed{Revision: e.Revision + 1})
		b.request(booking, "", "")
		assertEqual(t, "reason", one[Refuse](b).Reason, RefusedNoServer)
	})
	t.Run("a removal is delayed if this daemon had lost the service too", func(t *testing.T) {
		b := newFleetHarness(t)
		b.step(UpdatesReceived{From: b.upstream(), Fresh: true})
		b.advance(time.Second)
		b.step(UpdatesReceived{From: b.upstream(), Fresh: true})
		e := b.plainServer("s1", "a")
		b.step(UpdatesReceived{From: b.upstream(), Fresh: false})
		b.step(StoreLost{Reason: "silent"})
		b.step(StoreReached{})
		b.step(ServersListed{Revision: e.Revision + 1})
		b.request(booking, "", "")
		one[Send](b)
	})
	t.Run("relayed updates that are older than the current view change nothing", func(t *testing.T) {
		b := newHarness(t)
		e := b.plainServer("s1", "a")
		b.step(ServersListed{Revision: e.Revision - 1})
		b.request(booking, "", "")
		one[Send](b)
		b.step(ServerRemoved{ID: "s1", Revision: e.Revision + 5})
		b.step(ServersListed{Entries: []registrar.Entry{e}, Revision: e.Revision + 1})
		b.request(booking, "", "")
		none[Send](b)
	})
}

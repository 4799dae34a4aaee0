package conductor

import (
	"testing"

	"samphirewharf/internal/fleet/registrar"
)

// Another daemon's view may be older than the list that this one has read: it relays entries that were removed before the list, and no
// removal follows.
func TestUpdatesOlderThanTheList(t *testing.T) {
	const listRevision = 200
	newListed := func(t *testing.T) *harness {
		t.Helper()
		h := &harness{t: t, machine: New(testSettings()), revision: 100}
		h.step(ConfigurationChanged{Configuration: testConfiguration(t, 1)})
		h.step(ServersListed{Revision: listRevision})
		h.step(DaemonsListed{Revision: listRevision})
		return h
	}
	entry := func(revision int64) registrar.Entry {
		return registrar.Entry{ID: "s1", StartedAt: 1, Service: plainService, Address: "s1:80", Zone: "a", Slots: 6, Revision: revision}
	}
	assertServers := func(t *testing.T, h *harness, want int) {
		t.Helper()
		assertEqual(t, "servers", len(h.machine.servers), want)
	}
	t.Run("a relayed change doesn't bring a removed server back", func(t *testing.T) {
		h := newListed(t)
		h.step(ServerChanged{Entry: entry(listRevision - 10)})
		assertServers(t, h, 0)
	})
	t.Run("a relayed snapshot doesn't bring it back", func(t *testing.T) {
		h := newListed(t)
		h.step(ServersListed{Entries: []registrar.Entry{entry(listRevision - 10)}, Revision: listRevision - 5})
		assertServers(t, h, 0)
	})
	t.Run("a later entry is used", func(t *testing.T) {
		h := newListed(t)
		h.step(ServerChanged{Entry: entry(listRevision + 1)})
		assertServers(t, h, 1)
	})
	t.Run("a server that the list has is used and updated", func(t *testing.T) {
		h := newListed(t)
		h.step(ServersListed{Entries: []registrar.Entry{entry(listRevision + 2)}, Revision: listRevision + 5})
		h.step(ServerChanged{Entry: entry(listRevision + 6)})
		assertServers(t, h, 1)
	})
	t.Run("an entry of a store that was restored is used", func(t *testing.T) {
		h := newListed(t)
		h.step(ServersListed{Entries: []registrar.Entry{entry(restoredRevision(90))}, Revision: restoredRevision(95)})
		assertServers(t, h, 1)
	})
	t.Run("a relayed record doesn't bring a daemon back", func(t *testing.T) {
		h := newListed(t)
		h.step(DaemonChanged{Daemon: Daemon{Name: "d9", PeerAddress: "d9", Zone: "a"}, Revision: listRevision - 10})
		assertEqual(t, "daemons", len(h.machine.daemons), 0)
	})
	t.Run("a relayed record doesn't bring a leader back", func(t *testing.T) {
		h := newListed(t)
		h.step(LeaderChanged{Leader: Leader{Name: "d9", Instance: "i9", FencingToken: listRevision - 10}})
		if leader := h.machine.election.Leader(); leader != nil {
			t.Errorf("got leader %s, want none", leader.Name)
		}
	})
}

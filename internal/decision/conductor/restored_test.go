package conductor

import (
	"testing"
	"time"

	"samphirewharf/internal/fleet/registrar"
	"samphirewharf/internal/fleet/sequencer"
)

// restoredRevision returns a revision after the store was restored.
func restoredRevision(number int64) int64 { return sequencer.NewRevision(1, number) }

// listRestored passes a list of the restored store.
func (h *harness) listRestored(number int64, entries ...registrar.Entry) {
	for i := range entries {
		entries[i].Revision = restoredRevision(entries[i].Revision)
	}
	h.step(ServersListed{Entries: entries, Revision: restoredRevision(number)})
}

func TestRestoredServers(t *testing.T) {
	newServed := func(t *testing.T) (*harness, registrar.Entry) {
		t.Helper()
		h := newHarness(t)
		h.machine.settings.EntryTTL = 3600 * time.Millisecond
		h.advance(time.Second)
		return h, h.plainServer("s1", "a")
	}
	t.Run("a server that the copy lacks is kept until it has registered again", func(t *testing.T) {
		h, entry := newServed(t)
		h.listRestored(50)
		h.request(reading, "", "")
		assertEqual(t, "server", one[Send](h).Server, entry.ID)
		h.advance(entryRecoveryTimeout + time.Second)
		h.request(reading, "", "")
		none[Send](h)
	})
	t.Run("a server that had left isn't used when the copy has its entry", func(t *testing.T) {
		h, entry := newServed(t)
		h.step(ServerRemoved{ID: entry.ID, Revision: entry.Revision + 1})
		h.listRestored(entry.Revision, entry)
		h.request(reading, "", "")
		none[Send](h)
		h.step(ServerRemoved{ID: entry.ID, Revision: restoredRevision(entry.Revision + 1)})
		h.advance(10 * time.Second)
		h.request(reading, "", "")
		none[Send](h)
	})
	t.Run("a server that was draining stays so when the copy says that it is ready", func(t *testing.T) {
		h, entry := newServed(t)
		draining := entry
		draining.State = registrar.StateDraining
		h.change(draining)
		h.listRestored(entry.Revision, entry)
		h.request(reading, "", "")
		none[Send](h)
	})
	t.Run("a server whose entry had lapsed is used once it outlives the restoration", func(t *testing.T) {
		h, entry := newServed(t)
		h.step(ServerRemoved{ID: entry.ID, Revision: entry.Revision + 1})
		h.listRestored(entry.Revision, entry)
		h.advance(h.machine.settings.EntryTTL + 2*entryExpiryMargin)
		h.request(reading, "", "")
		assertEqual(t, "server", one[Send](h).Server, entry.ID)
	})
	t.Run("a server whose entry had lapsed is used once it writes it again", func(t *testing.T) {
		h, entry := newServed(t)
		h.step(ServerRemoved{ID: entry.ID, Revision: entry.Revision + 1})
		h.listRestored(entry.Revision, entry)
		entry.Revision = restoredRevision(entry.Revision + 5)
		h.step(ServerChanged{Entry: entry})
		h.request(reading, "", "")
		assertEqual(t, "server", one[Send](h).Server, entry.ID)
	})
}

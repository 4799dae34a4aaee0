package conductor

import (
	"testing"
	"time"

	"samphirewharf/internal/decision/reducer"
	"samphirewharf/internal/fleet/registrar"
)

func TestModelsForBegunStreams(t *testing.T) {
	route := deep
	route.Resumable, route.MaxServers = true, 2
	// newMixed returns a leader with engines of two versions. Only that of v2 has the model after the one of v1 which had it has
	// ended, and a stream has begun there.
	newMixed := func(t *testing.T, adapter string) (h *harness, stream string) {
		t.Helper()
		h = newHarness(t)
		add := func(id, version string, models ...registrar.LoadedModel) registrar.Entry {
			h.revision++
			e := registrar.Entry{
				ID: id, StartedAt: 1, Service: engineService, Address: id + ":80", Zone: "a", Slots: 4, SoftwareVersion: version,
				Weights: registrar.Weights{Models: models, OnDisk: []string{"m1", "m2"}}, Revision: h.revision,
			}
			h.step(ServerChanged{Entry: e})
			return e
		}
		loaded := loadedModel("m1")
		if adapter != "" {
			loaded = loadedModel("m1", adapter)
		}
		first := add("e1", "v1", loaded)
		h.becomeLeader()
		add("e2", "v1", loadedModel("m2"))
		add("e3", "v2", loaded)
		h.advance(time.Second)
		h.report("e1", 0, false, loaded)
		h.report("e2", 0, false, loadedModel("m2"))
		h.report("e3", 0, false, loaded)
		h.machine.origins.Started(h.now, originOf(&request{RequestArrived: RequestArrived{ID: "first"}}), engineService, "v1", false)
		h.revision++
		h.step(ServerRemoved{ID: first.ID, Revision: h.revision})
		return h, "first"
	}
	takeUp := func(h *harness, origin, adapter string) reducer.RequestID {
		h.requests++
		id := reducer.RequestID(h.requests)
		h.step(RequestArrived{
			Request: id, ID: "again", Route: route, Version: 1, Service: engineService, Model: "m1", Adapter: adapter, TimeLimit: route.Timeout,
			Fingerprint: 7, Resumes: true, OriginID: origin,
		})
		return id
	}
	t.Run("a model is loaded at a server of the version that began a stream", func(t *testing.T) {
		h, origin := newMixed(t, "")
		takeUp(h, origin, "")
		none[Send](h)
		h.all = nil
		h.advance(time.Second)
		if len(h.orders()) == 0 {
			t.Fatal("got no order, want one")
		}
		order := h.orders()[0].Order
		assertEqual(t, "server", order.Server, "e2")
		assertEqual(t, "model", order.Model, "m1")
		h.answer(registrar.OrderAccepted)
		h.advance(time.Second)
		h.report("e2", 1, false, loadedModel("m1"), loadedModel("m2"))
		sends := findIn[Send](h.all)
		if len(sends) != 1 || sends[0].Server != "e2" {
			t.Errorf("got %+v, want the stream sent to e2", sends)
		}
	})
	t.Run("an adapter is loaded there too", func(t *testing.T) {
		h, origin := newMixed(t, "a1")
		h.report("e2", 0, false, loadedModel("m1"), loadedModel("m2"))
		takeUp(h, origin, "a1")
		h.all = nil
		h.advance(time.Second)
		if len(h.orders()) == 0 {
			t.Fatal("got no order, want one")
		}
		order := h.orders()[0].Order
		assertEqual(t, "server", order.Server, "e2")
		assertEqual(t, "adapter", order.Adapter, "a1")
	})
	t.Run("nothing is loaded for a version without servers, and the stream is refused at once", func(t *testing.T) {
		h, origin := newMixed(t, "")
		h.revision++
		h.step(ServerRemoved{ID: "e2", Revision: h.revision})
		takeUp(h, origin, "")
		assertEqual(t, "reason", one[Refuse](h).Reason, RefusedNoServer)
		h.all = nil
		h.advance(time.Second)
		assertEqual(t, "orders", len(h.orders()), 0)
	})
	t.Run("a model that a server of another version loads isn't waited for", func(t *testing.T) {
		h, _ := newMixed(t, "")
		r := newRequest(RequestArrived{Request: 99, Route: route, Service: engineService, Model: "m1", TimeLimit: route.Timeout}, h.now)
		r.pinned, r.softwareVersion = true, "v1"
		h.machine.placement.engines["e3"].loading = "m1"
		h.machine.placement.engines["e3"].loadEndsAt = h.now
		if got, least := h.machine.readyIn(r), time.Second; got < least {
			t.Errorf("got ready in %v, want at least %v for a load from disk", got, least)
		}
	})
}

package conductor

import (
	"testing"
	"time"

	"samphirewharf/internal/decision/reducer"
	"samphirewharf/internal/fleet/registrar"
)

// versionedEngine registers an engine of a software version.
func (h *harness) versionedEngine(id, version string, models ...registrar.LoadedModel) registrar.Entry {
	h.revision++
	e := registrar.Entry{
		ID: id, StartedAt: 1, Service: engineService, Address: id + ":80", Zone: "a", Slots: 4, SoftwareVersion: version,
		Weights: registrar.Weights{Models: models, OnDisk: []string{"m1", "m2"}}, Revision: h.revision,
	}
	h.step(ServerChanged{Entry: e})
	return e
}

// resume sends a request that takes up a stream of the model m1 which another daemon has begun.
func (h *harness) resume() reducer.RequestID {
	route := deep
	route.Resumable, route.MaxServers = true, 2
	h.requests++
	id := reducer.RequestID(h.requests)
	h.step(RequestArrived{
		Request: id, ID: "again", Route: route, Version: 1, Service: engineService, Model: "m1", TimeLimit: route.Timeout,
		Fingerprint: uint64(id), Resumes: true, OriginID: "first",
	})
	return id
}

// assertSentOnlyTo checks that a request was sent, and to no server but one.
func (h *harness) assertSentOnlyTo(id reducer.RequestID, server string) {
	h.t.Helper()
	sends := 0
	for _, s := range findIn[Send](h.all) {
		if s.Request == id {
			sends++
			assertEqual(h.t, "server", s.Server, server)
		}
	}
	if sends == 0 {
		h.t.Error("got a request that was not sent, want it sent to " + server)
	}
}

// Guards against a resumption that is bound to no version while its service has one, and is sent to a server of the next version.
func TestResumptionsKeepTheirVersion(t *testing.T) {
	t.Run("while they wait for a model", func(t *testing.T) {
		h := newHarness(t)
		h.versionedEngine("e1", "v1", loadedModel("m2"))
		h.becomeLeader()
		h.report("e1", 0, false, loadedModel("m2"))
		id := h.resume()
		h.versionedEngine("e2", "v2", loadedModel("m1"))
		h.report("e2", 0, false, loadedModel("m1"))
		h.advance(500 * time.Millisecond)
		h.answer(registrar.OrderAccepted)
		h.advance(time.Second)
		h.report("e1", 1, false, loadedModel("m1"), loadedModel("m2"))
		h.assertSentOnlyTo(id, "e1")
	})
	t.Run("while they wait for a slot", func(t *testing.T) {
		h := newHarness(t)
		h.versionedEngine("e1", "v1", loadedModel("m1"))
		var running []reducer.RequestID
		for range 4 {
			running = append(running, h.request(deep, "m1", ""))
		}
		id := h.resume()
		h.versionedEngine("e2", "v2", loadedModel("m1"))
		h.advance(500 * time.Millisecond)
		h.end(running[0], 1, reducer.AttemptDone, CauseNone)
		h.assertSentOnlyTo(id, "e1")
	})
	t.Run("when they are sent again", func(t *testing.T) {
		h := newHarness(t)
		h.versionedEngine("e1", "v1", loadedModel("m1"))
		id := h.resume()
		h.versionedEngine("e2", "v2", loadedModel("m1"))
		h.end(id, 1, reducer.AttemptFailed, CauseInvalid)
		h.advance(500 * time.Millisecond)
		h.assertSentOnlyTo(id, "e1")
	})
	t.Run("when their version leaves, and are refused then", func(t *testing.T) {
		h := newHarness(t)
		h.versionedEngine("e1", "v1", loadedModel("m2"))
		id := h.resume()
		h.versionedEngine("e2", "v2", loadedModel("m1"))
		h.revision++
		h.step(ServerRemoved{ID: "e1", Revision: h.revision})
		h.advance(500 * time.Millisecond)
		if len(h.refusals(id)) != 1 {
			t.Errorf("got %d refusals, want 1", len(h.refusals(id)))
		}
		none[Send](h)
	})
}

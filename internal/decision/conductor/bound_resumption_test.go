package conductor

import (
	"slices"
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
	t.Run("and count as the demand of any while there is one, so that forecasts hold for them", func(t *testing.T) {
		h := newHarness(t)
		h.versionedEngine("e1", "v1", loadedModel("m2"))
		h.resume()
		pinned := func() []bool {
			var list []bool
			for _, d := range h.machine.ownDemand().Models {
				if d.Waiting > 0 {
					list = append(list, d.Pinned)
				}
			}
			return list
		}
		if got := pinned(); !slices.Equal(got, []bool{false}) {
			t.Errorf("got pinned demand %v for one version, want none", got)
		}
		h.versionedEngine("e2", "v2")
		if got := pinned(); !slices.Equal(got, []bool{true}) {
			t.Errorf("got pinned demand %v for two versions, want one", got)
		}
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

// Guards against a stream that another daemon has begun in this one's place and that goes on at another version, since the version isn't
// passed on between daemons.
func TestDelegatedStreamsKeepTheirVersion(t *testing.T) {
	route := deep
	route.Resumable, route.MaxServers = true, 2
	// newDelegating returns a daemon without links that has passed a stream on to d2.
	newDelegating := func(t *testing.T) (h *harness, id reducer.RequestID) {
		t.Helper()
		h = newHarness(t)
		h.step(DaemonChanged{Daemon: Daemon{Name: "d2", Instance: "i2", CallerAddress: "d2:1", PeerAddress: "d2:2", Zone: "a"}})
		h.versionedEngine("e1", "v1", loadedModel("m1"))
		h.versionedEngine("e2", "v2", loadedModel("m1"))
		h.machine.link.down = true
		id = h.request(route, "m1", "")
		assertEqual(t, "sent to a daemon", one[Send](h).ToDaemon, true)
		return h, id
	}
	for _, version := range []string{"v1", "v2"} {
		t.Run("after "+version+" has begun it at another daemon", func(t *testing.T) {
			h, id := newDelegating(t)
			h.step(AttemptStarted{Request: id, Attempt: 1, Origin: Origin{SoftwareVersion: version, Known: true}})
			h.machine.link.down = false
			h.all = nil
			h.end(id, 1, reducer.AttemptFailed, CauseInvalid)
			h.assertSentOnlyTo(id, map[string]string{"v1": "e1", "v2": "e2"}[version])
		})
	}
	t.Run("after a daemon of an earlier build has begun it, whose answer doesn't tell the version", func(t *testing.T) {
		h, id := newDelegating(t)
		h.step(AttemptStarted{Request: id, Attempt: 1})
		h.machine.link.down = false
		h.end(id, 1, reducer.AttemptFailed, CauseInvalid)
		none[Send](h)
		asked := 0
		for _, e := range find[SendPeer](h) {
			if e.Message.Origins != nil {
				asked += len(e.Message.Origins.Asked)
			}
		}
		if asked == 0 {
			t.Error("got no question for the version, want one")
		}
	})
	t.Run("the daemon that it is passed on to is told the version", func(t *testing.T) {
		h := newHarness(t)
		h.step(DaemonChanged{Daemon: Daemon{Name: "d2", Instance: "i2", CallerAddress: "d2:1", PeerAddress: "d2:2", Zone: "a"}})
		h.versionedEngine("e1", "v1", loadedModel("m1"))
		id := h.request(route, "m1", "")
		h.step(AttemptStarted{Request: id, Attempt: 1, Origin: Origin{SoftwareVersion: "v1", Known: true}})
		h.machine.link.down = true
		h.end(id, 1, reducer.AttemptFailed, CauseInvalid)
		assertEqual(t, "origin", one[Send](h).Origin, Origin{SoftwareVersion: "v1", Known: true})
	})
	t.Run("and sends it to no other version", func(t *testing.T) {
		h := newHarness(t)
		h.versionedEngine("e2", "v2", loadedModel("m1"))
		h.step(RequestArrived{
			Request: 1, ID: "again", Route: route, Version: 1, Service: engineService, Model: "m1", TimeLimit: route.Timeout,
			Resumes: true, OriginID: "first", Delegated: true, Origin: Origin{SoftwareVersion: "v1", Known: true},
		})
		none[Send](h)
		assertEqual(t, "reason", one[Refuse](h).Reason, RefusedNoServer)
	})
}

package conductor

import (
	"testing"
	"time"

	"samphirewharf/internal/decision/reducer"
	"samphirewharf/internal/decision/stopper"
	"samphirewharf/internal/fleet/registrar"
	"samphirewharf/internal/peer/messenger"
)

func TestServers(t *testing.T) {
	usable := func(h *harness) bool {
		h.request(booking, "", "")
		return len(find[Send](h)) == 1
	}
	t.Run("a draining server gets no more requests, even if its entry becomes ready again", func(t *testing.T) {
		h := newHarness(t)
		e := h.plainServer("s1", "a")
		e.State = registrar.StateDraining
		h.change(e)
		assertEqual(t, "usable", usable(h), false)
		e.State = registrar.StateReady
		h.change(e)
		assertEqual(t, "usable", usable(h), false)
		e.StartedAt++
		h.change(e)
		assertEqual(t, "usable after a restart", usable(h), true)
	})
	t.Run("a removed server gets no more requests", func(t *testing.T) {
		h := newHarness(t)
		h.plainServer("s1", "a")
		h.step(ServerRemoved{ID: "s1", Revision: 1000})
		assertEqual(t, "usable", usable(h), false)
	})
	t.Run("a server whose entry expired in an outage is used for two more seconds", func(t *testing.T) {
		h := newHarness(t)
		h.plainServer("s1", "a")
		h.step(StoreLost{})
		h.step(ServerRemoved{ID: "s1", Revision: 1000})
		assertEqual(t, "usable in the outage", usable(h), true)
		h.step(StoreReached{})
		h.advance(2 * time.Second)
		assertEqual(t, "usable at first", usable(h), true)
		h.advance(500 * time.Millisecond)
		assertEqual(t, "usable later", usable(h), false)
	})
	t.Run("an entry that is registered again then stays", func(t *testing.T) {
		h := newHarness(t)
		e := h.plainServer("s1", "a")
		h.step(StoreLost{})
		h.step(StoreReached{})
		h.step(ServersListed{})
		h.change(e)
		h.advance(5 * time.Second)
		assertEqual(t, "usable", usable(h), true)
	})
	t.Run("an entry of an earlier incarnation is ignored", func(t *testing.T) {
		h := newHarness(t)
		e := h.plainServer("s1", "a")
		e.StartedAt = 5
		h.change(e)
		old := e
		old.StartedAt, old.State = 4, registrar.StateDraining
		h.change(old)
		assertEqual(t, "usable", usable(h), true)
	})
	t.Run("a server whose connection broke is avoided while others work", func(t *testing.T) {
		h := newHarness(t)
		h.plainServer("s1", "a")
		h.plainServer("s2", "b")
		id := h.request(reading, "", "")
		h.end(id, 1, reducer.AttemptFailed, CauseBroken)
		h.end(id, 2, reducer.AttemptDone, CauseNone)
		for range 4 {
			h.request(booking, "", "")
			assertEqual(t, "server", one[Send](h).Server, "s2")
		}
	})
}

func TestCrashes(t *testing.T) {
	// crash breaks a request's connection to a server and then removes the server.
	crash := func(h *harness, id string, fingerprint uint64) {
		e := h.plainServer(id, "a")
		h.requests++
		request := reducer.RequestID(h.requests)
		h.step(RequestArrived{Request: request, Route: booking, Service: plainService, TimeLimit: booking.Timeout, Fingerprint: fingerprint})
		h.end(request, 1, reducer.AttemptFailed, CauseBroken)
		h.step(ServerRemoved{ID: e.ID, Revision: 1000})
	}
	arrive := func(h *harness, fingerprint uint64) {
		h.requests++
		h.step(RequestArrived{
			Request: reducer.RequestID(h.requests), Route: booking, Service: plainService, TimeLimit: booking.Timeout, Fingerprint: fingerprint,
		})
	}
	t.Run("a request that crashed three servers is refused as not run", func(t *testing.T) {
		h := newHarness(t)
		for _, id := range []string{"s1", "s2", "s3"} {
			crash(h, id, 99)
		}
		h.plainServer("s4", "a")
		arrive(h, 99)
		refuse := one[Refuse](h)
		assertEqual(t, "reason", refuse.Reason, RefusedPoison)
		assertEqual(t, "may have run", refuse.MayHaveRun, false)
		arrive(h, 98)
		one[Send](h)
	})
	t.Run("other daemons' crash counts are used too", func(t *testing.T) {
		h := newHarness(t)
		h.plainServer("s1", "a")
		h.step(PeerReceived{Message: messenger.Message{From: "d2", Fleet: &messenger.Fleet{
			Fence: 1, Sequence: 1, Suspects: []messenger.Suspect{{Fingerprint: 99, Crashes: 3}},
		}}})
		arrive(h, 99)
		assertEqual(t, "reason", one[Refuse](h).Reason, RefusedPoison)
	})
	t.Run("a server whose entry lapses after its connection broke counts as crashed", func(t *testing.T) {
		h := newHarness(t)
		h.machine.settings.EntryTTL = 3600 * time.Millisecond
		for _, id := range []string{"s1", "s2", "s3"} {
			e := h.plainServer(id, "a")
			arrive(h, 99)
			h.end(reducer.RequestID(h.requests), 1, reducer.AttemptFailed, CauseBroken)
			h.advance(h.machine.settings.EntryTTL)
			h.step(ServerRemoved{ID: e.ID, Revision: 1000})
		}
		h.plainServer("s4", "a")
		arrive(h, 99)
		assertEqual(t, "reason", one[Refuse](h).Reason, RefusedPoison)
	})
	t.Run("crashes that daemons have seen at the same time add up", func(t *testing.T) {
		h := newHarness(t)
		crash(h, "s1", 99)
		own := h.machine.suspects(h.machine.crashes.attributor.Traits())
		other := func(id string) []messenger.Suspect {
			d := newHarness(t)
			crash(d, id, 99)
			return d.machine.suspects(d.machine.crashes.attributor.Traits())
		}
		for i, suspects := range [][]messenger.Suspect{other("s2"), own, other("s2"), other("s3")} {
			h.plainServer("s4", "a")
			arrive(h, 99)
			one[Send](h)
			h.end(reducer.RequestID(h.requests), 1, reducer.AttemptFailed, CauseError)
			h.step(PeerReceived{Message: messenger.Message{From: "d2", Fleet: &messenger.Fleet{Fence: 1, Sequence: int64(i) + 1, Suspects: suspects}}})
		}
		arrive(h, 99)
		assertEqual(t, "reason", one[Refuse](h).Reason, RefusedPoison)
	})
	t.Run("evidence is reported repeatedly to the keepers, and again to new ones", func(t *testing.T) {
		h := newHarness(t)
		h.engine("e1", "a")
		reported := func(address string) int {
			suspects := 0
			for _, e := range findIn[SendPeer](h.all) {
				if e.Address == address && e.Message.Evidence != nil && !e.Message.Evidence.Broadcast {
					suspects += len(e.Message.Evidence.Suspects)
				}
			}
			return suspects
		}
		join := func(name string, revision int64) {
			h.step(DaemonChanged{Daemon: Daemon{Name: name, Instance: name, PeerAddress: name + ":2", Zone: "a", CPUMillicores: 1000}, Revision: revision})
		}
		join("d2", 201)
		crash(h, "s1", 99)
		h.advance(2 * time.Second)
		assertEqual(t, "reports to the keeper", reported("d2:2"), evidenceRepetitions)
		h.all = nil
		join("d3", 202)
		h.advance(2 * time.Second)
		assertEqual(t, "reports to the new keeper", reported("d3:2"), evidenceRepetitions)
	})
	t.Run("the end of a server that was leaving doesn't count as a crash", func(t *testing.T) {
		h := newHarness(t)
		for _, id := range []string{"s1", "s2", "s3"} {
			e := h.plainServer(id, "a")
			arrive(h, 99)
			e.State = registrar.StateDraining
			h.change(e)
			h.end(reducer.RequestID(h.requests), 1, reducer.AttemptFailed, CauseBroken)
			h.step(ServerRemoved{ID: e.ID, Revision: 1000})
		}
		h.plainServer("s4", "a")
		arrive(h, 99)
		one[Send](h)
	})
	t.Run("broken connections of servers that stay up don't count as crashes", func(t *testing.T) {
		h := newHarness(t)
		h.plainServer("s1", "a")
		for range 5 {
			h.advance(5 * time.Second)
			arrive(h, 99)
			h.end(reducer.RequestID(h.requests), 1, reducer.AttemptFailed, CauseBroken)
		}
		h.advance(5 * time.Second)
		arrive(h, 99)
		one[Send](h)
	})
}

func TestPlannedStop(t *testing.T) {
	t.Run("the address is withdrawn at once, and the process exits when callers' copies have expired", func(t *testing.T) {
		h := newHarness(t)
		h.step(DaemonChanged{Daemon: Daemon{Name: "d2", CallerAddress: "10.0.0.2:1", Zone: "a"}})
		h.plainServer("s1", "a")
		h.step(StopRequested{})
		published := one[PublishDaemons](h)
		assertEqual(t, "ready", published.Ready, false)
		assertEqual(t, "daemons", len(published.Daemons), 1)
		assertEqual(t, "keep alive", one[SetKeepAlive](h).KeepAlive, false)
		one[RevokeLease](h)
		h.request(booking, "", "")
		one[Send](h)
		h.end(reducer.RequestID(h.requests), 1, reducer.AttemptDone, CauseNone)
		h.advance(5 * time.Second)
		assertEqual(t, "exits", len(findIn[Exit](h.all)), 0)
		h.advance(2500 * time.Millisecond)
		assertEqual(t, "exits", len(findIn[Exit](h.all)), 1)
	})
	t.Run("a stream that could not end in time is refused", func(t *testing.T) {
		h := newHarness(t)
		h.engine("e1", "a", loadedModel("m1"))
		h.step(StopRequested{})
		h.request(quick, "m1", "")
		one[Send](h)
		h.advance(3 * time.Second)
		h.request(quick, "m1", "")
		assertEqual(t, "reason", one[Refuse](h).Reason, RefusedStopping)
	})
	// Guards against a read that a stopping daemon accepted 7.4 s after the signal and could not complete before its
	// exit (docs/incidents/2026-12-04-request-cut-at-exit.md).
	t.Run("no request is accepted that might not end before the process exits", func(t *testing.T) {
		h := newHarness(t)
		h.plainServer("s1", "a")
		h.step(StopRequested{})
		for h.now < testSettings().StopTimeout {
			id := h.request(reading, "", "")
			if len(find[Send](h)) == 0 {
				refuse := one[Refuse](h)
				assertEqual(t, "reason", refuse.Reason, RefusedStopping)
				assertEqual(t, "may have run", refuse.MayHaveRun, false)
			} else if end := h.now + reading.Timeout; end > testSettings().StopTimeout-stopper.ExitMargin {
				t.Fatalf("got a request that may last until %v, want it refused as the process exits before", end)
			} else {
				h.end(id, 1, reducer.AttemptDone, CauseNone)
			}
			h.advance(100 * time.Millisecond)
		}
	})
	// Guards against a stream that waits for its model until its daemon exits.
	t.Run("no request is queued at a stopping daemon", func(t *testing.T) {
		h := newHarness(t)
		h.becomeLeader()
		e := h.engine("e1", "a")
		e.Weights.OnDisk = []string{"m1"}
		h.change(e)
		h.request(deep, "m1", "")
		none[Refuse](h)
		h.step(StopRequested{})
		assertEqual(t, "reason", one[Refuse](h).Reason, RefusedStopping)
		h.request(deep, "m1", "")
		assertEqual(t, "reason", one[Refuse](h).Reason, RefusedStopping)
	})
	t.Run("the leadership is given up first", func(t *testing.T) {
		h := newHarness(t)
		h.becomeLeader()
		fencingToken := h.machine.election.Leader().FencingToken
		h.step(StopRequested{})
		assertEqual(t, "fencing token", one[Resign](h).FencingToken, fencingToken)
		assertEqual(t, "may order", h.machine.mayOrder(), false)
	})
}

func TestAddresses(t *testing.T) {
	daemons := []Daemon{{Name: "1", CallerAddress: "a1", Zone: "a"}, {Name: "2", CallerAddress: "a2", Zone: "a"}, {Name: "3", CallerAddress: "b1", Zone: "b"}}
	for _, c := range []struct {
		zone string
		want int
	}{{"a", 2}, {"b", 2}, {"c", 3}} {
		got := Addresses(daemons, c.zone)
		assertEqual(t, "addresses in zone "+c.zone, len(got), c.want)
	}
	assertEqual(t, "first address", Addresses(daemons, "b")[0], "b1")
	assertEqual(t, "addresses of none", len(Addresses(nil, "a")), 0)
}

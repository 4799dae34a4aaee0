package conductor

import (
	"testing"
	"time"

	"samphirewharf/internal/decision/reducer"
	"samphirewharf/internal/fleet/registrar"
	"samphirewharf/internal/peer/messenger"
)

func TestServers(t *testing.T) {
	usable := func(b *harness) bool {
		b.request(booking, "", "")
		return len(find[Send](b)) == 1
	}
	t.Run("a draining server gets no more requests, even if its entry becomes ready again", func(t *testing.T) {
		b := newHarness(t)
		e := b.plainServer("s1", "a")
		e.State = registrar.StateDraining
		b.change(e)
		assertEqual(t, "usable", usable(b), false)
		e.State = registrar.StateReady
		b.change(e)
		assertEqual(t, "usable", usable(b), false)
		e.StartedAt++
		b.change(e)
		assertEqual(t, "usable after a restart", usable(b), true)
	})
	t.Run("a removed server gets no more requests", func(t *testing.T) {
		b := newHarness(t)
		b.plainServer("s1", "a")
		b.step(ServerRemoved{ID: "s1", Revision: 1000})
		assertEqual(t, "usable", usable(b), false)
	})
	t.Run("a server whose entry expired in an outage is used for two more seconds", func(t *testing.T) {
		b := newHarness(t)
		b.plainServer("s1", "a")
		b.step(StoreLost{})
		b.step(ServerRemoved{ID: "s1", Revision: 1000})
		assertEqual(t, "usable in the outage", usable(b), true)
		b.step(StoreReached{})
		b.advance(2 * time.Second)
		assertEqual(t, "usable at first", usable(b), true)
		b.advance(500 * time.Millisecond)
		assertEqual(t, "usable later", usable(b), false)
	})
	t.Run("an entry that is registered again then stays", func(t *testing.T) {
		b := newHarness(t)
		e := b.plainServer("s1", "a")
		b.step(StoreLost{})
		b.step(StoreReached{})
		b.step(ServersListed{})
		b.change(e)
		b.advance(5 * time.Second)
		assertEqual(t, "usable", usable(b), true)
	})
	t.Run("an entry of an earlier incarnation is ignored", func(t *testing.T) {
		b := newHarness(t)
		e := b.plainServer("s1", "a")
		e.StartedAt = 5
		b.change(e)
		old := e
		old.StartedAt, old.State = 4, registrar.StateDraining
		b.change(old)
		assertEqual(t, "usable", usable(b), true)
	})
	t.Run("a server whose connection broke is avoided while others work", func(t *testing.T) {
		b := newHarness(t)
		b.plainServer("s1", "a")
		b.plainServer("s2", "b")
		id := b.request(reading, "", "")
		b.end(id, 1, reducer.AttemptFailed, CauseBroken)
		b.end(id, 2, reducer.AttemptDone, CauseNone)
		for range 4 {
			b.request(booking, "", "")
			assertEqual(t, "server", one[Send](b).Server, "s2")
		}
	})
}

func TestCrashes(t *testing.T) {
	// crash breaks a request's connection to a server and then removes the server.
	crash := func(b *harness, id string, fingerprint uint64) {
		e := b.plainServer(id, "a")
		b.requests++
		request := reducer.RequestID(b.requests)
		b.step(RequestArrived{Request: request, Route: booking, Service: plainService, TimeLimit: booking.Timeout, Fingerprint: fingerprint})
		b.end(request, 1, reducer.AttemptFailed, CauseBroken)
		b.step(ServerRemoved{ID: e.ID, Revision: 1000})
	}
	arrive := func(b *harness, fingerprint uint64) {
		b.requests++
		b.step(RequestArrived{
			Request: reducer.RequestID(b.requests), Route: booking, Service: plainService, TimeLimit: booking.Timeout, Fingerprint: fingerprint,
		})
	}
	t.Run("a request that crashed three servers is refused as not run", func(t *testing.T) {
		b := newHarness(t)
		for _, id := range []string{"s1", "s2", "s3"} {
			crash(b, id, 99)
		}
		b.plainServer("s4", "a")
		arrive(b, 99)
		refuse := one[Refuse](b)
		assertEqual(t, "reason", refuse.Reason, RefusedPoison)
		assertEqual(t, "may have run", refuse.MayHaveRun, false)
		arrive(b, 98)
		one[Send](b)
	})
	t.Run("other daemons' crash counts are used too", func(t *testing.T) {
		b := newHarness(t)
		b.plainServer("s1", "a")
		b.step(PeerReceived{Message: messenger.Message{From: "d2", Fleet: &messenger.Fleet{
			Fence: 1, Sequence: 1, Suspects: []messenger.Suspect{{Fingerprint: 99, Crashes: 3}},
		}}})
		arrive(b, 99)
		assertEqual(t, "reason", one[Refuse](b).Reason, RefusedPoison)
	})
	t.Run("broken connections of servers that stay up don't count as crashes", func(t *testing.T) {
		b := newHarness(t)
		b.plainServer("s1", "a")
		for range 5 {
			b.advance(5 * time.Second)
			arrive(b, 99)
			b.end(reducer.RequestID(b.requests), 1, reducer.AttemptFailed, CauseBroken)
		}
		b.advance(5 * time.Second)
		arrive(b, 99)
		one[Send](b)
	})
}

func TestPlannedStop(t *testing.T) {
	t.Run("the address is withdrawn at once, and the process exits when callers' copies have expired", func(t *testing.T) {
		b := newHarness(t)
		b.step(DaemonChanged{Daemon: Daemon{Name: "d2", CallerAddress: "10.0.0.2:1", Zone: "a"}})
		b.plainServer("s1", "a")
		b.step(StopRequested{})
		published := one[PublishDaemons](b)
		assertEqual(t, "ready", published.Ready, false)
		assertEqual(t, "daemons", len(published.Daemons), 1)
		assertEqual(t, "keep alive", one[SetKeepAlive](b).KeepAlive, false)
		one[RevokeLease](b)
		b.request(booking, "", "")
		one[Send](b)
		b.end(reducer.RequestID(b.requests), 1, reducer.AttemptDone, CauseNone)
		b.advance(5 * time.Second)
		assertEqual(t, "exits", len(findIn[Exit](b.all)), 0)
		b.advance(2500 * time.Millisecond)
		assertEqual(t, "exits", len(findIn[Exit](b.all)), 1)
	})
	t.Run("a stream that could not end in time is refused", func(t *testing.T) {
		b := newHarness(t)
		b.engine("e1", "a", heldModel("m1"))
		b.step(StopRequested{})
		b.request(quick, "m1", "")
		one[Send](b)
		b.advance(3 * time.Second)
		b.request(quick, "m1", "")
		assertEqual(t, "reason", one[Refuse](b).Reason, RefusedStopping)
	})
	// Guards against a read that a stopping daemon accepted 7.4 s after the signal and could not complete before its
	// exit (docs/incidents/2026-12-04-request-cut-at-exit.md).
	t.Run("no request is accepted that might not end before the process exits", func(t *testing.T) {
		b := newHarness(t)
		b.plainServer("s1", "a")
		b.step(StopRequested{})
		for b.now < testSettings().StopTimeout {
			id := b.request(reading, "", "")
			if len(find[Send](b)) == 0 {
				refuse := one[Refuse](b)
				assertEqual(t, "reason", refuse.Reason, RefusedStopping)
				assertEqual(t, "may have run", refuse.MayHaveRun, false)
			} else if end := b.now + reading.Timeout; end > testSettings().StopTimeout-stopExitMargin {
				t.Fatalf("got a request that may last until %v, want it refused as the process exits before", end)
			} else {
				b.end(id, 1, reducer.AttemptDone, CauseNone)
			}
			b.advance(100 * time.Millisecond)
		}
	})
	// Guards against a stream that waits for its model until its daemon exits.
	t.Run("no request is queued at a stopping daemon", func(t *testing.T) {
		b := newHarness(t)
		b.becomeLeader()
		e := b.engine("e1", "a")
		e.Weights.OnDisk = []string{"m1"}
		b.change(e)
		b.request(deep, "m1", "")
		none[Refuse](b)
		b.step(StopRequested{})
		assertEqual(t, "reason", one[Refuse](b).Reason, RefusedStopping)
		b.request(deep, "m1", "")
		assertEqual(t, "reason", one[Refuse](b).Reason, RefusedStopping)
	})
	t.Run("the leadership is given up first", func(t *testing.T) {
		b := newHarness(t)
		b.becomeLeader()
		fence := b.machine.election.leader.FencingToken
		b.step(StopRequested{})
		assertEqual(t, "fencing token", one[Resign](b).FencingToken, fence)
		assertEqual(t, "may order", b.machine.mayOrder(), false)
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

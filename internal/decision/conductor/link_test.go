package conductor

import (
	"testing"
	"time"

	"samphirewharf/internal/decision/attributor"
	"samphirewharf/internal/decision/reducer"
	"samphirewharf/internal/peer/messenger"
)

const (
	// linkContact is how long after a host has lost its links its callers may go unserved.
	linkContact = 3 * time.Second
	// leastCutOffShare is the least share of first attempts that are served at hosts without links, relative to the others.
	leastCutOffShare = 2.0 / 3
)

// cutOff has a daemon lose its links to all engines.
func (f *virtualFleet) cutOff(i int) {
	d := f.daemons[i]
	d.cutOff = true
	for _, id := range f.serverIDs() {
		for request, a := range f.servers[id].running {
			if a.daemon == d {
				delete(f.servers[id].running, request)
				f.after(fleetPeerDelay, func() {
					f.step(d, AttemptEnded{Request: request, Attempt: a.send.Attempt, Outcome: reducer.AttemptFailed, Cause: CauseBroken, Status: 200})
				})
			}
		}
	}
}

// servedShare returns the share of the requests of a time that were served at the first attempt, at daemons without links or the
// others.
func (f *virtualFleet) servedShare(cutOff bool, from, to time.Duration) float64 {
	served, all := 0, 0
	for _, d := range f.daemons {
		for _, r := range d.requests {
			if d.wasCutOff == cutOff && r.from == nil && r.arrivedAt >= from && r.arrivedAt < to {
				all++
				served += boolToInt(r.served)
			}
		}
	}
	return float64(served) / float64(max(all, 1))
}

// delegated plays a request that a daemon has another one serve.
func (f *virtualFleet) delegated(d *virtualDaemon, e Send) {
	for _, other := range f.daemons {
		if other.machine == nil || other.down || other.machine.settings.Self.CallerAddress != e.Address {
			continue
		}
		f.after(fleetPeerDelay, func() {
			request := f.requests[e.Request]
			f.attempts++
			id := reducer.RequestID(f.attempts)
			r := &virtualRequest{poison: request.poison, crashing: request.crashing, arrivedAt: f.now, from: request, fromDaemon: d, fromAttempt: e}
			f.requests[id] = r
			other.requests = append(other.requests, r)
			arrived := request.event
			arrived.Request, arrived.TimeLimit, arrived.Delegated, arrived.Origin = id, e.RemainingTime, true, e.Origin
			f.step(other, arrived)
		})
		return
	}
	f.after(fleetConnectDelay, func() {
		f.step(d, AttemptEnded{Request: e.Request, Attempt: e.Attempt, Outcome: reducer.AttemptNotSent, Cause: CauseConnect})
	})
}

// started records the start of an answer, also at the daemon that has delegated the request.
func (f *virtualFleet) started(r *virtualRequest) {
	r.served = true
	if r.from != nil {
		f.after(fleetPeerDelay, func() {
			r.from.served = true
			f.step(r.fromDaemon, AttemptStarted{Request: r.fromAttempt.Request, Attempt: r.fromAttempt.Attempt})
		})
	}
}

// ended records the end of an answer.
func (f *virtualFleet) ended(r *virtualRequest) {
	r.ended = true
	if r.from != nil {
		f.after(fleetPeerDelay, func() {
			r.from.ended = true
			f.step(r.fromDaemon, AttemptEnded{Request: r.fromAttempt.Request, Attempt: r.fromAttempt.Attempt, Outcome: reducer.AttemptDone, Status: 200})
		})
	}
}

// delegationRefused passes a refusal back. One for lack of links has the request delegated again.
func (f *virtualFleet) delegationRefused(r *virtualRequest, e Refuse) {
	ended := AttemptEnded{Request: r.fromAttempt.Request, Attempt: r.fromAttempt.Attempt, Outcome: reducer.AttemptDone, Status: 503}
	if e.Reason == RefusedLink || e.Reason == RefusedStopping {
		ended.Outcome, ended.Status = reducer.AttemptNotRun, 0
	}
	f.step(r.fromDaemon, ended)
}

// register writes a daemon's record.
func (f *virtualFleet) register(d *virtualDaemon, e Register) {
	f.revision++
	f.after(fleetConnectDelay, func() { f.step(d, RegisterEnded{OK: true}) })
	f.tell(DaemonChanged{Daemon: e.Daemon, Revision: f.revision})
}

func TestCallersOfHostsWithoutLinksToServers(t *testing.T) {
	for _, c := range []struct {
		name    string
		daemons int
		cutOff  []int
	}{
		{"one of seven", 7, []int{3}},
		{"four of seven", 7, []int{2, 3, 4, 6}},
		{"the leader and another one", 7, []int{0, 5}},
		{"both keepers and the leader", 7, []int{0, 1}},
		{"most of a zone of 60", 60, []int{0, 3, 6, 9, 12, 15, 18, 21, 24, 27, 30, 33, 36, 39, 42}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newVirtualFleet(t, c.daemons, 18, 7)
			f.press(4*time.Second, 80, 0)
			for _, i := range c.cutOff {
				f.daemons[i].wasCutOff = true
				f.cutOff(i)
			}
			cutAt := f.now
			f.press(12*time.Second, 80, 0)
			if f.falseDowns > 0 {
				t.Errorf("got engines taken for down %d times by hosts with links, want never: all engines are up", f.falseDowns)
			}
			for _, i := range c.cutOff {
				f.daemons[i].cutOff = false
			}
			healedAt := f.now
			f.press(6*time.Second, 80, 0)
			got, others := f.servedShare(true, cutAt+linkContact, healedAt-time.Second), f.servedShare(false, cutAt+linkContact, healedAt-time.Second)
			t.Logf("served at hosts without links %.2f, at the others %.2f", got, others)
			if got < leastCutOffShare*others || others < leastBegunShare {
				t.Errorf("got a share of %.2f served at hosts without links and %.2f at others, want at least %.2f of that", got, others, leastCutOffShare)
			}
			for _, r := range f.requests {
				if r.refused == RefusedPoison && r.ended {
					t.Fatal("got a request held back, want none: no server has ended")
				}
			}
			if got := f.servedShare(true, healedAt+time.Second, f.now-time.Second); got < leastCutOffShare {
				t.Errorf("got a share of %.2f served after the links were back, want at least %.2f", got, leastCutOffShare)
			}
		})
	}
}

// isDown reports whether a server counts as down.
func (h *harness) isDown(id string) bool { return h.machine.servers[id].downUntil > h.machine.now }

func TestUnreachableServers(t *testing.T) {
	newLeader := func(t *testing.T) *harness {
		t.Helper()
		h := newHarness(t)
		h.engine("e1", "a", loadedModel("m1"))
		h.engine("e2", "a", loadedModel("m1"))
		h.becomeLeader()
		h.reportIdle(0, loadedModel("m1"))
		return h
	}
	reportDown := func(h *harness) {
		h.step(PeerReceived{Message: messenger.Message{From: "d2", Demand: &messenger.Demand{
			Absences: []messenger.Absence{{Server: "e1", StartedAt: h.machine.servers["e1"].entry.StartedAt}},
		}}})
	}
	t.Run("the leader polls an engine that another daemon can't reach, and uses it if it answers", func(t *testing.T) {
		h := newLeader(t)
		reportDown(h)
		assertEqual(t, "polled engine", one[PollServer](h).Server, "e1")
		h.report("e1", 0, false, loadedModel("m1"))
		none[CheckServer](h)
		assertEqual(t, "down", h.isDown("e1"), false)
	})
	t.Run("the leader takes an engine for down that it can't reach either while it reaches others", func(t *testing.T) {
		h := newLeader(t)
		reportDown(h)
		h.step(ServerReported{Server: "e1", SentAt: h.machine.now, Refused: true})
		assertEqual(t, "down before the check", h.isDown("e1"), false)
		h.step(ServerChecked{Server: one[CheckServer](h).Server, OK: true})
		assertEqual(t, "down", h.isDown("e1"), true)
	})
	t.Run("a leader that reaches no server gives up the role", func(t *testing.T) {
		h := newLeader(t)
		id := h.request(quick, "m1", "")
		h.end(id, 1, reducer.AttemptNotSent, CauseConnect)
		h.step(ServerChecked{Server: one[CheckServer](h).Server})
		one[Resign](h)
		assertEqual(t, "leader", h.machine.isLeader(), false)
		assertEqual(t, "down", h.isDown("e1") || h.isDown("e2"), false)
		assertEqual(t, "record says that the link is down", one[Register](h).Daemon.LinkDown, true)
	})
	t.Run("a request is refused at once if neither this daemon nor another one has a link", func(t *testing.T) {
		h := newLeader(t)
		id := h.request(quick, "m1", "")
		h.end(id, 1, reducer.AttemptNotSent, CauseConnect)
		h.step(ServerChecked{Server: one[CheckServer](h).Server})
		h.request(quick, "m1", "")
		none[Send](h)
		refused := one[Refuse](h)
		assertEqual(t, "reason", refused.Reason, RefusedLink)
		assertEqual(t, "may have run", refused.MayHaveRun, false)
		assertBetween(t, "retry after", refused.RetryAfter, linkRetryDelay, linkRetryDelay)
	})
	t.Run("a server that is silent for a connection doesn't count as crashed", func(t *testing.T) {
		h := newLeader(t)
		for _, timedOut := range []bool{true, false} {
			id := h.request(quick, "m1", "")
			server := one[Send](h).Server
			h.step(AttemptEnded{Request: id, Attempt: 1, Outcome: reducer.AttemptFailed, Cause: CauseBroken})
			h.step(ServerChecked{Server: one[CheckServer](h).Server, OK: true})
			h.step(ServerReported{Server: server})
			h.machine.serverUnreachable(h.machine.servers[server], timedOut)
			h.step(ServerChecked{Server: otherEngine(server), OK: true})
			e, _ := h.machine.crashes.attributor.Evidence(attributor.Trait{Kind: attributor.KindRequest, Hash: uint64(id)})
			assertEqual(t, "crashes counted", len(e.Crashes), boolToInt(!timedOut))
			h.advance(10 * time.Second)
		}
	})
}

func otherEngine(id string) string {
	if id == "e1" {
		return "e2"
	}
	return "e1"
}

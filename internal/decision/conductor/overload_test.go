package conductor

import (
	"slices"
	"testing"
	"time"

	"samphirewharf/internal/decision/reducer"
	"samphirewharf/internal/fleet/matcher"
)

const (
	// queuedRunTime is how long an engine that queues takes for a request.
	queuedRunTime = 500 * time.Millisecond
	// leastOverloadShare is the least share of what overloaded engines have room for that is served.
	leastOverloadShare = 0.85
)

// queued plays a request at an engine that runs as many requests as it has slots and queues the others.
func (f *virtualFleet) queued(d *virtualDaemon, e Send, s *virtualServer) {
	a := virtualAttempt{daemon: d, send: e}
	s.queue = append(s.queue, a)
	f.runQueued(s)
	if e.FirstTimeout > 0 {
		f.after(e.FirstTimeout, func() { f.firstTimeout(s, a) })
	}
}

func (f *virtualFleet) runQueued(s *virtualServer) {
	for len(s.running) < s.entry.Slots && len(s.queue) > 0 {
		a := s.queue[0]
		s.queue = s.queue[1:]
		s.running[a.send.Request] = a
		request := f.requests[a.send.Request]
		f.started(request)
		f.step(a.daemon, AttemptStarted{Request: a.send.Request, Attempt: a.send.Attempt})
		f.after(queuedRunTime, func() {
			delete(s.running, a.send.Request)
			request.ended = true
			f.step(a.daemon, AttemptEnded{Request: a.send.Request, Attempt: a.send.Attempt, Outcome: reducer.AttemptDone, Latency: queuedRunTime, Status: 200})
			f.runQueued(s)
		})
	}
}

// firstTimeout reports an attempt that an engine hasn't begun yet.
func (f *virtualFleet) firstTimeout(s *virtualServer, a virtualAttempt) {
	waits := func(other virtualAttempt) bool {
		return other.send.Request == a.send.Request && other.send.Attempt == a.send.Attempt
	}
	if slices.ContainsFunc(s.queue, waits) {
		f.step(a.daemon, AttemptSilent{Request: a.send.Request, Attempt: a.send.Attempt})
		f.after(a.send.FirstTimeout, func() { f.firstTimeout(s, a) })
	}
}

// abandoned takes an attempt out of the queue of its engine.
func (f *virtualFleet) abandoned(d *virtualDaemon, e Abandon) {
	for _, s := range f.servers {
		s.queue = slices.DeleteFunc(s.queue, func(a virtualAttempt) bool { return a.send.Request == e.Request && a.send.Attempt == e.Attempt })
	}
	if f.abandonedSends == nil {
		f.abandonedSends = make(map[attemptOf]bool)
	}
	f.abandonedSends[attemptOf{e.Request, e.Attempt}] = true
	f.step(d, AttemptEnded{Request: e.Request, Attempt: e.Attempt, Outcome: reducer.AttemptFailed, Cause: CauseTimeout})
}

// unqueue takes a cancelled attempt out of the queue of its engine.
func (f *virtualFleet) unqueue(e Cancel) {
	for _, s := range f.servers {
		s.queue = slices.DeleteFunc(s.queue, func(a virtualAttempt) bool { return a.send.Request == e.Request && a.send.Attempt == e.Attempt })
	}
}

func TestOverloadedServersAreNotTakenForFailed(t *testing.T) {
	for _, attempts := range []int{1, 2} {
		for seed := range uint64(4) {
			f := newVirtualFleet(t, 3, 0, seed)
			f.slots, f.queues = 2, true
			for range 6 {
				f.startServer()
			}
			f.run(time.Second)
			f.route = quick
			f.route.MaxServers, f.route.Timeout, f.route.LatencyObjective = attempts, 2500*time.Millisecond, 100*time.Millisecond
			f.route.Kind = matcher.KindStream
			f.press(10*time.Second, 60, 0)
			f.run(3 * time.Second)
			failed, served := 0, 0
			for _, r := range f.requests {
				failed += boolToInt(r.mayHaveRun && r.refused != RefusedTimeout)
				served += boolToInt(r.served)
			}
			t.Logf("%d attempts: %d of %d served, %d said to have failed at a server", attempts, served, len(f.requests), failed)
			if failed > 0 {
				t.Errorf("got %d of %d requests refused as failed at a server, want none: no server has failed", failed, len(f.requests))
			}
			if want := leastOverloadShare * 6 * 2 * 10 / queuedRunTime.Seconds(); float64(served) < want {
				t.Errorf("got %d requests served, want at least %.0f", served, want)
			}
		}
	}
}

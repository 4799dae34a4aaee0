package conductor

import (
	"slices"
	"testing"
	"time"

	"samphirewharf/internal/decision/reducer"
	"samphirewharf/internal/fleet/matcher"
)

// An invalidPlay is a fleet some of whose engines give invalid answers: at once, or after a time in which events were passed on.
type invalidPlay struct {
	*virtualFleet

	share, perSecond float64
	delay            time.Duration
	bad              map[string]bool
	// inRow counts the invalid answers in a row by daemon and engine, tried holds the engines that got each request.
	inRow             map[[2]string]int
	tried             map[reducer.RequestID][]string
	badSends, repeats []time.Duration
	// again counts sends of a request to the same engine, unrepeatable those of requests that can't be repeated to an engine whose last
	// two answers to the daemon were invalid, although a sound one had room.
	again, unrepeatable int
}

// answer counts a send and plays the answer if it is invalid.
func (p *invalidPlay) answer(d *virtualDaemon, e Send, s *virtualServer) bool {
	p.again += boolToInt(slices.Contains(p.tried[e.Request], e.Server))
	p.tried[e.Request] = append(p.tried[e.Request], e.Server)
	if len(p.tried[e.Request]) > 1 {
		p.repeats = append(p.repeats, p.now)
	}
	if !p.bad[e.Server] {
		return false
	}
	p.badSends = append(p.badSends, p.now)
	seen := [2]string{d.machine.settings.Self.Name, e.Server}
	soundRoom := slices.ContainsFunc(p.serverIDs(), func(id string) bool { return !p.bad[id] && len(p.servers[id].running) < s.entry.Slots })
	p.unrepeatable += boolToInt(!p.requests[e.Request].event.Route.Repeatable() && p.inRow[seen] > 1 && p.share > 0 && soundRoom)
	if p.rng.Float64() >= p.share {
		p.inRow[seen] = 0
		return false
	}
	if p.delay > 0 {
		p.after(fleetFirstEvent, func() { p.step(d, AttemptStarted{Request: e.Request, Attempt: e.Attempt}) })
	}
	p.after(max(p.delay, fleetConnectDelay), func() {
		p.inRow[seen]++
		p.step(d, AttemptEnded{Request: e.Request, Attempt: e.Attempt, Outcome: reducer.AttemptFailed, Cause: CauseInvalid, Status: 200})
	})
	return true
}

// press sends requests, half of which may be repeated, and returns how many there were, failed at an engine, and were refused.
func (p *invalidPlay) press(duration time.Duration) (all, failed, refused int) {
	began := p.now
	for at := time.Duration(0); at < duration; at += time.Duration(p.rng.ExpFloat64() / p.perSecond * float64(time.Second)) {
		p.after(at, func() {
			p.route = []matcher.Route{quick, deep}[p.rng.IntN(2)]
			p.arrive(firstPart, uint64(100+p.rng.IntN(40)))
		})
	}
	p.run(duration)
	for _, r := range p.requests {
		if r.arrivedAt >= began && r.from == nil {
			all++
			failed += boolToInt(r.mayHaveRun)
			refused += boolToInt(r.ended && !r.served && !r.mayHaveRun)
		}
	}
	return all, failed, refused
}

// rateOf returns how many of the times a second are in a period.
func rateOf(times []time.Duration, from, period time.Duration) (n float64) {
	for _, at := range times {
		n += float64(boolToInt(at >= from && at < from+period)) / period.Seconds()
	}
	return n
}

// TestInvalidAnswers guards against engines whose invalid answers come at once, so that they look like the best, and against engines
// that are left out long after they are sound again.
func TestInvalidAnswers(t *testing.T) {
	for _, c := range []struct {
		name                  string
		daemons, servers, bad int
		share                 float64
		delay                 time.Duration
		perSecond             float64
		// mostFailed is the most that may fail or be refused after the first seconds, as a share of all.
		mostFailed float64
	}{
		{"one of 18, light load", 7, 18, 1, 1, 0, 20, 0.01},
		{"one of 18, heavy load", 7, 18, 1, 1, 0, 75, 0.01},
		{"a third, light load", 7, 18, 6, 1, 0, 20, 0.015},
		{"a third, as much load as the others take", 7, 18, 6, 1, 0, 60, 0.01},
		{"a third, after some events", 7, 18, 6, 1, 400 * time.Millisecond, 40, 0.01},
		{"a third, half of their answers", 7, 18, 6, 0.5, 0, 40, 0.03},
		{"a third, sixty daemons", 60, 60, 20, 1, 0, 180, 0.02},
		{"half, two in a hundred answers", 7, 18, 9, 0.02, 0, 60, 0.01},
		{"all", 7, 18, 18, 1, 0, 40, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := &invalidPlay{virtualFleet: newVirtualFleet(t, c.daemons, 0, 5), perSecond: c.perSecond, bad: make(map[string]bool), inRow: make(map[[2]string]int), tried: make(map[reducer.RequestID][]string)}
			p.slots, p.answers = 8, p.answer
			for i := range c.servers {
				p.bad[p.startVersion("v1").entry.ID] = i < c.bad
			}
			p.run(time.Second)
			p.press(10 * time.Second)
			p.share, p.delay, p.repeats = c.share, c.delay, nil
			_, early, _ := p.press(6 * time.Second)
			known := p.now
			all, failed, refused := p.press(14 * time.Second)
			ended, fair := p.now, c.perSecond*float64(c.bad)/float64(c.servers)
			p.share = 0
			p.press(15 * time.Second)
			got, usedAfter := rateOf(p.badSends, known, ended-known), time.Duration(0)
			for usedAfter < 13*time.Second && rateOf(p.badSends, ended+usedAfter, 2*time.Second) < fair/2 {
				usedAfter += 500 * time.Millisecond
			}
			budget, repeats := testSettings(), 0.0
			for at := known - 6*time.Second; at < p.now; at += time.Second / 2 {
				repeats = max(repeats, rateOf(p.repeats, at, budget.RetryWindow)*budget.RetryWindow.Seconds())
			}
			allowed := budget.RetryRatio*c.perSecond*budget.RetryWindow.Seconds() + budget.RetrySlack
			t.Logf("%d failed at first; then %d of %d failed, %d refused; %.1f requests/s at the bad engines, %.1f fair; %.0f repeats of %.0f; %d again, %d unrepeatable; used again after %v",
				early, failed, all, refused, got, fair, repeats, allowed, p.again, p.unrepeatable, usedAfter)
			if p.again > 0 || p.unrepeatable > 0 || repeats > allowed {
				t.Errorf("got %d requests sent to an engine again, %d that can't be repeated sent to one known to be bad, %.0f repeats, want no such requests and at most %.0f", p.again, p.unrepeatable, repeats, allowed)
			}
			if share := float64(failed+refused) / float64(all); share > c.mostFailed {
				t.Errorf("got a share of %.3f failed or refused, want at most %.3f", share, c.mostFailed)
			}
			if usedAfter > 10*time.Second {
				t.Errorf("got the engines used again %v after their last invalid answers, want at most 10s", usedAfter)
			}
			if c.share < 0.1 && got < 0.85*fair || c.share == 1 && c.bad < c.servers && got > 0.1*c.perSecond {
				t.Errorf("got %.1f requests/s at the bad engines of %.1f", got, c.perSecond)
			}
		})
	}
}

// TestOnlyServerWithInvalidAnswers guards against requests that fail one by one at the only server, and against a server that never gets
// one again.
func TestOnlyServerWithInvalidAnswers(t *testing.T) {
	h := newHarness(t)
	h.engine("e1", "a", loadedModel("m1"))
	for range 3 {
		h.advance(5 * time.Second)
		id := h.request(deep, "m1", "")
		one[Send](h)
		h.end(id, 1, reducer.AttemptFailed, CauseInvalid)
	}
	h.request(deep, "m1", "")
	refuse := one[Refuse](h)
	assertEqual(t, "may have run", refuse.MayHaveRun, false)
	assertBetween(t, "retry delay", refuse.RetryAfter, time.Second, 3*time.Second)
	h.advance(refuse.RetryAfter)
	probe := h.request(deep, "m1", "")
	one[Send](h)
	h.request(quick, "m1", "")
	none[Send](h)
	h.end(probe, 1, reducer.AttemptDone, CauseNone)
	for range 3 {
		h.request(deep, "m1", "")
		one[Send](h)
	}
}

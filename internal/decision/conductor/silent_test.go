package conductor

import (
	"fmt"
	"testing"
	"time"

	"samphirewharf/internal/decision/reducer"
)

// silentWhile plays what is sent to an engine that is silent until a time. It returns false if the request may go on.
func (f *virtualFleet) silentWhile(d *virtualDaemon, e Send, s *virtualServer) bool {
	if f.now >= s.silentUntil {
		return false
	}
	ended := AttemptEnded{Request: e.Request, Attempt: e.Attempt, Outcome: reducer.AttemptFailed, Cause: CauseTimeout}
	wait := e.FirstTimeout
	if s.refusesNew {
		ended.Outcome, ended.Cause, ended.TimedOut = reducer.AttemptNotSent, CauseConnect, true
		wait = e.ConnectTimeout
	}
	switch rest := s.silentUntil - f.now; {
	case wait > 0 && wait < rest && !s.refusesNew:
		f.after(wait, func() { f.step(d, AttemptSilent{Request: e.Request, Attempt: e.Attempt}) })
		f.after(rest, func() {
			if !f.abandonedSends[attemptOf{e.Request, e.Attempt}] {
				f.sent(d, e)
			}
		})
	case wait > 0 && wait < rest:
		f.after(wait, func() { f.step(d, ended) })
	default:
		f.after(rest, func() { f.sent(d, e) })
	}
	return true
}

func TestServersSilentForASecond(t *testing.T) {
	for _, c := range []struct {
		name       string
		refusesNew bool
	}{{"to requests on open connections", false}, {"to new connections", true}} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(4) {
				f := newVirtualFleet(t, 7, 18, seed)
				f.press(3*time.Second, 60, 0)
				for i, id := range f.serverIDs()[:8] {
					s := f.servers[id]
					f.after(time.Duration(i)*600*time.Millisecond, func() {
						s.silentUntil, s.refusesNew = f.now+1300*time.Millisecond, c.refusesNew
					})
				}
				f.press(10*time.Second, 60, 0)
				f.assertNothingConcluded(t, fmt.Sprintf("seed %d", seed))
			}
		})
	}
}

// assertNothingConcluded checks that all requests were served and that nothing is held against them.
func (f *virtualFleet) assertNothingConcluded(t *testing.T, seed string) {
	t.Helper()
	for _, d := range f.daemons {
		for _, r := range d.requests {
			if r.ended && !r.served {
				t.Errorf("%s: got a request refused for reason %v, want all served", seed, r.refused)
				return
			}
		}
		for _, trait := range d.machine.crashes.attributor.Traits() {
			if e, _ := d.machine.crashes.attributor.Evidence(trait); len(e.Crashes) > 0 {
				t.Errorf("%s: got a crash counted, want none: no engine has ended", seed)
				return
			}
		}
		if d.machine.link.down {
			t.Errorf("%s: got the link of %s down, want it sound", seed, d.machine.settings.Self.Name)
		}
	}
}

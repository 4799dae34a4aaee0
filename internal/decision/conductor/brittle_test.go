package conductor

import (
	"slices"
	"testing"
	"time"

	"samphirewharf/internal/decision/reducer"
)

// reject has an engine without a free slot turn a request away. A brittle one that does so too often falls over.
func (f *virtualFleet) reject(d *virtualDaemon, e Send, s *virtualServer) {
	s.rejections = slices.DeleteFunc(append(s.rejections, f.now), func(at time.Duration) bool { return at < f.now-time.Second })
	f.after(fleetConnectDelay, func() {
		f.step(d, AttemptEnded{Request: e.Request, Attempt: e.Attempt, Outcome: reducer.AttemptNotRun, Cause: CauseFull, Status: 503})
	})
	if float64(len(s.rejections)) > f.brittle {
		f.crash(s)
	}
}

func TestBrittleServersUnderLoad(t *testing.T) {
	for _, c := range []struct {
		name             string
		daemons, servers int
		slots            int
		brittle          float64
		perSecond        float64
	}{
		{"seven daemons, load beyond the slots", 7, 18, 8, 4, 160},
		{"seven daemons, few rejections borne", 7, 18, 8, 1, 160},
		{"sixty daemons, few slots", 60, 30, 8, 4, 300},
		{"seven daemons, load within the slots", 7, 18, 32, 4, 100},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newVirtualFleet(t, c.daemons, 0, 7)
			f.slots = c.slots
			for range c.servers {
				f.startServer()
			}
			f.run(time.Second)
			f.press(6*time.Second, c.perSecond, 0)
			calm := f.servedShare(false, 3*time.Second, f.now)
			f.brittle = c.brittle
			known := f.now + linkContact
			f.press(linkContact, c.perSecond, 0)
			f.crashes = nil
			f.press(10*time.Second, c.perSecond, 0)
			got, brittle := len(f.crashes), f.servedShare(false, known, f.now-2*time.Second)
			t.Logf("%d of %d engines fell over, %.2f served, %.2f before", got, c.servers, brittle, calm)
			if want := 2 + c.servers/10; got > want {
				t.Errorf("got %d engines that fell over, want at most %d", got, want)
			}
			capacity := float64(c.servers*c.slots) / meanRunTime.Seconds() / c.perSecond
			if want := leastBrittleShare * calm * min(capacity, 1); brittle < want {
				t.Errorf("got a share of %.2f served, want at least %.2f", brittle, want)
			}
		})
	}
}

const (
	// leastBrittleShare is the least share of requests served by brittle engines, relative to what they have room for.
	leastBrittleShare = 0.8
	// meanRunTime is the mean time that a request takes up a slot of a virtualServer.
	meanRunTime = fleetFirstEvent + 1450*time.Millisecond
)

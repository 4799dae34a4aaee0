package conductor

import (
	"fmt"
	"testing"
	"time"
)

// leastWentOn is the least share of streams that go on at the version that began them.
const leastWentOn = 0.9

// killAll ends all daemons at once. Their streams' callers take them up after a second, when the daemons have started again.
func (f *virtualFleet) killAll() { f.killShare(1) }

// killShare ends a share of the daemons at once. It lets callers of streams that have begun take them up a second later.
func (f *virtualFleet) killShare(share float64) {
	var cut []*virtualStream
	for i, d := range f.daemons {
		if float64(i) >= share*float64(len(f.daemons)) {
			break
		}
		for _, r := range d.requests {
			if r.stream != nil && !r.ended && r.stream.origin != "" {
				cut = append(cut, r.stream)
			}
		}
		d.requests = nil
		f.kill(i, 300*time.Millisecond)
	}
	for _, s := range cut {
		f.after(time.Second, func() {
			s.takenUpAt = f.now
			f.send(s)
		})
	}
}

// assertWentOn checks that streams that were taken up after daemons had been killed went on, and only at their version.
func assertWentOn(t *testing.T, streams []*virtualStream) {
	t.Helper()
	takenUp, wentOn, mixed := 0, 0, 0
	for _, s := range streams {
		takenUp += boolToInt(s.takenUpAt > 0)
		wentOn += boolToInt(s.wentOnAt > 0)
		mixed += boolToInt(len(s.versions) > 1)
	}
	t.Logf("%d of %d streams that were taken up went on, %d of two versions", wentOn, takenUp, mixed)
	if mixed > 0 {
		t.Errorf("got %d streams with events of two versions, want none", mixed)
	}
	if got := float64(wentOn) / float64(max(takenUp, 1)); takenUp == 0 || got < leastWentOn {
		t.Errorf("got a share of %.2f of %d streams going on, want at least %.2f", got, takenUp, leastWentOn)
	}
}

// Guards against the loss of all origins when all daemons lose power between two versions.
func TestStreamsGoOnAfterAllDaemonsRestart(t *testing.T) {
	for _, daemons := range []int{3, 12, 16, 32, 76, 420} {
		t.Run(fmt.Sprintf("%d daemons", daemons), func(t *testing.T) {
			f := newMixedFleet(t, daemons, max(8, daemons/4), 1)
			f.streamTime = 4 * time.Second
			f.after(6*time.Second, f.killAll)
			streams := f.stream(10*time.Second, float64(20+daemons/2))
			f.run(5 * time.Second)
			assertWentOn(t, streams)
		})
	}
}

package conductor

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

const (
	// leastWentOn is the least share of streams that go on at the version that began them.
	leastWentOn = 0.9
	// mostOriginWrites is the number of write calls a second for all daemons together.
	mostOriginWrites = 64
	// mostRecordStreams is what a record of 64 KiB holds at 8 bytes for a stream.
	mostRecordStreams = 64 << 10 / 8
)

// killAll ends all daemons at once.
func (f *virtualFleet) killAll() { f.killShare(1) }

// killShare ends a share of the daemons at once. The callers of streams that have begun take them up a second later, when the daemons
// have started again.
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

// newCutFleet returns a fleet between two versions whose daemons are killed after some seconds, with streams of 4 s.
func newCutFleet(t *testing.T, daemons int, seed uint64) *virtualFleet {
	t.Helper()
	f := newVirtualFleet(t, daemons, max(8, daemons/4), seed)
	f.exactWakes, f.streamTime = true, 4*time.Second
	return f
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

// assertWrites checks the number of write calls in each second, and the size of the records.
func assertWrites(t *testing.T, f *virtualFleet) {
	t.Helper()
	most, first := 0, 0
	for i, at := range f.origins.writes {
		for f.origins.writes[first] <= at-time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	t.Logf("at most %d write calls in a second, %d reads, records of at most %d streams", most, len(f.origins.reads), f.origins.mostStreams)
	if most > mostOriginWrites {
		t.Errorf("got %d write calls in a second, want at most %d", most, mostOriginWrites)
	}
	if got := f.origins.mostStreams; got > mostRecordStreams {
		t.Errorf("got a record of %d streams, want at most %d", got, mostRecordStreams)
	}
}

// assertWrittenWithin checks how long after their first events the origins of streams were in the store, from a time on.
func assertWrittenWithin(t *testing.T, f *virtualFleet, streams []*virtualStream, from, want time.Duration) {
	t.Helper()
	var longest time.Duration
	for _, s := range streams {
		at, ok := f.origins.writtenAt[originOf(&request{RequestArrived: RequestArrived{ID: s.origin}})]
		if s.origin == "" || s.begunAt < from {
			continue
		}
		if !ok {
			t.Errorf("got stream %s without an origin in the store", s.origin)
			return
		}
		longest = max(longest, at-s.begunAt)
	}
	t.Logf("origins were in the store within %v", longest)
	if longest > want {
		t.Errorf("got an origin in the store after %v, want within %v", longest, want)
	}
}

// Guards against the loss of all origins when all daemons lose power between two versions.
func TestStreamsGoOnAfterAllDaemonsRestart(t *testing.T) {
	for _, daemons := range []int{3, 12, 16, 32, 76, 420} {
		t.Run(fmt.Sprintf("%d daemons", daemons), func(t *testing.T) {
			f := newCutFleet(t, daemons, 1)
			f.stream(time.Second, 20)
			f.startVersions("v2", 4)
			f.after(6*time.Second, f.killAll)
			streams := f.stream(10*time.Second, float64(20+daemons/2))
			f.run(5 * time.Second)
			assertWentOn(t, streams)
		})
	}
}

func (f *virtualFleet) startVersions(version string, servers int) {
	for range servers {
		f.startVersion(version)
	}
}

// Guards against origins that are lost because they are written too late, and against too many writes, also for streams that have
// begun before the second version was seen.
func TestOriginsAreWrittenInTime(t *testing.T) {
	for daemons, within := range map[int]time.Duration{3: 250 * time.Millisecond, 12: 250 * time.Millisecond, 16: 250 * time.Millisecond, 32: 250 * time.Millisecond, 76: 500 * time.Millisecond} {
		t.Run(fmt.Sprintf("%d daemons", daemons), func(t *testing.T) {
			f := newCutFleet(t, daemons, 2)
			before := f.stream(2*time.Second, 40)
			if len(f.origins.writes) > 0 {
				t.Errorf("got %d writes while there was one version, want none", len(f.origins.writes))
			}
			second := f.now
			f.startVersions("v2", 4)
			streams := f.stream(12*time.Second, 60)
			f.run(time.Second)
			assertWrittenWithin(t, f, streams, second+time.Second, within)
			assertWrites(t, f)
			open := slices.DeleteFunc(before, func(s *virtualStream) bool { return s.begunAt+f.streamTime < second+time.Second })
			assertWrittenWithin(t, f, open, 0, second+time.Second)
		})
	}
}

// Each case guards against a loss of origins, or a stream of two versions, under one disturbance.
func TestResumptionUnderDisturbance(t *testing.T) {
	for _, c := range []struct {
		name    string
		disturb func(f *virtualFleet)
		// refused reports whether streams of the first version can't go on.
		refused bool
	}{
		{"half of the daemons are killed", func(f *virtualFleet) { f.after(6*time.Second, func() { f.killShare(0.5) }) }, false},
		{"all are killed right after the second version was seen", func(f *virtualFleet) { f.after(800*time.Millisecond, f.killAll) }, false},
		{"all are killed soon after the second version was seen", func(f *virtualFleet) { f.after(2500*time.Millisecond, f.killAll) }, false},
		{"all are killed twice", func(f *virtualFleet) {
			f.after(5*time.Second, f.killAll)
			f.after(9*time.Second, f.killAll)
		}, false},
		{"the store refuses a third of the daemons from a second before", func(f *virtualFleet) {
			f.after(5*time.Second, func() { f.refuseStore(3) })
			f.after(6*time.Second, f.killAll)
			f.after(6500*time.Millisecond, func() { f.origins.refused = nil })
		}, false},
		{"answers of the store get lost", func(f *virtualFleet) {
			f.origins.loseAnswers = 0.3
			f.after(6*time.Second, f.killAll)
		}, false},
		{"a third version starts", func(f *virtualFleet) {
			f.after(3*time.Second, func() { f.startVersions("v3", 4) })
			f.after(7*time.Second, f.killAll)
		}, false},
		{"the first version is gone", func(f *virtualFleet) {
			f.after(6*time.Second, func() {
				f.killAll()
				for _, id := range f.serverIDs() {
					if s := f.servers[id]; s.entry.SoftwareVersion == "v1" {
						f.end(s)
						delete(f.servers, id)
					}
				}
			})
		}, true},
	} {
		for _, daemons := range []int{3, 76} {
			t.Run(fmt.Sprintf("%s, %d daemons", c.name, daemons), func(t *testing.T) {
				f := newCutFleet(t, daemons, 3)
				f.stream(time.Second, 20)
				f.startVersions("v2", 4)
				c.disturb(f)
				streams := f.stream(11*time.Second, 50)
				f.run(5 * time.Second)
				if c.refused {
					streams = slices.DeleteFunc(streams, func(s *virtualStream) bool { return s.version == "v1" })
				}
				assertWentOn(t, streams)
				assertWrites(t, f)
			})
		}
	}
}

// refuseStore has the store refuse one in share of the daemons.
func (f *virtualFleet) refuseStore(share int) {
	f.origins.refused = make(map[string]bool)
	for i := 0; i < len(f.daemons); i += share {
		f.origins.refused[f.record(i).Name] = true
	}
}

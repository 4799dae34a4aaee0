package conductor

import (
	"testing"
	"time"
)

const (
	// mixedStreams is how many streams may hold events of two software versions.
	mixedStreams = 2
	// leastResumedShare is the least share of streams that go on when they are taken up, relative to that of new streams that
	// begin, and leastResumes the number from which on it counts.
	leastResumedShare = 0.5
	leastResumes      = 12
)

// stream sends new streams, all of which their callers take up if a daemon ends.
func (f *virtualFleet) stream(duration time.Duration, perSecond float64) []*virtualStream {
	const tick = 10 * time.Millisecond
	var list []*virtualStream
	for at := time.Duration(0); at < duration; at += tick {
		for due := perSecond * tick.Seconds(); f.rng.Float64() < due; due-- {
			stream := &virtualStream{versions: make(map[string]bool)}
			list = append(list, stream)
			f.after(at, func() { f.send(stream, firstPart) })
		}
	}
	f.run(duration)
	return list
}

// assertOneVersion checks that streams go on, and only at the version that began them.
func assertOneVersion(t *testing.T, streams []*virtualStream) {
	t.Helper()
	mixed, begun, resumed, resumedOn := 0, 0, 0, 0
	for _, s := range streams {
		mixed += boolToInt(len(s.versions) > 1)
		begun += boolToInt(s.origin != "")
		resumed += boolToInt(s.resumed)
		resumedOn += boolToInt(s.resumedOn)
	}
	t.Logf("%d streams, %d begun, %d taken up, %d of them went on, %d of two versions", len(streams), begun, resumed, resumedOn, mixed)
	if mixed > mixedStreams {
		t.Errorf("got %d streams with events of two versions, want at most %d", mixed, mixedStreams)
	}
	beginShare := float64(begun) / float64(len(streams))
	if got, want := float64(resumedOn)/float64(max(resumed, 1)), leastResumedShare*beginShare; resumed >= leastResumes && got < want {
		t.Errorf("got a share of %.2f of %d streams that were taken up going on, want at least %.2f", got, resumed, want)
	}
}

// newMixedFleet returns a fleet in which engines of v2 have started beside those of v1.
func newMixedFleet(t *testing.T, daemons, servers int, seed uint64) *virtualFleet {
	t.Helper()
	f := newVirtualFleet(t, daemons, servers, seed)
	f.stream(time.Second, 20)
	for range servers / 2 {
		f.startVersion("v2")
	}
	return f
}

func TestStreamsOfTwoVersions(t *testing.T) {
	for _, c := range []struct {
		name             string
		daemons, servers int
		disturb          func(f *virtualFleet)
	}{
		{"daemons are killed in turn", 7, 8, func(f *virtualFleet) {
			for i := range f.daemons {
				f.after(time.Duration(1500+1500*i)*time.Millisecond, func() { f.kill(i, time.Second) })
			}
		}},
		{"half of the daemons are killed at once", 7, 8, func(f *virtualFleet) {
			for i := range 4 {
				f.after(4*time.Second, func() { f.kill(2*i%7, time.Second) })
			}
		}},
		{"all daemons are killed at once", 7, 8, func(f *virtualFleet) {
			for i := range f.daemons {
				f.after(4*time.Second, func() { f.kill(i, 5*time.Millisecond) })
			}
		}},
		{"daemons are killed while there is no leader", 7, 8, func(f *virtualFleet) {
			f.withoutLead = true
			for i := range f.daemons {
				f.after(time.Duration(1500+1500*i)*time.Millisecond, func() { f.kill(i, time.Second) })
			}
		}},
		{"the first version leaves", 7, 8, func(f *virtualFleet) {
			for _, s := range f.servers {
				if s.entry.SoftwareVersion == "v1" {
					f.after(3*time.Second, func() { f.leave(s) })
				}
			}
			for i := range f.daemons {
				f.after(time.Duration(1500+1500*i)*time.Millisecond, func() { f.kill(i, time.Second) })
			}
		}},
		{"engines crash", 7, 8, func(f *virtualFleet) {
			for i, s := range f.serverIDs() {
				f.after(time.Duration(1000+800*i)*time.Millisecond, func() {
					if server := f.servers[s]; server != nil && server.up {
						f.crash(server)
					}
				})
			}
		}},
		{"daemons of a large fleet are killed", 420, 60, func(f *virtualFleet) {
			for i := range 60 {
				f.after(time.Duration(1500+100*i)*time.Millisecond, func() { f.kill(7*i, time.Second) })
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var streams []*virtualStream
			for seed := range uint64(6) {
				f := newMixedFleet(t, c.daemons, c.servers, seed)
				c.disturb(f)
				streams = append(streams, f.stream(14*time.Second, 40)...)
				f.run(5 * time.Second)
				if c.daemons > 100 {
					break
				}
			}
			assertOneVersion(t, streams)
		})
	}
	t.Run("streams go on everywhere if there has been one version only", func(t *testing.T) {
		f := newVirtualFleet(t, 7, 8, 1)
		for i := range f.daemons {
			f.after(4*time.Second, func() { f.kill(i, 5*time.Millisecond) })
		}
		streams := f.stream(10*time.Second, 40)
		f.run(3 * time.Second)
		assertOneVersion(t, streams)
	})
}

package conductor

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"samphirewharf/internal/decision/verifier"
	"samphirewharf/internal/peer/messenger"
)

// outOfStepTime is how long a daemon is out of step.
const outOfStepTime = 3 * time.Second

// Guards against streams that go on at another version at a daemon that stood still or was cut off when that version appeared, and which
// takes the one that it knows for the only one.
func TestStreamsTakenUpAtDaemonOutOfStep(t *testing.T) {
	for _, c := range []struct {
		name    string
		disturb func(f *virtualFleet, d *virtualDaemon)
		// replaced reports whether the engines of the first version leave at once, versions is the number of versions.
		replaced bool
		versions int
		// least is the least share of streams of the first version that go on.
		least float64
	}{
		{"it stands still", func(f *virtualFleet, d *virtualDaemon) { d.stillUntil = f.now + outOfStepTime }, false, 2, leastResumedShare},
		{"it stands still, and two others do", func(f *virtualFleet, d *virtualDaemon) {
			for _, other := range []*virtualDaemon{d, f.daemons[1], f.daemons[2]} {
				other.stillUntil = f.now + outOfStepTime
			}
		}, false, 2, 0},
		{"it stands still again and again", func(f *virtualFleet, d *virtualDaemon) {
			for at := time.Duration(0); at < outOfStepTime; at += outOfStepTime / 5 {
				f.after(at, func() { d.stillUntil = f.now + outOfStepTime/6 })
			}
		}, false, 2, leastResumedShare},
		{"the store is silent for it", func(f *virtualFleet, d *virtualDaemon) { d.deafUntil = f.now + 2*outOfStepTime }, false, 2, leastResumedShare},
		{"it is cut off from the other daemons, and watches the store itself then", func(f *virtualFleet, d *virtualDaemon) {
			d.peerless, d.deafUntil = true, f.now+1200*time.Millisecond
		}, false, 2, 0},
		{"it is cut off from the other daemons, and its watch hangs", func(f *virtualFleet, d *virtualDaemon) {
			d.peerless, d.deafUntil = true, f.now+2*outOfStepTime
		}, false, 2, 0},
		{"it is cut off from all", func(f *virtualFleet, d *virtualDaemon) {
			d.peerless, d.deafUntil = true, f.now+2*outOfStepTime
			f.origins.refused = map[string]bool{d.machine.settings.Self.Name: true}
		}, false, 2, 0},
		{"the new version replaces all engines of the old one", func(f *virtualFleet, d *virtualDaemon) { d.stillUntil = f.now + outOfStepTime }, true, 2, 0},
		{"there is one version only", func(f *virtualFleet, d *virtualDaemon) { d.stillUntil = f.now + outOfStepTime }, false, 1, leastWentOn},
		{"there is one version only, and the store is silent for all", func(f *virtualFleet, _ *virtualDaemon) { f.silenceStore(2 * outOfStepTime) }, false, 1, leastWentOn},
		{"there is one version only, and it is cut off from the other daemons", func(_ *virtualFleet, d *virtualDaemon) { d.peerless = true }, false, 1, leastWentOn},
	} {
		for _, daemons := range []int{4, 7, 76} {
			t.Run(fmt.Sprintf("%s, %d daemons", c.name, daemons), func(t *testing.T) {
				f := newVirtualFleet(t, daemons, 8, uint64(daemons))
				f.exactWakes, f.streamTime = true, 2*outOfStepTime
				f.run(2 * time.Second)
				d := f.daemons[0]
				c.disturb(f, d)
				f.run(200 * time.Millisecond)
				if c.replaced {
					for _, s := range f.servers {
						f.leave(s)
					}
				}
				if c.versions > 1 {
					f.startVersions("v2", 8)
				}
				var streams []*virtualStream
				for range 60 {
					f.after(time.Duration(f.rng.Int64N(int64(outOfStepTime-time.Second))), func() {
						s := &virtualStream{versions: make(map[string]bool)}
						streams = append(streams, s)
						f.sendTo(f.daemons[1+f.rng.IntN(daemons-1)], s, firstPart)
					})
				}
				f.run(outOfStepTime - 200*time.Millisecond)
				// The callers are handled before what has come while the daemon stood still.
				f.now = max(f.now, d.stillUntil)
				for _, s := range streams {
					if s.origin != "" {
						s.takenUpAt = f.now
						f.sendTo(d, s)
					}
				}
				f.run(3 * time.Second)
				assertTakenUp(t, streams, c.least)
			})
		}
	}
}

// assertTakenUp checks that streams that were taken up go on at their version only, and enough of those of the first version.
func assertTakenUp(t *testing.T, streams []*virtualStream, least float64) {
	t.Helper()
	streams = slices.DeleteFunc(slices.Clone(streams), func(s *virtualStream) bool { return s.takenUpAt == 0 })
	first, wentOn, mixed := 0, 0, 0
	for _, s := range streams {
		mixed += boolToInt(len(s.versions) > 1)
		first += boolToInt(s.version == "v1")
		wentOn += boolToInt(s.version == "v1" && s.wentOnAt > 0)
	}
	if len(streams) < leastResumes {
		t.Errorf("got %d streams taken up, want at least %d", len(streams), leastResumes)
	}
	t.Logf("%d taken up, %d of two versions; %d of %d of the first version went on", len(streams), mixed, wentOn, first)
	if mixed > mixedStreams {
		t.Errorf("got %d of %d streams with events of two versions, want at most %d", mixed, len(streams), mixedStreams)
	}
	if got := float64(wentOn) / float64(max(first, 1)); first >= leastResumes && got < least {
		t.Errorf("got a share of %.2f of %d streams of the first version going on, want at least %.2f", got, first, least)
	}
}

// Guards against a daemon that tells others which versions a service has by entries that its watch no longer keeps up to date.
func TestInquiriesAtADaemonWhoseWatchHearsNothing(t *testing.T) {
	h := newHarness(t)
	isFresh := func() bool {
		t.Helper()
		h.step(LeaseRenewed{SentAt: h.now, OK: true})
		h.step(PeerReceived{Message: messenger.Message{From: "d2", Address: "d2:2", Origins: &messenger.Origins{Inquiry: &messenger.VersionsInquiry{Number: 7, Service: engineService}}}})
		for _, e := range find[SendPeer](h) {
			if e.Message.Origins != nil && e.Message.Origins.Versions != nil {
				return e.Message.Origins.Versions.Fresh
			}
		}
		t.Fatal("got no answer, want one")
		return false
	}
	h.step(ServersProved{Proof: verifier.Proof{At: h.now + 1, Known: true}})
	assertEqual(t, "up to date while the view is recent", isFresh(), true)
	h.advance(verifier.DefaultMaxAge)
	assertEqual(t, "up to date when the view is old", isFresh(), false)
	h.step(ServersProved{Proof: verifier.Proof{At: h.now, Known: true}})
	assertEqual(t, "up to date when the view is proved again", isFresh(), true)
}

// Guards against a daemon that has just started and tells others that a service has only the versions that it knows of yet.
func TestInquiriesWaitForTheServers(t *testing.T) {
	inquire := func(h *harness) []SendPeer {
		h.step(PeerReceived{Message: messenger.Message{From: "d2", Address: "d2:2", Origins: &messenger.Origins{Inquiry: &messenger.VersionsInquiry{Number: 7, Service: engineService}}}})
		return slices.DeleteFunc(find[SendPeer](h), func(e SendPeer) bool { return e.Message.Origins == nil || e.Message.Origins.Versions == nil })
	}
	h := &harness{t: t, machine: New(testSettings()), revision: 100}
	h.step(DaemonsListed{})
	assertEqual(t, "answers before the servers are listed", len(inquire(h)), 0)
	h.step(ServersListed{})
	h.versionedEngine("e1", "v1")
	h.versionedEngine("e2", "v2")
	answers := inquire(h)
	if len(answers) != 1 {
		t.Fatalf("got %d answers, want 1", len(answers))
	}
	versions := answers[0].Message.Origins.Versions
	assertEqual(t, "inquiry", versions.Inquiry, 7)
	assertEqual(t, "versions", len(versions.Seen), 2)
	if versions.MixedFor <= 0 {
		t.Error("got a service of one version, want two")
	}
}

package conductor

import (
	"fmt"
	"testing"
	"time"

	"samphirewharf/internal/peer/messenger"
)

const (
	// mostRecordWrites is the number of writes and deletions of quarantines' records that all daemons may send in any second.
	mostRecordWrites = 24
	// mostChangesPerDaemon is how often each daemon may begin or end to hold requests back for each trait that crashes servers.
	mostChangesPerDaemon = 6
)

// assertFewRecordWrites checks the calls to the store for what crashes servers.
func (f *virtualFleet) assertFewRecordWrites(t *testing.T, traits int) {
	t.Helper()
	most := 0
	for i, at := range f.recordWrites {
		inSecond := 1
		for _, later := range f.recordWrites[i+1:] {
			inSecond += boolToInt(later < at+time.Second)
		}
		most = max(most, inSecond)
	}
	t.Logf("%d crashes, %d writes of records, at most %d in a second, %d changes", len(f.crashes), len(f.recordWrites), most, f.quarantineChanges)
	if most > mostRecordWrites {
		t.Errorf("got %d writes of records in a second, want at most %d", most, mostRecordWrites)
	}
	if got, want := f.quarantineChanges, mostChangesPerDaemon*traits*len(f.daemons); got > want {
		t.Errorf("got %d begins and ends of quarantines at %d daemons, want at most %d", got, len(f.daemons), want)
	}
}

// A request that comes again and again is one of those that have the part that crashes servers, so the part explains its crashes.
func TestRecordWritesUnderCrashes(t *testing.T) {
	for _, daemons := range []int{7, 60} {
		for _, storeAway := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d daemons, store away %v", daemons, storeAway), func(t *testing.T) {
				for seed := range uint64(4) {
					f := newVirtualFleet(t, daemons, max(18, daemons/2), seed)
					f.storeAway = storeAway
					f.press(2*time.Second, 40, 0)
					for at := time.Duration(0); at < 20*time.Second; at += 300 * time.Millisecond {
						f.after(at, func() { f.arriveCrashing(crashingRequest{crashAfter: time.Millisecond, part: poisonPart}) })
					}
					f.press(20*time.Second, 40, 3)
					f.press(10*time.Second, 40, 0)
					f.assertFewRecordWrites(t, 2)
				}
			})
		}
	}
}

// Many requests crash servers, each in a way of its own.
func TestRecordWritesOfManyQuarantines(t *testing.T) {
	h := newHarness(t)
	h.listDaemons(1, 200)
	h.engine("e1", "a", loadedModel("m1"))
	writes := 0
	for i := range 400 {
		h.step(PeerReceived{Message: messenger.Message{From: "other-0", Evidence: &messenger.Evidence{
			Suspects: []messenger.Suspect{{Fingerprint: uint64(i + 1), Quarantines: 1, Hold: time.Minute}},
		}}})
		h.advance(10 * time.Millisecond)
	}
	h.advance(time.Second)
	for _, effect := range h.all {
		if _, ok := effect.(StoreQuarantine); ok {
			writes++
		}
	}
	const playTime = 5
	if most := mostRecordWrites / 2 * playTime; writes > most || writes == 0 {
		t.Errorf("got %d writes in %d s, want some and at most %d", writes, playTime, most)
	}
}

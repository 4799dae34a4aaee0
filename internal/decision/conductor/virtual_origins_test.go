package conductor

import (
	"fmt"
	"slices"
	"time"

	"samphirewharf/internal/decision/resumer"
	"samphirewharf/internal/peer/messenger"
)

// storeCallTime is how long a call to the store takes.
const storeCallTime = 4 * time.Millisecond

// An originStore plays the records of origins in the store.
type originStore struct {
	records map[string]originRecord
	// refused holds the names of the daemons that the store refuses.
	refused map[string]bool
	// loseAnswers is the share of writes that take effect without an answer.
	loseAnswers float64
	// writes holds the times of write calls, grants and ends of leases included, reads those of reads.
	writes []time.Duration
	reads  []time.Duration
	// writtenAt holds when each stream was first in the store.
	writtenAt map[uint64]time.Duration
	// mostStreams is the largest number of streams of one record.
	mostStreams int
}

type originRecord struct {
	origins []messenger.StreamOrigin
	expires time.Duration
}

func (f *virtualFleet) storeAnswers(name string) bool {
	return f.now >= f.storeSilentUntil && !f.storeAway && !f.origins.refused[name]
}

// failureTime returns how long a call takes that fails. A store that refuses a daemon answers at once.
func (f *virtualFleet) failureTime(name string) time.Duration {
	if f.origins.refused[name] {
		return storeCallTime
	}
	return storeCallTimeout
}

// recordOrigins writes a record, which costs a call, and the lease of a new one another call.
func (f *virtualFleet) recordOrigins(d *virtualDaemon, e RecordOrigins) {
	s, self := &f.origins, d.machine.settings.Self
	if s.records == nil {
		s.records, s.writtenAt = make(map[string]originRecord), make(map[uint64]time.Duration)
	}
	if !f.storeAnswers(self.Name) {
		f.after(f.failureTime(self.Name), func() { f.step(d, OriginsRecorded{Record: e.Record}) })
		return
	}
	key := func(number int64) string { return fmt.Sprintf("%s %v %d", self.Name, d.startedAt, number) }
	record, ok := s.records[key(e.Record)]
	if !ok {
		s.writes = append(s.writes, f.now)
		record.expires = f.now + e.TTL
	}
	s.writes = append(s.writes, f.now)
	for number := e.Replaces; number < e.Record; number++ {
		s.writes = append(s.writes, f.now)
	}
	if e.TTL > resumer.OriginTTL*2 {
		f.t.Errorf("got a record that lasts %v, want at most 4m0s", e.TTL)
	}
	record.origins = e.Origins
	s.mostStreams = max(s.mostStreams, len(e.Origins))
	f.after(storeCallTime, func() {
		s.records[key(e.Record)] = record
		for number := e.Replaces; number < e.Record; number++ {
			delete(s.records, key(number))
		}
		for _, o := range e.Origins {
			if _, ok := s.writtenAt[o.Stream]; !ok {
				s.writtenAt[o.Stream] = f.now
			}
		}
		f.step(d, OriginsRecorded{Record: e.Record, OK: f.rng.Float64() >= s.loseAnswers})
	})
}

func (f *virtualFleet) readOrigins(d *virtualDaemon) {
	if !f.storeAnswers(d.machine.settings.Self.Name) {
		f.after(f.failureTime(d.machine.settings.Self.Name), func() { f.step(d, OriginsRead{}) })
		return
	}
	f.origins.reads = append(f.origins.reads, f.now)
	read := OriginsRead{OK: true, MixedServices: slices.Clone(f.mixedServices)}
	for _, r := range f.origins.records {
		if f.now < r.expires {
			read.Origins = append(read.Origins, r.origins...)
		}
	}
	f.after(storeCallTime, func() { f.step(d, read) })
}

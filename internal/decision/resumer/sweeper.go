package resumer

import (
	"maps"
	"slices"
	"time"
)

const (
	// sweepInterval is the time between two looks at the records of origins, busySweepInterval that while records are left to delete. A
	// record is gone within four minutes of its last change: it is seen, is old enough, and is seen again.
	sweepInterval     = 45 * time.Second
	busySweepInterval = 5 * time.Second
	// unchangedTTL is for how long a record has to be unchanged before it is deleted: the time for which the stream may be resumed that
	// was added to it last, and a margin.
	unchangedTTL = OriginTTL + 20*time.Second
	// maxSweeps bounds the records that are deleted after one look.
	maxSweeps = 16
)

// A RecordRevision identifies a record of origins as it was written last.
type RecordRevision struct {
	Key      string
	Revision int64
}

// A Sweeper finds the records of origins that nobody needs any more: those of writers that have ended, and those that were written late.
// The records have no lease, since the store may end all leases in an outage. The zero value is ready to use.
type Sweeper struct {
	// since holds as of when a record is known to be unchanged.
	since map[RecordRevision]time.Duration
	// at is when the records are looked at next, 0 if that isn't due.
	at      time.Duration
	looking bool
}

// Due reports whether the records have to be listed now. Mixed reports whether any service has several versions, so that there may be new
// records.
func (s *Sweeper) Due(now time.Duration, sweeps, mixed bool) bool {
	if !sweeps {
		*s = Sweeper{}
		return false
	}
	if s.since == nil {
		s.since, s.at = make(map[RecordRevision]time.Duration), now+sweepInterval
	}
	if s.at == 0 && mixed {
		s.at = now + sweepInterval
	}
	if s.looking || s.at == 0 || now < s.at {
		return false
	}
	s.looking = true
	return true
}

// Listed handles a list of all records, and returns those that have to be deleted if they are still as listed.
func (s *Sweeper) Listed(now time.Duration, records []RecordRevision, ok bool) []RecordRevision {
	if s.looking = false; !ok || s.since == nil {
		s.at = now + sweepInterval
		return nil
	}
	maps.DeleteFunc(s.since, func(r RecordRevision, _ time.Duration) bool { return !slices.Contains(records, r) })
	var old []RecordRevision
	for _, r := range records {
		since, known := s.since[r]
		if !known {
			s.since[r] = now
			continue
		}
		if now > since+unchangedTTL {
			old = append(old, r)
		}
	}
	switch {
	case len(records) == 0:
		s.at = 0
	case len(old) > maxSweeps:
		s.at = now + busySweepInterval
	default:
		s.at = now + sweepInterval
	}
	return old[:min(len(old), maxSweeps)]
}

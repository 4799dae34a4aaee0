// Package resumer decides at which software version an interrupted stream is resumed. What servers of two versions write doesn't fit
// together, so a stream goes on only at the version that began it, its origin.
//
// While a service has several versions, each daemon reports the origins of its streams to some others, the holders, so that callers
// can resume them elsewhere after it has ended, and a few daemons, the writers, record them in the store, so that streams can be
// resumed after all daemons have ended.
package resumer

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"samphirewharf/internal/decision/reducer"
	"samphirewharf/internal/peer/messenger"
)

const (
	// OriginTTL is how long after its start a stream may be resumed.
	OriginTTL = 2 * time.Minute
	// maxOrigins bounds the streams whose origins are kept.
	maxOrigins = 1 << 16
	// expiryInterval is how often old origins are dropped.
	expiryInterval = time.Second
	// maxSelfWriters is the largest number of daemons that all write their own origins. The writes of more would exceed 64 calls a
	// second at the interval that 250 ms from the first event to the store allow.
	maxSelfWriters = 10
	// maxMediumFleet is the largest number of daemons in which an origin is in the store within 250 ms; 500 ms are allowed in larger
	// ones.
	maxMediumFleet = 32
	// fewHoldersFleet is the number of daemons from which on one holder less is enough.
	fewHoldersFleet = 32
	// collectDelay is how long streams are collected at least before they are reported or written.
	collectDelay = 10 * time.Millisecond
	// unregisteredReportDelay is the report delay of a daemon that isn't registered.
	unregisteredReportDelay = 10 * time.Millisecond
)

// An origin is the software version that began a stream.
type origin struct {
	version string
	// service is empty for streams that other daemons have begun.
	service string
	at      time.Duration
}

// A Resumer is what a daemon knows of the versions that began streams. The zero value with Self, Send, Record, Read and Resolve set
// is ready to use. The functions are called from within its methods.
type Resumer struct {
	// Self is the name of this daemon.
	Self string
	// Send sends a message to other daemons. It may be lost.
	Send func(names []string, origins messenger.Origins)
	// Record writes a record to the store, Read reads all records. Recorded and ReadEnded answer them.
	Record func(Record)
	Read   func()
	// Resolve is called when the origin that a request waits for is known.
	Resolve func(id reducer.RequestID)

	// known holds the origins of streams by the hash of the ID of the caller's attempt that began them.
	known map[uint64]origin
	// unreported holds the streams to report to the holders, completed those whose end has to be reported.
	unreported map[uint64]bool
	completed  map[uint64]bool
	// reportAt is when the next report is due, 0 for none. expireAt is when old origins are dropped.
	reportAt time.Duration
	expireAt time.Duration
	// reportedAt is when the last report was due.
	reportedAt time.Duration
	// forOthers are the origins to report to the holders that don't write them, at othersAt or later.
	forOthers []messenger.StreamOrigin
	othersAt  time.Duration
	fleet     fleet
	writer    writer
	reader    reader
	// confirmations holds what is confirmed, by service. inquiries counts the inquiries, nextOther the daemons that were asked.
	confirmations map[string]*confirmation
	inquiries     uint64
	nextOther     int
}

// A fleet is the daemons that hold and write origins.
type fleet struct {
	plan       plan
	registrars []string
	// all are all daemons but this one, others the registrars but this one, or else all.
	all    []string
	others []string
	// writer is the daemon that writes this one's origins, empty for none. holders are those that hold them.
	writer  string
	holders []string
	changed bool
}

// SetFleet sets the registered daemons, sorted, and those of them that hold origins.
func (s *Resumer) SetFleet(daemons, registrars []string) {
	f := fleet{plan: planOf(len(daemons)), registrars: registrars}
	isSelf := func(name string) bool { return name == s.Self }
	f.all = slices.DeleteFunc(slices.Clone(daemons), isSelf)
	if f.others = slices.DeleteFunc(slices.Clone(registrars), isSelf); len(f.others) == 0 {
		f.others = f.all
	}
	registered := slices.Contains(daemons, s.Self)
	hash := xxhash.Sum64String(s.Self)
	writers := f.registrars[:min(len(f.registrars), f.plan.writers)]
	switch {
	case len(daemons) == 0:
	case len(daemons) <= maxSelfWriters && registered, slices.Contains(writers, s.Self):
		f.writer = s.Self
	default:
		if !registered {
			// It may not know how many others start at the same time, and so leaves the writing to others. The writer waits for as
			// long as for its own streams.
			f.plan.reportDelay = unregisteredReportDelay
		}
		// All writers have the same number of daemons, and few change theirs if another daemon registers.
		position, _ := slices.BinarySearch(daemons, s.Self)
		f.writer = writers[min(position*len(writers)/len(daemons), len(writers)-1)]
	}
	if f.writer != "" && f.writer != s.Self {
		f.holders = append(f.holders, f.writer)
	}
	for i := range registrars {
		name := registrars[(int(hash%uint64(len(registrars)))+i)%len(registrars)]
		if name != s.Self && name != f.writer && len(f.holders) < f.plan.holders {
			f.holders = append(f.holders, name)
		}
	}
	f.changed = s.fleet.changed || f.writer != s.fleet.writer || !slices.Equal(f.holders, s.fleet.holders)
	s.fleet = f
	s.writer.offset = time.Duration(hash % uint64(recordPeriod))
}

// Holders returns the names of the daemons that hold this one's origins, and of the one that writes them to the store.
func (s *Resumer) Holders() (holders []string, writer string) { return s.fleet.holders, s.fleet.writer }

// A plan is how origins get to the store in a fleet of a size. Streams are reported to the writers once in reportDelay
// at most, and written once in writeDelay. The sum of both is less than the 250 ms in which an origin has to be in the
// store (500 ms above 32 daemons), and the writes of all writers are at most 60 of the 64 write
// calls in any second for all daemons together.
type plan struct {
	writers     int
	holders     int
	reportDelay time.Duration
	writeDelay  time.Duration
}

func planOf(size int) plan {
	p := plan{writers: 6, holders: 3, reportDelay: 110 * time.Millisecond, writeDelay: 120 * time.Millisecond}
	switch {
	case size <= maxSelfWriters:
		p.reportDelay, p.writeDelay = 280*time.Millisecond, 225*time.Millisecond
	case size > maxMediumFleet:
		p.writers, p.reportDelay, p.writeDelay = 12, 230*time.Millisecond, 250*time.Millisecond
	}
	if size >= fewHoldersFleet {
		p.holders--
	}
	return p
}

// Known returns the version that began a stream.
func (s *Resumer) Known(stream uint64) (version string, ok bool) {
	if o, ok := s.known[stream]; ok {
		return o.version, true
	}
	version, ok = s.reader.stored[stream]
	return version, ok
}

// Started records the version that began or continues a stream of this daemon. It is shared if the service has several versions.
func (s *Resumer) Started(now time.Duration, stream uint64, service, version string, mixed bool) {
	s.keep(now, stream, origin{version: version, service: service, at: now})
	delete(s.completed, stream)
	if mixed {
		s.share(now, stream)
	}
}

// Completed forgets a stream that the caller has got whole.
func (s *Resumer) Completed(now time.Duration, stream uint64, mixed bool) {
	s.forget(stream)
	reported := !s.unreported[stream]
	delete(s.unreported, stream)
	if mixed && reported && len(s.fleet.holders) > 0 && s.fleet.writer != s.Self {
		if s.completed == nil {
			s.completed = make(map[uint64]bool)
		}
		s.completed[stream] = true
		s.scheduleReport(now)
	}
}

func (s *Resumer) forget(stream uint64) {
	delete(s.known, stream)
	delete(s.reader.stored, stream)
	s.writer.drop(stream)
}

// Mixed shares all streams of a service that this daemon has begun, as the service has several versions now.
func (s *Resumer) Mixed(now time.Duration, service string) {
	for stream, o := range s.known {
		if o.service == service && now < o.at+OriginTTL {
			s.share(now, stream)
		}
	}
}

func (s *Resumer) keep(now time.Duration, stream uint64, o origin) {
	if s.known == nil {
		s.known = make(map[uint64]origin)
	}
	if len(s.known) >= maxOrigins {
		s.expire(now)
	}
	s.known[stream] = o
}

// expire drops the origins of streams that nobody resumes any more, and the older ones if there are too many.
func (s *Resumer) expire(now time.Duration) {
	s.reader.expire(now)
	for ttl := OriginTTL; ttl > time.Second; ttl /= 2 {
		maps.DeleteFunc(s.known, func(_ uint64, o origin) bool { return now > o.at+ttl })
		if len(s.known) < maxOrigins {
			return
		}
	}
	clear(s.known)
}

// share schedules the report of a stream to the holders, and its record if this daemon writes its own.
func (s *Resumer) share(now time.Duration, stream uint64) {
	if s.unreported == nil {
		s.unreported = make(map[uint64]bool)
	}
	s.unreported[stream] = true
	s.scheduleReport(now)
	if s.fleet.writer == s.Self {
		s.writer.add(now, stream, s.known[stream].version, s.fleet.plan.writeDelay)
	}
}

func (s *Resumer) scheduleReport(now time.Duration) {
	if at := max(now+collectDelay, s.reportedAt+s.fleet.plan.reportDelay); s.reportAt == 0 || at < s.reportAt && s.reportAt == s.othersAt {
		s.reportAt = at
	}
}

// Tick sends the reports, records and reads that are due. Mixed are the services that have several versions.
func (s *Resumer) Tick(now time.Duration, mixed []string) {
	if now >= s.expireAt {
		s.expireAt = now + expiryInterval
		s.expire(now)
	}
	if s.fleet.changed {
		s.fleet.changed = false
		for _, service := range mixed {
			s.Mixed(now, service)
		}
	}
	if s.reportAt > 0 && now >= s.reportAt {
		s.reportedAt = now
		s.report(now)
	}
	if r, ok := s.writer.next(now); ok {
		s.Record(r)
	}
	if s.reader.due(now) {
		s.Read()
	}
}

// NextAt returns when Tick is due, 0 for no time in particular.
func (s *Resumer) NextAt() time.Duration {
	var next time.Duration
	for _, at := range []time.Duration{s.reportAt, s.writer.nextAt(), s.reader.nextAt()} {
		if at > 0 && (next == 0 || at < next) {
			next = at
		}
	}
	return next
}

// report sends the streams that have begun or were completed since the last report to the holders.
func (s *Resumer) report(now time.Duration) {
	s.reportAt = 0
	if len(s.fleet.holders) == 0 {
		// They are reported when other daemons are known.
		clear(s.unreported)
		clear(s.completed)
		return
	}
	o := messenger.Origins{Completed: slices.Sorted(maps.Keys(s.completed))}
	for _, stream := range slices.Sorted(maps.Keys(s.unreported)) {
		if known, ok := s.known[stream]; ok {
			o.Origins = append(o.Origins, messenger.StreamOrigin{Stream: stream, SoftwareVersion: known.version})
		}
	}
	clear(s.unreported)
	clear(s.completed)
	others, interval := s.fleet.holders, s.fleet.plan.reportDelay
	if s.fleet.writer != s.Self {
		if len(o.Origins)+len(o.Completed) > 0 {
			s.Send(others[:1], messenger.Origins{Origins: o.Origins, Completed: o.Completed, Record: true})
		}
		others, interval = others[1:], 3*interval
	}
	s.forOthers = append(s.forOthers, o.Origins...)
	switch {
	case len(s.forOthers) == 0:
	case now < s.othersAt:
		s.reportAt = s.othersAt
	default:
		if len(others) > 0 {
			s.Send(others, messenger.Origins{Origins: s.forOthers})
		}
		s.forOthers, s.othersAt = nil, now+interval
	}
}

// Received handles the origins that another daemon reports or asks for, and returns the answer.
func (s *Resumer) Received(now time.Duration, o *messenger.Origins) (answer []messenger.StreamOrigin) {
	for _, r := range o.Origins {
		if known, ok := s.known[r.Stream]; !ok || known.service == "" {
			s.keep(now, r.Stream, origin{version: r.SoftwareVersion, at: now})
		}
		if o.Record {
			s.writer.add(now, r.Stream, r.SoftwareVersion, s.fleet.plan.writeDelay)
		}
		s.resolve(r.Stream)
	}
	for _, stream := range o.Completed {
		if s.known[stream].service == "" {
			s.forget(stream)
		}
	}
	for _, stream := range o.Asked {
		if version, ok := s.Known(stream); ok {
			answer = append(answer, messenger.StreamOrigin{Stream: stream, SoftwareVersion: version})
		}
	}
	return answer
}

package resumer

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"samphirewharf/internal/peer/messenger"
)

const (
	// recordPeriod is how long new streams are added to a record before the next one begins.
	recordPeriod = 10 * time.Second
	// MaxRecordBytes bounds the value of a record. recordBytes is what the streams and versions of one may take, and streamBytes and
	// versionBytes what a stream takes, and a version apart from its name.
	MaxRecordBytes = 64 << 10
	recordBytes    = 60 << 10
	streamBytes    = 8
	versionBytes   = 12
	// maxVersionBytes bounds the name of a version in a record.
	maxVersionBytes = 1 << 10
	// writeRetryDelay is the least delay after a failed write.
	writeRetryDelay = 500 * time.Millisecond
)

// A Record is a record of origins in the store.
type Record struct {
	// Number rises with each record of this process. A later write of the same number replaces an earlier one.
	Number int64
	// Replaces is the lowest number of the earlier records that this one makes needless, Number if there are none.
	Replaces int64
	Origins  []messenger.StreamOrigin
}

// A writer collects origins and writes them in batches.
type writer struct {
	// number and replaces are those of the open record, which began at openedAt and holds streams, with size bytes.
	number   int64
	replaces int64
	openedAt time.Duration
	streams  map[uint64]origin
	// full reports whether the open record has no room for a further stream.
	full bool
	// offset is by how much the first record is shorter than recordPeriod.
	offset time.Duration
	// pending holds the streams that are added with the next write.
	pending map[uint64]origin
	// at is when the next write is due, 0 for none; writing reports whether one is in progress.
	at      time.Duration
	delay   time.Duration
	writing bool
	// wroteAt is when the last write began.
	wroteAt time.Duration
	// unwritten holds the streams that were added since the last write that succeeded, true for those that other daemons were asked
	// to write.
	unwritten map[uint64]bool
	failures  int
}

// add has a stream written. Two writes begin a delay apart at least.
func (w *writer) add(now time.Duration, stream uint64, version string, delay time.Duration) {
	if known, ok := w.streams[stream]; ok && known.version == version && now < known.at+OriginTTL/2 {
		return
	}
	if w.pending == nil {
		w.pending = make(map[uint64]origin)
	}
	if _, ok := w.pending[stream]; !ok && len(w.pending) >= maxOrigins || len(version) > maxVersionBytes {
		return
	}
	w.pending[stream] = origin{version: version, at: now}
	w.delay = delay
	if w.at == 0 {
		w.at = max(now+collectDelay, w.wroteAt+delay)
	}
}

// drop leaves a stream out of later writes.
func (w *writer) drop(stream uint64) {
	delete(w.streams, stream)
	delete(w.pending, stream)
}

func (w *writer) nextAt() time.Duration {
	if w.writing {
		return 0
	}
	return w.at
}

// next returns the write that is due.
func (w *writer) next(now time.Duration) (Record, bool) {
	if w.writing || w.at == 0 || now < w.at {
		return Record{}, false
	}
	w.at, w.wroteAt = 0, now
	w.expire(now)
	if len(w.pending) == 0 {
		return Record{}, false
	}
	if w.streams == nil || now >= w.openedAt+recordPeriod || w.full {
		w.open(now)
	}
	w.fill(now)
	w.writing = true
	r := Record{Number: w.number, Replaces: w.replaces}
	for _, stream := range slices.Sorted(maps.Keys(w.streams)) {
		r.Origins = append(r.Origins, messenger.StreamOrigin{Stream: stream, SoftwareVersion: w.streams[stream].version})
	}
	return r, true
}

func (w *writer) expire(now time.Duration) {
	for _, list := range []map[uint64]origin{w.streams, w.pending} {
		maps.DeleteFunc(list, func(_ uint64, o origin) bool { return now > o.at+OriginTTL })
	}
}

// open begins a record. It takes over the streams of the one before, which it replaces, unless they take up too much of its room.
func (w *writer) open(now time.Duration) {
	w.number++
	if w.streams == nil || w.size(make(map[string]bool)) > recordBytes/2 {
		w.streams, w.replaces = make(map[uint64]origin), w.number
	}
	if w.openedAt, w.full = now, false; w.number == 1 {
		// The writers' later records don't begin in the same second.
		w.openedAt -= w.offset
	}
}

// fill adds the pending streams for which the open record has room. The others are written to the next record.
func (w *writer) fill(now time.Duration) {
	versions := make(map[string]bool)
	size := w.size(versions)
	for _, stream := range slices.Sorted(maps.Keys(w.pending)) {
		o := w.pending[stream]
		added := streamBytes
		if !versions[o.version] {
			added += versionBytes + len(o.version)
		}
		if size+added > recordBytes {
			w.full, w.at = true, now+w.delay
			return
		}
		size += added
		versions[o.version] = true
		w.streams[stream] = o
		delete(w.pending, stream)
		if w.unwritten == nil {
			w.unwritten = make(map[uint64]bool)
		}
		if _, ok := w.unwritten[stream]; !ok {
			w.unwritten[stream] = false
		}
	}
}

// size returns the bytes that the open record takes, and adds its versions to a set.
func (w *writer) size(versions map[string]bool) int {
	size := streamBytes * len(w.streams)
	for _, o := range w.streams {
		if !versions[o.version] {
			versions[o.version] = true
			size += versionBytes + len(o.version)
		}
	}
	return size
}

// Recorded handles the end of a write. One that failed or had no answer is repeated with the next batch.
func (s *Resumer) Recorded(now time.Duration, number int64, ok bool) {
	w := &s.writer
	w.writing = false
	if ok {
		w.replaces, w.failures = number, 0
		clear(w.unwritten)
		return
	}
	s.handOver()
	if w.pending == nil {
		w.pending = make(map[uint64]origin)
	}
	for stream, o := range w.streams {
		w.pending[stream] = o
	}
	w.at = now + max(w.delay, writeRetryDelay)
}

// handOver asks another daemon to write what this one couldn't, once for each stream, as the store may refuse only some daemons.
func (s *Resumer) handOver() {
	w := &s.writer
	o := messenger.Origins{Record: true}
	for _, stream := range slices.Sorted(maps.Keys(w.unwritten)) {
		if known, ok := w.streams[stream]; ok && !w.unwritten[stream] {
			w.unwritten[stream] = true
			o.Origins = append(o.Origins, messenger.StreamOrigin{Stream: stream, SoftwareVersion: known.version})
		}
	}
	others := slices.DeleteFunc(slices.Clone(s.fleet.registrars), func(name string) bool { return name == s.Self })
	if w.failures++; len(o.Origins) > 0 && len(others) > 0 {
		i := (int(xxhash.Sum64String(s.Self)%uint64(len(others))) + w.failures) % len(others)
		s.Send(others[i:i+1], o)
	}
}

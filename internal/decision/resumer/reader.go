package resumer

import (
	"slices"
	"time"

	"samphirewharf/internal/decision/reducer"
	"samphirewharf/internal/peer/messenger"
)

const (
	// askInterval is how long a daemon waits for an origin that it has asked others for, maxAsks how often it asks.
	askInterval = 150 * time.Millisecond
	maxAsks     = 3
	// readInterval is the least time between the begins of two reads of the records.
	readInterval = 300 * time.Millisecond
)

// A wait is the wait of a request for its stream's origin.
type wait struct {
	id      reducer.RequestID
	stream  uint64
	arrived time.Duration
	// deadline is when the request is refused at the latest.
	deadline time.Duration
	// asks counts how often other daemons were asked.
	asks int
	// read reports whether the records were read since the request arrived.
	read bool
}

// A reader finds origins that this daemon doesn't know.
type reader struct {
	// waits holds the requests that wait, in the order of their arrival.
	waits []*wait
	// stored holds what was read last from the store, at storedAt.
	stored   map[uint64]string
	storedAt time.Duration
	// wanted reports whether a read is due, reading whether one is in progress. hasRead and readAt tell when the last one began.
	wanted  bool
	reading bool
	hasRead bool
	readAt  time.Duration
}

func (d *reader) expire(now time.Duration) {
	if d.stored != nil && now > d.storedAt+OriginTTL {
		d.stored = nil
	}
}

func (d *reader) nextAt() time.Duration {
	if !d.wanted || d.reading {
		return 0
	}
	return d.readAt + readInterval
}

// due reports whether a read has to begin now.
func (d *reader) due(now time.Duration) bool {
	if !d.wanted || d.reading || d.hasRead && now < d.readAt+readInterval {
		return false
	}
	d.wanted, d.reading, d.hasRead, d.readAt = false, true, true, now
	return true
}

// Ask has a request wait for its stream's origin until the deadline at the latest. It asks other daemons first, unless this one has
// just started: then all of them may have. It returns when Unanswered has to be called.
func (s *Resumer) Ask(now time.Duration, id reducer.RequestID, stream uint64, deadline time.Duration) time.Duration {
	w := &wait{id: id, stream: stream, arrived: now, deadline: deadline}
	s.reader.waits = append(s.reader.waits, w)
	s.reader.wanted = s.reader.wanted || !s.reader.hasRead
	return s.ask(now, w)
}

func (s *Resumer) ask(now time.Duration, w *wait) time.Duration {
	if w.asks < maxAsks && len(s.fleet.registrars) > 0 {
		s.Send(s.fleet.registrars, messenger.Origins{Asked: []uint64{w.stream}})
	}
	w.asks++
	return min(w.deadline, now+askInterval)
}

// Unanswered asks again for a request that still waits, since the report may be on its way, and has the records read. It returns when
// it has to be called again, or false if neither the other daemons nor the records have the origin, or the deadline has passed. A request
// that waits for a confirmation may be resolved meanwhile.
func (s *Resumer) Unanswered(now time.Duration, id reducer.RequestID) (next time.Duration, waits bool) {
	for service, c := range s.confirmations {
		if i := slices.IndexFunc(c.waits, func(w confirmationWait) bool { return w.id == id }); i >= 0 {
			return s.unconfirmed(now, service, c, c.waits[i])
		}
	}
	i := slices.IndexFunc(s.reader.waits, func(w *wait) bool { return w.id == id })
	if i < 0 {
		return 0, false
	}
	w := s.reader.waits[i]
	if now >= w.deadline || w.asks >= maxAsks && w.read {
		return 0, false
	}
	s.reader.wanted = s.reader.wanted || !w.read && !s.reader.reading
	return s.ask(now, w), true
}

// StopAsking ends the wait of a request.
func (s *Resumer) StopAsking(id reducer.RequestID) {
	s.reader.waits = slices.DeleteFunc(s.reader.waits, func(w *wait) bool { return w.id == id })
	for _, c := range s.confirmations {
		c.waits = slices.DeleteFunc(c.waits, func(w confirmationWait) bool { return w.id == id })
	}
}

// resolve has the requests that wait for a stream's origin routed.
func (s *Resumer) resolve(stream uint64) {
	for _, w := range slices.Clone(s.reader.waits) {
		if w.stream == stream {
			s.Resolve(w.id)
		}
	}
}

// ReadEnded handles the end of a read of the records. Requests that arrived after its begin have the records read again, since the
// origins of their streams may have been written meanwhile.
func (s *Resumer) ReadEnded(now time.Duration, origins []messenger.StreamOrigin, ok bool) {
	d := &s.reader
	d.reading = false
	if !ok {
		d.wanted = len(d.waits) > 0
		return
	}
	d.stored, d.storedAt = make(map[uint64]string, len(origins)), now
	for _, o := range origins {
		d.stored[o.Stream] = o.SoftwareVersion
	}
	s.confirmRead(now, d.readAt)
	for _, w := range slices.Clone(d.waits) {
		switch _, known := d.stored[w.stream]; {
		case known:
			s.Resolve(w.id)
		case d.readAt >= w.arrived:
			w.read = true
		default:
			d.wanted = true
		}
	}
}

package claimer

import (
	"slices"
	"time"

	"samphirewharf/internal/external/storer"
)

// batch returns the entries that go into the next write, and their size. Claims that were abandoned
// while their write was unknown are left out: if this write lands, theirs never will.
func (m *Machine) batch(p *partition) ([]*item, int) {
	var items []*item
	size := 0
	for _, i := range p.items {
		if i.entry.Kind == entryClaim && i.claim.abandoned {
			continue
		}
		if len(items) > 0 && (size+len(i.line) > m.settings.SegmentBytes || len(items) == m.settings.MaxBatch) {
			break
		}
		items = append(items, i)
		size += len(i.line)
	}
	return items, size
}

// deleteSegment deletes a sealed segment that is no longer listed.
func (m *Machine) deleteSegment(p *partition, name string, revision int64) {
	op := m.start(operation{kind: operationDelete, partition: p, name: name, revision: revision})
	m.emit(Delete{Op: op, Key: p.segmentKey(name), Revision: revision})
}

// expiryLimit returns the wall time before which entries need not be kept.
func (m *Machine) expiryLimit() int64 {
	return m.moment.Wall.Add(-m.settings.Retention - m.settings.ClockMargin).UnixMilli()
}

func (m *Machine) onCopy(p *partition, o operation, a Answer) {
	switch a.Result {
	case storer.ResultOK:
		p.reached()
		p.copied = a.Revision
	case storer.ResultNotSent:
		m.fail(p)
	default:
		// The copy may be there, from this call or another owner's; its content is the same.
		m.readCopy(p, o.name)
	}
}

func (m *Machine) onDelete(o operation, a Answer) {
	if a.Result == storer.ResultNotSent || a.Result == storer.ResultUnknown {
		o.partition.garbage = append(o.partition.garbage, segment{name: o.name, revision: o.revision})
	}
}

func (m *Machine) onReadCopy(p *partition, a Answer) {
	switch a.Result {
	case storer.ResultOK:
		p.reached()
		p.copied = a.Revision
	case storer.ResultNotFound:
		// Written again by the next write, after the active segment has been read.
		p.stale = true
	default:
		m.fail(p)
	}
}

func (m *Machine) onWriteActive(p *partition, o operation, a Answer) {
	if m.seams.landed(a.Result) {
		m.onWritten(p, o, a.Revision)
		return
	}
	p.dueAt = m.moment.Monotonic
	switch a.Result {
	case storer.ResultNotSent:
		for _, i := range o.first {
			i.sent = false
		}
		m.fail(p)
	default:
		p.stale = true
	}
}

// onWritten takes over the active segment that was written.
func (m *Machine) onWritten(p *partition, o operation, revision int64) {
	p.reached()
	if o.seals {
		p.index.sealActive(p.copyName(), p.copied)
	}
	p.copied = 0
	p.revision = revision
	p.listed = o.listed
	p.body = o.body
	for _, i := range o.items {
		p.index.addActive(i.entry)
	}
	garbage := slices.Concat(p.garbage, p.index.drop(o.listed))
	p.garbage = nil
	for _, s := range garbage {
		m.deleteSegment(p, s.name, s.revision)
	}
	m.settle(p)
	m.decideWaiting(p)
}

func (m *Machine) readCopy(p *partition, name string) {
	p.busy = true
	op := m.start(operation{kind: operationReadCopy, partition: p, name: name})
	m.emit(Read{Op: op, Key: p.segmentKey(name)})
}

// write starts a write of what is queued, or of the sealed copy that must precede it.
func (m *Machine) write(p *partition) {
	items, size := m.batch(p)
	seals := len(p.body) > 0 && len(p.body)+size > m.settings.SegmentBytes
	if seals && p.copied == 0 {
		p.busy = true
		name := p.copyName()
		op := m.start(operation{kind: operationCopy, partition: p, name: name})
		m.emit(Swap{Op: op, Key: p.segmentKey(name), Value: compact(p.body)})
		return
	}
	expired := p.index.expired(m.expiryLimit())
	listed := append([]string(nil), p.listed[min(expired, len(p.listed)):]...)
	var body []byte
	if seals {
		listed = append(listed, p.copyName())
	} else {
		body = append(body, p.body...)
	}
	var first []*item
	for _, i := range items {
		if !i.sent {
			first = append(first, i)
		}
		i.sent = true
		i.base = p.revision
		body = append(body, i.line...)
	}
	value, err := encodeActive(listed, body)
	if err != nil {
		m.fail(p)
		return
	}
	p.dueAt = neverDue
	if len(items) < len(p.items) {
		p.dueAt = m.moment.Monotonic
	}
	p.busy = true
	p.nextWriteAt = m.moment.Monotonic + m.settings.MinWriteInterval
	op := m.start(operation{
		kind:      operationWriteActive,
		partition: p,
		items:     items,
		listed:    listed,
		body:      body,
		first:     first,
		seals:     seals,
	})
	m.emit(Swap{Op: op, Key: p.key, Value: value, Revision: m.seams.revision(p.revision)})
}

// writeAt returns when the partition's items are to be written.
func (m *Machine) writeAt(p *partition) time.Duration {
	if p.index.expired(m.expiryLimit()) > 0 {
		return p.nextWriteAt
	}
	return max(p.nextWriteAt, p.dueAt)
}

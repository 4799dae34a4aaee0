package claimer

import (
	"slices"
	"time"

	"samphirewharf/internal/external/storer"
)

// nextBatch returns the entries of the next write and their size. Abandoned claims whose write has an
// unknown outcome are left out: if this write is committed, theirs never can be.
func (m *Machine) nextBatch(p *partition) ([]*pendingEntry, int) {
	var entries []*pendingEntry
	size := 0
	for _, e := range p.pending {
		if e.entry.Kind == entryClaim && e.claim.abandoned {
			continue
		}
		if len(entries) > 0 && (size+len(e.line) > m.settings.SegmentBytes || len(entries) == m.settings.MaxBatch) {
			break
		}
		entries = append(entries, e)
		size += len(e.line)
	}
	return entries, size
}

// deleteSegment deletes a sealed segment that is no longer listed.
func (m *Machine) deleteSegment(p *partition, name string, revision int64) {
	op := m.startOperation(operation{kind: operationDelete, partition: p, name: name, revision: revision})
	m.emit(Delete{Op: op, Key: p.segmentKey(name), Revision: revision})
}

// expiryCutoff returns the wall time before which entries need not be kept.
func (m *Machine) expiryCutoff() int64 {
	return m.now.Wall.Add(-m.settings.Retention - m.settings.ClockMargin).UnixMilli()
}

func (m *Machine) onCopy(p *partition, o operation, a Answer) {
	switch a.Result {
	case storer.ResultOK:
		p.markUp()
		p.copyRevision = a.Revision
	case storer.ResultNotSent:
		m.markDown(p)
	default:
		// The copy may exist, from this call or from another owner's; its content is the same.
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
		p.markUp()
		p.copyRevision = a.Revision
	case storer.ResultNotFound:
		// The copy is written again before the next write, after the active segment has been read.
		p.stale = true
	default:
		m.markDown(p)
	}
}

func (m *Machine) onWriteActive(p *partition, o operation, a Answer) {
	if m.hooks.committed(a.Result) {
		m.onWritten(p, o, a.Revision)
		return
	}
	p.dueAt = m.now.Monotonic
	switch a.Result {
	case storer.ResultNotSent:
		for _, e := range o.firstSent {
			e.sent = false
		}
		m.markDown(p)
	default:
		p.stale = true
	}
}

// onWritten adopts the active segment that was written.
func (m *Machine) onWritten(p *partition, o operation, revision int64) {
	p.markUp()
	if o.seals {
		p.index.sealActive(p.copyName(), p.copyRevision)
	}
	p.copyRevision = 0
	p.revision = revision
	p.sealed = o.sealed
	p.body = o.body
	for _, e := range o.entries {
		p.index.addActive(e.entry)
	}
	garbage := slices.Concat(p.garbage, p.index.removeUnlisted(o.sealed))
	p.garbage = nil
	for _, s := range garbage {
		m.deleteSegment(p, s.name, s.revision)
	}
	m.resolvePending(p)
	m.decideWaiting(p)
}

func (m *Machine) readCopy(p *partition, name string) {
	p.callInFlight = true
	op := m.startOperation(operation{kind: operationReadCopy, partition: p, name: name})
	m.emit(Read{Op: op, Key: p.segmentKey(name)})
}

// write starts a write of the pending entries, or of the sealed copy that must precede it.
func (m *Machine) write(p *partition) {
	entries, size := m.nextBatch(p)
	seals := len(p.body) > 0 && len(p.body)+size > m.settings.SegmentBytes
	if seals && p.copyRevision == 0 {
		p.callInFlight = true
		name := p.copyName()
		op := m.startOperation(operation{kind: operationCopy, partition: p, name: name})
		m.emit(Swap{Op: op, Key: p.segmentKey(name), Value: compact(p.body)})
		return
	}
	expired := p.index.countExpired(m.expiryCutoff())
	sealed := append([]string(nil), p.sealed[min(expired, len(p.sealed)):]...)
	var body []byte
	if seals {
		sealed = append(sealed, p.copyName())
	} else {
		body = append(body, p.body...)
	}
	var firstSent []*pendingEntry
	for _, e := range entries {
		if !e.sent {
			firstSent = append(firstSent, e)
		}
		e.sent = true
		e.baseRevision = p.revision
		body = append(body, e.line...)
	}
	value, err := encodeActive(sealed, body)
	if err != nil {
		m.markDown(p)
		return
	}
	p.dueAt = neverDue
	if len(entries) < len(p.pending) {
		p.dueAt = m.now.Monotonic
	}
	p.callInFlight = true
	p.nextWriteAt = m.now.Monotonic + m.settings.MinWriteInterval
	op := m.startOperation(operation{
		kind:      operationWriteActive,
		partition: p,
		entries:   entries,
		sealed:    sealed,
		body:      body,
		firstSent: firstSent,
		seals:     seals,
	})
	m.emit(Swap{Op: op, Key: p.key, Value: value, Revision: m.hooks.writeRevision(p.revision)})
}

// writeDueAt returns when the partition's next write is due.
func (m *Machine) writeDueAt(p *partition) time.Duration {
	if p.index.countExpired(m.expiryCutoff()) > 0 {
		return p.nextWriteAt
	}
	return max(p.nextWriteAt, p.dueAt)
}

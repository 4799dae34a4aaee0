package claimer

import (
	"slices"
	"time"

	"samphirewharf/internal/platform/storer"
)

// maxSegmentReads is how many sealed segments of a partition are read at once.
const maxSegmentReads = 8

// An operationKind tells what a call to the key-value service is for.
type operationKind uint8

const (
	operationReadActive operationKind = iota
	operationReadSegment
	operationWriteActive
	operationCopy
	operationReadCopy
	operationDelete
)

// An operation is a call to the key-value service that is under way.
type operation struct {
	kind      operationKind
	partition *partition
	// name is the sealed segment that is read, written or deleted.
	name string
	// revision is the revision of the segment to delete.
	revision int64
	// items, listed and body are what an active segment is written with.
	items  []*item
	listed []string
	body   []byte
	// first are those of items that no earlier write at the same revision held.
	first []*item
	// seals tells that the write replaces the active segment by one that lists its copy.
	seals bool
}

// StoreAnswer takes the answer to a Read, Swap or Delete.
func (m *Machine) StoreAnswer(now Moment, a Answer) []Action {
	m.begin(now)
	o, ok := m.operations[a.Op]
	if !ok {
		return m.end()
	}
	delete(m.operations, a.Op)
	p := o.partition
	if o.kind == operationDelete {
		m.onDelete(o, a)
		return m.end()
	}
	p.busy = false
	switch o.kind {
	case operationReadActive:
		m.onReadActive(p, a)
	case operationReadSegment:
		m.onReadSegment(p, o, a)
	case operationWriteActive:
		m.onWriteActive(p, o, a)
	case operationCopy:
		m.onCopy(p, o, a)
	case operationReadCopy:
		m.onReadCopy(p, a)
	}
	m.advance(p)
	return m.end()
}

// addSegment applies a sealed segment that was read, and reports whether it could.
func (m *Machine) addSegment(p *partition, name string, a Answer) bool {
	if a.Result == storer.ResultNotFound {
		// Another owner has dropped it since the active segment was read.
		p.stale = true
		p.retryAt = m.moment.Since + m.settings.RetryInterval
		return false
	}
	if a.Result != storer.ResultOK {
		m.fail(p)
		return false
	}
	entries, err := decodeBody(a.Value)
	if err != nil {
		m.fail(p)
		return false
	}
	p.down = false
	p.index.addSegment(name, a.Revision, entries)
	return true
}

// advance starts the partition's next call if it has one to make.
func (m *Machine) advance(p *partition) {
	if p.unused() {
		delete(m.partitions, p.number)
		return
	}
	if p.busy || m.moment.Since < p.retryAt || !m.hasWork(p) {
		return
	}
	switch {
	case !p.loaded && !p.stale && !p.segmentsLoaded():
		m.readSegments(p)
	case !p.loaded || p.stale:
		m.readActive(p)
	case m.moment.Since >= m.writeAt(p):
		m.write(p)
	}
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

// fail notes that the key-value service did not answer and refuses what needs it.
func (m *Machine) fail(p *partition) {
	p.down = true
	p.stale = true
	p.retryAt = m.moment.Since + m.settings.RetryInterval
	m.refuseUnsent(p)
}

// finishLoad settles what was unknown after the partition was read.
func (m *Machine) finishLoad(p *partition) {
	p.loaded = true
	m.settle(p)
	m.decideWaiting(p)
}

// hasWork reports whether the partition has a call to make.
func (m *Machine) hasWork(p *partition) bool {
	if p.owned && (!p.loaded || p.stale) {
		return true
	}
	return len(p.items) > 0 || p.owned && p.index.expired(m.expiryLimit()) > 0
}

func (m *Machine) onCopy(p *partition, o operation, a Answer) {
	switch a.Result {
	case storer.ResultOK:
		p.down = false
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

func (m *Machine) onReadActive(p *partition, a Answer) {
	var h header
	var body []byte
	var err error
	switch a.Result {
	case storer.ResultOK:
		h, body, err = decodeActive(a.Value)
	case storer.ResultNotFound:
		a.Revision = 0
	default:
		m.fail(p)
		return
	}
	if err != nil {
		m.fail(p)
		return
	}
	p.down = false
	p.stale = false
	if p.loaded && a.Revision == p.revision {
		m.decideWaiting(p)
		return
	}
	m.replaceActive(p, h, body, a.Revision)
}

func (m *Machine) onReadCopy(p *partition, a Answer) {
	switch a.Result {
	case storer.ResultOK:
		p.down = false
		p.copied = a.Revision
	case storer.ResultNotFound:
		// Written again by the next write, after the active segment has been read.
		p.stale = true
	default:
		m.fail(p)
	}
}

// onReadSegment takes one of the segments that are read at once. They are applied in their order
// when all have come.
func (m *Machine) onReadSegment(p *partition, o operation, a Answer) {
	p.reading--
	p.busy = p.reading > 0
	p.fetched[o.name] = a
	if p.busy {
		return
	}
	fetched := p.fetched
	p.fetched = nil
	for _, name := range p.unread()[:len(fetched)] {
		if !m.addSegment(p, name, fetched[name]) {
			return
		}
	}
	if p.segmentsLoaded() {
		m.finishLoad(p)
	}
}

func (m *Machine) onWriteActive(p *partition, o operation, a Answer) {
	if m.seams.landed(a.Result) {
		m.onWritten(p, o, a.Revision)
		return
	}
	p.dueAt = m.moment.Since
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
	p.down = false
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

func (m *Machine) readActive(p *partition) {
	p.busy = true
	for _, c := range p.waiting {
		c.fresh = true
	}
	op := m.start(operation{kind: operationReadActive, partition: p})
	m.emit(Read{Op: op, Key: p.key})
}

func (m *Machine) readCopy(p *partition, name string) {
	p.busy = true
	op := m.start(operation{kind: operationReadCopy, partition: p, name: name})
	m.emit(Read{Op: op, Key: p.segmentKey(name)})
}

// readSegments reads the next of the sealed segments that are listed.
func (m *Machine) readSegments(p *partition) {
	names := p.unread()
	names = names[:min(len(names), maxSegmentReads)]
	p.busy = true
	p.reading = len(names)
	p.fetched = make(map[string]Answer, len(names))
	for _, name := range names {
		op := m.start(operation{kind: operationReadSegment, partition: p, name: name})
		m.emit(Read{Op: op, Key: p.segmentKey(name)})
	}
}

// replaceActive takes over an active segment that another process wrote, or the first one read.
func (m *Machine) replaceActive(p *partition, h header, body []byte, revision int64) {
	entries, err := decodeBody(body)
	if err != nil {
		m.fail(p)
		return
	}
	if copied, name := p.copied, p.copyName(); copied != 0 && !slices.Contains(h.Sealed, name) {
		m.deleteSegment(p, name, copied)
	}
	p.copied = 0
	p.loaded = false
	p.revision = revision
	p.listed = m.seams.sealed(h.Sealed)
	p.body = body
	p.index.resetActive(entries)
	p.index.drop(p.listed)
	if p.segmentsLoaded() {
		m.finishLoad(p)
	}
}

// settle decides every entry that was sent at a revision that the active segment has moved past,
// and every claim that was not sent, as the key may have been claimed elsewhere.
func (m *Machine) settle(p *partition) {
	items := p.items
	p.items = nil
	for _, i := range items {
		if i.sent && i.base == p.revision {
			p.items = append(p.items, i)
			continue
		}
		if i.sent && p.landed(i) {
			m.settleLanded(i)
			continue
		}
		if i.sent {
			i.sent = false
			p.dueAt = m.moment.Since
		}
		m.settleMissing(p, i)
	}
}

func (m *Machine) settleLanded(i *item) {
	if i.entry.Kind == entryClaim {
		m.grant(i.claim)
		return
	}
	m.forget(i.claim)
}

// settleMissing keeps an entry that is not in the store, unless it need not or must not be written.
func (m *Machine) settleMissing(p *partition, i *item) {
	if i.entry.Kind != entryClaim {
		p.items = append(p.items, i)
		return
	}
	c := i.claim
	r, ok := p.index.lookup(c.request.Key)
	switch {
	case c.abandoned:
		m.forget(c)
	case ok && !r.free():
		delete(p.local, c.request.Key)
		m.wait(c)
	case !p.owned:
		m.forget(c)
		m.wait(c)
	default:
		p.items = append(p.items, i)
	}
}

func (m *Machine) start(o operation) uint64 {
	m.nextOp++
	m.operations[m.nextOp] = o
	return m.nextOp
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
		p.dueAt = m.moment.Since
	}
	p.busy = true
	p.nextWriteAt = m.moment.Since + m.settings.MinWriteInterval
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

// writeAt returns when the partition's items are to be written.
func (m *Machine) writeAt(p *partition) time.Duration {
	if p.index.expired(m.expiryLimit()) > 0 {
		return p.nextWriteAt
	}
	return max(p.nextWriteAt, p.dueAt)
}

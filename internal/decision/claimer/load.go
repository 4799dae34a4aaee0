package claimer

import (
	"slices"

	"samphirewharf/internal/external/storer"
)

// maxSegmentReads is how many sealed segments of a partition are read at once.
const maxSegmentReads = 8

// addSegment applies a sealed segment that was read, and reports whether it could.
func (m *Machine) addSegment(p *partition, name string, a Answer) bool {
	if a.Result == storer.ResultNotFound {
		// Another owner has dropped it since the active segment was read.
		p.stale = true
		p.retryAt = m.moment.Monotonic + m.settings.RetryInterval
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
	p.reached()
	p.index.addSegment(name, a.Revision, entries)
	return true
}

// finishLoad settles what was unknown after the partition was read.
func (m *Machine) finishLoad(p *partition) {
	p.loaded = true
	m.settle(p)
	m.decideWaiting(p)
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
	p.reached()
	p.stale = false
	if p.loaded && a.Revision == p.revision {
		m.decideWaiting(p)
		return
	}
	m.replaceActive(p, h, body, a.Revision)
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

func (m *Machine) readActive(p *partition) {
	p.busy = true
	for _, c := range p.waiting {
		c.fresh = true
	}
	op := m.start(operation{kind: operationReadActive, partition: p})
	m.emit(Read{Op: op, Key: p.key})
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

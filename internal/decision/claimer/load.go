package claimer

import (
	"slices"

	"samphirewharf/internal/external/storer"
)

// maxSegmentReads bounds the concurrent reads of a partition's sealed segments.
const maxSegmentReads = 8

// addSegment applies the answer to the read of a sealed segment and reports whether the segment was added.
func (m *Machine) addSegment(p *partition, name string, a Answer) bool {
	if a.Result == storer.ResultNotFound {
		// Another owner has deleted the segment since the active segment was read.
		p.stale = true
		p.retryAt = m.now.Monotonic + m.settings.RetryInterval
		return false
	}
	if a.Result != storer.ResultOK {
		m.markDown(p)
		return false
	}
	entries, err := decodeBody(a.Value)
	if err != nil {
		m.markDown(p)
		return false
	}
	p.markUp()
	p.index.addSegment(name, a.Revision, entries)
	return true
}

// finishLoad resolves pending entries and waiting requests after the partition was read.
func (m *Machine) finishLoad(p *partition) {
	p.loaded = true
	m.resolvePending(p)
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
		m.markDown(p)
		return
	}
	if err != nil {
		m.markDown(p)
		return
	}
	p.markUp()
	p.stale = false
	if p.loaded && a.Revision == p.revision {
		m.decideWaiting(p)
		return
	}
	m.replaceActive(p, h, body, a.Revision)
}

// onReadSegment handles the answer to one of several concurrent segment reads. Once all answers are
// there, the segments are applied in order.
func (m *Machine) onReadSegment(p *partition, o operation, a Answer) {
	p.segmentReads--
	p.callInFlight = p.segmentReads > 0
	p.segmentAnswers[o.name] = a
	if p.callInFlight {
		return
	}
	answers := p.segmentAnswers
	p.segmentAnswers = nil
	for _, name := range p.unreadSegments()[:len(answers)] {
		if !m.addSegment(p, name, answers[name]) {
			return
		}
	}
	if p.segmentsLoaded() {
		m.finishLoad(p)
	}
}

func (m *Machine) readActive(p *partition) {
	p.callInFlight = true
	for _, c := range p.waiting {
		c.readSinceArrival = true
	}
	op := m.startOperation(operation{kind: operationReadActive, partition: p})
	m.emit(Read{Op: op, Key: p.key})
}

// readSegments reads the next listed sealed segments.
func (m *Machine) readSegments(p *partition) {
	names := p.unreadSegments()
	names = names[:min(len(names), maxSegmentReads)]
	p.callInFlight = true
	p.segmentReads = len(names)
	p.segmentAnswers = make(map[string]Answer, len(names))
	for _, name := range names {
		op := m.startOperation(operation{kind: operationReadSegment, partition: p, name: name})
		m.emit(Read{Op: op, Key: p.segmentKey(name)})
	}
}

// replaceActive adopts an active segment that another process wrote, or the first one read.
func (m *Machine) replaceActive(p *partition, h header, body []byte, revision int64) {
	entries, err := decodeBody(body)
	if err != nil {
		m.markDown(p)
		return
	}
	if copied, name := p.copyRevision, p.copyName(); copied != 0 && !slices.Contains(h.Sealed, name) {
		m.deleteSegment(p, name, copied)
	}
	p.copyRevision = 0
	p.loaded = false
	p.revision = revision
	p.sealed = m.hooks.sealedToRead(h.Sealed)
	p.body = body
	p.index.resetActive(entries)
	p.index.removeUnlisted(p.sealed)
	if p.segmentsLoaded() {
		m.finishLoad(p)
	}
}

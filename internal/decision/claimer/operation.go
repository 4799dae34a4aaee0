package claimer

import "samphirewharf/internal/caller/refuser"

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
	entries []*pendingEntry
	sealed  []string
	body    []byte
	// first are those of items that no earlier write at the same revision held.
	firstSent []*pendingEntry
	// seals tells that the write replaces the active segment by one that lists its copy.
	seals bool
}

// HandleStoreAnswer takes the answer to a Read, Swap or Delete.
func (m *Machine) HandleStoreAnswer(now Moment, a Answer) []Action {
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
	p.callInFlight = false
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

// advance starts the partition's next call if it has one to make.
func (m *Machine) advance(p *partition) {
	if p.unused() {
		delete(m.partitions, p.number)
		return
	}
	if p.callInFlight || m.now.Monotonic < p.retryAt || !m.hasWork(p) {
		return
	}
	switch {
	case !p.loaded && !p.stale && !p.segmentsLoaded():
		m.readSegments(p)
	case !p.loaded || p.stale:
		m.readActive(p)
	case m.now.Monotonic >= m.writeDueAt(p):
		m.write(p)
	}
}

// markDown notes that the key-value service did not answer and refuses what needs it. A request whose claim
// was in a write of unknown outcome is refused too: it is never granted, and its claim is released if it
// turns out to have landed.
func (m *Machine) markDown(p *partition) {
	p.storeDown = true
	p.stale = true
	p.retryAt = m.now.Monotonic + p.backoff.Next(m.settings.Random)
	m.denyUnsent(p)
	for _, e := range p.pending {
		if e.entry.Kind == entryClaim && e.claim.state == StateClaiming && !e.claim.abandoned {
			m.abandon(e.claim, refuser.CodeClaimUnavailable)
		}
	}
}

// hasWork reports whether the partition has a call to make.
func (m *Machine) hasWork(p *partition) bool {
	if p.owned && (!p.loaded || p.stale) {
		return true
	}
	return len(p.pending) > 0 || p.owned && p.index.countExpired(m.expiryCutoff()) > 0
}

func (m *Machine) startOperation(o operation) uint64 {
	m.nextOp++
	m.operations[m.nextOp] = o
	return m.nextOp
}

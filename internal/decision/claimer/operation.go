package claimer

import "samphirewharf/internal/caller/refuser"

// An operationKind is the purpose of a call to the key-value service.
type operationKind uint8

const (
	operationReadActive operationKind = iota
	operationReadSegment
	operationWriteActive
	operationCopy
	operationReadCopy
	operationDelete
)

// An operation is a call to the key-value service that is in flight.
type operation struct {
	kind      operationKind
	partition *partition
	// name is the name of the sealed segment that is read, written or deleted.
	name string
	// revision is the revision of the segment to delete.
	revision int64
	// entries are the pending entries in the write of an active segment; sealed and body are its content.
	entries []*pendingEntry
	sealed  []string
	body    []byte
	// firstSent are those of entries that were in no earlier write at the same revision.
	firstSent []*pendingEntry
	// seals reports whether the write replaces the active segment by one that lists its sealed copy.
	seals bool
}

// HandleStoreAnswer handles the answer to a Read, Swap or Delete.
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

// advance starts the partition's next store call, if one is needed and may be made now.
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

// markDown records that a call to the key-value service failed and denies the requests that depend on it.
// A request whose claim was in a write of unknown outcome is denied too: it is never granted, and its
// claim is released if it turns out to be committed.
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

// hasWork reports whether the partition needs a store call, now or later.
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

package claimer

// resolvePending resolves every entry that was sent at an older revision of the active segment, and every
// claim that was not sent, because another process may have claimed its key.
func (m *Machine) resolvePending(p *partition) {
	pending := p.pending
	p.pending = nil
	for _, e := range pending {
		if e.sent && e.baseRevision == p.revision {
			p.pending = append(p.pending, e)
			continue
		}
		if e.sent && p.committed(e) {
			m.resolveCommitted(e)
			continue
		}
		if e.sent {
			e.sent = false
			p.dueAt = m.now.Monotonic
		}
		m.resolveMissing(p, e)
	}
}

func (m *Machine) resolveCommitted(e *pendingEntry) {
	if e.entry.Kind == entryClaim {
		m.grant(e.claim)
		return
	}
	m.removeClaim(e.claim)
}

// resolveMissing keeps an entry that is not in the store, unless it need not or must not be written.
func (m *Machine) resolveMissing(p *partition, e *pendingEntry) {
	if e.entry.Kind != entryClaim {
		p.pending = append(p.pending, e)
		return
	}
	c := e.claim
	r, ok := p.index.lookup(c.request.Key)
	switch {
	case c.abandoned:
		m.removeClaim(c)
	case ok && !r.claimable():
		delete(p.localClaims, c.request.Key)
		m.queueWaiting(c)
	case !p.owned:
		m.removeClaim(c)
		m.queueWaiting(c)
	default:
		p.pending = append(p.pending, e)
	}
}

package claimer

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
			p.dueAt = m.moment.Monotonic
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

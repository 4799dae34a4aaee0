package conductor

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"samphirewharf/internal/decision/attributor"
)

// A Conviction is the record in the store that requests with a trait crash servers. Daemons that start later find it there.
type Conviction struct {
	Trait       attributor.Trait
	Depth       int
	Convictions int
	// EvidenceAge is the time from the last crash that convicted the trait to the writing.
	EvidenceAge time.Duration
	// Hold is for how long from the writing on no request with the trait is sent.
	Hold time.Duration
	// Revision is that of the record.
	Revision int64
}

// A ConvictionChanged event carries a conviction's record that was written.
type ConvictionChanged struct{ Conviction Conviction }

// A StoreConvictionEnded event answers StoreConviction.
type StoreConvictionEnded struct {
	Trait attributor.Trait
	OK    bool
}

// A StoreConviction effect writes the record of a conviction. It is answered by StoreConvictionEnded.
type StoreConviction struct {
	Conviction Conviction
	// TTL is how long the record outlives its last writing.
	TTL time.Duration
}

// A DeleteConviction effect deletes the record of a conviction.
type DeleteConviction struct{ Conviction Conviction }

func (ConvictionChanged) event()    {}
func (StoreConvictionEnded) event() {}
func (StoreConviction) effect()     {}
func (DeleteConviction) effect()    {}

// convictionRecords compares the convictions that this daemon knows of with their records in the store.
type convictionRecords struct {
	// convicted holds the traits that requests are held back for, with how often they were convicted.
	convicted map[attributor.Trait]int
	// stored holds the records in the store.
	stored map[attributor.Trait]Conviction
	// checkAt is when the records are compared again, 0 for never.
	checkAt time.Duration
}

func (c *convictionRecords) nextAt() time.Duration {
	if c.checkAt == 0 {
		return never
	}
	return c.checkAt
}

// convictionChanged handles new evidence of a trait, which may begin or end that requests are held back.
func (m *Machine) convictionChanged(t attributor.Trait, reason string) {
	c := &m.crashes.convictions
	e, _ := m.crashes.attributor.Evidence(t)
	if e.Convicted() && e.Convictions == c.convicted[t] || !e.Convicted() && c.convicted[t] == 0 {
		return
	}
	change := "Cleared"
	if e.Convicted() {
		change = "Convicted"
		if c.convicted == nil {
			c.convicted = make(map[attributor.Trait]int)
		}
		c.convicted[t] = e.Convictions
	} else {
		delete(c.convicted, t)
	}
	m.logTrait(t, change, reason)
	c.checkAt = m.now
	if !m.isFirstKeeper() {
		c.checkAt = m.now + secondKeeperDelay
	}
	m.broadcastLater(t)
	if e.Convicted() {
		m.confirmAnswers(t)
		m.refuseQueued(t)
	}
}

func (m *Machine) isFirstKeeper() bool {
	names := m.keeperNames()
	return len(names) == 0 || names[0] == m.settings.Self.Name
}

// refuseQueued refuses the waiting requests with a trait.
func (m *Machine) refuseQueued(t attributor.Trait) {
	for _, name := range m.serviceNames() {
		for _, r := range slices.Clone(m.service(name).queue) {
			if slices.Contains(r.traits, t) {
				m.dequeue(r)
				m.giveUp(r, RefusedPoison, m.holdTime(r))
			}
		}
	}
}

// heldBack reports whether a request isn't sent because requests with the same trait crash servers. A request may be sent as a
// trial after the hold.
func (m *Machine) heldBack(r *request) bool {
	t, left, held := m.crashes.attributor.HoldingTrait(m.now, r.traits)
	if !held || r.trial && r.sends == 0 {
		return false
	}
	if left > 0 || r.trial || !m.triesTrait(t) || !m.crashes.attributor.StartTrial(m.now, t) {
		return true
	}
	r.trial = true
	m.logTrait(t, "Tried", "request "+r.ID)
	return false
}

// holdTime returns the time after which a request that is held back may be tried again.
func (m *Machine) holdTime(r *request) time.Duration {
	_, left, _ := m.crashes.attributor.HoldingTrait(m.now, r.traits)
	return max(left, trialRetryDelay)
}

// triesTrait reports whether this daemon is the one that sends trials for a trait.
func (m *Machine) triesTrait(t attributor.Trait) bool {
	rank := func(name string) uint64 { return xxhash.Sum64String(name + " " + itoa(int64(t.Hash))) }
	own := rank(m.settings.Self.Name)
	for name := range m.daemons {
		if name != m.settings.Self.Name && rank(name) < own {
			return false
		}
	}
	return true
}

// convictionStored handles a conviction's record in the store.
func (m *Machine) convictionStored(c Conviction) {
	records := &m.crashes.convictions
	if records.stored == nil {
		records.stored = make(map[attributor.Trait]Conviction)
	}
	if known, ok := records.stored[c.Trait]; ok && known.Revision >= c.Revision {
		return
	}
	records.stored[c.Trait] = c
	if e, ok := m.crashes.attributor.Evidence(c.Trait); ok && e.Cleared >= c.Convictions {
		records.checkAt = m.now
		return
	}
	changed, knowsMore := m.crashes.attributor.Merge(m.now, attributor.Evidence{
		Trait: c.Trait, Depth: c.Depth, Convictions: c.Convictions, ConvictedAt: m.now - c.EvidenceAge, HeldUntil: m.now + c.Hold,
	})
	if knowsMore {
		m.shareEvidence(c.Trait)
	}
	if changed || knowsMore {
		m.convictionChanged(c.Trait, "recorded in the store")
	}
}

// convictionsListed handles a complete list of the records.
func (m *Machine) convictionsListed(list []Conviction) {
	records := &m.crashes.convictions
	clear(records.stored)
	for _, c := range list {
		m.convictionStored(c)
	}
	if len(records.convicted)+len(records.stored) > 0 {
		records.checkAt = m.now
	}
}

// tickConvictions has the keepers write the records that the store lacks and delete those of traits that were cleared.
func (m *Machine) tickConvictions() {
	c := &m.crashes.convictions
	if c.checkAt == 0 || m.now < c.checkAt {
		return
	}
	c.checkAt = 0
	if !m.isKeeper() {
		return
	}
	for _, t := range m.crashes.attributor.Traits() {
		e, _ := m.crashes.attributor.Evidence(t)
		if stored := c.stored[t]; e.Convicted() && stored.Convictions < e.Convictions {
			c.checkAt = m.now + recordRetryDelay
			m.emit(StoreConviction{TTL: convictionRecordTTL, Conviction: Conviction{Trait: t, Depth: e.Depth, Convictions: e.Convictions, EvidenceAge: m.now - e.ConvictedAt, Hold: max(e.HeldUntil-m.now, 0)}})
		}
	}
	for t, stored := range c.stored {
		if e, ok := m.crashes.attributor.Evidence(t); ok && e.Cleared >= stored.Convictions {
			delete(c.stored, t)
			m.emit(DeleteConviction{Conviction: stored})
		}
	}
}

func (m *Machine) storeConvictionEnded(e StoreConvictionEnded) {
	if !e.OK {
		m.logTrait(e.Trait, "Unrecorded", "the store didn't take the record")
	}
}

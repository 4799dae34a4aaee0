package conductor

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"

	"samphirewharf/internal/decision/attributor"
)

// A Quarantine is the record in the store that requests with a trait crash servers. Daemons that start later find it there.
type Quarantine struct {
	Trait       attributor.Trait
	Depth       int
	Quarantines int
	// EvidenceAge is the time from the last crash that quarantined the trait to the writing.
	EvidenceAge time.Duration
	// Hold is for how long from the writing on no request with the trait is sent.
	Hold time.Duration
	// Revision is that of the record.
	Revision int64
}

// A QuarantineChanged event carries a quarantine's record that was written.
type QuarantineChanged struct{ Quarantine Quarantine }

// A StoreQuarantineEnded event answers StoreQuarantine.
type StoreQuarantineEnded struct {
	Trait attributor.Trait
	OK    bool
}

// A StoreQuarantine effect writes the record of a quarantine. It is answered by StoreQuarantineEnded.
type StoreQuarantine struct {
	Quarantine Quarantine
	// TTL is how long the record outlives its last writing.
	TTL time.Duration
}

// A DeleteQuarantine effect deletes the record of a quarantine.
type DeleteQuarantine struct{ Quarantine Quarantine }

func (QuarantineChanged) event()    {}
func (StoreQuarantineEnded) event() {}
func (StoreQuarantine) effect()     {}
func (DeleteQuarantine) effect()    {}

// quarantineRecords compares the quarantines that this daemon knows of with their records in the store.
type quarantineRecords struct {
	// quarantined holds the traits that requests are held back for, with how often they were quarantined.
	quarantined map[attributor.Trait]int
	// stored holds the records in the store.
	stored map[attributor.Trait]Quarantine
	// checkAt is when the records are compared again, 0 for never.
	checkAt time.Duration
	// writtenAt holds when each trait's record was last written or deleted by this daemon, until recordRetryDelay later.
	writtenAt map[attributor.Trait]time.Duration
	// limiter bounds the writes of all records, nil before the first one.
	limiter *rate.Limiter
}

func (c *quarantineRecords) nextAt() time.Duration {
	if c.checkAt == 0 {
		return never
	}
	return c.checkAt
}

// quarantineChanged handles new evidence of a trait, which may begin or end that requests are held back.
func (m *Machine) quarantineChanged(t attributor.Trait, reason string) {
	c := &m.crashes.quarantines
	e, _ := m.crashes.attributor.Evidence(t)
	if e.Quarantined() && e.Quarantines == c.quarantined[t] || !e.Quarantined() && c.quarantined[t] == 0 {
		return
	}
	change := "Cleared"
	if e.Quarantined() {
		change = "Quarantined"
		if c.quarantined == nil {
			c.quarantined = make(map[attributor.Trait]int)
		}
		c.quarantined[t] = e.Quarantines
	} else {
		delete(c.quarantined, t)
	}
	m.logTrait(t, change, reason)
	if m.isFirstKeeper() {
		m.checkRecordsBy(m.now)
	} else {
		m.checkRecordsBy(m.now + secondKeeperDelay)
	}
	m.broadcastLater(t)
	if e.Quarantined() {
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
// probe after the hold.
func (m *Machine) heldBack(r *request) bool {
	t, left, held := m.crashes.attributor.HoldingTrait(m.now, r.traits)
	if !held || r.probe && r.sends == 0 {
		return false
	}
	if left > 0 || r.probe || !m.probesTrait(t) || !m.crashes.attributor.StartProbe(m.now, t) {
		return true
	}
	r.probe = true
	m.logTrait(t, "Probed", "request "+r.ID)
	return false
}

// holdTime returns the time after which a request that is held back may be tried again.
func (m *Machine) holdTime(r *request) time.Duration {
	_, left, _ := m.crashes.attributor.HoldingTrait(m.now, r.traits)
	return max(left, probeRetryDelay)
}

// probesTrait reports whether this daemon is the one that sends probes for a trait.
func (m *Machine) probesTrait(t attributor.Trait) bool {
	rank := func(name string) uint64 { return xxhash.Sum64String(name + " " + itoa(int64(t.Hash))) }
	own := rank(m.settings.Self.Name)
	for name := range m.daemons {
		if name != m.settings.Self.Name && rank(name) < own {
			return false
		}
	}
	return true
}

// quarantineStored handles a quarantine's record in the store.
func (m *Machine) quarantineStored(c Quarantine) {
	records := &m.crashes.quarantines
	if records.stored == nil {
		records.stored = make(map[attributor.Trait]Quarantine)
	}
	if known, ok := records.stored[c.Trait]; ok && known.Revision >= c.Revision {
		return
	}
	records.stored[c.Trait] = c
	if e, ok := m.crashes.attributor.Evidence(c.Trait); ok && e.Cleared >= c.Quarantines {
		records.checkAt = m.now
		return
	}
	changed, knowsMore := m.crashes.attributor.Merge(m.now, attributor.Evidence{
		Trait: c.Trait, Depth: c.Depth, Quarantines: c.Quarantines, QuarantinedAt: m.now - c.EvidenceAge, HeldUntil: m.now + c.Hold,
	})
	if knowsMore {
		m.shareEvidence(c.Trait)
	}
	if changed || knowsMore {
		m.quarantineChanged(c.Trait, "recorded in the store")
	}
}

// quarantinesListed handles a complete list of the records.
func (m *Machine) quarantinesListed(list []Quarantine) {
	records := &m.crashes.quarantines
	clear(records.stored)
	for _, c := range list {
		m.quarantineStored(c)
	}
	if len(records.quarantined)+len(records.stored) > 0 {
		records.checkAt = m.now
	}
}

// tickQuarantines has the keepers write the records that the store lacks and delete those of traits that were cleared.
func (m *Machine) tickQuarantines() {
	c := &m.crashes.quarantines
	if c.checkAt == 0 || m.now < c.checkAt {
		return
	}
	c.checkAt = 0
	if !m.isKeeper() {
		return
	}
	maps.DeleteFunc(c.writtenAt, func(_ attributor.Trait, at time.Duration) bool { return m.now >= at+recordRetryDelay })
	for _, t := range m.crashes.attributor.Traits() {
		e, _ := m.crashes.attributor.Evidence(t)
		stored, isStored := c.stored[t]
		switch {
		case e.Quarantined() && stored.Quarantines < e.Quarantines:
			if m.mayWriteRecord(t) {
				m.emit(StoreQuarantine{TTL: quarantineRecordTTL, Quarantine: Quarantine{Trait: t, Depth: e.Depth, Quarantines: e.Quarantines, EvidenceAge: m.now - e.QuarantinedAt, Hold: max(e.HeldUntil-m.now, 0)}})
			}
			// The record may turn out not to be written.
			m.checkRecordsBy(m.now + recordRetryDelay)
		case isStored && e.Cleared >= stored.Quarantines && m.mayWriteRecord(t):
			delete(c.stored, t)
			m.emit(DeleteQuarantine{Quarantine: stored})
		}
	}
}

// mayWriteRecord reports whether a trait's record may be written or deleted now. If not, the records are compared again when it may.
func (m *Machine) mayWriteRecord(t attributor.Trait) bool {
	c := &m.crashes.quarantines
	if at, ok := c.writtenAt[t]; ok {
		m.checkRecordsBy(at + recordRetryDelay)
		return false
	}
	if c.limiter == nil {
		c.limiter = rate.NewLimiter(recordWritesPerSecond, recordWriteBurst)
	}
	if !c.limiter.AllowN(time.Unix(0, int64(m.now)), 1) {
		m.checkRecordsBy(m.now + recordWriteInterval)
		return false
	}
	if c.writtenAt == nil {
		c.writtenAt = make(map[attributor.Trait]time.Duration)
	}
	c.writtenAt[t] = m.now
	return true
}

// checkRecordsBy has the records compared at a time at the latest.
func (m *Machine) checkRecordsBy(at time.Duration) {
	c := &m.crashes.quarantines
	if c.checkAt == 0 || at < c.checkAt {
		c.checkAt = at
	}
}

func (m *Machine) storeQuarantineEnded(e StoreQuarantineEnded) {
	if !e.OK {
		m.logTrait(e.Trait, "Unrecorded", "the store didn't take the record")
	}
}

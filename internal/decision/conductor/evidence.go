package conductor

import (
	"maps"
	"slices"
	"time"

	"samphirewharf/internal/decision/attributor"
	"samphirewharf/internal/peer/messenger"
)

// Evidence of crashes has to come together soon, also while there is no leader. Each daemon sends its own to the keepers, the
// first of the followers, which quarantine by all of it and record that in the store. What the store doesn't take, and what ends a
// quarantine, they send to all daemons by way of the followers.

// An evidenceExchange is the evidence that has to be sent.
type evidenceExchange struct {
	// reports are the traits whose evidence goes to the keepers, broadcasts those that a keeper sends to all daemons.
	reports    attributor.Repetitions
	broadcasts attributor.Repetitions
	// reported holds the traits that were reported to the keepers.
	reported map[attributor.Trait]bool
	// keepers are the processes that have got this daemon's evidence as keepers.
	keepers []string
	// announceAt is when a keeper sends all quarantines again.
	announceAt time.Duration
}

func (x *evidenceExchange) nextAt(m *Machine) time.Duration {
	next := min(x.reports.NextAt(never), x.broadcasts.NextAt(never))
	if len(m.crashes.quarantines.quarantined) > 0 && m.isKeeper() {
		next = min(next, x.announceAt)
	}
	return next
}

// keeperNames returns the names of the daemons that merge evidence: the first followers with links to the servers, or the first
// ones if none has.
func (m *Machine) keeperNames() []string {
	if m.keepers == nil {
		names := slices.DeleteFunc(slices.Clone(m.followerNames()), func(name string) bool { return m.daemons[name].LinkDown })
		if len(names) == 0 {
			names = m.followerNames()
		}
		m.keepers = names[:min(len(names), evidenceKeepers)]
	}
	return m.keepers
}

// isKeeper reports whether this daemon merges evidence. One that knows no others does so for itself.
func (m *Machine) isKeeper() bool {
	names := m.keeperNames()
	return len(names) == 0 || slices.Contains(names, m.settings.Self.Name)
}

// shareEvidence schedules the reports of a trait of which this daemon has new evidence.
func (m *Machine) shareEvidence(t attributor.Trait) {
	m.crashes.exchange.reports.Schedule(t, m.now+evidenceDelay, evidenceRepetitions)
}

// broadcastLater has a keeper send a changed quarantine to all daemons if the store hasn't told them by then.
func (m *Machine) broadcastLater(t attributor.Trait) {
	if !m.isKeeper() {
		return
	}
	at := m.now
	if e, _ := m.crashes.attributor.Evidence(t); e.Quarantined() && !m.store.unavailable {
		at += broadcastDelay
	}
	x := &m.crashes.exchange
	x.broadcasts.Schedule(t, at, evidenceRepetitions)
	x.announceAt = max(x.announceAt, m.now+quarantineInterval)
}

// tickEvidence sends the evidence that is due.
func (m *Machine) tickEvidence() {
	x := &m.crashes.exchange
	m.reportToNewKeepers()
	if due := m.worthReporting(x.reports.TakeDue(m.now, evidenceRepeatInterval)); len(due) > 0 {
		message := m.newMessage()
		message.Evidence = &messenger.Evidence{Suspects: m.suspects(due)}
		m.sendTo(m.keeperNames(), message)
	}
	due := x.broadcasts.TakeDue(m.now, evidenceRepeatInterval)
	if len(m.crashes.quarantines.quarantined) > 0 && m.now >= x.announceAt && m.isKeeper() {
		x.announceAt = m.now + quarantineInterval
		due = slices.AppendSeq(due, maps.Keys(m.crashes.quarantines.quarantined))
	}
	due = slices.DeleteFunc(due, m.isStored)
	if len(due) == 0 || !m.isKeeper() {
		return
	}
	message := m.newMessage()
	message.Evidence = &messenger.Evidence{Broadcast: true, Suspects: m.suspects(due)}
	m.sendTo(m.followerNames(), message)
	m.emit(Forward{Evidence: message.Evidence})
}

// worthReporting returns the traits without those that an answer has cleared before they were ever reported, such as the parts that
// most requests share.
func (m *Machine) worthReporting(traits []attributor.Trait) []attributor.Trait {
	x := &m.crashes.exchange
	if x.reported == nil || len(x.reported) > maxReportedTraits {
		x.reported = make(map[attributor.Trait]bool)
	}
	return slices.DeleteFunc(traits, func(t attributor.Trait) bool {
		e, _ := m.crashes.attributor.Evidence(t)
		if len(e.Crashes) > 0 || e.Quarantines > 0 {
			x.reported[t] = true
			return false
		}
		wasReported := x.reported[t]
		delete(x.reported, t)
		return !wasReported
	})
}

// isStored reports whether a trait's quarantine is recorded in the store, so that all daemons learn of it from there.
func (m *Machine) isStored(t attributor.Trait) bool {
	e, _ := m.crashes.attributor.Evidence(t)
	return e.Quarantined() && m.crashes.quarantines.stored[t].Quarantines >= e.Quarantines && !m.store.unavailable
}

// sendTo sends a message to daemons, without this one.
func (m *Machine) sendTo(names []string, message messenger.Message) {
	for _, name := range names {
		if name != m.settings.Self.Name {
			m.emit(SendPeer{Address: m.daemons[name].PeerAddress, Message: message})
		}
	}
}

// reportToNewKeepers has all evidence reported again when other daemons have become keepers, or have started again. They may not know
// of it.
func (m *Machine) reportToNewKeepers() {
	x := &m.crashes.exchange
	var keepers []string
	for _, name := range m.keeperNames() {
		keepers = append(keepers, name+" "+m.daemons[name].Instance)
	}
	if slices.Equal(keepers, x.keepers) {
		return
	}
	x.keepers = keepers
	for _, t := range m.crashes.attributor.Traits() {
		x.reports.Schedule(t, m.now+evidenceDelay, evidenceRepetitions)
	}
}

// suspects returns the evidence of traits as it is sent.
func (m *Machine) suspects(traits []attributor.Trait) []messenger.Suspect {
	list := make([]messenger.Suspect, 0, len(traits))
	for _, t := range traits {
		e, ok := m.crashes.attributor.Evidence(t)
		if !ok {
			continue
		}
		s := messenger.Suspect{
			Fingerprint: t.Hash, Part: t.Kind == attributor.KindPart, Depth: e.Depth, Crashes: e.ReportedCrashes,
			Answered: e.Answered, Quarantines: e.Quarantines, Cleared: e.Cleared,
		}
		if e.Answered {
			s.AnsweredAgo = m.now - e.AnsweredAt
		}
		if e.Quarantines > 0 {
			s.QuarantinedAgo, s.Hold = m.now-e.QuarantinedAt, e.HeldUntil-m.now
		}
		for _, c := range e.Crashes {
			s.Servers, s.Requests, s.Ages = append(s.Servers, c.Server), append(s.Requests, c.Request), append(s.Ages, m.now-c.At)
		}
		list = append(list, s)
	}
	return list
}

// evidenceOf returns the evidence in a message. An earlier version of the daemon doesn't send requests and ages.
func (m *Machine) evidenceOf(s messenger.Suspect) attributor.Evidence {
	e := attributor.Evidence{
		Trait: attributor.Trait{Kind: attributor.KindRequest, Hash: s.Fingerprint}, Depth: s.Depth, Answered: s.Answered, Quarantines: s.Quarantines, Cleared: s.Cleared,
		AnsweredAt: m.now - s.AnsweredAgo, QuarantinedAt: m.now - s.QuarantinedAgo, HeldUntil: m.now + s.Hold,
	}
	if s.Part {
		e.Trait.Kind = attributor.KindPart
	}
	if s.Crashes > len(s.Servers) {
		e.ReportedCrashes = s.Crashes
	}
	for i, server := range s.Servers {
		c := attributor.Crash{Server: server, Request: s.Fingerprint, At: m.now}
		if i < len(s.Requests) && i < len(s.Ages) {
			c.Request, c.At = s.Requests[i], m.now-s.Ages[i]
		}
		e.Crashes = append(e.Crashes, c)
	}
	return e
}

// evidenceReceived handles evidence of another daemon, or what a keeper has merged. A follower relays the latter.
func (m *Machine) evidenceReceived(evidence *messenger.Evidence, relayed bool) {
	if evidence.Broadcast && !relayed {
		m.emit(Forward{Evidence: evidence})
	}
	m.mergeSuspects(evidence.Suspects)
}

func (m *Machine) mergeSuspects(list []messenger.Suspect) {
	for _, s := range list {
		e := m.evidenceOf(s)
		changed, knowsMore := m.crashes.attributor.Merge(m.now, e)
		if knowsMore {
			m.shareEvidence(e.Trait)
		}
		if !changed && !knowsMore {
			continue
		}
		m.crashes.changed = true
		m.quarantineChanged(e.Trait, "another daemon's evidence")
	}
}

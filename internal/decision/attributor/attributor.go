package attributor

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// quarantineCrashes is the number of crashes that quarantine a trait.
	quarantineCrashes = 3
	// quarantineRequests is the number of different requests under which servers must have ended to quarantine a part.
	quarantineRequests = 2
	// momentGap separates crashes that count on their own for a part. Servers that end together, such as those of one host, count
	// once.
	momentGap = 150 * time.Millisecond
	// settleTime is how long after the last crash that it takes a part is quarantined, so that an answer elsewhere can clear it.
	settleTime = 400 * time.Millisecond
	// firstHold is how long requests with a trait are held back after its first quarantine. It doubles up to maxHold.
	firstHold = 2 * time.Minute
	maxHold   = time.Hour
	// evidenceTTL is how long crashes are remembered, quarantineTTL how long a quarantine is after the hold.
	evidenceTTL   = 2 * time.Minute
	quarantineTTL = 10 * time.Minute
	// probeTimeout is how long a probe may take until another request may be tried.
	probeTimeout = 30 * time.Second
	// maxRecords bounds the traits with evidence, maxCrashes the crashes that are kept for each, maxCrashesPerServer those of one
	// server, maxAnswered the traits whose last answer is remembered.
	maxRecords          = 4096
	maxCrashes          = 24
	maxCrashesPerServer = 3
	maxAnswered         = 8192
	// answeredTTL is how long answers are remembered at least, unless there are more than maxAnswered.
	answeredTTL = 20 * time.Second
)

// An Attributor holds the evidence for traits. The zero value is ready to use.
type Attributor struct {
	records map[Trait]*record
	// suspects are the records that may be or become quarantined, and some that no longer may.
	suspects map[Trait]*record
	// answered holds when requests with a trait were last answered, also without any crash.
	answered map[Trait]time.Duration
}

type record struct {
	Evidence
	// probedAt is when a request was last sent as a probe, zero for never.
	probedAt time.Duration
	// settledServers are the servers whose ends were known when another daemon cleared the trait. They don't quarantine it again
	// on their own.
	settledServers []uint64
}

// A Decision is a change of whether requests with a trait are held back.
type Decision struct {
	Trait       Trait
	Quarantined bool
	Crashes     int
	Requests    int
}

// AddCrash records the end of a server while a request with the traits was running there.
func (a *Attributor) AddCrash(now time.Duration, traits []Trait, crash Crash) {
	for depth, t := range traits {
		r := a.recordOf(now, t)
		r.Depth = max(depth-1, 0)
		r.addCrash(crash)
		a.noteSuspect(r)
	}
}

// AddAnswer records a complete answer to a request with the traits. It returns those for which that matters to other daemons.
func (a *Attributor) AddAnswer(now time.Duration, traits []Trait) []Trait {
	if a.answered == nil {
		a.answered = make(map[Trait]time.Duration)
	}
	var matters []Trait
	for _, t := range traits {
		if t.Kind == KindPart {
			a.answered[t] = now
		}
		if r, ok := a.records[t]; ok && a.answer(r, now) {
			matters = append(matters, t)
		}
	}
	a.pruneAnswered(now)
	return matters
}

// answer records that a request with the trait was answered. If that clears a part, the ends of servers that the part had explained
// count again for the requests. It reports whether there was anything to clear.
func (a *Attributor) answer(r *record, at time.Duration) bool {
	held := r.Quarantined()
	changed := r.answer(at)
	if held && !r.Quarantined() && r.Trait.Kind == KindPart {
		for t, other := range a.records {
			if t.Kind == KindRequest {
				other.settledServers = nil
			}
		}
	}
	return changed
}

func (a *Attributor) pruneAnswered(now time.Duration) {
	if len(a.answered) <= maxAnswered {
		return
	}
	maps.DeleteFunc(a.answered, func(_ Trait, at time.Duration) bool { return now > at+answeredTTL })
	if len(a.answered) > maxAnswered {
		clear(a.answered)
	}
}

// Merge adds another daemon's evidence. It reports whether that changed anything, and whether this daemon knows a later answer
// than the other one.
func (a *Attributor) Merge(now time.Duration, e Evidence) (changed, knowsMore bool) {
	r := a.recordOf(now, e.Trait)
	r.Depth = max(r.Depth, e.Depth)
	for _, c := range e.Crashes {
		changed = r.addCrash(c) || changed
	}
	if e.ReportedCrashes > r.ReportedCrashes {
		r.ReportedCrashes, changed = e.ReportedCrashes, true
	}
	if e.Quarantines > r.Quarantines {
		r.Quarantines, r.QuarantinedAt, r.HeldUntil, changed = e.Quarantines, e.QuarantinedAt, e.HeldUntil, true
	}
	if e.Answered && (!r.Answered || e.AnsweredAt > r.AnsweredAt) {
		changed = a.answer(r, e.AnsweredAt) || changed
	}
	if own, ok := a.answered[e.Trait]; ok && (!r.Answered || own > r.AnsweredAt) {
		knowsMore = a.answer(r, own)
	}
	if e.Cleared > r.Cleared {
		r.Cleared, changed = e.Cleared, true
		if !r.Quarantined() {
			r.settledServers = r.servers(nil)
		}
	}
	a.noteSuspect(r)
	return changed, knowsMore
}

// noteSuspect keeps a record among the suspects if it may be or become quarantined.
func (a *Attributor) noteSuspect(r *record) {
	if !r.isSuspect() {
		return
	}
	if a.suspects == nil {
		a.suspects = make(map[Trait]*record)
	}
	a.suspects[r.Trait] = r
}

// recordOf returns the record of a trait, and creates it if there is none.
func (a *Attributor) recordOf(now time.Duration, t Trait) *record {
	if r, ok := a.records[t]; ok {
		return r
	}
	if a.records == nil {
		a.records = make(map[Trait]*record)
	}
	if len(a.records) >= maxRecords {
		a.evict(now)
	}
	r := &record{Evidence: Evidence{Trait: t}}
	if at, ok := a.answered[t]; ok {
		r.Answered, r.AnsweredAt = true, at
	}
	a.records[t] = r
	return r
}

// evict makes room for a record. It drops the one whose last crash is the oldest, quarantined ones last.
func (a *Attributor) evict(now time.Duration) {
	a.Expire(now)
	if len(a.records) < maxRecords {
		return
	}
	var oldest *record
	for _, r := range a.records {
		if oldest == nil || cmp.Or(cmp.Compare(r.Quarantines, oldest.Quarantines), cmp.Compare(r.lastCrash(), oldest.lastCrash()), r.Trait.Compare(oldest.Trait)) < 0 {
			oldest = r
		}
	}
	a.drop(oldest.Trait)
}

// Expire drops evidence that is too old.
func (a *Attributor) Expire(now time.Duration) {
	for t, r := range a.records {
		expiresAt := max(r.lastCrash(), r.AnsweredAt) + evidenceTTL
		if r.Quarantined() {
			expiresAt = r.HeldUntil + quarantineTTL
		}
		if now > expiresAt {
			a.drop(t)
		}
	}
}

func (a *Attributor) drop(t Trait) {
	delete(a.records, t)
	delete(a.suspects, t)
}

// Evidence returns what is known of a trait.
func (a *Attributor) Evidence(t Trait) (Evidence, bool) {
	r, ok := a.records[t]
	if !ok {
		return Evidence{}, false
	}
	e := r.Evidence
	e.Crashes = slices.Clone(e.Crashes)
	return e, true
}

// Traits returns the traits with evidence, sorted.
func (a *Attributor) Traits() []Trait {
	return slices.SortedFunc(maps.Keys(a.records), Trait.Compare)
}

// Suspected reports whether several servers have ended under requests with a trait since one was last answered, or it is
// quarantined.
func (a *Attributor) Suspected(t Trait) bool {
	r, ok := a.records[t]
	return ok && (r.Quarantined() || len(r.servers(nil)) >= quarantineCrashes-1)
}

// Refute drops the crashes of servers that live. It returns the traits that are no longer quarantined.
func (a *Attributor) Refute(lives func(server uint64, at time.Duration) bool) []Trait {
	var cleared []Trait
	for t, r := range a.records {
		before := len(r.Crashes)
		r.Crashes = slices.DeleteFunc(r.Crashes, func(c Crash) bool { return lives(c.Server, c.At) })
		if len(r.Crashes) < before && r.Quarantined() && len(r.servers(nil)) < quarantineCrashes {
			r.Cleared = r.Quarantines
			cleared = append(cleared, t)
		}
	}
	slices.SortFunc(cleared, Trait.Compare)
	return cleared
}

// Questioned reports whether an answer matters for a trait: a server has ended under that very request, or several under requests
// with that part.
func (a *Attributor) Questioned(t Trait) bool {
	r, ok := a.records[t]
	return ok && (len(r.Crashes) > 0 && t.Kind == KindRequest || a.Suspected(t))
}

// HoldingTrait returns the trait for which a request is held back, if any, and for how much longer.
func (a *Attributor) HoldingTrait(now time.Duration, traits []Trait) (Trait, time.Duration, bool) {
	for _, t := range traits {
		if r, ok := a.records[t]; ok && r.Quarantined() {
			return t, max(r.HeldUntil-now, 0), true
		}
	}
	return Trait{}, 0, false
}

// StartProbe reports whether a request with a quarantined trait may be sent to find out whether it still crashes servers. Only
// one daemon may call it for a trait.
func (a *Attributor) StartProbe(now time.Duration, t Trait) bool {
	r, ok := a.records[t]
	if !ok || now <= r.HeldUntil || r.probedAt > 0 && now < r.probedAt+probeTimeout {
		return false
	}
	r.probedAt = now
	return true
}

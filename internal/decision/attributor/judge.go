package attributor

import (
	"slices"
	"time"
)

// Judge quarantines the traits that explain crashes and, if clears is set, clears those whose crashes another trait explains better.
// It returns the changes. Only one of the daemons that exchange evidence may clear: those with different evidence would undo
// each other's decisions without end.
func (a *Attributor) Judge(now time.Duration, clears bool) []Decision {
	explained := make(map[uint64]bool)
	decisions := a.decideParts(now, explained, clears)
	for _, r := range a.candidates(KindRequest) {
		responsible := max(len(r.servers(explained)), r.ReportedCrashes) >= quarantineCrashes
		switch {
		case responsible && (!r.Quarantined() && !r.settled() || r.failedProbe()):
			r.quarantine(now)
		case clears && !responsible && r.Quarantined() && r.explainedBy(explained):
			r.Cleared = r.Quarantines
		default:
			continue
		}
		decisions = append(decisions, r.decision())
	}
	return decisions
}

// decideParts judges the parts, the most suspected first, and adds the servers whose end they explain.
func (a *Attributor) decideParts(now time.Duration, explained map[uint64]bool, clears bool) []Decision {
	var decisions []Decision
	var open []*record
	for _, r := range a.candidates(KindPart) {
		if at, ok := r.quarantinableAt(nil); r.Quarantined() || ok && now >= at {
			open = append(open, r)
		}
	}
	for len(open) > 0 {
		r := slices.MinFunc(open, func(x, y *record) int { return compareSuspicion(x, y, explained) })
		open = slices.DeleteFunc(open, func(other *record) bool { return other == r })
		_, responsible := r.quarantinableAt(explained)
		switch {
		case responsible && !r.Quarantined() && !r.settled() || r.failedProbe():
			r.quarantine(now)
			decisions = append(decisions, r.decision())
		case clears && !responsible && r.Quarantined() && r.explainedBy(explained):
			r.Cleared = r.Quarantines
			decisions = append(decisions, r.decision())
		}
		if r.Quarantined() {
			for _, server := range r.servers(nil) {
				explained[server] = true
			}
		}
	}
	return decisions
}

// NextAt returns when Judge may quarantine a trait without new evidence, false if it won't.
func (a *Attributor) NextAt() (time.Duration, bool) {
	explained := a.explainedByParts()
	next, found := time.Duration(0), false
	for _, r := range a.candidates(KindPart) {
		if r.Quarantined() || r.settled() {
			continue
		}
		if at, ok := r.quarantinableAt(explained); ok && (!found || at < next) {
			next, found = at, true
		}
	}
	return next, found
}

// candidates returns the records of a kind that may be or become quarantined, sorted. In a storm most records have the crashes of one
// or two servers.
func (a *Attributor) candidates(kind Kind) []*record {
	var list []*record
	for t, r := range a.suspects {
		switch {
		case !r.isSuspect():
			delete(a.suspects, t)
		case t.Kind == kind:
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(x, y *record) int { return x.Trait.Compare(y.Trait) })
	return list
}

// explainedByParts returns the servers whose end a quarantined part explains.
func (a *Attributor) explainedByParts() map[uint64]bool {
	explained := make(map[uint64]bool)
	for _, r := range a.candidates(KindPart) {
		if r.Quarantined() {
			for _, server := range r.servers(nil) {
				explained[server] = true
			}
		}
	}
	return explained
}

// failedProbe reports whether a server has ended under a request with a quarantined trait after its hold.
func (r *record) failedProbe() bool { return r.Quarantined() && r.lastCrash() > r.HeldUntil }

// settled reports whether another daemon has cleared the trait since the last crash.
func (r *record) settled() bool {
	return len(r.settledServers) > 0 && !slices.ContainsFunc(r.Crashes, func(c Crash) bool { return !slices.Contains(r.settledServers, c.Server) })
}

// explainedBy reports whether other traits explain the end of a server.
func (r *record) explainedBy(explained map[uint64]bool) bool {
	return len(r.servers(explained)) < len(r.servers(nil))
}

func (r *record) decision() Decision {
	return Decision{Trait: r.Trait, Quarantined: r.Quarantined(), Crashes: len(r.servers(nil)), Requests: r.requests(nil)}
}

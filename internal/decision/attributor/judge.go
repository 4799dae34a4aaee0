package attributor

import (
	"slices"
	"time"
)

// Judge convicts the traits that explain crashes, and clears those whose crashes another trait explains better. It returns
// the changes.
func (a *Attributor) Judge(now time.Duration) []Verdict {
	explained := make(map[uint64]bool)
	verdicts := a.judgeParts(now, explained)
	for _, r := range a.candidates(KindRequest) {
		guilty := max(len(r.servers(explained)), r.ReportedCrashes) >= convictingCrashes
		switch {
		case guilty && (!r.Convicted() || r.failedTrial()):
			r.convict(now)
		case !guilty && r.Convicted() && r.explainedBy(explained):
			r.Cleared = r.Convictions
		default:
			continue
		}
		verdicts = append(verdicts, r.verdict())
	}
	return verdicts
}

// judgeParts judges the parts, the guiltiest first, and adds the servers whose end they explain.
func (a *Attributor) judgeParts(now time.Duration, explained map[uint64]bool) []Verdict {
	var verdicts []Verdict
	var open []*record
	for _, r := range a.candidates(KindPart) {
		if at, ok := r.convictableAt(nil); r.Convicted() || ok && now >= at {
			open = append(open, r)
		}
	}
	for len(open) > 0 {
		r := slices.MinFunc(open, func(x, y *record) int { return compareGuilt(x, y, explained) })
		open = slices.DeleteFunc(open, func(other *record) bool { return other == r })
		_, guilty := r.convictableAt(explained)
		switch {
		case guilty && !r.Convicted() || r.Convicted() && r.failedTrial():
			r.convict(now)
			verdicts = append(verdicts, r.verdict())
		case !guilty && r.Convicted() && r.explainedBy(explained):
			r.Cleared = r.Convictions
			verdicts = append(verdicts, r.verdict())
		}
		if r.Convicted() {
			for _, server := range r.servers(nil) {
				explained[server] = true
			}
		}
	}
	return verdicts
}

// NextAt returns when Judge may convict a trait without new evidence, false if it won't.
func (a *Attributor) NextAt() (time.Duration, bool) {
	explained := a.explainedByParts()
	next, found := time.Duration(0), false
	for _, r := range a.candidates(KindPart) {
		if r.Convicted() {
			continue
		}
		if at, ok := r.convictableAt(explained); ok && (!found || at < next) {
			next, found = at, true
		}
	}
	return next, found
}

// candidates returns the records of a kind that may be or become convicted, sorted. In a storm most records have the crashes of one
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

// explainedByParts returns the servers whose end a convicted part explains.
func (a *Attributor) explainedByParts() map[uint64]bool {
	explained := make(map[uint64]bool)
	for _, r := range a.candidates(KindPart) {
		if r.Convicted() {
			for _, server := range r.servers(nil) {
				explained[server] = true
			}
		}
	}
	return explained
}

// failedTrial reports whether a server has ended under a request with a convicted trait after its hold.
func (r *record) failedTrial() bool { return r.lastCrash() > r.HeldUntil }

// explainedBy reports whether other traits explain the end of a server.
func (r *record) explainedBy(explained map[uint64]bool) bool {
	return len(r.servers(explained)) < len(r.servers(nil))
}

func (r *record) verdict() Verdict {
	return Verdict{Trait: r.Trait, Convicted: r.Convicted(), Crashes: len(r.servers(nil)), Requests: r.requests(nil)}
}

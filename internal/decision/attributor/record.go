package attributor

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// addCrash adds a crash unless it is known. Those before the last answer don't count, and of many the latest are kept, whatever the
// order in which they arrive.
func (r *record) addCrash(c Crash) bool {
	if r.Answered && c.At <= r.AnsweredAt {
		return false
	}
	if i := slices.IndexFunc(r.Crashes, c.sameAs); i >= 0 {
		r.Crashes[i].At = min(r.Crashes[i].At, c.At)
		return false
	}
	r.Crashes = append(r.Crashes, c)
	slices.SortFunc(r.Crashes, compareCrashes)
	ofServer := make(map[uint64]int)
	r.Crashes = slices.DeleteFunc(r.Crashes, func(other Crash) bool {
		ofServer[other.Server]++
		return ofServer[other.Server] > maxCrashesPerServer
	})
	r.Crashes = r.Crashes[:min(len(r.Crashes), maxCrashes)]
	return slices.Contains(r.Crashes, c)
}

// sameAs reports whether both are the end of the same server under the same request. Daemons may have seen it at different times.
func (c Crash) sameAs(other Crash) bool {
	return c.Server == other.Server && c.Request == other.Request
}

// compareCrashes orders crashes, the latest first.
func compareCrashes(a, b Crash) int {
	return cmp.Or(cmp.Compare(b.At, a.At), cmp.Compare(a.Server, b.Server), cmp.Compare(a.Request, b.Request))
}

// answer records that a request with the trait was answered, which clears it. It reports whether there was anything to clear.
func (r *record) answer(at time.Duration) bool {
	r.Answered, r.AnsweredAt = true, max(at, r.AnsweredAt)
	known := len(r.Crashes) + r.ReportedCrashes
	r.Crashes = slices.DeleteFunc(r.Crashes, func(c Crash) bool { return c.At <= r.AnsweredAt })
	r.ReportedCrashes = 0
	cleared := r.Quarantined() && r.AnsweredAt > r.QuarantinedAt
	if cleared {
		r.Cleared = r.Quarantines
	}
	return cleared || len(r.Crashes) < known
}

// isSuspect reports whether the trait is or may become quarantined.
func (r *record) isSuspect() bool {
	return r.Quarantined() || max(len(r.Crashes), r.ReportedCrashes) >= quarantineCrashes
}

func (r *record) lastCrash() time.Duration {
	var last time.Duration
	for _, c := range r.Crashes {
		last = max(last, c.At)
	}
	return last
}

// servers returns the servers that ended under requests with the trait, without those whose end is explained.
func (r *record) servers(explained map[uint64]bool) []uint64 {
	var list []uint64
	for _, c := range r.Crashes {
		if !explained[c.Server] && !slices.Contains(list, c.Server) {
			list = append(list, c.Server)
		}
	}
	return list
}

// endTimes returns when the servers ended whose end isn't explained, the earliest first. A request may have ended before its server did,
// so the latest crash of each tells.
func (r *record) endTimes(explained map[uint64]bool) []time.Duration {
	last := make(map[uint64]time.Duration)
	for _, c := range r.Crashes {
		if !explained[c.Server] {
			last[c.Server] = max(last[c.Server], c.At)
		}
	}
	return slices.Sorted(maps.Values(last))
}

// requests returns the number of different requests under which servers ended.
func (r *record) requests(explained map[uint64]bool) int {
	seen := make(map[uint64]bool)
	for _, c := range r.Crashes {
		if !explained[c.Server] {
			seen[c.Request] = true
		}
	}
	return len(seen)
}

// quarantinableAt returns when the crashes that aren't explained quarantine a part, false if they don't.
func (r *record) quarantinableAt(explained map[uint64]bool) (time.Duration, bool) {
	if len(r.servers(explained)) < quarantineCrashes || r.requests(explained) < quarantineRequests {
		return 0, false
	}
	times := r.endTimes(explained)
	moments, moment := 1, times[0]
	for _, at := range times[1:] {
		if at < moment+momentGap {
			continue
		}
		moments, moment = moments+1, at
		if moments == quarantineCrashes {
			return at + settleTime, true
		}
	}
	return 0, false
}

// compareSuspicion orders parts by how likely they are the one that crashes servers, most likely first. Among parts with the same
// crashes, that is one of which no answer is known, or the one which the fewest other requests have.
func compareSuspicion(a, b *record, explained map[uint64]bool) int {
	return cmp.Or(
		cmp.Compare(len(b.servers(explained)), len(a.servers(explained))),
		cmp.Compare(a.AnsweredAt, b.AnsweredAt),
		cmp.Compare(b.Depth, a.Depth),
		a.Trait.Compare(b.Trait),
	)
}

func (r *record) quarantine(now time.Duration) {
	r.Quarantines++
	r.QuarantinedAt, r.HeldUntil, r.probedAt = r.lastCrash(), now+holdTime(r.Quarantines-r.Cleared), 0
}

func holdTime(quarantines int) time.Duration {
	return min(firstHold<<min(quarantines-1, 10), maxHold)
}

package resumer

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// A daemon that starts knows nothing of the versions at which streams have begun before. That a service has servers of one version now
// doesn't show that it had no other one a moment ago. So the store keeps a history for each service, which outlives all daemons, and
// all leases. Without one, streams of unknown origin are not resumed.

const (
	// firstHistoryDelay is how long a keeper waits for the other daemons to register before it writes the first history of a service.
	firstHistoryDelay = 400 * time.Millisecond
	// maxHistoryVersions bounds the versions in a history.
	maxHistoryVersions = 64
)

// A History is the record in the store of the software versions at which streams of a service have begun that may be resumed.
type History struct {
	Service string
	// Versions are sorted.
	Versions []string
	// Complete reports whether such streams have begun at no other version.
	Complete bool
	// Epoch is the store's epoch in which the history was written. One of an earlier epoch comes from a copy from which the store was
	// restored, and lacks what came after that copy.
	Epoch int64
	// StoredEpoch is the store's epoch in which the history was read, Revision that of its last change, 0 if it isn't in the store.
	StoredEpoch int64
	Revision    int64
}

// matches reports whether two histories say the same.
func (h History) matches(other History) bool {
	return h.Complete == other.Complete && h.Epoch == other.Epoch && slices.Equal(h.Versions, other.Versions)
}

// Complete reports whether the versions of a service that this daemon knows of are all at which streams have begun that may be resumed.
func (v *Versions) Complete(now time.Duration, service string) bool {
	if !v.loaded {
		return false
	}
	s, ok := v.services[service]
	return ok && s.complete || v.unused || now > v.loadedAt+OriginTTL
}

// CompletenessConfirmed handles that another daemon knows of all versions at which streams of a service have begun, and has told them. Earlier builds say so
// whenever they are up to date. Others is the number of daemons that may do so.
func (v *Versions) CompletenessConfirmed(service, daemon string, others int) {
	s := v.of(service)
	if s.confirmedBy == nil {
		s.confirmedBy = make(map[string]bool)
	}
	if s.confirmedBy[daemon] = true; len(s.confirmedBy) >= min(others, sufficientAnswers) {
		s.complete, s.confirmedBy = true, nil
	}
}

// HistoryChanged handles a history that was written to the store. It returns the same as Seen.
func (v *Versions) HistoryChanged(now time.Duration, h History, firstKeeper bool) int {
	s := v.of(h.Service)
	if h.Revision <= s.history.Revision {
		return 0
	}
	s.history, v.changed = h, true
	for _, version := range h.Versions {
		if _, ok := s.seenAt[version]; !ok {
			s.seenAt[version] = now
		}
	}
	s.complete = s.complete || h.Complete && h.Epoch == h.StoredEpoch
	return s.update(now, 0, firstKeeper)
}

// HistoryRemoved handles the removal of a history from the store at a revision.
func (v *Versions) HistoryRemoved(service string, revision int64) {
	if s, ok := v.services[service]; ok && s.history.Revision <= revision {
		s.history = History{Service: service}
	}
}

// HistoriesListed handles a complete list of the histories as of a revision, each of which HistoryChanged is called with next.
func (v *Versions) HistoriesListed(now time.Duration, histories []History, revision int64) {
	if !v.loaded {
		v.loaded, v.loadedAt, v.unused = true, now, v.FirstStart && len(histories) == 0
	}
	for service, s := range v.services {
		listed := slices.ContainsFunc(histories, func(h History) bool { return h.Service == service })
		if !listed && s.history.Revision > 0 {
			v.HistoryRemoved(service, revision)
		}
	}
}

// A HistoryWriter says which histories a daemon may write.
type HistoryWriter struct {
	Keeper      bool
	FirstKeeper bool
	// Epoch is the store's.
	Epoch int64
	// Configured reports whether the configuration has a service.
	Configured func(service string) bool
}

// TakeChanged reports whether a version or a history has come since it was called last, so that histories may be due.
func (v *Versions) TakeChanged() bool {
	changed := v.changed
	v.changed = false
	return changed
}

// DueHistories returns the histories that have to be written now, and those that have to be deleted, each under the condition that the
// store has the revision in it.
func (v *Versions) DueHistories(now time.Duration, w HistoryWriter) (write, remove []History) {
	if !v.loaded {
		return nil, nil
	}
	for _, service := range v.Services() {
		s := v.services[service]
		if !w.Configured(service) {
			if w.FirstKeeper && s.history.Revision > 0 && s.unseen(now) && s.historyDue(now, 0) {
				remove = append(remove, s.history)
			}
			continue
		}
		wanted := s.wanted(service, v.Complete(now, service), w.Epoch)
		if len(wanted.Versions) == 0 || wanted.matches(s.history) {
			s.historyAt = 0
			continue
		}
		var delay time.Duration
		if s.history.Revision == 0 {
			delay = firstHistoryDelay
		}
		if !w.FirstKeeper {
			delay += secondKeeperDelay
		}
		adds := !s.history.covers(wanted)
		if w.Keeper && (w.FirstKeeper || adds) && s.historyDue(now, delay) {
			write = append(write, wanted)
		}
	}
	return write, remove
}

// covers reports whether a history names all versions of another one, and has its epoch.
func (h History) covers(other History) bool {
	missing := func(version string) bool { return !slices.Contains(h.Versions, version) }
	return h.Epoch == other.Epoch && !slices.ContainsFunc(other.Versions, missing)
}

// historyDue reports whether a history is to be written or deleted now, for the first time after a delay.
func (s *serviceVersions) historyDue(now, delay time.Duration) bool {
	if s.historyAt == 0 {
		s.historyAt = now + delay
	}
	if now < s.historyAt {
		return false
	}
	s.historyAt = now + recordRetryDelay
	return true
}

// unseen reports whether no server of the service was registered for long.
func (s *serviceVersions) unseen(now time.Duration) bool {
	for _, at := range s.seenAt {
		if now <= at+OriginTTL {
			return false
		}
	}
	return true
}

// wanted returns the history that the store should have. If there are too many versions, it names the latest ones and isn't complete.
func (s *serviceVersions) wanted(service string, complete bool, epoch int64) History {
	versions := slices.Collect(maps.Keys(s.seenAt))
	slices.SortFunc(versions, func(a, b string) int { return cmp.Or(cmp.Compare(s.seenAt[b], s.seenAt[a]), cmp.Compare(a, b)) })
	if len(versions) > maxHistoryVersions {
		versions, complete = versions[:maxHistoryVersions], false
	}
	slices.Sort(versions)
	return History{Service: service, Versions: versions, Complete: complete, Epoch: epoch, StoredEpoch: epoch, Revision: s.history.Revision}
}

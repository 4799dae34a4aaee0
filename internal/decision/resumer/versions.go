package resumer

import (
	"maps"
	"slices"
	"time"

	"samphirewharf/internal/peer/messenger"
)

const (
	// secondKeeperDelay is how long the second keeper waits for a record of the first one in the store, recordRetryDelay how long a
	// keeper waits for its own before it writes that again.
	secondKeeperDelay = 500 * time.Millisecond
	recordRetryDelay  = time.Second
)

// Versions is what a daemon knows of the software versions of the services' servers. The zero value is ready to use.
type Versions struct {
	// FirstStart reports whether the whole system starts for the first time.
	FirstStart bool

	services map[string]*serviceVersions
	// loaded reports whether the histories in the store were listed, loadedAt when that was first so.
	loaded   bool
	loadedAt time.Duration
	// unused reports whether no service had a history in the store as the whole system started, so that no stream had begun.
	unused bool
	// changed reports whether a version or a history has come since TakeChanged was called last.
	changed bool
}

// A serviceVersions is what is known of the versions of one service.
type serviceVersions struct {
	// seenAt holds when a server of a version was last registered.
	seenAt map[string]time.Duration
	// mixedUntil is until when streams of several versions may be resumed.
	mixedUntil time.Duration
	// recorded reports whether the store has the record that there are several versions, recordAt when it is due next.
	recorded bool
	recordAt time.Duration
	// history is the one in the store; its revision is 0 if there is none. complete reports whether the versions in seenAt are all at
	// which streams have begun that may be resumed.
	history  History
	complete bool
	// confirmedBy are the daemons that know of all such versions, and have told theirs.
	confirmedBy map[string]bool
	// historyAt is when the history is due to be written, 0 for no time.
	historyAt time.Duration
}

func (v *Versions) of(service string) *serviceVersions {
	s, ok := v.services[service]
	if !ok {
		s = &serviceVersions{seenAt: make(map[string]time.Duration)}
		if v.services == nil {
			v.services = make(map[string]*serviceVersions)
		}
		v.services[service] = s
	}
	return s
}

func (s *serviceVersions) mixed(now time.Duration) bool { return s.recorded || now < s.mixedUntil }

// Mixed reports whether streams of several software versions of a service may be resumed.
func (v *Versions) Mixed(now time.Duration, service string) bool {
	s, ok := v.services[service]
	return ok && s.mixed(now)
}

// Latest returns the version that was seen last, which is the only one of a service that isn't mixed. It returns false if none was seen.
func (v *Versions) Latest(service string) (version string, ok bool) {
	var latest time.Duration
	if s, known := v.services[service]; known {
		for _, seen := range slices.Sorted(maps.Keys(s.seenAt)) {
			if at := s.seenAt[seen]; !ok || at > latest {
				version, latest, ok = seen, at, true
			}
		}
	}
	return version, ok
}

// Services returns the names of all services of which a version was seen or recorded, sorted.
func (v *Versions) Services() []string { return slices.Sorted(maps.Keys(v.services)) }

// Seen records that a server of a version is registered, or was until now. If the service has several versions only since now, it
// returns their number; otherwise 0.
func (v *Versions) Seen(now time.Duration, service, version string, firstKeeper bool) int {
	s := v.of(service)
	if _, known := s.seenAt[version]; !known {
		v.changed = true
	}
	s.seenAt[version] = now
	return s.update(now, 0, firstKeeper)
}

// Describe returns what is known of a service's versions, for another daemon.
func (v *Versions) Describe(now time.Duration, service string) messenger.ServiceVersions {
	described := messenger.ServiceVersions{Service: service}
	s, ok := v.services[service]
	if !ok {
		return described
	}
	for _, version := range slices.Sorted(maps.Keys(s.seenAt)) {
		described.Seen = append(described.Seen, messenger.SeenVersion{SoftwareVersion: version, Ago: now - s.seenAt[version]})
	}
	described.MixedFor = max(0, s.mixedUntil-now)
	if s.recorded {
		// The record reaches the other daemon as well.
		described.MixedFor = max(described.MixedFor, recordRetryDelay)
	}
	return described
}

// Learn handles what another daemon knows of a service's versions. It returns the same as Seen.
func (v *Versions) Learn(now time.Duration, described messenger.ServiceVersions, firstKeeper bool) int {
	s := v.of(described.Service)
	for _, seen := range described.Seen {
		at := now - max(0, seen.Ago)
		if known, ok := s.seenAt[seen.SoftwareVersion]; !ok || at > known {
			s.seenAt[seen.SoftwareVersion] = at
		}
	}
	return s.update(now, min(described.MixedFor, OriginTTL), firstKeeper)
}

// update drops the versions that were seen long ago. If the service has several versions only since now, it returns their number;
// otherwise 0. MixedFor is for how long it has several at least.
func (s *serviceVersions) update(now, mixedFor time.Duration, firstKeeper bool) int {
	before := s.mixed(now)
	if mixedFor > 0 {
		s.mixedUntil = max(s.mixedUntil, now+mixedFor)
	}
	if len(s.seenAt) > 1 {
		maps.DeleteFunc(s.seenAt, func(_ string, at time.Duration) bool { return now > at+OriginTTL })
	}
	if len(s.seenAt) > 1 {
		times := slices.Sorted(maps.Values(s.seenAt))
		s.mixedUntil = max(s.mixedUntil, times[len(times)-2]+OriginTTL)
	}
	if before || now >= s.mixedUntil {
		return 0
	}
	if s.recordAt = now; !firstKeeper {
		s.recordAt = now + secondKeeperDelay
	}
	return max(len(s.seenAt), 2)
}

// Due returns the services whose record a keeper has to write now.
func (v *Versions) Due(now time.Duration, keeper, firstKeeper bool) []string {
	var list []string
	for _, service := range v.Services() {
		s := v.services[service]
		if s.recordAt == 0 || now < s.recordAt {
			continue
		}
		s.recordAt = 0
		if now >= s.mixedUntil || !keeper {
			continue
		}
		s.recordAt = now + OriginTTL/2
		if !s.recorded {
			s.recordAt = now + recordRetryDelay
		}
		if firstKeeper || !s.recorded {
			list = append(list, service)
		}
	}
	return list
}

// Recorded handles a record in the store.
func (v *Versions) Recorded(now time.Duration, service string) {
	s := v.of(service)
	s.recorded = true
	if s.recordAt > 0 {
		s.recordAt = now + OriginTTL/2
	}
}

// RecordRemoved handles the removal of a record. It may have lapsed in an outage of the store.
func (v *Versions) RecordRemoved(now time.Duration, service string) {
	s := v.of(service)
	if !s.recorded {
		return
	}
	s.recorded = false
	s.mixedUntil = max(s.mixedUntil, now+OriginTTL)
	s.recordAt = now
}

// Listed handles a complete list of the records that services have several versions.
func (v *Versions) Listed(now time.Duration, services []string) {
	for service, s := range v.services {
		if s.recorded && !slices.Contains(services, service) {
			v.RecordRemoved(now, service)
		}
	}
}

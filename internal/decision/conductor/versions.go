package conductor

import (
	"maps"
	"slices"
	"time"

	"samphirewharf/internal/fleet/registrar"
)

// A VersionsRecorded event reports the record in the store that a service has had several software versions lately.
type VersionsRecorded struct{ Service string }

// A VersionsRecordRemoved event reports that the record was removed.
type VersionsRecordRemoved struct{ Service string }

// A RecordVersions effect writes the record that a service has had several software versions lately, from which daemons that start
// later know it.
type RecordVersions struct {
	Service string
	// TTL is how long the record outlives its last writing.
	TTL time.Duration
}

func (VersionsRecorded) event()      {}
func (VersionsRecordRemoved) event() {}
func (RecordVersions) effect()       {}

// A versionState is what this daemon knows of the software versions of a service's servers.
type versionState struct {
	// seenAt holds when a server of a version was last registered.
	seenAt map[string]time.Duration
	// mixedUntil is until when streams of several versions may be taken up.
	mixedUntil time.Duration
	// recorded reports whether the store has the record that there are several versions, recordAt when it is due next.
	recorded bool
	recordAt time.Duration
}

func (m *Machine) versionsOf(service string) *versionState {
	v, ok := m.versions[service]
	if !ok {
		v = &versionState{seenAt: make(map[string]time.Duration)}
		if m.versions == nil {
			m.versions = make(map[string]*versionState)
		}
		m.versions[service] = v
	}
	return v
}

// versionsMixed reports whether streams of several software versions of a service may be taken up.
func (m *Machine) versionsMixed(service string) bool {
	if !m.election.loaded {
		// The records in the store haven't been read.
		return true
	}
	v, ok := m.versions[service]
	return ok && (v.recorded || m.now < v.mixedUntil)
}

func (m *Machine) mixedServices() []string {
	var list []string
	for service := range m.versions {
		if m.versionsMixed(service) {
			list = append(list, service)
		}
	}
	slices.Sort(list)
	return list
}

// versionSeen records that a server of a version is registered, or was until now.
func (m *Machine) versionSeen(e registrar.Entry) {
	v := m.versionsOf(e.Service)
	v.seenAt[e.SoftwareVersion] = m.now
	if len(v.seenAt) < 2 {
		return
	}
	maps.DeleteFunc(v.seenAt, func(_ string, at time.Duration) bool { return m.now > at+originTTL })
	if len(v.seenAt) < 2 {
		return
	}
	times := slices.Sorted(maps.Values(v.seenAt))
	m.setMixed(e.Service, v, times[len(times)-2]+originTTL)
}

func (m *Machine) setMixed(service string, v *versionState, until time.Duration) {
	before := v.recorded || m.now < v.mixedUntil
	v.mixedUntil = max(v.mixedUntil, until)
	if before || m.now >= v.mixedUntil {
		return
	}
	m.emit(LogStateChange{Subject: "Service " + service, Change: "VersionsMixed", Version: int64(len(v.seenAt))})
	if v.recordAt = m.now; !m.isFirstKeeper() {
		v.recordAt = m.now + secondKeeperDelay
	}
	m.reportStreams(service)
}

// tickVersions notes the versions that are registered, and has the keepers record the services that have several.
func (m *Machine) tickVersions() {
	if m.now >= m.versionsAt {
		m.versionsAt = m.now + versionInterval
		for _, s := range m.servers {
			m.versionSeen(s.entry)
		}
	}
	for service, v := range m.versions {
		if v.recordAt == 0 || m.now < v.recordAt {
			continue
		}
		v.recordAt = 0
		if m.now < v.mixedUntil && m.isKeeper() {
			v.recordAt = m.now + originTTL/2
			if !v.recorded {
				v.recordAt = m.now + recordRetryDelay
			}
			if m.isFirstKeeper() || !v.recorded {
				m.emit(RecordVersions{Service: service, TTL: originTTL})
			}
		}
	}
}

func (m *Machine) versionsRecorded(service string) {
	v := m.versionsOf(service)
	wasMixed := m.versionsMixed(service)
	v.recorded = true
	if v.recordAt > 0 {
		v.recordAt = m.now + originTTL/2
	}
	if !wasMixed {
		m.emit(LogStateChange{Subject: "Service " + service, Change: "VersionsMixed", Reason: "recorded in the store"})
		m.reportStreams(service)
	}
}

// versionsRecordRemoved handles the removal of a record. It may have lapsed in an outage of the store.
func (m *Machine) versionsRecordRemoved(service string) {
	v := m.versionsOf(service)
	if !v.recorded {
		return
	}
	v.recorded = false
	v.mixedUntil = max(v.mixedUntil, m.now+originTTL)
	v.recordAt = m.now
}

// versionsListed handles a complete list of the records.
func (m *Machine) versionsListed(services []string) {
	for service, v := range m.versions {
		if v.recorded && !slices.Contains(services, service) {
			m.versionsRecordRemoved(service)
		}
	}
	for _, service := range services {
		m.versionsRecorded(service)
	}
}

package conductor

import (
	"slices"
	"time"

	"samphirewharf/internal/decision/resumer"
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

// A HistoryChanged event reports that the history of a service's software versions was written to the store, or removed at its revision.
type HistoryChanged struct {
	History resumer.History
	Removed bool
}

// A WriteHistory effect writes or deletes a history if the store has the revision in it, or none if that is 0.
type WriteHistory struct {
	History resumer.History
	Delete  bool
}

func (HistoryChanged) event()        {}
func (WriteHistory) effect()         {}
func (VersionsRecorded) event()      {}
func (VersionsRecordRemoved) event() {}
func (RecordVersions) effect()       {}

// versionsMixed reports whether streams of several software versions of a service may be taken up.
func (m *Machine) versionsMixed(service string) bool {
	// Before the records in the store were read, a service may have had several.
	return !m.election.Loaded() || m.versions.Mixed(m.now, service)
}

// originNeeded reports whether a stream that is taken up may have begun at another version than the one that servers have now. A service
// without a history, or with one that may lack versions, doesn't count as one of a single version.
func (m *Machine) originNeeded(service string) bool {
	return m.versionsMixed(service) || !m.versions.Complete(m.now, service)
}

func (m *Machine) mixedServices() []string {
	return slices.DeleteFunc(m.versions.Services(), func(service string) bool { return !m.versionsMixed(service) })
}

// versionSeen records that a server of a version is registered, or was until now.
func (m *Machine) versionSeen(e registrar.Entry) {
	if count := m.versions.Seen(m.now, e.Service, e.SoftwareVersion, m.isFirstKeeper()); count > 0 {
		m.serviceMixed(e.Service, LogStateChange{Version: int64(count)})
	}
}

// serviceMixed logs that a service has several versions now, and shares the origins of its streams.
func (m *Machine) serviceMixed(service string, change LogStateChange) {
	change.Subject, change.Change = "Service "+service, "VersionsMixed"
	m.emit(change)
	m.origins.Mixed(m.now, service)
}

// tickVersions notes the versions that are registered, and has the keepers record the services that have several.
func (m *Machine) tickVersions() {
	if m.now >= m.versionsAt {
		m.versionsAt = m.now + versionInterval
		for _, s := range m.servers {
			m.versionSeen(s.entry)
		}
	}
	for _, service := range m.versions.Due(m.now, m.isKeeper(), m.isFirstKeeper()) {
		m.emit(RecordVersions{Service: service, TTL: resumer.OriginTTL})
	}
	if m.versions.TakeChanged() || m.now >= m.historiesAt {
		m.historiesAt = m.now + historyInterval
		m.writeHistories()
	}
}

// writeHistories has the keepers write the histories that have changed.
func (m *Machine) writeHistories() {
	if m.configuration == nil || !m.election.Loaded() {
		return
	}
	w := resumer.HistoryWriter{Keeper: m.isKeeper(), FirstKeeper: m.isFirstKeeper(), Epoch: m.view.epoch, Configured: m.configuration.HasService}
	write, remove := m.versions.DueHistories(m.now, w)
	for _, h := range write {
		m.emit(WriteHistory{History: h})
	}
	for _, h := range remove {
		m.emit(WriteHistory{History: h, Delete: true})
	}
}

func (m *Machine) historyChanged(e HistoryChanged) {
	h := e.History
	if e.Removed {
		m.versions.HistoryRemoved(h.Service, h.Revision)
	} else if count := m.versions.HistoryChanged(m.now, h, m.isFirstKeeper()); count > 0 {
		m.serviceMixed(h.Service, LogStateChange{Version: int64(count), Reason: "history in the store"})
	}
}

// historiesListed handles a complete list of the histories.
func (m *Machine) historiesListed(histories []resumer.History, revision int64) {
	m.versions.HistoriesListed(m.now, histories, revision)
	for _, h := range histories {
		m.historyChanged(HistoryChanged{History: h})
	}
}

func (m *Machine) versionsRecorded(service string) {
	wasMixed := m.versionsMixed(service)
	m.versions.Recorded(m.now, service)
	if !wasMixed {
		m.serviceMixed(service, LogStateChange{Reason: "recorded in the store"})
	}
}

// versionsListed handles a complete list of the records.
func (m *Machine) versionsListed(services []string) {
	m.versions.Listed(m.now, services)
	for _, service := range services {
		m.versionsRecorded(service)
	}
}

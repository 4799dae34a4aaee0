package reducer

import (
	"time"

	"samphirewharf/internal/decision/tracker"
)

const (
	configurationHeadKey = "configuration/head"
	// configurationRetry is how long after a failed read the configuration is read again.
	configurationRetry = time.Second
)

// loadConfiguration reads the configuration from the key-value service, or from a peer if an address is given.
func (m *Machine) loadConfiguration(peer string) {
	if m.loading {
		m.loadAt = m.now.Since + configurationRetry
		return
	}
	m.loading = true
	m.emit(LoadConfiguration{PeerAddress: peer, HaveVersion: m.version()})
}

// configurationLoaded puts a configuration in force if it is newer than the one in force.
func (m *Machine) configurationLoaded(e ConfigurationLoaded) {
	m.loading = false
	if e.Catalog == nil {
		m.loadAt = m.now.Since + configurationRetry
		m.loadFromPeers()
		return
	}
	if e.Catalog.Version() <= m.version() {
		return
	}
	m.catalog = e.Catalog
	m.warmer.Weighting = e.Catalog.Configuration.Weighting
	m.warmer.Limits = e.Catalog.Configuration.Limits
	m.budget.Share = e.Catalog.Configuration.Limits.RetryShare
	m.emit(Noted{Message: "configuration in force", Subject: e.Catalog.Configuration.ChangeID})
	m.updateCells()
	m.dropRemoved()
	m.next.heartbeat = m.now.Since
}

// loadFromPeers asks the peer with the highest version, if it is higher than the one in force.
func (m *Machine) loadFromPeers() {
	best, version, ok := m.members.HighestVersion()
	if ok && version > m.version() {
		m.loadConfiguration(best.Address)
	}
}

// dropRemoved refuses the waiting requests of deployments that the configuration lacks.
func (m *Machine) dropRemoved() {
	for _, name := range sortedNames(m.deployments) {
		q := m.deployments[name]
		if _, ok := m.catalog.Deployment(name); ok {
			continue
		}
		for _, r := range q.sorted() {
			q.remove(r)
			m.refuseUnknown(r)
		}
		if q.running == 0 {
			delete(m.deployments, name)
			m.warmer.Remove(name)
		}
	}
}

func (m *Machine) tickConfiguration() {
	if m.loadAt > 0 && m.now.Since >= m.loadAt && !m.loading {
		m.loadAt = 0
		m.loadConfiguration("")
	}
}

// peerVersion notes that a peer has a configuration; a higher one is read.
func (m *Machine) peerVersion(from tracker.Member, version int64) {
	if version <= m.version() || m.loading {
		return
	}
	m.loadConfiguration(from.Address)
}

func (m *Machine) version() int64 {
	if m.catalog == nil {
		return 0
	}
	return m.catalog.Version()
}

package reducer

import (
	"maps"
	"slices"
	"time"

	"samphirewharf/internal/caller/refuser"
)

const (
	configurationHeadKey = "configuration/head"
	// configurationRetry is how long after it was asked for during another read the configuration is read again.
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
		m.loadAt = m.now.Since + m.pacing.configuration.Failed(m.rng)
		m.loadFromPeers()
		return
	}
	m.pacing.configuration.Succeeded()
	if e.Catalog.Version() <= m.version() {
		return
	}
	m.catalog = e.Catalog
	m.warmer.Weighting = e.Catalog.Configuration.Weighting
	m.warmer.Limits = e.Catalog.Configuration.Limits
	m.budget.Share = e.Catalog.Configuration.Limits.RetryShare
	m.emit(Noted{Message: "configuration in force", Subject: e.Catalog.Configuration.ChangeID})
	m.setCells()
	m.updateCells()
	m.dropRemoved()
	m.next.heartbeat = m.now.Since
}

// loadFromPeers asks the peer with the highest version, if it is higher than the one in force.
func (m *Machine) loadFromPeers() {
	version, best, ok := m.members.NewestConfiguration()
	if ok && version > m.version() {
		m.loadConfiguration(best.Address)
	}
}

// dropRemoved refuses the waiting requests of deployments that the configuration lacks.
func (m *Machine) dropRemoved() {
	for _, name := range slices.Sorted(maps.Keys(m.deployments)) {
		q := m.deployments[name]
		if _, ok := m.catalog.Deployment(name); ok {
			continue
		}
		for _, r := range q.sorted() {
			q.remove(r)
			m.refuse(r, refuser.CodeUnknownDeployment, r.ran(), 0, name)
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

func (m *Machine) version() int64 {
	if m.catalog == nil {
		return 0
	}
	return m.catalog.Version()
}

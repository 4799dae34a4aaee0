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
	// gatherTime is how long a daemon without a configuration hears its peers: longer than between two heartbeats.
	gatherTime = 1500 * time.Millisecond
)

// loadConfiguration reads the configuration from the key-value service, or from a peer if an address is given.
func (m *Machine) loadConfiguration(peer string) {
	if m.loading {
		m.loadAt = m.now.Since + configurationRetry
		return
	}
	m.loading = true
	m.loadingFrom = peer
	m.emit(LoadConfiguration{PeerAddress: peer, HaveVersion: m.version()})
}

// configurationLoaded puts a configuration in force if it is newer than the one in force.
func (m *Machine) configurationLoaded(e ConfigurationLoaded) {
	m.loading = false
	if e.Catalog == nil {
		m.loadAt = m.now.Since + m.pacing.configuration.Next(m.rng)
		if m.loadingFrom == "" {
			m.loadFromPeers()
		}
		return
	}
	m.pacing.configuration.Reset()
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

// loadFromPeers asks the peer with the highest version, if it is higher than the one in force. A daemon without
// any configuration asks at the end of gatherTime.
func (m *Machine) loadFromPeers() {
	if m.catalog != nil {
		m.loadFromPeersNow()
	}
}

// loadFromPeersNow asks also if no configuration is in force.
func (m *Machine) loadFromPeersNow() {
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

// heardVersion reads the configuration of a peer that has a newer one. A daemon without any first hears all its
// peers for a while: the first one heard may itself be behind, and the version must not go back by a restart.
func (m *Machine) heardVersion(address string, version int64) {
	switch {
	case version <= m.version():
	case m.catalog == nil:
		if m.gatherUntil == 0 {
			m.gatherUntil = m.now.Since + gatherTime
		}
	case !m.loading:
		m.loadConfiguration(address)
	}
}

func (m *Machine) tickConfiguration() {
	if m.catalog == nil && m.gatherUntil > 0 && m.now.Since >= m.gatherUntil && !m.loading {
		m.gatherUntil = m.now.Since + configurationRetry
		m.loadFromPeersNow()
	}
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

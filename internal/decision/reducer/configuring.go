package reducer

import (
	"maps"
	"slices"
	"time"

	"samphirewharf/internal/caller/refuser"
)

const (
	configurationHeadKey = "configuration/head"
	// configurationRetryDelay is the delay of a read of the configuration that was requested during another
	// one, and the time between attempts of a daemon without a configuration to read it from a peer.
	configurationRetryDelay = time.Second
	// collectPeriod is how long a daemon without a configuration collects the versions of its peers. It
	// exceeds the heartbeat interval.
	collectPeriod = 1500 * time.Millisecond
)

// loadConfiguration reads the configuration from the key-value service, or from a peer if an address is given.
func (m *Machine) loadConfiguration(peer string) {
	if m.loading {
		m.nextLoadAt = m.now.Monotonic + configurationRetryDelay
		return
	}
	m.loading = true
	m.loadingFrom = peer
	m.emit(LoadConfiguration{PeerAddress: peer, HaveVersion: m.configurationVersion()})
}

// handleConfigurationLoaded applies a configuration if it is newer than the current one.
func (m *Machine) handleConfigurationLoaded(e ConfigurationLoaded) {
	m.loading = false
	if e.Catalog == nil {
		m.nextLoadAt = m.now.Monotonic + m.backoffs.configuration.Next(m.rng)
		if m.loadingFrom == "" {
			m.refreshFromPeers()
		}
		return
	}
	m.backoffs.configuration.Reset()
	if e.Catalog.Version() <= m.configurationVersion() {
		return
	}
	m.catalog = e.Catalog
	m.warmer.Weighting = e.Catalog.Configuration.Weighting
	m.warmer.Limits = e.Catalog.Configuration.Limits
	m.budget.Share = e.Catalog.Configuration.Limits.RetryShare
	m.emit(Noted{Message: "configuration in force", Subject: e.Catalog.Configuration.ChangeID})
	m.setCells()
	m.updateCells()
	m.removeDeployments()
	m.next.heartbeat = m.now.Monotonic
}

// refreshFromPeers reads the configuration from the peer with the highest version, if that is newer than the
// current one. A daemon without a configuration waits for the end of the collect period instead.
func (m *Machine) refreshFromPeers() {
	if m.catalog != nil {
		m.loadFromNewestPeer()
	}
}

// loadFromNewestPeer is like refreshFromPeers but doesn't require a current configuration.
func (m *Machine) loadFromNewestPeer() {
	version, newest, ok := m.members.NewestConfiguration()
	if ok && version > m.configurationVersion() {
		m.loadConfiguration(newest.Address)
	}
}

// removeDeployments refuses the waiting requests of deployments that the configuration no longer has, and
// removes the deployments without running requests.
func (m *Machine) removeDeployments() {
	for _, name := range slices.Sorted(maps.Keys(m.modelQueues)) {
		q := m.modelQueues[name]
		if _, ok := m.catalog.Deployment(name); ok {
			continue
		}
		for _, r := range q.byArrival() {
			q.remove(r)
			m.refuse(r, refuser.CodeUnknownDeployment, r.ran(), 0, name)
		}
		if q.running == 0 {
			delete(m.modelQueues, name)
			m.warmer.Remove(name)
		}
	}
}

// handlePeerVersion reads the configuration of a peer that has a newer one. A daemon without a configuration
// first collects the versions of all peers: the first peer may be outdated itself, and a restart must not
// bring back an older version.
func (m *Machine) handlePeerVersion(address string, version int64) {
	switch {
	case version <= m.configurationVersion():
	case m.catalog == nil:
		if m.collectUntil == 0 {
			m.collectUntil = m.now.Monotonic + collectPeriod
		}
	case !m.loading:
		m.loadConfiguration(address)
	}
}

func (m *Machine) tickConfiguration() {
	if m.catalog == nil && m.collectUntil > 0 && m.now.Monotonic >= m.collectUntil && !m.loading {
		m.collectUntil = m.now.Monotonic + configurationRetryDelay
		m.loadFromNewestPeer()
	}
	if m.nextLoadAt > 0 && m.now.Monotonic >= m.nextLoadAt && !m.loading {
		m.nextLoadAt = 0
		m.loadConfiguration("")
	}
}

func (m *Machine) configurationVersion() int64 {
	if m.catalog == nil {
		return 0
	}
	return m.catalog.Version()
}

package planner

import (
	"fmt"
	"time"

	"samphirewharf/internal/backend/orderer"
	"samphirewharf/internal/config/cataloger"
	"samphirewharf/internal/decision/observer"
)

const (
	// preloadDelay is how long after becoming the placer a daemon starts to preload, so that requests are
	// served first.
	preloadDelay = time.Minute
	// preloadInterval is the time between two scans for a checkpoint to preload.
	preloadInterval = time.Second
	// preloadScanSize is the number of deployments checked in one scan.
	preloadScanSize = 16
	// preloadRetryDelay is how long after a preload the same deployment may be preloaded again.
	preloadRetryDelay = 6 * time.Hour
)

// A preloadState is the state of preloading. A deployment whose checkpoint is in no server's memory is
// loaded once, one deployment at a time and only while no request waits. The replica is unloaded as soon as
// it is ready, unless KeepPreloaded is set; its checkpoint stays in the server's memory.
type preloadState struct {
	// nextIndex is the index in the configuration of the next deployment to check.
	nextIndex int
	// delayStarted reports whether preloadDelay has started since this daemon became the placer.
	delayStarted bool
	// nextScanAt is when the next scan is due.
	nextScanAt time.Duration
	// lastPreload is when each deployment was last preloaded.
	lastPreload map[string]time.Duration
	// unusedReplicas are the preloaded replicas that have not been used, with the time of the decision.
	unusedReplicas map[string]time.Duration
}

// preload decides to load one deployment whose checkpoint is in no server's memory.
func (m *Machine) preload(v View, next Record, report func(Decision)) Record {
	if !m.Preload || v.Now < m.preloadState.nextScanAt || m.demand.hasWaiting() || m.preloadPending(v) {
		return next
	}
	if !m.preloadState.delayStarted {
		m.preloadState.delayStarted = true
		m.preloadState.nextScanAt = v.Now + preloadDelay
		return next
	}
	m.preloadState.nextScanAt = v.Now + preloadInterval
	deployments := v.Catalog.Configuration.Deployments
	for range min(preloadScanSize, len(deployments)) {
		d := &deployments[m.preloadState.nextIndex%len(deployments)]
		m.preloadState.nextIndex = (m.preloadState.nextIndex + 1) % len(deployments)
		if d.Service != m.Cell || !m.needsPreload(v, next, d) {
			continue
		}
		if s := m.choosePreloadServer(v, next, d); s != nil {
			return m.decidePreload(v, next, d, s, report)
		}
	}
	return next
}

// needsPreload reports whether a checkpoint should be preloaded: no server has it in memory, and it was not
// preloaded within preloadRetryDelay. A checkpoint that is on a server's disk is preloaded only once.
func (m *Machine) needsPreload(v View, next Record, d *cataloger.Deployment) bool {
	last, tried := m.preloadState.lastPreload[d.Name]
	if tried && v.Now < last+preloadRetryDelay {
		return false
	}
	for _, r := range next.Replicas {
		if r.Deployment == d.Name {
			return false
		}
	}
	for _, s := range v.Fleet.Servers(m.Cell) {
		if !s.AcceptsWork() {
			continue
		}
		if !s.HasReport {
			return false
		}
		tier := s.Tier(d.Name)
		if tier == observer.TierMemory || tried && tier == observer.TierDisk {
			return false
		}
	}
	return true
}

// choosePreloadServer returns the server with enough free accelerator memory whose memory has the fewest
// bytes of checkpoints, so that checkpoints are spread evenly. It returns nil if there is none.
func (m *Machine) choosePreloadServer(v View, next Record, d *cataloger.Deployment) *observer.Server {
	var best *observer.Server
	var leastBytes int64
	for _, s := range v.Fleet.Servers(m.Cell) {
		if !m.usableForLoad(v, s) || m.freeBytes(next, s, d.Name) < d.ReplicaBytes() {
			continue
		}
		if bytes := checkpointBytes(v, s); best == nil || bytes < leastBytes {
			best, leastBytes = s, bytes
		}
	}
	return best
}

func (m *Machine) decidePreload(v View, next Record, d *cataloger.Deployment, s *observer.Server, report func(Decision)) Record {
	id := next.nextReplicaID()
	tier := s.Tier(d.Name)
	if !m.startLoad(v.Now, id, fullLoadTime(d, tier), tier, false) {
		return next
	}
	m.preloadState.lastPreload[d.Name] = v.Now
	m.preloadState.unusedReplicas[id] = v.Now
	report(Decision{
		Action: "Preload", Deployment: d.Name, Replica: id, Server: s.Host.Server,
		Reason: fmt.Sprintf("nearest checkpoint is in %s", tier),
	})
	return m.withNextReplica(next, d, s)
}

// preloadPending reports whether a preloaded replica is not ready yet or still has to be unloaded.
func (m *Machine) preloadPending(v View) bool {
	for id := range m.preloadState.unusedReplicas {
		view, ok := v.Fleet.Replica(id)
		if !m.KeepPreloaded || !ok || view.State != orderer.StateReady {
			return true
		}
	}
	return false
}

// preloadUnused reports whether a replica was preloaded and its deployment has had no request since.
func (m *Machine) preloadUnused(r Replica) bool {
	decidedAt, ok := m.preloadState.unusedReplicas[r.ID]
	if ok && m.lastUsed[r.Deployment] > decidedAt {
		delete(m.preloadState.unusedReplicas, r.ID)
		return false
	}
	return ok
}

// checkpointBytes returns the total size of the checkpoints in a server's memory.
func checkpointBytes(v View, s *observer.Server) int64 {
	total := int64(0)
	for name, tier := range s.Checkpoints() {
		if d, ok := v.Catalog.Deployment(name); ok && tier == observer.TierMemory {
			total += d.Bytes
		}
	}
	return total
}

package planner

import (
	"fmt"
	"time"

	"samphirewharf/internal/backend/orderer"
	"samphirewharf/internal/config/cataloger"
	"samphirewharf/internal/decision/observer"
)

const (
	// preloadDelay is how long after becoming placer a daemon starts to preload, so that requests come first.
	preloadDelay = time.Minute
	// preloadInterval is the time between two looks for a checkpoint to bring near.
	preloadInterval = time.Second
	// preloadScan is how many deployments one look goes through.
	preloadScanSize = 16
	// preloadAgain is how long after a preload the same deployment may be preloaded again.
	preloadRetryDelay = 6 * time.Hour
)

// A preloadState is the state of bringing checkpoints near before requests need them: a deployment that no
// server has in memory is loaded once, one at a time while no request waits. It is unloaded as soon as it
// is ready, unless the machine holds preloaded replicas; its checkpoint stays in the server's memory.
type preloadState struct {
	// next is the place of the next deployment to look at in the configuration.
	nextIndex int
	// delayed tells that preloadDelay has been counted since this daemon became placer.
	delayStarted bool
	// lookAt is when the next look is due.
	nextScanAt time.Duration
	// last is when a deployment was preloaded.
	lastPreload map[string]time.Duration
	// replicas are the preloaded replicas that have not been used, and when they were decided.
	replicas map[string]time.Duration
}

// preload decides to load one deployment whose checkpoint is far from all servers.
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

// needsPreload reports whether a checkpoint is worth bringing near: no server has it in memory, and it was not
// tried lately. A checkpoint on a disk is brought nearer once only.
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

// choosePreloadServer returns the server with free accelerator memory whose memory holds the fewest bytes of
// checkpoints, so that these spread evenly.
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
	m.preloadState.replicas[id] = v.Now
	report(Decision{
		Action: "Preload", Deployment: d.Name, Replica: id, Server: s.Host.Server,
		Reason: fmt.Sprintf("nearest checkpoint is in %s", tier),
	})
	return m.withNextReplica(next, d, s)
}

// preloadPending reports whether a preloaded replica is not ready yet, or still to be unloaded.
func (m *Machine) preloadPending(v View) bool {
	for id := range m.preloadState.replicas {
		view, ok := v.Fleet.Replica(id)
		if !m.KeepPreloaded || !ok || view.State != orderer.StateReady {
			return true
		}
	}
	return false
}

// preloadUnused reports whether a replica was preloaded and no request has asked for its deployment since.
func (m *Machine) preloadUnused(r Replica) bool {
	decided, ok := m.preloadState.replicas[r.ID]
	if ok && m.lastUsed[r.Deployment] > decided {
		delete(m.preloadState.replicas, r.ID)
		return false
	}
	return ok
}

// checkpointBytes returns the bytes of the checkpoints in a server's memory.
func checkpointBytes(v View, s *observer.Server) int64 {
	total := int64(0)
	for name, tier := range s.Checkpoints() {
		if d, ok := v.Catalog.Deployment(name); ok && tier == observer.TierMemory {
			total += d.Bytes
		}
	}
	return total
}

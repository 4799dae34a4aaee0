package emulator

import (
	"slices"
	"strings"
	"time"

	"samphirewharf/internal/backend/orderer"
	"samphirewharf/internal/config/cataloger"
	"samphirewharf/internal/decision/observer"
	"samphirewharf/internal/external/lister"
)

// An engine is a backend server that executes orders and caches checkpoints.
type engine struct {
	emulation *emulation
	host      lister.Host
	memory    tier
	disk      tier
	// replicas are ordered by ID.
	replicas  []*replica
	usedBytes int64
	sequence  int64
	// checkpointsVersion is incremented when the cached checkpoints change.
	checkpointsVersion int64
	// changed is true if the state has changed since the last report.
	changed bool
}

// A replica is a model that is loaded or loading on an engine.
type replica struct {
	id         string
	deployment *cataloger.Deployment
	state      orderer.ReplicaState
	bytes      int64
	running    int
	adapters   []string
	// readyAt is when the load finished, since when the replica's hours were last added.
	readyAt time.Duration
	since   time.Duration
}

// find returns the replica with the ID, or nil.
func (e *engine) find(id string) *replica {
	for _, r := range e.replicas {
		if r.id == id {
			return r
		}
	}
	return nil
}

// nearestTier returns the fastest tier that contains the checkpoint.
func (e *engine) nearestTier(d *cataloger.Deployment) observer.Tier {
	switch {
	case e.memory.contains(d):
		return observer.TierMemory
	case e.disk.contains(d):
		return observer.TierDisk
	default:
		return observer.TierRemote
	}
}

// report returns the next report of the engine's state.
func (e *engine) report() orderer.Report {
	e.sequence++
	e.changed = false
	report := orderer.Report{
		Instance: e.host.Server, Sequence: e.sequence, Fence: e.emulation.fencingToken,
		MemoryBytes: e.host.MemoryBytes, UsedBytes: e.usedBytes, CheckpointsVersion: e.checkpointsVersion,
		Checkpoints: &orderer.Checkpoints{Memory: e.memory.names(), Disk: e.disk.names()},
	}
	for _, r := range e.replicas {
		report.Replicas = append(report.Replicas, orderer.ReplicaReport{
			Replica: r.id, Deployment: r.deployment.Name, ModelVersion: r.deployment.ModelVersion,
			State: r.state, Bytes: r.bytes, Running: r.running, Adapters: slices.Clone(r.adapters),
		})
	}
	return report
}

// changeRunning changes the number of running requests of a replica.
func (e *engine) changeRunning(r *replica, change int) {
	e.emulation.addReplicaHours(e, r)
	r.running += change
	e.changed = true
}

// handleOrder executes an order and returns its outcome.
func (e *engine) handleOrder(o orderer.Order) orderer.Outcome {
	e.changed = true
	r := e.find(o.Replica)
	switch o.Kind {
	case orderer.KindLoad:
		return e.load(o)
	case orderer.KindUnload:
		if r != nil {
			e.unload(r)
		}
	case orderer.KindLoadAdapter:
		if r == nil || len(r.adapters) >= r.deployment.AdapterSlots {
			return orderer.OutcomeRefused
		}
		e.emulation.adapterLoads++
		e.emulation.adapterStore.load(e.emulation.service.Store.AdapterLoad.D(), func() {
			r.adapters = append(r.adapters, o.Adapter)
			e.changed = true
		})
	case orderer.KindUnloadAdapter:
		if r != nil {
			r.adapters = slices.DeleteFunc(r.adapters, func(name string) bool { return name == o.Adapter })
		}
	}
	return orderer.OutcomeAccepted
}

func (e *engine) load(o orderer.Order) orderer.Outcome {
	d, ok := e.emulation.catalog.Deployment(o.Deployment)
	if !ok || e.usedBytes+o.Bytes > e.host.MemoryBytes {
		e.emulation.overcommitted++
		return orderer.OutcomeRefused
	}
	e.usedBytes += o.Bytes
	r := &replica{id: o.Replica, deployment: d, state: orderer.StateLoading, bytes: o.Bytes}
	e.replicas = append(e.replicas, r)
	slices.SortFunc(e.replicas, func(a, b *replica) int { return strings.Compare(a.id, b.id) })
	nearest := e.nearestTier(d)
	e.emulation.loads[nearest]++
	done := func() { e.finishLoad(r) }
	switch nearest {
	case observer.TierMemory:
		e.emulation.callAfter(d.LoadFromMemory.D(), done)
	case observer.TierDisk:
		e.emulation.callAfter(d.LoadFromDisk.D(), done)
	default:
		e.emulation.modelStore.load(d.Load.D(), done)
	}
	return orderer.OutcomeAccepted
}

func (e *engine) finishLoad(r *replica) {
	r.state = orderer.StateReady
	r.readyAt = e.emulation.now
	r.since = e.emulation.now
	e.memory.touch(r.deployment)
	e.disk.touch(r.deployment)
	e.checkpointsVersion++
	e.changed = true
}

func (e *engine) unload(r *replica) {
	e.emulation.addReplicaHours(e, r)
	e.emulation.interrupted += r.running
	e.usedBytes -= r.bytes
	e.replicas = slices.DeleteFunc(e.replicas, func(other *replica) bool { return other == r })
}

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

// An engine is a backend server that carries out orders and holds checkpoints near.
type engine struct {
	emulation *emulation
	host      lister.Host
	memory    tier
	disk      tier
	// replicas are ordered by ID.
	replicas []*replica
	used     int64
	sequence int64
	// checkpoints is the version of the held checkpoints.
	checkpoints int64
	// changed tells that the state differs from the last report.
	changed bool
}

// A replica is a loaded or loading model of an engine.
type replica struct {
	id         string
	deployment *cataloger.Deployment
	state      orderer.ReplicaState
	bytes      int64
	running    int
	adapters   []string
	// readyAt is when its load was done, since when running last became or stopped being zero.
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

// nearest returns the nearest tier that holds the checkpoint.
func (e *engine) nearest(d *cataloger.Deployment) observer.Tier {
	switch {
	case e.memory.holds(d):
		return observer.TierMemory
	case e.disk.holds(d):
		return observer.TierDisk
	default:
		return observer.TierRemote
	}
}

// report returns the engine's state.
func (e *engine) report() orderer.Report {
	e.sequence++
	e.changed = false
	report := orderer.Report{
		Instance: e.host.Server, Sequence: e.sequence, Fence: e.emulation.fence,
		MemoryBytes: e.host.MemoryBytes, UsedBytes: e.used, CheckpointsVersion: e.checkpoints,
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

// run notes that a replica starts or ends requests.
func (e *engine) run(r *replica, change int) {
	e.emulation.account(e, r)
	r.running += change
	e.changed = true
}

// take carries out an order.
func (e *engine) take(o orderer.Order) orderer.Outcome {
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
	if !ok || e.used+o.Bytes > e.host.MemoryBytes {
		e.emulation.overcommitted++
		return orderer.OutcomeRefused
	}
	e.used += o.Bytes
	r := &replica{id: o.Replica, deployment: d, state: orderer.StateLoading, bytes: o.Bytes}
	e.replicas = append(e.replicas, r)
	slices.SortFunc(e.replicas, func(a, b *replica) int { return strings.Compare(a.id, b.id) })
	near := e.nearest(d)
	e.emulation.loads[near]++
	done := func() { e.loaded(r) }
	switch near {
	case observer.TierMemory:
		e.emulation.after(d.LoadFromMemory.D(), done)
	case observer.TierDisk:
		e.emulation.after(d.LoadFromDisk.D(), done)
	default:
		e.emulation.modelStore.load(d.Load.D(), done)
	}
	return orderer.OutcomeAccepted
}

func (e *engine) loaded(r *replica) {
	r.state = orderer.StateReady
	r.readyAt = e.emulation.now
	r.since = e.emulation.now
	e.memory.keep(r.deployment)
	e.disk.keep(r.deployment)
	e.checkpoints++
	e.changed = true
}

func (e *engine) unload(r *replica) {
	e.emulation.account(e, r)
	e.emulation.cut += r.running
	e.used -= r.bytes
	e.replicas = slices.DeleteFunc(e.replicas, func(other *replica) bool { return other == r })
}

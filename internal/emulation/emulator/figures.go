package emulator

import (
	"slices"
	"time"

	"samphirewharf/internal/decision/observer"
)

// Metrics are the measurements of one run of one policy.
type Metrics struct {
	Policy   string
	Baseline bool
	Seed     uint64
	Requests int
	// Served is the number of requests whose answer started.
	Served int
	// Cold is the number of served requests that found no ready replica on arrival.
	Cold int
	// Waited are quantiles of the cold-start times of cold requests. All are quantiles over all served requests,
	// where the cold-start time of a request that found a ready replica is zero.
	Waited Quantiles
	All    Quantiles
	// IdleHours are the hours in which replicas were loaded without a running request, each weighted by the replica's
	// share of its server's memory. LoadedHours also include the hours with running requests.
	IdleHours   float64
	LoadedHours float64
	// RemoteLoads, DiskLoads and MemoryLoads count model loads by the location of the checkpoint.
	RemoteLoads  int
	DiskLoads    int
	MemoryLoads  int
	AdapterLoads int
	// Refused and RefusedUrgent count requests that were refused by their deadline, Missed those that were neither
	// started nor refused by then.
	Refused       int
	RefusedUrgent int
	Missed        int
	// Waiting is the number of requests that were still queued at the end of the trace.
	Waiting int
	// Cut is the number of requests that were running at a replica when it was unloaded, or were routed to one that
	// was already unloaded.
	Cut int
	// Overcommitted is the number of loads that did not fit into their server's memory.
	Overcommitted int
	// MostLoads is the maximum number of concurrent loads from the weight store. Delayed is the number of loads that
	// the store's own rate limit delayed.
	MostLoads int
	Delayed   int
	// Writes is the number of writes of the placement record.
	Writes int
}

// Quantiles are quantiles of cold-start times, in seconds.
type Quantiles struct {
	P50  float64
	P95  float64
	P99  float64
	P999 float64
	Max  float64
}

func newQuantiles(times []time.Duration) Quantiles {
	slices.Sort(times)
	at := func(permille int) float64 {
		if len(times) == 0 {
			return 0
		}
		return times[(len(times)*permille+999)/1000-1].Seconds()
	}
	return Quantiles{P50: at(500), P95: at(950), P99: at(990), P999: at(999), Max: at(1000)}
}

// addReplicaHours adds the time since the replica's last change to the loaded and idle hours.
func (e *emulation) addReplicaHours(server *engine, r *replica) {
	if r.readyAt == 0 {
		return
	}
	hours := (e.now - max(r.since, e.warmup)).Hours() * float64(r.bytes) / float64(server.host.MemoryBytes)
	r.since = e.now
	if hours <= 0 {
		return
	}
	e.loadedHours += hours
	if r.running == 0 {
		e.idleHours += hours
	}
}

func (e *emulation) metrics() Metrics {
	for _, name := range e.serverNames {
		for _, r := range e.engines[name].replicas {
			e.addReplicaHours(e.engines[name], r)
		}
	}
	f := e.result
	f.Policy, f.Baseline, f.Seed = e.policy.Name, e.policy.Baseline, e.seed
	f.Served = e.served
	f.Cold = len(e.coldStartTimes)
	f.Waited = newQuantiles(e.coldStartTimes)
	all := make([]time.Duration, e.served-len(e.coldStartTimes))
	f.All = newQuantiles(append(all, e.coldStartTimes...))
	f.IdleHours, f.LoadedHours = e.idleHours, e.loadedHours
	f.RemoteLoads, f.DiskLoads, f.MemoryLoads = e.loads[observer.TierRemote], e.loads[observer.TierDisk], e.loads[observer.TierMemory]
	f.AdapterLoads = e.adapterLoads
	f.Cut, f.Overcommitted = e.interrupted, e.overcommitted
	f.MostLoads, f.Delayed = e.modelStore.peakLoads, e.modelStore.delayedLoads
	f.Writes = e.recordWrites
	for _, q := range e.queues {
		f.Waiting += len(q.byID)
		f.Missed += q.countOverdue(e.now)
	}
	return f
}

// recordRefusal counts a refused request.
func (e *emulation) recordRefusal(r *request) {
	if !e.isMeasured(r) {
		return
	}
	if e.now > r.deadline {
		e.result.Missed++
		return
	}
	e.result.Refused++
	if r.Urgent {
		e.result.RefusedUrgent++
	}
}

// recordStart counts a request whose answer starts.
func (e *emulation) recordStart(r *request) {
	if !e.isMeasured(r) {
		return
	}
	if e.now > r.deadline {
		e.result.Missed++
	}
	e.served++
	if r.coldStart {
		e.coldStartTimes = append(e.coldStartTimes, e.now-r.ArrivesAt)
	}
}

// isMeasured reports whether a request arrived after the warm-up.
func (e *emulation) isMeasured(r *request) bool { return r.ArrivesAt >= e.warmup }

// floats returns pointers to the floating-point fields.
func (f *Metrics) floats() []*float64 {
	return append(append(f.Waited.floats(), f.All.floats()...), &f.IdleHours, &f.LoadedHours)
}

// integers returns pointers to the integer fields except the seed.
func (f *Metrics) integers() []*int {
	return []*int{
		&f.Requests, &f.Served, &f.Cold, &f.RemoteLoads, &f.DiskLoads, &f.MemoryLoads, &f.AdapterLoads, &f.Refused, &f.RefusedUrgent,
		&f.Missed, &f.Waiting, &f.Cut, &f.Overcommitted, &f.MostLoads, &f.Delayed, &f.Writes,
	}
}

func (q *Quantiles) floats() []*float64 {
	return []*float64{&q.P50, &q.P95, &q.P99, &q.P999, &q.Max}
}

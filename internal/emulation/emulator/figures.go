package emulator

import (
	"slices"
	"time"

	"samphirewharf/internal/decision/observer"
)

// Metrics are what one run of one policy measured.
type Metrics struct {
	Policy   string
	Baseline bool
	Seed     uint64
	Requests int
	// Served is how many requests started their answer.
	Served int
	// Cold is how many requests were served that found no ready replica when they arrived.
	Cold int
	// Waited are the cold-start times over the cold requests, All those over all served requests, where a
	// request that found a ready replica counts as zero.
	Waited Quantiles
	All    Quantiles
	// IdleHours are the hours in which replicas were loaded without a running request, each weighted by its
	// share of its server's memory; LoadedHours are those with and without.
	IdleHours   float64
	LoadedHours float64
	// RemoteLoads, DiskLoads and MemoryLoads are model loads by where the checkpoint was.
	RemoteLoads  int
	DiskLoads    int
	MemoryLoads  int
	AdapterLoads int
	// Refused requests got their refusal by their deadline; Missed ones neither started nor got it.
	Refused       int
	RefusedUrgent int
	Missed        int
	// Waiting is how many still waited when the trace ended.
	Waiting int
	// Cut is how many requests ran at a replica that was unloaded.
	Cut int
	// Overcommitted is how many loads did not fit their server.
	Overcommitted int
	// MostLoads is how many loads the weight store served at once at most; Delayed is how many the
	// store's own rate limit held back.
	MostLoads int
	Delayed   int
	// Writes is how many writes of the placement record were made.
	Writes int
}

// Quantiles are quantiles of cold-start times in seconds.
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

// account adds the time since the replica's last change to the hours.
func (e *emulation) account(server *engine, r *replica) {
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

func (e *emulation) figures() Metrics {
	for _, name := range e.names {
		for _, r := range e.engines[name].replicas {
			e.account(e.engines[name], r)
		}
	}
	f := e.result
	f.Policy, f.Baseline, f.Seed = e.policy.Name, e.policy.Baseline, e.seed
	f.Served = e.served
	f.Cold = len(e.coldTimes)
	f.Waited = newQuantiles(e.coldTimes)
	all := make([]time.Duration, e.served-len(e.coldTimes))
	f.All = newQuantiles(append(all, e.coldTimes...))
	f.IdleHours, f.LoadedHours = e.idleHours, e.loadedHours
	f.RemoteLoads, f.DiskLoads, f.MemoryLoads = e.loads[observer.TierRemote], e.loads[observer.TierDisk], e.loads[observer.TierMemory]
	f.AdapterLoads = e.adapterLoads
	f.Cut, f.Overcommitted = e.cut, e.overcommitted
	f.MostLoads, f.Delayed = e.modelStore.most, e.modelStore.delayed
	f.Writes = e.writes
	for _, q := range e.queues {
		f.Waiting += len(q.byID)
		f.Missed += q.late(e.now)
	}
	return f
}

// refuse counts a request that was refused.
func (e *emulation) refuse(r *request) {
	if !e.counts(r) {
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

// started counts a request that starts its answer.
func (e *emulation) started(r *request) {
	if !e.counts(r) {
		return
	}
	if e.now > r.deadline {
		e.result.Missed++
	}
	e.served++
	if r.cold {
		e.coldTimes = append(e.coldTimes, e.now-r.ArrivesAt)
	}
}

// counts reports whether a request arrived after the time that isn't measured.
func (e *emulation) counts(r *request) bool { return r.ArrivesAt >= e.warmup }

// floats are the fields that are no whole numbers.
func (f *Metrics) floats() []*float64 {
	return append(append(f.Waited.floats(), f.All.floats()...), &f.IdleHours, &f.LoadedHours)
}

// integers are the fields that are whole numbers, without the seed.
func (f *Metrics) integers() []*int {
	return []*int{
		&f.Requests, &f.Served, &f.Cold, &f.RemoteLoads, &f.DiskLoads, &f.MemoryLoads, &f.AdapterLoads, &f.Refused, &f.RefusedUrgent,
		&f.Missed, &f.Waiting, &f.Cut, &f.Overcommitted, &f.MostLoads, &f.Delayed, &f.Writes,
	}
}

func (q *Quantiles) floats() []*float64 {
	return []*float64{&q.P50, &q.P95, &q.P99, &q.P999, &q.Max}
}

package inferrer

import (
	"cmp"
	"context"
	"slices"
	"time"

	"samphirewharf/internal/backend/orderer"
)

// A replica is one loaded model. The engine's mutex guards its fields.
type replica struct {
	instance *instance
	order    orderer.Order
	role     string
	state    orderer.ReplicaState
	// ctx is cancelled when the load is cancelled, the replica is removed or the instance ends.
	ctx    context.Context
	cancel context.CancelFunc
	// adapters are the slots in use, by adapter.
	adapters map[string]*adapterSlot
	running  int
	// queue is ordered by urgency, then by arrival.
	queue []*waiter
	// samples are load figures, oldest first. They reach back as far as reports need them.
	samples []sample
	// prefixes are the cached prompt prefixes, sequence is the number of their last event.
	prefixes lru[uint64]
	sequence int64
}

// An adapterSlot holds an adapter that is loading or ready.
type adapterSlot struct {
	replica *replica
	name    string
	ready   bool
}

// A sample is the load from the time at on.
type sample struct {
	at               time.Time
	running, waiting int
}

// A waiter is a running or waiting request.
type waiter struct {
	// urgency is the request's urgency; requests with a lower one go first.
	urgency int
	// admitted is closed when the request may run.
	admitted chan struct{}
}

func newReplica(i *instance, order orderer.Order) *replica {
	ctx, cancel := context.WithCancel(i.ctx)
	return &replica{
		instance: i,
		order:    order,
		role:     order.Role,
		state:    orderer.StateLoading,
		ctx:      ctx,
		cancel:   cancel,
		adapters: make(map[string]*adapterSlot),
		samples:  []sample{{}},
	}
}

func (r *replica) checkpoint() checkpoint {
	return checkpoint{r.order.Deployment, r.order.ModelVersion}
}

// run loads the replica from a source, which is an index of Order.LoadMilliseconds.
func (r *replica) run(source int) {
	e := r.instance.engine
	duration := e.scaled(r.order.LoadMilliseconds[source])
	if source == sourceStore {
		// The only error is that the load was cancelled.
		if e.Store.Load(r.ctx, duration) != nil {
			return
		}
	} else if !r.instance.sleep(r.ctx.Done(), duration) {
		return
	}
	if !r.instance.waitForFaults(r.ctx.Done(), noDelay) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.state == orderer.StateLoading {
		r.state = orderer.StateReady
		e.cacheCheckpoint(r.checkpoint(), true)
	}
}

// run loads the adapter.
func (s *adapterSlot) run(duration time.Duration) {
	inst := s.replica.instance
	e := inst.engine
	if e.Store.LoadAdapter(s.replica.ctx, duration) != nil || !inst.waitForFaults(s.replica.ctx.Done(), noDelay) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	s.ready = true
}

// admit starts or queues a request. The waiter's channel is closed when it may run.
func (r *replica) admit(urgency int) *waiter {
	w := &waiter{urgency: urgency, admitted: make(chan struct{})}
	if r.running < cmp.Or(r.order.MaxInFlight, defaultMaxInFlight) {
		r.running++
		close(w.admitted)
	} else {
		at, _ := slices.BinarySearchFunc(r.queue, urgency+1, func(o *waiter, u int) int { return o.urgency - u })
		r.queue = slices.Insert(r.queue, at, w)
	}
	r.recordSample()
	return w
}

// release ends a running or waiting request.
func (r *replica) release(w *waiter) {
	if at := slices.Index(r.queue, w); at >= 0 {
		r.queue = slices.Delete(r.queue, at, at+1)
	} else {
		r.running--
		if len(r.queue) > 0 {
			next := r.queue[0]
			r.queue = r.queue[1:]
			r.running++
			close(next.admitted)
		}
	}
	r.recordSample()
	r.finishUnload()
}

func (r *replica) recordSample() {
	now := time.Now()
	keep := now.Add(-r.instance.engine.ReportLag)
	for len(r.samples) > 1 && !r.samples[1].at.After(keep) {
		r.samples = r.samples[1:]
	}
	r.samples = append(r.samples, sample{now, r.running, len(r.queue)})
}

// report returns the current state with the load as it was at loadAt.
func (r *replica) report(loadAt time.Time) orderer.ReplicaReport {
	report := orderer.ReplicaReport{
		Replica:      r.order.Replica,
		Deployment:   r.order.Deployment,
		ModelVersion: r.order.ModelVersion,
		Role:         r.role,
		State:        r.state,
		Bytes:        r.order.Bytes,
	}
	for _, s := range r.samples {
		if s.at.After(loadAt) {
			break
		}
		report.Running, report.Waiting = s.running, s.waiting
	}
	for name, slot := range r.adapters {
		if slot.ready {
			report.Adapters = append(report.Adapters, name)
		}
	}
	slices.Sort(report.Adapters)
	return report
}

// unload makes the replica refuse new requests and removes it after its last one.
func (r *replica) unload() {
	loading := r.state == orderer.StateLoading
	r.state = orderer.StateUnloading
	if loading {
		r.cancel()
	}
	r.finishUnload()
}

func (r *replica) finishUnload() {
	if r.state != orderer.StateUnloading || r.running > 0 || len(r.queue) > 0 {
		return
	}
	if r.instance.engine.UnloadTime == 0 {
		r.remove()
		return
	}
	unloading := &unloading{r}
	go unloading.run()
}

func (r *replica) remove() {
	r.cancel()
	r.instance.removeReplica(r)
}

// An unloading is a replica that takes time to unload.
type unloading struct {
	replica *replica
}

func (u *unloading) run() {
	inst := u.replica.instance
	if !inst.sleep(nil, inst.engine.UnloadTime) {
		return
	}
	inst.engine.mu.Lock()
	defer inst.engine.mu.Unlock()
	u.replica.remove()
}

// cachePrompt caches the prefixes, shortest first, and returns the share of the prompt that was not cached.
func (r *replica) cachePrompt(prefixes []uint64) float64 {
	if len(prefixes) == 0 {
		return 1
	}
	cached := 0
	for i, prefix := range prefixes {
		if r.prefixes.contains(prefix) {
			cached = i + 1
		}
	}
	size := cmp.Or(r.instance.engine.PrefixCacheSize, defaultPrefixes)
	for _, prefix := range prefixes {
		if !r.prefixes.contains(prefix) {
			r.recordCacheEvent(prefix, true)
		}
		if evicted, full := r.prefixes.touch(prefix, size); full {
			r.recordCacheEvent(evicted, false)
		}
	}
	return 1 - float64(cached)/float64(len(prefixes))
}

// recordCacheEvent numbers a cache event and keeps it for a report, unless it is chosen to be lost.
func (r *replica) recordCacheEvent(prefix uint64, stored bool) {
	r.sequence++
	e := r.instance.engine
	if e.EventLossShare > 0 && e.random.Float64() < e.EventLossShare {
		return
	}
	r.instance.events = append(r.instance.events, cacheEvent{time.Now(), orderer.CacheEvent{
		Sequence: r.sequence,
		Replica:  r.order.Replica,
		Prefix:   prefix,
		Stored:   stored,
	}})
}

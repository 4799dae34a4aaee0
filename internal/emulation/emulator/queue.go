package emulator

import (
	"time"

	"samphirewharf/internal/config/cataloger"
	"samphirewharf/internal/decision/admitter"
	"samphirewharf/internal/decision/observer"
	"samphirewharf/internal/decision/planner"
	"samphirewharf/internal/emulation/tracer"
)

// coldDemandTTL is how long a deployment stays in demand after a request was refused because its cold start would
// take too long.
const coldDemandTTL = 10 * time.Second

// A queue contains the waiting requests of one deployment and the state that a daemon keeps for it.
type queue struct {
	deployment *cataloger.Deployment
	waiting    admitter.Queue
	estimator  admitter.Estimator
	byID       map[uint64]*request
	running    int
	// used is true if the deployment was used since the demand was last sent.
	used bool
	// coldDemandUntil is the time until which the deployment stays in demand without waiting requests.
	coldDemandUntil time.Duration
	// readyAt is the forecast time at which a replica is ready, or at which the placer retries if loadImpossible is true.
	// Zero means that there is no forecast.
	readyAt        time.Duration
	loadImpossible bool
}

// A request is a request of the trace with its state.
type request struct {
	tracer.Request
	id       uint64
	deadline time.Duration
	// coldStart is true if no replica was ready when the request arrived.
	coldStart bool
}

// handleArrival routes, queues or refuses a request.
func (e *emulation) handleArrival(r *request) {
	q := e.queueOf(r.Deployment)
	q.used = true
	e.warmer.RecordArrival(r.Deployment, e.now)
	e.lastUse[r.Deployment] = e.now
	r.deadline = e.now + q.deployment.CanWaitDeadline.D()
	if r.Urgent {
		r.deadline = e.now + q.deployment.UrgentDeadline.D()
	}
	slots, _ := e.slots(q)
	r.coldStart = slots == 0
	e.activeQueues[q] = true
	if q.waiting.Len() == 0 && e.route(q, r) {
		return
	}
	e.enqueue(q, r)
}

func (e *emulation) enqueue(q *queue, r *request) {
	if e.willMissDeadline(q, r) {
		e.recordRefusal(r)
		return
	}
	displaced, ok := q.waiting.Push(admitter.Item{ID: r.id, Urgent: r.Urgent, Deadline: r.deadline, ArrivedAt: e.now})
	if !ok {
		e.recordRefusal(r)
		return
	}
	q.byID[r.id] = r
	e.callAt(r.deadline, func() { e.expire(q) })
	e.scheduleDemand()
	if displaced != nil {
		e.recordRefusal(q.byID[displaced.ID])
		delete(q.byID, displaced.ID)
	}
}

// expire refuses the waiting requests whose deadline has been reached.
func (e *emulation) expire(q *queue) {
	for _, item := range q.waiting.PopExpired(e.now) {
		e.recordRefusal(q.byID[item.ID])
		delete(q.byID, item.ID)
	}
}

// willMissDeadline reports whether a request can't start by its deadline, according to the predictions.
func (e *emulation) willMissDeadline(q *queue, r *request) bool {
	remaining := r.deadline - e.now
	if slots, running := e.slots(q); slots > 0 {
		predicted := q.estimator.Predict(q.waiting.Ahead(r.Urgent), slots, running) - q.estimator.ServiceTime()
		return q.waiting.Len() > 0 && predicted > remaining
	}
	if q.loadImpossible && q.readyAt > e.now {
		return true
	}
	ready := q.deployment.LoadFromMemory.D()
	if q.readyAt > e.now {
		ready = q.readyAt - e.now
	}
	if ready <= remaining {
		return false
	}
	q.coldDemandUntil = e.now + coldDemandTTL
	e.scheduleDemand()
	return true
}

// startWaiting starts waiting requests as long as replicas can accept them.
func (e *emulation) startWaiting(q *queue) {
	for q.waiting.Len() > 0 {
		item, ok := q.waiting.PopMatching(func(item admitter.Item) bool { return e.chooseReplica(q, q.byID[item.ID]) != nil })
		if !ok {
			return
		}
		r := q.byID[item.ID]
		delete(q.byID, item.ID)
		e.route(q, r)
	}
}

// chooseReplica returns the least loaded replica that can accept the request, or nil.
func (e *emulation) chooseReplica(q *queue, r *request) *observer.Replica {
	var best *observer.Replica
	for _, candidate := range e.fleet.Replicas(q.deployment.Name) {
		if !candidate.Usable() || candidate.InFlight >= q.deployment.MaxInFlight {
			continue
		}
		if r.Adapter != "" && !candidate.HasAdapter(r.Adapter) {
			continue
		}
		if best == nil || candidate.InFlight < best.InFlight {
			best = candidate
		}
	}
	return best
}

// route starts a request at a replica and reports whether there was one.
func (e *emulation) route(q *queue, r *request) bool {
	replica := e.chooseReplica(q, r)
	if replica == nil {
		return false
	}
	server := e.engines[replica.Server.Host.Server]
	engineReplica := server.find(replica.ID)
	if engineReplica == nil {
		e.interrupted++
		return false
	}
	e.recordStart(r)
	q.running++
	q.used = true
	replica.InFlight++
	server.changeRunning(engineReplica, 1)
	e.callAfter(r.ServiceTime, func() {
		q.running--
		q.used = true
		e.lastUse[r.Deployment] = e.now
		replica.InFlight--
		server.changeRunning(engineReplica, -1)
		q.estimator.Observe(r.ServiceTime)
		e.startWaiting(q)
	})
	return true
}

// countOverdue returns the number of waiting requests that are past their deadline.
func (q *queue) countOverdue(now time.Duration) int {
	count := 0
	for _, r := range q.byID {
		if now > r.deadline {
			count++
		}
	}
	return count
}

// demand returns the queue's demand, as it is sent to the placer.
func (q *queue) demand(now time.Duration) []planner.Need {
	base := planner.Need{Deployment: q.deployment.Name, Used: q.used, Running: q.running}
	if q.waiting.Len() == 0 {
		if now < q.coldDemandUntil {
			base.CanWait = 1
			base.Slack = q.coldDemandUntil - now
		}
		return []planner.Need{base}
	}
	byAdapter := make(map[string]*planner.Need)
	for _, r := range q.byID {
		n, ok := byAdapter[r.Adapter]
		if !ok {
			n = &planner.Need{Deployment: q.deployment.Name, Adapter: r.Adapter, Slack: r.deadline - now}
			byAdapter[r.Adapter] = n
		}
		n.Slack = min(n.Slack, r.deadline-now)
		if r.Urgent {
			n.Urgent++
		} else {
			n.CanWait++
		}
	}
	needs := make([]planner.Need, 0, len(byAdapter)+1)
	for _, name := range sortedKeys(byAdapter) {
		needs = append(needs, *byAdapter[name])
	}
	needs[0].Used, needs[0].Running = true, q.running
	return needs
}

// slots returns the number of request slots of the usable replicas, and the number of requests that they run.
func (e *emulation) slots(q *queue) (slots, running int) {
	for _, r := range e.fleet.Replicas(q.deployment.Name) {
		if r.Usable() {
			slots += q.deployment.MaxInFlight
			running += r.InFlight
		}
	}
	return slots, running
}

func (e *emulation) queueOf(name string) *queue {
	q, ok := e.queues[name]
	if !ok {
		d, _ := e.catalog.Deployment(name)
		q = &queue{deployment: d, waiting: admitter.Queue{Max: d.MaxQueue}, byID: make(map[uint64]*request)}
		e.queues[name] = q
	}
	return q
}

package emulator

import (
	"time"

	"samphirewharf/internal/config/cataloger"
	"samphirewharf/internal/decision/admitter"
	"samphirewharf/internal/decision/observer"
	"samphirewharf/internal/decision/planner"
	"samphirewharf/internal/emulation/tracer"
)

// coldInterest is how long a request that was refused as too slow to start keeps asking for a replica.
const coldInterest = 10 * time.Second

// A queue is the requests to one deployment, as a daemon keeps them.
type queue struct {
	deployment *cataloger.Deployment
	waiting    admitter.Queue
	estimator  admitter.Estimator
	byID       map[uint64]*request
	running    int
	used       bool
	coldUntil  time.Duration
	readyAt    time.Duration
	impossible bool
}

// A request is a request of the trace and what became of it.
type request struct {
	tracer.Request
	id       uint64
	deadline time.Duration
	// cold tells that no replica was ready when it arrived.
	cold bool
}

// arrive routes, queues or refuses a request.
func (e *emulation) arrive(r *request) {
	q := e.queueOf(r.Deployment)
	q.used = true
	e.warmer.RecordArrival(r.Deployment, e.now)
	e.lastUse[r.Deployment] = e.now
	r.deadline = e.now + q.deployment.CanWaitDeadline.D()
	if r.Urgent {
		r.deadline = e.now + q.deployment.UrgentDeadline.D()
	}
	slots, _ := e.slots(q)
	r.cold = slots == 0
	e.active[q] = true
	if q.waiting.Len() == 0 && e.route(q, r) {
		return
	}
	e.enqueue(q, r)
}

func (e *emulation) enqueue(q *queue, r *request) {
	if e.hopeless(q, r) {
		e.refuse(r)
		return
	}
	displaced, ok := q.waiting.Push(admitter.Item{ID: r.id, Urgent: r.Urgent, Deadline: r.deadline, ArrivedAt: e.now})
	if !ok {
		e.refuse(r)
		return
	}
	q.byID[r.id] = r
	e.at(r.deadline, func() { e.expire(q) })
	e.sendNeedsSoon()
	if displaced != nil {
		e.refuse(q.byID[displaced.ID])
		delete(q.byID, displaced.ID)
	}
}

// expire refuses the requests whose deadline has come.
func (e *emulation) expire(q *queue) {
	for _, item := range q.waiting.PopExpired(e.now) {
		e.refuse(q.byID[item.ID])
		delete(q.byID, item.ID)
	}
}

// hopeless reports whether a request can't start in time.
func (e *emulation) hopeless(q *queue, r *request) bool {
	left := r.deadline - e.now
	if slots, running := e.slots(q); slots > 0 {
		predicted := q.estimator.Predict(q.waiting.Ahead(r.Urgent), slots, running) - q.estimator.ServiceTime()
		return q.waiting.Len() > 0 && predicted > left
	}
	if q.impossible && q.readyAt > e.now {
		return true
	}
	ready := q.deployment.LoadFromMemory.D()
	if q.readyAt > e.now {
		ready = q.readyAt - e.now
	}
	if ready <= left {
		return false
	}
	q.coldUntil = e.now + coldInterest
	e.sendNeedsSoon()
	return true
}

// pump starts waiting requests while replicas take them.
func (e *emulation) pump(q *queue) {
	for q.waiting.Len() > 0 {
		item, ok := q.waiting.PopMatching(func(item admitter.Item) bool { return e.choose(q, q.byID[item.ID]) != nil })
		if !ok {
			return
		}
		r := q.byID[item.ID]
		delete(q.byID, item.ID)
		e.route(q, r)
	}
}

// choose returns the least loaded replica that may take the request, or nil.
func (e *emulation) choose(q *queue, r *request) *observer.Replica {
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

// route starts a request at a replica, if one takes it.
func (e *emulation) route(q *queue, r *request) bool {
	view := e.choose(q, r)
	if view == nil {
		return false
	}
	server := e.engines[view.Server.Host.Server]
	running := server.find(view.ID)
	if running == nil {
		e.cut++
		return false
	}
	e.started(r)
	q.running++
	q.used = true
	view.InFlight++
	server.run(running, 1)
	e.after(r.ServiceTime, func() {
		q.running--
		q.used = true
		e.lastUse[r.Deployment] = e.now
		view.InFlight--
		server.run(running, -1)
		q.estimator.Observe(r.ServiceTime)
		e.pump(q)
	})
	return true
}

// late returns how many waiting requests are past their deadline.
func (q *queue) late(now time.Duration) int {
	count := 0
	for _, r := range q.byID {
		if now > r.deadline {
			count++
		}
	}
	return count
}

// needs returns what the placer is told of the queue.
func (q *queue) needs(now time.Duration) []planner.Need {
	base := planner.Need{Deployment: q.deployment.Name, Used: q.used, Running: q.running}
	if q.waiting.Len() == 0 {
		if now < q.coldUntil {
			base.CanWait = 1
			base.Slack = q.coldUntil - now
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

// slots returns how many requests the usable replicas run at once, and how many they run.
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

package reducer

import (
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"samphirewharf/internal/caller/refuser"
	"samphirewharf/internal/config/cataloger"
	"samphirewharf/internal/decision/admitter"
)

const (
	defaultPlainDeadline = 5 * time.Second
	// coldDemandTTL is how long a request that was refused as too slow to start counts as demand for a
	// replica.
	coldDemandTTL = 10 * time.Second
)

// handleRequest admits, forwards or refuses a new request.
func (m *Machine) handleRequest(e RequestArrived) {
	r := &request{id: e.Request, arrival: e, arrivedAt: m.now.Monotonic}
	r.timer.Owner, r.timer.Number = r, uint64(r.id)
	m.requests[r.id] = r
	if m.catalog == nil {
		m.refuse(r, refuser.CodeNoConfiguration, refuser.NotRun, time.Second, "")
		return
	}
	if m.stop.refusing {
		m.refuse(r, refuser.CodeDaemonStopping, refuser.NotRun, time.Second, "")
		return
	}
	if len(m.requests) > m.maxRequests() {
		m.refuse(r, refuser.CodeOverloaded, refuser.NotRun, time.Second, "")
		return
	}
	if !m.resolve(r) {
		m.refuse(r, refuser.CodeUnknownDeployment, refuser.NotRun, 0, e.Target)
		return
	}
	m.setTimer(r, r.deadline)
	if m.cells[r.service.Name] == nil {
		m.forwardToCell(r)
		return
	}
	if m.isolator.Poisonous(r.hash, m.now.Monotonic) {
		m.refuse(r, refuser.CodePoisonRequest, refuser.NotRun, 0, "")
		return
	}
	if e.Plain {
		m.admitPlain(r)
		return
	}
	m.admitModel(r)
}

// resolve sets the request's service, target and deadline, and reports whether its target exists.
func (m *Machine) resolve(r *request) bool {
	e := r.arrival
	name := e.Target
	var timeout time.Duration
	if e.Plain {
		service, ok := m.catalog.Service(name)
		if !ok || service.Kind != cataloger.KindPlain {
			return false
		}
		r.service = service
		timeout = service.Deadline.D()
		if timeout == 0 {
			timeout = defaultPlainDeadline
		}
	} else {
		target, ok := m.catalog.Target(name)
		if !ok {
			return false
		}
		service, ok := m.catalog.Service(target.Deployment.Service)
		if !ok {
			return false
		}
		r.target, r.service = target, service
		r.idempotent = true
		timeout = defaultDeadline(target.Deployment, e.Urgent)
	}
	if e.Timeout > 0 {
		timeout = e.Timeout
	}
	r.deadline = r.arrivedAt + timeout
	r.hash = requestHash(name, e.BodyHash)
	return true
}

func defaultDeadline(d *cataloger.Deployment, urgent bool) time.Duration {
	if urgent {
		return d.UrgentDeadline.D()
	}
	return d.CanWaitDeadline.D()
}

func requestHash(name string, body uint64) uint64 {
	var digest xxhash.Digest
	digest.ResetWithSeed(body)
	_, _ = digest.WriteString(name)
	return digest.Sum64()
}

// admitModel routes a request to a replica, queues it, or refuses it early.
func (m *Machine) admitModel(r *request) {
	d := r.target.Deployment
	r.queue = m.modelQueue(d)
	r.queue.recentlyUsed = true
	m.warmer.RecordArrival(d.Name, m.now.Monotonic)
	if r.queue.waiting.Len() == 0 && m.route(r) {
		return
	}
	m.enqueue(r)
}

// admitPlain claims a request that must not be repeated, and routes, queues or refuses any other.
func (m *Machine) admitPlain(r *request) {
	r.queue = m.plainQueue(r.service)
	if m.needsClaim(r) {
		m.claim(r)
		return
	}
	r.idempotent = isIdempotentMethod(r.arrival.Method)
	if r.queue.waiting.Len() == 0 && m.route(r) {
		return
	}
	m.enqueue(r)
}

// needsClaim reports whether the configuration says that the request must not be repeated.
func (m *Machine) needsClaim(r *request) bool {
	for _, rule := range r.service.NonIdempotent {
		if rule.Method != "*" && rule.Method != r.arrival.Method {
			continue
		}
		if strings.HasPrefix(r.arrival.Path, rule.PathPrefix) {
			return true
		}
	}
	return false
}

func isIdempotentMethod(method string) bool {
	switch method {
	case "GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE":
		return true
	default:
		return false
	}
}

// enqueue queues a request, or refuses it at once if it can't be served in time.
func (m *Machine) enqueue(r *request) {
	if code, after := m.deadlineRefusal(r); code != refuser.CodeOK {
		m.refuse(r, code, r.ran(), after, r.queue.name)
		return
	}
	item := admitter.Item{ID: uint64(r.id), Urgent: r.arrival.Urgent, Deadline: r.deadline, ArrivedAt: r.arrivedAt}
	displaced, ok := r.queue.waiting.Push(item)
	if !ok {
		m.refuse(r, refuser.CodeQueueFull, r.ran(), m.queueRetryAfter(r.queue), r.queue.name)
		return
	}
	r.state = stateQueued
	r.queue.add(r)
	m.setTimer(r, r.deadline)
	m.scheduleNeeds(r.queue)
	if m.isolator.HasEntries() {
		// Suspects at the head of the queue may wait for a server that this request doesn't need.
		m.dispatchQueue(r.queue)
	}
	if displaced == nil {
		return
	}
	if other := r.queue.byID[displaced.ID]; other != nil {
		r.queue.untrack(other)
		m.refuse(other, refuser.CodeQueueFull, other.ran(), m.queueRetryAfter(r.queue), r.queue.name)
	}
}

// deadlineRefusal returns the code and the retry delay of the refusal of a request that can't be served in
// time. The code is CodeOK if the request may wait.
func (m *Machine) deadlineRefusal(r *request) (refuser.Code, time.Duration) {
	q := r.queue
	remaining := r.deadline - m.now.Monotonic
	slots, running := m.slots(q)
	if slots > 0 {
		predicted := q.estimator.Predict(q.waiting.Ahead(r.arrival.Urgent), slots, running)
		if r.arrival.Stream {
			predicted -= q.estimator.ServiceTime()
		}
		if q.waiting.Len() > 0 && predicted > remaining {
			return refuser.CodeDeadlineUnreachable, m.queueRetryAfter(q)
		}
		return refuser.CodeOK, 0
	}
	if q.plain {
		return refuser.CodeNoServer, admitter.MinRetryAfter
	}
	return m.coldStartRefusal(r, remaining)
}

// coldStartRefusal is deadlineRefusal for a request whose deployment is not loaded. A refused request still
// counts as demand for a while, so that the deployment is loaded when the caller retries after the returned
// delay.
func (m *Machine) coldStartRefusal(r *request, remaining time.Duration) (refuser.Code, time.Duration) {
	q := r.queue
	if q.noCapacity && q.readyAt > m.now.Monotonic {
		q.coldDemandUntil = m.now.Monotonic + coldDemandTTL
		m.scheduleNeeds(q)
		return refuser.CodeNoCapacity, max(admitter.MinRetryAfter, q.readyAt-m.now.Monotonic)
	}
	ready := r.target.Deployment.LoadFromMemory.D()
	if q.readyAt > m.now.Monotonic {
		ready = q.readyAt - m.now.Monotonic
	}
	if ready <= remaining {
		return refuser.CodeOK, 0
	}
	q.coldDemandUntil = m.now.Monotonic + coldDemandTTL
	m.scheduleNeeds(q)
	return refuser.CodeColdStartTooSlow, max(admitter.MinRetryAfter, ready)
}

func (m *Machine) maxRequests() int {
	if m.settings.MaxRequests > 0 {
		return m.settings.MaxRequests
	}
	return maxRequests
}

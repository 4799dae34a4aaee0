package reducer

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"samphirewharf/internal/config/cataloger"
	"samphirewharf/internal/decision/admitter"
	"samphirewharf/internal/decision/planner"
)

// A requestQueue is a daemon's state of a deployment or plain service that it has requests for.
type requestQueue struct {
	// name is the name of the deployment or plain service.
	name    string
	plain   bool
	service string

	waiting   admitter.Queue
	estimator admitter.Estimator
	// byID are the waiting requests by ID.
	byID map[uint64]*request
	// waitingByAdapter counts the waiting requests by adapter.
	waitingByAdapter map[string]int

	running int
	// recentlyUsed reports whether requests arrived or ran since the last message to the placer.
	recentlyUsed bool
	// coldDemandUntil is until when a request that was refused as too slow to start counts as demand for a
	// replica.
	coldDemandUntil time.Duration
	// readyAt is when the placer expects a replica to be ready; zero if unknown.
	readyAt time.Duration
	// noCapacity reports whether, by the last forecast, no backend server has memory for the deployment.
	noCapacity bool
}

func newRequestQueue(name, service string, maxQueue int, prior time.Duration) *requestQueue {
	return &requestQueue{
		name:             name,
		service:          service,
		waiting:          admitter.Queue{Max: maxQueue},
		estimator:        admitter.Estimator{Prior: prior},
		byID:             make(map[uint64]*request),
		waitingByAdapter: make(map[string]int),
	}
}

func (q *requestQueue) add(r *request) {
	q.byID[uint64(r.id)] = r
	q.waitingByAdapter[r.adapter()]++
}

// untrack removes the state of a request that has left the queue.
func (q *requestQueue) untrack(r *request) {
	if _, ok := q.byID[uint64(r.id)]; !ok {
		return
	}
	delete(q.byID, uint64(r.id))
	q.waitingByAdapter[r.adapter()]--
	if q.waitingByAdapter[r.adapter()] == 0 {
		delete(q.waitingByAdapter, r.adapter())
	}
}

func (q *requestQueue) remove(r *request) {
	q.waiting.Remove(uint64(r.id))
	q.untrack(r)
}

// modelQueue returns the queue of a model deployment, created on first use.
func (m *Machine) modelQueue(d *cataloger.Deployment) *requestQueue {
	q, ok := m.modelQueues[d.Name]
	if !ok {
		q = newRequestQueue(d.Name, d.Service, d.MaxQueue, 0)
		m.modelQueues[d.Name] = q
	}
	return q
}

// plainQueue returns the queue of a plain service, created on first use.
func (m *Machine) plainQueue(s *cataloger.Service) *requestQueue {
	q, ok := m.plainQueues[s.Name]
	if !ok {
		q = newRequestQueue(s.Name, s.Name, 0, 0)
		q.plain = true
		m.plainQueues[s.Name] = q
	}
	return q
}

// queueRetryAfter returns the delay after which a retry is worthwhile: when a replica is expected to be ready,
// or a slot to be free.
func (m *Machine) queueRetryAfter(q *requestQueue) time.Duration {
	slots, running := m.slots(q)
	if slots == 0 {
		if q.readyAt > m.now.Monotonic {
			return max(admitter.MinRetryAfter, q.readyAt-m.now.Monotonic)
		}
		if d, ok := m.catalog.Deployment(q.name); ok && !q.plain {
			return max(admitter.MinRetryAfter, d.Load.D())
		}
		return admitter.MinRetryAfter
	}
	return q.estimator.RetryAfter(q.waiting.Len(), slots, running)
}

// slots returns the number of slots at all usable servers or replicas, and how many of them are taken.
func (m *Machine) slots(q *requestQueue) (slots, running int) {
	if q.plain {
		return m.plainSlots(q)
	}
	d, ok := m.catalog.Deployment(q.name)
	if !ok {
		return 0, 0
	}
	for _, r := range m.fleet.Replicas(q.name) {
		if !r.Usable() {
			continue
		}
		slots += d.MaxInFlight
		running += r.InFlight + r.OthersInFlight()
	}
	return slots, running
}

func (m *Machine) plainSlots(q *requestQueue) (slots, running int) {
	service, ok := m.catalog.Service(q.service)
	if !ok {
		return 0, 0
	}
	for _, s := range m.fleet.Servers(q.service) {
		if s.AcceptsWork() {
			slots += service.MaxInFlight
			running += s.InFlight
		}
	}
	return slots, running
}

// byArrival returns the waiting requests in order of arrival.
func (q *requestQueue) byArrival() []*request {
	list := slices.Collect(maps.Values(q.byID))
	slices.SortFunc(list, func(a, b *request) int { return cmp.Compare(a.id, b.id) })
	return list
}

// usedQueues returns the queues of a cell with requests that wait, run or recently ended, sorted by name.
func (m *Machine) usedQueues(c *cell) []*requestQueue {
	var list []*requestQueue
	for _, q := range m.modelQueues {
		if q.service != c.name {
			continue
		}
		if q.recentlyUsed || q.running > 0 || q.waiting.Len() > 0 || m.now.Monotonic < q.coldDemandUntil {
			list = append(list, q)
		}
	}
	slices.SortFunc(list, func(a, b *requestQueue) int { return strings.Compare(a.name, b.name) })
	return list
}

// queueNeeds returns what a queue's requests need, one need for each adapter.
func (m *Machine) queueNeeds(q *requestQueue) []planner.Need {
	counts := q.waiting.Counts()
	base := planner.Need{Deployment: q.name, Used: q.recentlyUsed, Running: q.running}
	if counts.Urgent+counts.CanWait == 0 {
		if m.now.Monotonic < q.coldDemandUntil {
			base.CanWait = 1
			base.Slack = q.coldDemandUntil - m.now.Monotonic
		}
		return []planner.Need{base}
	}
	base.Slack = counts.EarliestDeadline - m.now.Monotonic
	byAdapter := make(map[string]*planner.Need)
	var names []string
	for _, r := range q.byID {
		n, ok := byAdapter[r.adapter()]
		if !ok {
			n = &planner.Need{Deployment: q.name, Adapter: r.adapter(), Slack: r.deadline - m.now.Monotonic}
			byAdapter[r.adapter()] = n
			names = append(names, r.adapter())
		}
		n.Slack = min(n.Slack, r.deadline-m.now.Monotonic)
		if r.arrival.Urgent {
			n.Urgent++
		} else {
			n.CanWait++
		}
	}
	slices.Sort(names)
	needs := make([]planner.Need, 0, len(names))
	for i, name := range names {
		n := *byAdapter[name]
		if i == 0 {
			n.Used, n.Running = true, q.running
		}
		needs = append(needs, n)
	}
	return needs
}

package reducer

import (
	"time"

	"samphirewharf/internal/decision/admitter"
	"samphirewharf/internal/decision/observer"
	"samphirewharf/internal/decision/router"
)

// A selection is the server or replica chosen for a request.
type selection struct {
	server   *observer.Server
	replica  *observer.Replica
	decision RoutingDecision
}

// route dispatches a request to a replica or server with a free slot, and reports whether there is one.
func (m *Machine) route(r *request) bool {
	chosen, ok := m.selectTarget(r)
	if !ok {
		return false
	}
	m.dispatch(r, chosen)
	return true
}

// selectTarget selects a replica or server that can run the request now.
func (m *Machine) selectTarget(r *request) (selection, bool) {
	if r.queue.plain {
		return m.selectServer(r)
	}
	return m.selectReplica(r)
}

func (m *Machine) selectReplica(r *request) (selection, bool) {
	d := r.target.Deployment
	m.candidates = m.candidates[:0]
	m.candidateReplicas = m.candidateReplicas[:0]
	for _, replica := range m.fleet.Replicas(d.Name) {
		if !m.isEligible(r, replica) {
			continue
		}
		m.candidateReplicas = append(m.candidateReplicas, replica)
		m.candidates = append(m.candidates, router.Candidate{
			Replica:      replica.ID,
			Server:       replica.Server.Host.Server,
			Zone:         replica.Server.Host.Zone,
			OwnInFlight:  replica.InFlight,
			ReportedLoad: replica.OthersInFlight(),
			ReportAge:    m.now.Monotonic - replica.ReportedAt,
			MaxInFlight:  d.MaxInFlight,
			AdapterReady: true,
		})
	}
	choice := m.chooseCandidate(r.arrival.Prefixes, r.queue.estimator.ServiceTime())
	if choice.Index < 0 {
		return selection{}, false
	}
	return m.newSelection(r, choice), true
}

// isEligible reports whether the request may be sent to the replica, regardless of its load.
func (m *Machine) isEligible(r *request, replica *observer.Replica) bool {
	if !replica.Usable() {
		return false
	}
	adapter := r.adapter()
	if adapter != "" && !replica.HasAdapter(adapter) {
		return false
	}
	if m.isSuperseded(r, replica) {
		return false
	}
	server := replica.Server.Host.Server
	if server == r.avoid && len(m.fleet.Replicas(replica.Deployment)) > 1 {
		return false
	}
	return m.isolator.MayRun(server, r.hash, m.now.Monotonic)
}

// isSuperseded reports whether the replica has an outdated model version while a current one is usable.
func (m *Machine) isSuperseded(r *request, replica *observer.Replica) bool {
	current := r.target.Deployment.ModelVersion
	if replica.ModelVersion == current {
		return false
	}
	for _, other := range m.fleet.Replicas(replica.Deployment) {
		if other.ModelVersion == current && other.Usable() {
			return true
		}
	}
	return false
}

func (m *Machine) chooseCandidate(prefixes []uint64, service time.Duration) router.Choice {
	candidates := router.Candidates{Len: len(m.candidates), At: m.candidateAt, ServiceTime: service}
	return m.router.Choose(candidates, prefixes, m.settings.Zone, m.rng)
}

func (m *Machine) newSelection(r *request, choice router.Choice) selection {
	replica := m.candidateReplicas[choice.Index]
	s := selection{server: replica.Server, replica: replica}
	s.decision = RoutingDecision{
		Deployment: r.queue.name,
		Reason:     string(choice.Reason),
		Score:      choice.Score,
		Waited:     m.now.Monotonic - r.arrivedAt,
	}
	if choice.Other >= 0 {
		s.decision.Other = m.candidateReplicas[choice.Other].ID
		s.decision.OtherScore = choice.OtherScore
	}
	return s
}

// selectServer chooses the less loaded of two random servers of a plain service.
func (m *Machine) selectServer(r *request) (selection, bool) {
	m.candidates = m.candidates[:0]
	m.candidateServers = m.candidateServers[:0]
	for _, s := range m.fleet.Servers(r.service.Name) {
		if !s.AcceptsWork() || !m.isolator.MayRun(s.Host.Server, r.hash, m.now.Monotonic) {
			continue
		}
		m.candidateServers = append(m.candidateServers, s)
		m.candidates = append(m.candidates, router.Candidate{
			Server:       s.Host.Server,
			Zone:         s.Host.Zone,
			OwnInFlight:  s.InFlight,
			MaxInFlight:  r.service.MaxInFlight,
			AdapterReady: true,
		})
	}
	m.removeAvoided(r.avoid)
	choice := m.chooseCandidate(nil, r.queue.estimator.ServiceTime())
	if choice.Index < 0 {
		return selection{}, false
	}
	s := selection{server: m.candidateServers[choice.Index]}
	s.decision = RoutingDecision{
		Deployment: r.service.Name,
		Reason:     string(choice.Reason),
		Score:      choice.Score,
		Waited:     m.now.Monotonic - r.arrivedAt,
	}
	if choice.Other >= 0 {
		s.decision.Other = m.candidateServers[choice.Other].Host.Server
		s.decision.OtherScore = choice.OtherScore
	}
	return s, true
}

// removeAvoided removes the server of the last failed attempt from the candidates if there are others.
func (m *Machine) removeAvoided(avoid string) {
	if avoid == "" || len(m.candidates) < 2 {
		return
	}
	for i := range m.candidates {
		if m.candidates[i].Server != avoid {
			continue
		}
		m.candidates = append(m.candidates[:i], m.candidates[i+1:]...)
		m.candidateServers = append(m.candidateServers[:i], m.candidateServers[i+1:]...)
		return
	}
}

// dispatch sends a request to the chosen replica or server.
func (m *Machine) dispatch(r *request, chosen selection) {
	r.attempt++
	r.state = stateRunning
	r.server = chosen.server
	r.replica = chosen.replica
	r.sentAt = m.now.Monotonic
	r.queue.running++
	r.queue.recentlyUsed = true
	chosen.server.InFlight++
	r.engineInstance = chosen.server.Report.Instance
	m.isolator.Started(chosen.server.Host.Server, r.hash)
	e := Dispatch{
		Request:    r.id,
		Attempt:    r.attempt,
		Server:     chosen.server.Host.Server,
		Address:    chosen.server.Host.Address,
		Adapter:    r.adapter(),
		Timeout:    r.deadline - m.now.Monotonic,
		ResumeFrom: r.tokens,
		KeepAnswer: r.claimed,
		Decision:   chosen.decision,
	}
	if chosen.replica != nil {
		e.Replica = chosen.replica.ID
		chosen.replica.InFlight++
		chosen.replica.SentSinceReport++
		m.router.Prefixes.RecordSent(chosen.replica.ID, r.arrival.Prefixes)
	}
	m.emit(e)
}

// releaseSlot frees the slot of a request's attempt.
func (m *Machine) releaseSlot(r *request) {
	if r.server == nil {
		return
	}
	r.server.InFlight--
	r.queue.running--
	if r.replica != nil {
		r.replica.InFlight--
	}
	r.server, r.replica = nil, nil
}

// dispatchQueue dispatches waiting requests of a queue while there are free slots.
func (m *Machine) dispatchQueue(q *requestQueue) {
	for q.waiting.Len() > 0 {
		var chosen selection
		item, ok := q.waiting.PopMatching(func(item admitter.Item) bool {
			var found bool
			chosen, found = m.selectTarget(q.byID[item.ID])
			return found
		})
		if !ok {
			break
		}
		r := q.byID[item.ID]
		q.untrack(r)
		m.dispatch(r, chosen)
	}
	if q.waiting.Len() > 0 && !q.plain && m.isolator.HasEntries() {
		m.forwardSuspects(q)
	}
}

// dispatchDeploymentQueues dispatches from the queues of deployments that gained a replica or adapter.
func (m *Machine) dispatchDeploymentQueues(names []string) {
	for _, name := range names {
		q, ok := m.modelQueues[name]
		if !ok {
			continue
		}
		q.readyAt = 0
		q.noCapacity = false
		m.dispatchQueue(q)
	}
}

// observeServiceTime adds the run time of a request to the queue's estimate.
func (q *requestQueue) observeServiceTime(elapsed time.Duration) { q.estimator.Observe(elapsed) }

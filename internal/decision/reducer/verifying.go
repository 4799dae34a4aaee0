package reducer

import (
	"maps"
	"slices"
	"time"

	"samphirewharf/internal/caller/refuser"
	"samphirewharf/internal/decision/tracker"
	"samphirewharf/internal/peer/messenger"
)

// verify makes a request whose connection broke wait until it is known whether the server died, so that a
// request that crashes servers becomes a suspect before it is retried.
func (m *Machine) verify(r *request, server string) {
	r.state = stateVerifying
	m.verifying[server] = append(m.verifying[server], r)
	m.setTimer(r, min(r.deadline, m.now.Monotonic+verifyTimeout))
	m.verifyServer(server)
}

// verifyServer polls a server to learn whether it died.
func (m *Machine) verifyServer(server string) {
	p := m.poll(server)
	p.verify = true
	m.pollNow(server)
}

// handleVerifyTimeout ends the wait of a request whose server did not answer in time. The server counts as
// dead.
func (m *Machine) handleVerifyTimeout(r *request) {
	server := r.avoid
	if _, waiting := m.verifying[server]; waiting {
		m.handleServerDied(server)
		return
	}
	m.retryFailed(r)
}

// handleServerAlive ends the wait of requests whose server still runs the same process.
func (m *Machine) handleServerAlive(server string) {
	waiting := m.verifying[server]
	delete(m.verifying, server)
	for _, r := range waiting {
		m.isolator.Finished(server, r.hash, false)
	}
	m.retryVerified(waiting)
}

// handleServerDied marks the requests that ran at a dead server as suspects, notifies the cell, and retries
// them.
func (m *Machine) handleServerDied(server string) {
	m.fleet.MarkUnreachable(server)
	suspects, poisonous := m.isolator.ServerDied(server, m.now.Monotonic)
	if len(suspects)+len(poisonous) > 0 {
		m.sendVerdict(server, suspects, poisonous)
	}
	if len(poisonous) > 0 {
		m.refusePoisonous()
	}
	waiting := m.verifying[server]
	delete(m.verifying, server)
	m.retryVerified(waiting)
}

func (m *Machine) retryVerified(waiting []*request) {
	for _, r := range waiting {
		if r.state != stateVerifying {
			continue
		}
		m.setTimer(r, r.deadline)
		m.retryFailed(r)
	}
}

// sendVerdict sends the suspects and poisonous requests to the daemons of the server's cell.
func (m *Machine) sendVerdict(server string, suspects, poisonous []uint64) {
	s, ok := m.fleet.Server(server)
	if !ok {
		return
	}
	verdict := &messenger.Verdict{
		Cell: s.Host.Service, Hashes: poisonous, Suspects: suspects, Expires: verdictTTL,
	}
	m.sendToCell(s.Host.Service, messenger.Message{Verdict: verdict})
	m.emit(Noted{Message: "backend server died", Subject: server, Warning: true})
}

// ownsServer reports whether this daemon may run suspects at the server.
func (m *Machine) ownsServer(server string) bool {
	s, ok := m.fleet.Server(server)
	if !ok {
		return false
	}
	c := m.cells[s.Host.Service]
	if c == nil {
		return false
	}
	return c.serverOwners[server] == m.settings.Daemon
}

// forwardSuspects forwards waiting suspects to the daemon that may run them, if this daemon may run them
// nowhere.
func (m *Machine) forwardSuspects(q *requestQueue) {
	owner, ok := m.suspectOwner(q)
	if !ok {
		return
	}
	for _, r := range q.byArrival() {
		if r.attempt >= maxAttempts-1 || !m.isolator.Suspected(r.hash, m.now.Monotonic) {
			continue
		}
		if m.now.Monotonic < r.forwardAt {
			m.setTimer(r, min(r.deadline, r.forwardAt))
			continue
		}
		q.remove(r)
		if r.arrival.ForwardedBy != "" {
			m.refuse(r, refuser.CodeForwardFailed, r.ran(), time.Second, "suspects of the server are run by another daemon")
			continue
		}
		m.forward(r, owner, "suspects of the server are run by another daemon")
	}
}

// suspectOwner returns the daemon that owns a server with a usable replica; ok is false if there is none or
// if this daemon owns one.
func (m *Machine) suspectOwner(q *requestQueue) (owner tracker.Daemon, ok bool) {
	c := m.cells[q.service]
	if c == nil {
		return tracker.Daemon{}, false
	}
	for _, replica := range m.fleet.Replicas(q.name) {
		server := replica.Server.Host.Server
		if !replica.Usable() {
			continue
		}
		if m.ownsServer(server) {
			return tracker.Daemon{}, false
		}
		if !ok {
			owner, ok = m.cellMember(c, c.serverOwners[server])
		}
	}
	return owner, ok
}

// cellMember returns the daemon of a cell with the given ID.
func (m *Machine) cellMember(c *cell, id string) (tracker.Daemon, bool) {
	for _, d := range m.cellMembers(c.name) {
		if d.ID == id {
			return d, true
		}
	}
	return tracker.Daemon{}, false
}

// refusePoisonous refuses the waiting requests that are poisonous.
func (m *Machine) refusePoisonous() {
	for _, name := range slices.Sorted(maps.Keys(m.modelQueues)) {
		q := m.modelQueues[name]
		for _, r := range q.byArrival() {
			if m.isolator.Poisonous(r.hash, m.now.Monotonic) {
				q.remove(r)
				m.refuse(r, refuser.CodePoisonRequest, r.ran(), 0, "")
			}
		}
		m.dispatchQueue(q)
	}
}

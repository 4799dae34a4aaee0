package reducer

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"samphirewharf/internal/backend/orderer"
	"samphirewharf/internal/config/cataloger"
	"samphirewharf/internal/decision/observer"
)

// A poll is the state of this daemon's polls of one server.
type poll struct {
	// assigned reports whether the server is assigned to this daemon.
	assigned bool
	inFlight bool
	// pollAgain reports whether another poll was requested while one was in flight.
	pollAgain bool
	// verify reports whether requests wait to learn whether the server died.
	verify bool
	nextAt time.Duration
	// lastShared is the report that was last sent to the cell's other daemons.
	lastShared orderer.Report
	// unshared reports whether there is a report that was not sent to the other daemons yet.
	unshared bool
	// repeatsLeft is how many more heartbeats carry the full report; refreshAt is when it is sent in any
	// case.
	repeatsLeft int
	refreshAt   time.Duration
}

// poll returns the poll state of a server, created on first use.
func (m *Machine) poll(server string) *poll {
	p, ok := m.polls[server]
	if !ok {
		p = &poll{}
		m.polls[server] = p
	}
	return p
}

// assignPolls distributes the polls of the cell's servers among its daemons.
func (m *Machine) assignPolls(c *cell) {
	servers := m.fleet.Servers(c.name)
	c.assignServers(servers)
	for _, s := range servers {
		name := s.Host.Server
		p := m.poll(name)
		assigned := c.serverOwners[name] == m.settings.Daemon
		if assigned && !p.assigned {
			p.nextAt = m.now.Monotonic + time.Duration(xxhash.Sum64String(name)%uint64(pollInterval/8))
		}
		p.assigned = assigned
	}
}

// pollServers polls the servers that are due: in model cells those that are assigned to this daemon, in plain
// cells those that this daemon can't reach.
func (m *Machine) pollServers() {
	for _, name := range m.cellNames {
		model := m.cells[name].kind == cataloger.KindModel
		for _, s := range m.fleet.Servers(name) {
			p := m.poll(s.Host.Server)
			polledHere := model && p.assigned || !model && !s.Reachable()
			if polledHere && !p.inFlight && m.now.Monotonic >= p.nextAt {
				m.startPoll(s, p)
			}
		}
	}
}

// ranAtEarlierProcess reports whether a request that waits to learn whether the server died ran at an earlier
// process of the server.
func (m *Machine) ranAtEarlierProcess(server, instance string) bool {
	for _, r := range m.verifying[server] {
		if r.engineInstance != instance {
			return true
		}
	}
	return false
}

// pollNow polls a server now, or again after the poll in flight.
func (m *Machine) pollNow(server string) {
	s, ok := m.fleet.Server(server)
	if !ok {
		return
	}
	p := m.poll(server)
	if p.inFlight {
		p.pollAgain = true
		return
	}
	m.startPoll(s, p)
}

func (m *Machine) startPoll(s *observer.Server, p *poll) {
	p.inFlight = true
	p.nextAt = m.now.Monotonic + pollInterval
	c := m.cells[s.Host.Service]
	m.emit(PollServer{
		Server:      s.Host.Server,
		Address:     s.Host.Address,
		Checkpoints: s.CheckpointsVersion(),
		ConnectOnly: c == nil || c.kind != cataloger.KindModel,
	})
}

// handleServerPolled handles the end of a poll. Servers of plain services report no state, only whether they
// are reachable.
func (m *Machine) handleServerPolled(e ServerPolled) {
	s, ok := m.fleet.Server(e.Server)
	if !ok {
		delete(m.polls, e.Server)
		return
	}
	p := m.poll(e.Server)
	p.inFlight = false
	if !e.OK {
		m.handlePollFailed(s, p)
	} else {
		m.handlePollAnswered(s, p, e)
	}
	if p.pollAgain {
		p.pollAgain = false
		m.startPoll(s, p)
	}
	c := m.cells[s.Host.Service]
	if c == nil || c.kind != cataloger.KindModel {
		return
	}
	m.applyPlannerActions(c, c.planner.HandlePoll(m.view(c), e.Server, e.OK, e.SentAt, e.Report))
}

func (m *Machine) handlePollFailed(s *observer.Server, p *poll) {
	name := s.Host.Server
	reachable := s.Reachable()
	if p.verify || m.fleet.RecordPollFailure(name) && reachable {
		p.verify = false
		m.handleServerDied(name)
		p.unshared = true
		m.shareChange(s, p)
	}
}

func (m *Machine) handlePollAnswered(s *observer.Server, p *poll, e ServerPolled) {
	name := s.Host.Server
	wasReachable := s.Reachable()
	var change observer.Change
	if e.Report.Instance != "" {
		change = m.applyReport(name, e.Report, e.SentAt)
	}
	switch {
	case change.Restarted, p.verify && m.ranAtEarlierProcess(name, e.Report.Instance):
		m.handleServerDied(name)
	case p.verify:
		m.handleServerAlive(name)
	}
	p.verify = false
	s.MarkReachable()
	p.unshared = true
	if change.TopologyChanged || !wasReachable {
		m.dispatchServiceQueues(s)
	}
	m.dispatchServerQueues(s)
	m.shareChange(s, p)
}

// applyReport applies a report from a poll or from another daemon.
func (m *Machine) applyReport(server string, report orderer.Report, takenAt time.Duration) observer.Change {
	change := m.fleet.ApplyReport(server, report, takenAt)
	for _, r := range change.Lost {
		m.router.Prefixes.RemoveReplica(r.ID)
	}
	m.applyCacheEvents(report.CacheEvents)
	if change.TopologyChanged {
		if s, ok := m.fleet.Server(server); ok {
			if c := m.cells[s.Host.Service]; c != nil {
				m.markDraining(c)
			}
		}
	}
	m.dispatchDeploymentQueues(change.Ready)
	return change
}

// dispatchServiceQueues dispatches from all queues of a server's service.
func (m *Machine) dispatchServiceQueues(s *observer.Server) {
	c := m.cells[s.Host.Service]
	if c == nil {
		return
	}
	for _, q := range m.usedQueues(c) {
		m.dispatchQueue(q)
	}
	if q, ok := m.plainQueues[c.name]; ok {
		m.dispatchQueue(q)
	}
}

// listHosts reads the host list of each cell.
func (m *Machine) listHosts() {
	for _, name := range m.cellNames {
		m.emit(ListHosts{Service: name})
	}
}

// handleHostsListed applies the host list of one cell.
func (m *Machine) handleHostsListed(e HostsListed) {
	c := m.cells[e.Service]
	if c == nil || !e.OK || e.Unchanged {
		return
	}
	var before []string
	for _, s := range m.fleet.Servers(e.Service) {
		before = append(before, s.Host.Server)
	}
	change := m.fleet.SetHosts(e.Service, e.Hosts)
	for _, r := range change.Lost {
		m.router.Prefixes.RemoveReplica(r.ID)
	}
	if !change.TopologyChanged {
		return
	}
	for _, name := range before {
		if _, ok := m.fleet.Server(name); !ok {
			m.removeServer(name)
		}
	}
	m.assignPolls(c)
	m.dispatchDeploymentQueues(change.Ready)
	if q, ok := m.plainQueues[e.Service]; ok {
		m.dispatchQueue(q)
	}
	if c.kind == cataloger.KindModel {
		m.applyPlannerActions(c, c.planner.Step(m.view(c)))
	}
}

// removeServer removes the state of a server that is no longer in the host list.
func (m *Machine) removeServer(name string) {
	delete(m.polls, name)
	waiting := m.verifying[name]
	delete(m.verifying, name)
	m.retryVerified(waiting)
}

package reducer

import (
	"slices"
	"time"

	"samphirewharf/internal/backend/orderer"
	"samphirewharf/internal/decision/observer"
	"samphirewharf/internal/peer/messenger"
)

const (
	// reportRepeats is how many heartbeats repeat a changed report, since messages may be lost.
	reportRepeats = 3
	// reportRefreshInterval is how often a full report is sent if only the load has changed.
	reportRefreshInterval = 15 * time.Second
)

// shareChange immediately sends the cell's other daemons a report that differs in more than load.
func (m *Machine) shareChange(s *observer.Server, p *poll) {
	if !p.assigned || !reportDiffers(s, p) {
		return
	}
	p.repeatsLeft = reportRepeats
	m.sendToCell(s.Host.Service, messenger.Message{Reports: []messenger.ServerReport{m.fullReport(s, p)}})
}

// scheduleAllReports adds all reports of a cell in full to the next heartbeats, because a daemon has joined
// the cell.
func (m *Machine) scheduleAllReports(c *cell) {
	for _, s := range m.fleet.Servers(c.name) {
		if p := m.polls[s.Host.Server]; p != nil && s.HasReport {
			p.repeatsLeft = reportRepeats
		}
	}
}

// scheduleReportsFor adds all reports of the cells that a new process serves to the next heartbeats.
func (m *Machine) scheduleReportsFor(daemon string) {
	for _, name := range m.cellNames {
		if c := m.cells[name]; slices.Contains(c.daemons, daemon) {
			m.scheduleAllReports(c)
		}
	}
}

// sendHeartbeats sends the heartbeats that are due. Heartbeats to daemons that share a cell carry the cell's
// reports that were not sent yet.
func (m *Machine) sendHeartbeats() {
	targets := m.members.HeartbeatTargets(m.now.Monotonic)
	if len(targets) == 0 {
		return
	}
	heartbeat := m.heartbeat()
	reports := make([][]messenger.ServerReport, len(m.cellNames))
	for i, name := range m.cellNames {
		reports[i] = m.dueReports(name)
	}
	for _, d := range targets {
		message := messenger.Message{Heartbeat: heartbeat}
		for i, name := range m.cellNames {
			if len(reports[i]) > 0 && slices.Contains(m.cells[name].daemons, d.ID) {
				message.Reports = append(message.Reports, reports[i]...)
			}
		}
		m.emit(SendPeer{Daemon: d.ID, Address: d.Address, Message: message})
	}
}

// dueReports returns the reports of a cell for the next heartbeat: full reports while they are repeated or
// when they are due, only the load while requests run, and none for servers that stay idle.
func (m *Machine) dueReports(name string) []messenger.ServerReport {
	var reports []messenger.ServerReport
	for _, s := range m.fleet.Servers(name) {
		p := m.polls[s.Host.Server]
		if p == nil || !p.assigned || !p.unshared {
			continue
		}
		switch {
		case p.repeatsLeft > 0:
			p.repeatsLeft--
			reports = append(reports, m.fullReport(s, p))
		case m.now.Monotonic >= p.refreshAt || reportDiffers(s, p):
			reports = append(reports, m.fullReport(s, p))
		case !idleSinceShared(s, p):
			reports = append(reports, m.loadReport(s, p))
		}
	}
	return reports
}

func (m *Machine) fullReport(s *observer.Server, p *poll) messenger.ServerReport {
	p.unshared = false
	p.lastShared = s.Report
	p.refreshAt = m.now.Monotonic + reportRefreshInterval
	report := s.Report
	report.Checkpoints = nil
	return messenger.ServerReport{
		Server:      s.Host.Server,
		Age:         m.now.Monotonic - s.ReportedAt,
		Report:      report,
		Unreachable: !s.Reachable(),
	}
}

func (m *Machine) loadReport(s *observer.Server, p *poll) messenger.ServerReport {
	p.unshared = false
	p.lastShared = s.Report
	load := orderer.Report{Sequence: s.Report.Sequence, CacheEvents: s.Report.CacheEvents}
	for _, r := range s.Report.Replicas {
		load.Replicas = append(load.Replicas, orderer.ReplicaReport{
			Replica: r.Replica, Running: r.Running, Waiting: r.Waiting,
		})
	}
	return messenger.ServerReport{Server: s.Host.Server, Age: m.now.Monotonic - s.ReportedAt, Report: load, LoadOnly: true}
}

// idleSinceShared reports whether a server runs nothing, ran nothing in the last report sent, and has no
// cache events. The two reports must not differ in more than load.
func idleSinceShared(s *observer.Server, p *poll) bool {
	if len(s.Report.CacheEvents) > 0 {
		return false
	}
	for i, r := range s.Report.Replicas {
		if r.Running+r.Waiting > 0 || p.lastShared.Replicas[i].Running+p.lastShared.Replicas[i].Waiting > 0 {
			return false
		}
	}
	return true
}

// reportDiffers reports whether a report differs in more than load from the last one sent.
func reportDiffers(s *observer.Server, p *poll) bool {
	if !s.Reachable() || s.Report.Instance != p.lastShared.Instance || len(s.Report.Replicas) != len(p.lastShared.Replicas) {
		return true
	}
	for i, r := range s.Report.Replicas {
		old := p.lastShared.Replicas[i]
		if r.Replica != old.Replica || r.State != old.State || !slices.Equal(r.Adapters, old.Adapters) {
			return true
		}
	}
	return false
}

// applyPeerReports applies another daemon's reports.
func (m *Machine) applyPeerReports(reports []messenger.ServerReport) {
	for _, r := range reports {
		s, ok := m.fleet.Server(r.Server)
		if !ok {
			continue
		}
		takenAt := m.now.Monotonic - r.Age
		switch {
		case r.Unreachable:
			if s.Reachable() && m.now.Monotonic-s.ReportedAt > pollInterval {
				m.pollNow(r.Server)
			}
		case r.LoadOnly:
			m.fleet.ApplyLoadReport(r.Server, r.Report, takenAt)
			m.applyCacheEvents(r.Report.CacheEvents)
		default:
			m.applyReport(r.Server, r.Report, takenAt)
		}
		m.dispatchServerQueues(s)
	}
}

// dispatchServerQueues dispatches from the queues of the server's replicas, since other daemons' requests may
// have freed slots there.
func (m *Machine) dispatchServerQueues(s *observer.Server) {
	for _, r := range s.Replicas() {
		if q, ok := m.modelQueues[r.Deployment]; ok && q.waiting.Len() > 0 {
			m.dispatchQueue(q)
		}
	}
}

func (m *Machine) applyCacheEvents(events []orderer.CacheEvent) {
	for _, event := range events {
		m.router.Prefixes.ApplyEvent(event)
	}
}

// Package observer keeps a daemon's view of the backend servers of its cells: hosts, reports and replicas.
package observer

import (
	"slices"
	"strings"
	"time"

	"samphirewharf/internal/backend/orderer"
	"samphirewharf/internal/external/lister"
)

// UnreachableThreshold is the number of consecutive failed polls after which a server is unreachable.
const UnreachableThreshold = 2

// A Fleet holds the backend servers of a daemon's cells. The zero value is empty and ready to use.
type Fleet struct {
	servers map[string]*Server
	// byService holds the servers of each service, ordered by name.
	byService map[string][]*Server
	// byDeployment holds the replicas of each deployment in any state, ordered by ID.
	byDeployment map[string][]*Replica
	replicas     map[string]*Replica
	// hostLists are the services whose host list has been set.
	hostLists map[string]bool
}

// A Change is what a report or host list changed.
type Change struct {
	// Ready are deployments that gained a usable replica or adapter.
	Ready []string
	// Lost are replicas that were removed.
	Lost []*Replica
	// Restarted reports whether the engine has a new instance.
	Restarted bool
	// TopologyChanged reports whether hosts or replicas changed in anything but load figures.
	TopologyChanged bool
}

// HasHostList reports whether the host list of the service has been set.
func (f *Fleet) HasHostList(service string) bool { return f.hostLists[service] }

// Replica returns the replica with the ID.
func (f *Fleet) Replica(id string) (*Replica, bool) {
	r, ok := f.replicas[id]
	return r, ok
}

// Replicas returns the deployment's replicas on all servers, ordered by ID. The slice must not be changed.
func (f *Fleet) Replicas(deployment string) []*Replica { return f.byDeployment[deployment] }

// ApplyReport applies a server's report, which was taken at takenAt, and returns what it changed.
// A report older than the newest one applied is ignored.
func (f *Fleet) ApplyReport(server string, report orderer.Report, takenAt time.Duration) Change {
	s, ok := f.servers[server]
	if !ok {
		return Change{}
	}
	if s.HasReport && !isNewer(s, report, takenAt) {
		return Change{}
	}
	change := Change{Restarted: s.HasReport && s.Report.Instance != report.Instance}
	s.failedPolls = 0
	s.setCheckpoints(report)
	f.updateReplicas(s, report, takenAt, &change)
	s.Report = report
	s.ReportedAt = takenAt
	s.HasReport = true
	return change
}

// ApplyLoadReport applies the load figures of a report. Everything else stays as in the last full report.
func (f *Fleet) ApplyLoadReport(server string, report orderer.Report, takenAt time.Duration) {
	s, ok := f.servers[server]
	if !ok || !s.HasReport || report.Sequence <= s.Report.Sequence {
		return
	}
	s.failedPolls = 0
	s.Report.Sequence = report.Sequence
	s.ReportedAt = takenAt
	for _, rr := range report.Replicas {
		if r, ok := f.replicas[rr.Replica]; ok && r.Server == s {
			r.updateLoad(rr, takenAt)
		}
	}
}

// Server returns the server with the name.
func (f *Fleet) Server(name string) (*Server, bool) {
	s, ok := f.servers[name]
	return s, ok
}

// Servers returns the service's servers, ordered by name and including leaving ones. The slice must not be
// changed.
func (f *Fleet) Servers(service string) []*Server { return f.byService[service] }

// SetHosts sets the host list of a service and returns what it changed.
func (f *Fleet) SetHosts(service string, hosts []lister.Host) Change {
	f.ensureMaps()
	f.hostLists[service] = true
	var change Change
	listed := make(map[string]bool, len(hosts))
	for _, host := range hosts {
		listed[host.Server] = true
		f.setHost(host, &change)
	}
	for _, s := range slices.Clone(f.byService[service]) {
		if !listed[s.Host.Server] {
			f.removeServer(s, &change)
		}
	}
	return change
}

// RecordPollFailure records a failed poll of the server and reports whether the server is now unreachable.
func (f *Fleet) RecordPollFailure(server string) bool {
	s, ok := f.servers[server]
	if !ok {
		return false
	}
	s.failedPolls++
	return !s.Reachable()
}

// MarkUnreachable marks the server as unreachable until its next report or Server.MarkReachable.
func (f *Fleet) MarkUnreachable(server string) {
	if s, ok := f.servers[server]; ok {
		s.failedPolls = UnreachableThreshold
	}
}

func (f *Fleet) addReplica(r *Replica) {
	f.replicas[r.ID] = r
	list := f.byDeployment[r.Deployment]
	at, _ := slices.BinarySearchFunc(list, r.ID, compareReplica)
	f.byDeployment[r.Deployment] = slices.Insert(list, at, r)
}

func (f *Fleet) ensureMaps() {
	if f.servers != nil {
		return
	}
	f.servers = make(map[string]*Server)
	f.byService = make(map[string][]*Server)
	f.byDeployment = make(map[string][]*Replica)
	f.replicas = make(map[string]*Replica)
	f.hostLists = make(map[string]bool)
}

func (f *Fleet) removeReplica(r *Replica) {
	r.State = orderer.StateUnloading
	r.Gone = true
	delete(f.replicas, r.ID)
	list := f.byDeployment[r.Deployment]
	at, found := slices.BinarySearchFunc(list, r.ID, compareReplica)
	if !found {
		return
	}
	list = slices.Delete(list, at, at+1)
	if len(list) == 0 {
		delete(f.byDeployment, r.Deployment)
		return
	}
	f.byDeployment[r.Deployment] = list
}

func (f *Fleet) removeServer(s *Server, change *Change) {
	change.TopologyChanged = true
	s.Gone = true
	for _, r := range s.replicas {
		f.removeReplica(r)
		change.Lost = append(change.Lost, r)
	}
	delete(f.servers, s.Host.Server)
	list := f.byService[s.Host.Service]
	at, found := slices.BinarySearchFunc(list, s.Host.Server, compareServer)
	if found {
		f.byService[s.Host.Service] = slices.Delete(list, at, at+1)
	}
}

func (f *Fleet) updateReplicas(s *Server, report orderer.Report, takenAt time.Duration, change *Change) {
	reported := make(map[string]bool, len(report.Replicas))
	for _, rr := range report.Replicas {
		reported[rr.Replica] = true
		r, ok := f.replicas[rr.Replica]
		if ok && r.Server != s {
			continue
		}
		if !ok {
			r = &Replica{ID: rr.Replica, Deployment: rr.Deployment, ModelVersion: rr.ModelVersion, Server: s}
			f.addReplica(r)
			s.replicas = append(s.replicas, r)
			change.TopologyChanged = true
		}
		if r.update(rr, takenAt) {
			change.TopologyChanged = true
			change.Ready = appendReady(change.Ready, r)
		}
	}
	kept := s.replicas[:0]
	for _, r := range s.replicas {
		if reported[r.ID] {
			kept = append(kept, r)
			continue
		}
		f.removeReplica(r)
		change.Lost = append(change.Lost, r)
		change.TopologyChanged = true
	}
	s.replicas = kept
}

func (f *Fleet) setHost(host lister.Host, change *Change) {
	s, ok := f.servers[host.Server]
	if !ok {
		s = &Server{Host: host}
		f.servers[host.Server] = s
		list := f.byService[host.Service]
		at, _ := slices.BinarySearchFunc(list, host.Server, compareServer)
		f.byService[host.Service] = slices.Insert(list, at, s)
		change.TopologyChanged = true
		return
	}
	if s.Host == host {
		return
	}
	change.TopologyChanged = true
	returned := s.Leaving() && host.State == lister.HostLive
	s.Host = host
	if !returned {
		return
	}
	for _, r := range s.replicas {
		change.Ready = appendReady(change.Ready, r)
	}
}

func appendReady(ready []string, r *Replica) []string {
	if !r.Usable() || slices.Contains(ready, r.Deployment) {
		return ready
	}
	return append(ready, r.Deployment)
}

func compareReplica(r *Replica, id string) int { return strings.Compare(r.ID, id) }

func compareServer(s *Server, name string) int { return strings.Compare(s.Host.Server, name) }

func isNewer(s *Server, report orderer.Report, takenAt time.Duration) bool {
	if s.Report.Instance == report.Instance {
		return report.Sequence > s.Report.Sequence
	}
	return takenAt > s.ReportedAt
}

package observer

import (
	"time"

	"samphirewharf/internal/backend/orderer"
	"samphirewharf/internal/external/lister"
)

// A Tier is the storage tier of a checkpoint relative to a server's accelerators.
type Tier uint8

// The tiers, slowest first.
const (
	TierRemote Tier = iota
	TierDisk
	TierMemory
)

// String returns the tier's name.
func (t Tier) String() string {
	switch t {
	case TierMemory:
		return "memory"
	case TierDisk:
		return "disk"
	default:
		return "remote"
	}
}

// A Server is a daemon's view of one backend server.
type Server struct {
	Host lister.Host
	// HasReport reports whether a report has arrived since the server was listed.
	HasReport bool
	Report    orderer.Report
	// ReportedAt is when the newest report was taken, on this daemon's clock.
	ReportedAt time.Duration
	// Gone reports whether the server is no longer in the host list.
	Gone bool
	// InFlight is the number of requests that this daemon runs at the server.
	InFlight int

	checkpointsVersion int64
	checkpoints        map[string]Tier
	replicas           []*Replica
	failedPolls        int
}

// Checkpoints returns the tiers of the checkpoints on the server by deployment. The map must not be changed.
func (s *Server) Checkpoints() map[string]Tier { return s.checkpoints }

// CheckpointsVersion returns the version of the newest list of checkpoints.
func (s *Server) CheckpointsVersion() int64 { return s.checkpointsVersion }

// Leaving reports whether the host list marks the server as leaving.
func (s *Server) Leaving() bool { return s.Host.State == lister.HostLeaving }

// Reachable reports whether fewer than UnreachableThreshold consecutive polls have failed and the server isn't
// marked as unreachable.
func (s *Server) Reachable() bool { return s.failedPolls < UnreachableThreshold }

// Replicas returns the replicas in the newest report. The slice must not be changed.
func (s *Server) Replicas() []*Replica { return s.replicas }

// AcceptsWork reports whether new requests and loads may be sent to the server.
func (s *Server) AcceptsWork() bool { return !s.Gone && !s.Leaving() && s.Reachable() }

// Tier returns the server's nearest tier that has the deployment's checkpoint.
func (s *Server) Tier(deployment string) Tier { return s.checkpoints[deployment] }

func (s *Server) setCheckpoints(report orderer.Report) {
	if report.Checkpoints == nil {
		return
	}
	s.checkpointsVersion = report.CheckpointsVersion
	s.checkpoints = make(map[string]Tier)
	for _, name := range report.Checkpoints.Disk {
		s.checkpoints[name] = TierDisk
	}
	for _, name := range report.Checkpoints.Memory {
		s.checkpoints[name] = TierMemory
	}
}

// MarkReachable marks the server as reachable.
func (s *Server) MarkReachable() { s.failedPolls = 0 }

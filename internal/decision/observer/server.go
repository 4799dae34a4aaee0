package observer

import (
	"time"

	"samphirewharf/internal/backend/orderer"
	"samphirewharf/internal/external/lister"
)

// A Tier tells how near to a server's accelerators a checkpoint is.
type Tier uint8

// The tiers, nearest last.
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

// A Server is what is known of one backend server.
type Server struct {
	Host lister.Host
	// Known tells that a report has been seen since the server was listed.
	HasReport bool
	Report    orderer.Report
	// TakenAt is when the newest report was taken, on this daemon's clock.
	ReportedAt time.Duration
	// Gone tells that the host list does not show the server any more.
	Gone bool
	// InFlight is how many requests this daemon runs there.
	InFlight int

	checkpointsVersion int64
	checkpoints        map[string]Tier
	replicas           []*Replica
	failedPolls        int
}

// Checkpoints returns the deployments whose checkpoints the server holds. The map must not be changed.
func (s *Server) Checkpoints() map[string]Tier { return s.checkpoints }

// CheckpointsVersion returns the version of the checkpoints known.
func (s *Server) CheckpointsVersion() int64 { return s.checkpointsVersion }

// Leaving reports whether the host list marks the server as leaving.
func (s *Server) Leaving() bool { return s.Host.State == lister.HostLeaving }

// Reachable reports whether the last polls were answered.
func (s *Server) Reachable() bool { return s.failedPolls < UnreachableThreshold }

// Replicas returns the replicas in the newest report. The slice must not be changed.
func (s *Server) Replicas() []*Replica { return s.replicas }

// AcceptsWork reports whether new work may be sent to the server.
func (s *Server) AcceptsWork() bool { return !s.Gone && !s.Leaving() && s.Reachable() }

// Tier returns where the server holds the deployment's checkpoint.
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

// MarkReachable makes the server count as reachable.
func (s *Server) MarkReachable() { s.failedPolls = 0 }

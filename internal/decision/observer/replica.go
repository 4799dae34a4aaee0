package observer

import (
	"slices"
	"time"

	"samphirewharf/internal/backend/orderer"
)

// A Replica is one loaded or loading model on a backend server.
type Replica struct {
	ID           string
	Deployment   string
	ModelVersion string
	Server       *Server
	State        orderer.ReplicaState
	Role         string
	// Running and Waiting are the engine's load figures, which lag.
	Running int
	Waiting int
	// Adapters are the adapters in the replica's slots, ordered by name.
	Adapters []string
	// ReportedAt is when the load figures were taken.
	ReportedAt time.Duration
	// InFlight is the number of requests that this daemon runs at the replica.
	InFlight int
	// SentSinceReport is the number of requests that this daemon has sent since ReportedAt.
	SentSinceReport int
	// InFlightAtReport is InFlight at ReportedAt. It separates this daemon's share from the engine's figures.
	InFlightAtReport int
	// Draining reports whether the placement record marks the replica as unloading.
	Draining bool
	// Refused reports whether the engine has refused a request as not run since the newest report, which is
	// then out of date.
	Refused bool
	// Gone reports whether the engine's newest report lacks the replica or its server has left the host list.
	Gone bool
}

// HasAdapter reports whether the adapter is in one of the replica's slots.
func (r *Replica) HasAdapter(name string) bool {
	_, found := slices.BinarySearch(r.Adapters, name)
	return found
}

// OthersInFlight returns the number of requests that other daemons had at the replica at the last report.
func (r *Replica) OthersInFlight() int { return max(0, r.Running+r.Waiting-r.InFlightAtReport) }

// Usable reports whether new requests may be sent to the replica.
func (r *Replica) Usable() bool {
	return r.State == orderer.StateReady && !r.Gone && !r.Draining && !r.Refused && r.Server.AcceptsWork()
}

// update applies the newest report and reports whether more than load figures changed.
func (r *Replica) update(rr orderer.ReplicaReport, takenAt time.Duration) bool {
	adapters := slices.Clone(rr.Adapters)
	slices.Sort(adapters)
	changed := r.Refused || rr.State != r.State || rr.Role != r.Role || !slices.Equal(adapters, r.Adapters)
	r.State = rr.State
	r.Role = rr.Role
	r.Refused = false
	r.Adapters = adapters
	r.updateLoad(rr, takenAt)
	return changed
}

// updateLoad applies the load figures of the newest report.
func (r *Replica) updateLoad(rr orderer.ReplicaReport, takenAt time.Duration) {
	r.Running = rr.Running
	r.Waiting = rr.Waiting
	r.ReportedAt = takenAt
	r.InFlightAtReport = r.InFlight
	r.SentSinceReport = 0
}

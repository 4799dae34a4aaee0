package planner

import (
	"time"

	"samphirewharf/internal/backend/orderer"
	"samphirewharf/internal/config/cataloger"
	"samphirewharf/internal/decision/observer"
)

// A View is the state of the rest of the daemon at one moment, as the planner needs it.
type View struct {
	Now     time.Duration
	Catalog *cataloger.Catalog
	Fleet   *observer.Fleet
	// ShouldLead reports whether this daemon should be the cell's placer.
	ShouldLead bool
	// LeaseValid reports whether the daemon's lease is valid, including its safety margins.
	LeaseValid bool
	// Paused reports whether this daemon doesn't serve the cell. Answers are recorded then, but nothing is read, written or planned.
	Paused bool
	// Alive reports whether a daemon process is live and not leaving.
	Alive func(daemon, instance string) bool
	// DeadSince returns when a daemon process was proved dead, and false if it was not.
	DeadSince func(daemon, instance string) (time.Duration, bool)
}

// An Action is an output of a Machine that its caller carries out.
type Action interface{ action() }

// A Swap writes the cell's record.
type Swap struct {
	// Token is the write token of the record in Value.
	Token    string
	Value    []byte
	Revision int64
}

// A Get reads the cell's record.
type Get struct{}

// A Send sends an order, at most once and not after Expires.
type Send struct {
	Server  *observer.Server
	Order   orderer.Order
	Expires time.Duration
}

// A Poll reads a server's state.
type Poll struct{ Server *observer.Server }

// A RecordChanged reports that a write of the record took effect. Other daemons receive the record through
// their watches.
type RecordChanged struct{}

// A Forecast is the time until a deployment that requests wait for is ready. It is meant for the cell's
// daemons.
type Forecast struct {
	Deployment string
	ReadyIn    time.Duration
	// Impossible reports whether no backend server has memory for the deployment. ReadyIn is then the retry
	// delay.
	Impossible bool
}

// A Decision reports a placement decision.
type Decision struct {
	Action     string
	Deployment string
	Replica    string
	Server     string
	Reason     string
	Score      float64
	// Other is the runner-up server, empty if there was none.
	Other      string
	OtherScore float64
	// Waiting is the number of waiting requests that the decision is made for.
	Waiting int
}

func (Swap) action()          {}
func (Get) action()           {}
func (Send) action()          {}
func (Poll) action()          {}
func (RecordChanged) action() {}
func (Forecast) action()      {}
func (Decision) action()      {}

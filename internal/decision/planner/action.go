package planner

import (
	"time"

	"samphirewharf/internal/backend/orderer"
	"samphirewharf/internal/config/cataloger"
	"samphirewharf/internal/decision/observer"
)

// A View is what a planner sees of the rest of its daemon at one moment.
type View struct {
	Now     time.Duration
	Catalog *cataloger.Catalog
	Fleet   *observer.Fleet
	// Lead tells that this daemon is the one that should be the cell's placer.
	ShouldLead bool
	// LeaseValid tells that the daemon's lease has not run out, with its safety margins.
	LeaseValid bool
	// Alive reports whether a daemon process is live and not leaving.
	Alive func(daemon, instance string) bool
	// DeadSince returns when a daemon process was proved dead.
	DeadSince func(daemon, instance string) (time.Duration, bool)
}

// An Action is one output of a Machine.
type Action interface{ action() }

// A Swap writes the cell's record.
type Swap struct {
	// Token is the token in Value.
	Token    string
	Value    []byte
	Revision int64
}

// A Get reads the cell's record.
type Get struct{}

// A Send sends an order once.
type Send struct {
	Server  *observer.Server
	Order   orderer.Order
	Expires time.Duration
}

// A Poll reads a server's state.
type Poll struct{ Server *observer.Server }

// A RecordChanged tells that the record has changed. The other daemons learn it from their watches.
type RecordChanged struct{}

// A Forecast tells the cell's daemons when a deployment that requests wait for will be ready.
type Forecast struct {
	Deployment string
	ReadyIn    time.Duration
	// Impossible tells that no backend server has memory for it; ReadyIn is then when to try again.
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
	Other      string
	OtherScore float64
	// Waiting is how many requests the decision is made for.
	Waiting int
}

func (Swap) action()          {}
func (Get) action()           {}
func (Send) action()          {}
func (Poll) action()          {}
func (RecordChanged) action() {}
func (Forecast) action()      {}
func (Decision) action()      {}

package conductor

import (
	"time"

	"samphirewharf/internal/decision/reducer"
	"samphirewharf/internal/fleet/registrar"
	"samphirewharf/internal/peer/messenger"
)

// An Effect is one output of Step, carried out by the shell.
type Effect interface{ effect() }

// A Send effect sends a request to a server and ends in AttemptEnded.
type Send struct {
	Request reducer.RequestID
	Attempt int
	Server  string
	Address string
	// Timeout is the time left until the request is given up.
	Timeout time.Duration
	// Patience is what is left of the caller's own time.
	RemainingTime time.Duration
	// Priority orders requests at engines, 0 first; negative leaves it to the server.
	Priority int
	// FirstLimit and GapLimit bound the wait for the first event or answer, and between events; zero means Timeout.
	FirstTimeout    time.Duration
	EventGapTimeout time.Duration
	// Fresh asks for a connection that no other request has used.
	NewConnection bool
	// HoldErrors asks the shell to keep an answer that reports an error of the server, in case another one does better.
	BufferErrors bool
}

// A Deliver effect passes on the answer that the shell keeps.
type Deliver struct{ Request reducer.RequestID }

// A RefusalReason tells why a request is not served.
type RefusalReason uint8

// The reasons.
const (
	// RefusedNoServer: no server of the service takes requests.
	RefusedNoServer RefusalReason = iota
	// RefusedCold: the model can't be loaded in time.
	RefusedCold
	// RefusedFull: no place gets free in time.
	RefusedFull
	// RefusedExpired: the time was up before a server had it.
	RefusedExpired
	// RefusedTimeout: the time was up while a server had it.
	RefusedTimeout
	// RefusedBroken: the server failed and the request can't be repeated.
	RefusedBroken
	// RefusedBudget: the server failed and no more repeats are allowed now.
	RefusedBudget
	// RefusedPoison: the request crashes servers.
	RefusedPoison
	// RefusedStopping: the daemon is about to stop.
	RefusedStopping
)

// String returns the reason's name in logs, metrics and answers.
func (r RefusalReason) String() string {
	names := [...]string{"NoServer", "Cold", "Full", "Expired", "Timeout", "Broken", "Budget", "Poison", "Stopping"}
	if int(r) < len(names) {
		return names[r]
	}
	return "NoServer"
}

// A Refuse effect is the final answer to a request. If the answer has begun, the connection has to be broken.
type Refuse struct {
	Request reducer.RequestID
	Reason  RefusalReason
	// MayHaveRun tells that a server may have run the request. Otherwise none has and none will.
	MayHaveRun bool
	// RetryAfter is when the request is worth sending again.
	RetryAfter time.Duration
}

// A Cancel effect ends a running attempt.
type Cancel struct {
	Request reducer.RequestID
	Attempt int
}

// A RenewLease effect renews the daemon's lease, or makes one, and ends in LeaseRenewed.
type RenewLease struct{ TTL time.Duration }

// A Register effect writes the daemon's record under its lease and ends in RegisterEnded.
type Register struct{ Daemon Daemon }

// An RevokeLease effect gives up the lease, and with it the daemon's records.
type RevokeLease struct{}

// A BecomeLeader effect makes the daemon the holder if there is none, and ends in RoleAnswered.
type BecomeLeader struct{ Leader Leader }

// A Resign effect gives up the role that was taken with the fencing number.
type Resign struct{ FencingToken int64 }

// A SendOrder effect sends an order once and ends in OrderEnded.
type SendOrder struct {
	Order registrar.Order
	// Expires is when it must not be sent any more.
	Expires time.Duration
}

// A PollServer effect asks a server for its report and ends in ServerReported.
type PollServer struct {
	Server  string
	Address string
}

// A SendPeer effect sends a message to another daemon; it may be lost.
type SendPeer struct {
	Address string
	Message messenger.Message
}

// A PublishDaemons effect tells the shell what callers who ask for addresses, and the host's checks, are told.
type PublishDaemons struct {
	Ready bool
	// Daemons are those that take requests, in no order of preference.
	Daemons []Daemon
}

// An SetKeepAlive effect tells the shell whether answers leave their connections open.
type SetKeepAlive struct{ KeepAlive bool }

// A LogDecision effect is a log line about a request.
type LogDecision struct {
	// ID is the caller's name of the request.
	ID      string
	Action  string
	Reason  string
	Service string
	Model   string
	Server  string
	Attempt int
	// Score and OtherScore are those of the chosen server and the best alternative, Other.
	Score      float64
	Other      string
	OtherScore float64
	// Age is the age of the belief that decided.
	Age time.Duration
	// Waited is the time since the request arrived, Left until it is given up.
	Waited    time.Duration
	Remaining time.Duration
	// First is the time from the request's arrival to the answer or its first event, zero if there was none.
	FirstLatency time.Duration
	// Version is the configuration's.
	Version int64
	Status  int
	// Routine tells that the line is one of many and may be left out under load.
	Routine bool
}

// A LogStateChange effect is a log line about a change of what the daemon believes.
type LogStateChange struct {
	Subject string
	Change  string
	Reason  string
	// Version is that of the input, such as a revision or fencing number.
	Version int64
	// Age is the input's age.
	Age     time.Duration
	Detail  string
	Warning bool
}

// An Exit effect ends the process after a planned stop.
type Exit struct{}

func (Send) effect()           {}
func (Deliver) effect()        {}
func (Refuse) effect()         {}
func (Cancel) effect()         {}
func (RenewLease) effect()     {}
func (Register) effect()       {}
func (RevokeLease) effect()    {}
func (BecomeLeader) effect()   {}
func (Resign) effect()         {}
func (SendOrder) effect()      {}
func (PollServer) effect()     {}
func (SendPeer) effect()       {}
func (PublishDaemons) effect() {}
func (SetKeepAlive) effect()   {}
func (LogDecision) effect()    {}
func (LogStateChange) effect() {}
func (Exit) effect()           {}

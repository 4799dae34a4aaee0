package conductor

import (
	"time"

	"samphirewharf/internal/decision/reducer"
	"samphirewharf/internal/fleet/registrar"
	"samphirewharf/internal/peer/messenger"
)

// An Effect is one output of Step, carried out by the executor.
type Effect interface{ effect() }

// A Send effect sends a request to a server. It is answered by AttemptEnded.
type Send struct {
	Request reducer.RequestID
	Attempt int
	Server  string
	Address string
	// StartedAt identifies the server's incarnation.
	StartedAt int64
	// Timeout is the time left until the request's deadline.
	Timeout time.Duration
	// RemainingTime is the rest of the caller's time limit.
	RemainingTime time.Duration
	// Priority orders requests at engines, 0 first; a negative value leaves the order to the server.
	Priority int
	// FirstTimeout is the wait for the answer or first event after which AttemptSilent is posted, zero for never.
	// EventGapTimeout bounds the wait between events; zero means Timeout.
	FirstTimeout    time.Duration
	EventGapTimeout time.Duration
	// ConnectTimeout bounds the time for opening a connection.
	ConnectTimeout time.Duration
	// NewConnection asks for a connection that no other request has used.
	NewConnection bool
	// ReportAdvice asks for a ServerAdvised event even if the server asks for nothing.
	ReportAdvice bool
	// ReportPace asks for AttemptProgressed events.
	ReportPace bool
	// BufferErrors asks the executor to buffer an answer that reports a server error, in case another server does
	// better.
	BufferErrors bool
	// ToDaemon reports whether Server and Address are those of another daemon, which serves the request in this one's place.
	ToDaemon bool
	// Origin is the software version of the server or, if ToDaemon is true, the one that the request's stream is bound to.
	Origin Origin
}

// A Deliver effect passes on the buffered answer.
type Deliver struct{ Request reducer.RequestID }

// An Abandon effect ends an attempt whose server is silent. It is answered by AttemptEnded with CauseTimeout.
type Abandon struct {
	Request reducer.RequestID
	Attempt int
}

// A Withdraw effect ends an attempt of which nothing has been sent yet, since its server accepts no more requests. It is answered by
// AttemptEnded with CauseLeaving, or by the attempt's own end.
type Withdraw struct {
	Request reducer.RequestID
	Attempt int
}

// A RefusalReason is the reason why a request is not served.
type RefusalReason uint8

// Reasons of refusals.
const (
	// RefusedNoServer: no server of the service accepts requests.
	RefusedNoServer RefusalReason = iota
	// RefusedCold: the model can't be loaded in time.
	RefusedCold
	// RefusedFull: no slot becomes free in time.
	RefusedFull
	// RefusedExpired: the deadline passed before the request was sent to a server.
	RefusedExpired
	// RefusedTimeout: the deadline passed while a server was running the request.
	RefusedTimeout
	// RefusedBroken: the server failed and the request can't be retried.
	RefusedBroken
	// RefusedBudget: the server failed and the retry budget is spent.
	RefusedBudget
	// RefusedPoison: the request crashes servers.
	RefusedPoison
	// RefusedStopping: the daemon is about to stop.
	RefusedStopping
	// RefusedOrigin: no daemon knows which software version began the stream that the caller takes up.
	RefusedOrigin
	// RefusedLink: the daemon reaches no server, and no other daemon that does.
	RefusedLink
	// RefusedQuota: the request exceeds the quota of its workspace.
	RefusedQuota
	// RefusedQuotaUnknown: no daemon that keeps the quota of the workspace answers.
	RefusedQuotaUnknown
)

// String returns the reason's name in logs, metrics and answers.
func (r RefusalReason) String() string {
	names := [...]string{"NoServer", "Cold", "Full", "Expired", "Timeout", "Broken", "Budget", "Poison", "Stopping", "Origin", "Link", "Quota", "QuotaUnknown"}
	if int(r) < len(names) {
		return names[r]
	}
	return "NoServer"
}

// A Refuse effect is the final answer to a request. If the answer has already begun, the connection has to be closed.
type Refuse struct {
	Request reducer.RequestID
	Reason  RefusalReason
	// MayHaveRun reports whether a server may have run the request. Otherwise none has and none will.
	MayHaveRun bool
	// RetryAfter is the delay after which it is worthwhile to send the request again.
	RetryAfter time.Duration
}

// A Cancel effect cancels a running attempt.
type Cancel struct {
	Request reducer.RequestID
	Attempt int
}

// A RenewLease effect renews the daemon's lease, or creates one. It is answered by LeaseRenewed.
type RenewLease struct{ TTL time.Duration }

// A Register effect writes the daemon's record under its lease. It is answered by RegisterEnded.
type Register struct{ Daemon Daemon }

// A RevokeLease effect revokes the lease, which removes the daemon's records.
type RevokeLease struct{}

// A BecomeLeader effect makes the daemon the leader if there is none. It is answered by BecomeLeaderEnded.
type BecomeLeader struct{ Leader Leader }

// A Resign effect ends the leadership with the given fencing token.
type Resign struct{ FencingToken int64 }

// A SendOrder effect sends an order once. It is answered by OrderEnded.
type SendOrder struct {
	Order registrar.Order
	// Expires is when the order must no longer be sent.
	Expires time.Duration
}

// A PollServer effect requests a server's report. It is answered by ServerReported.
type PollServer struct {
	Server  string
	Address string
}

// A SendPeer effect sends a message to another daemon. It may be lost.
type SendPeer struct {
	Address string
	Message messenger.Message
}

// A PublishDaemons effect sets what callers that resolve addresses, and the host's health checks, are answered.
type PublishDaemons struct {
	Ready bool
	// Daemons are those that accept requests, in no particular order.
	Daemons []Daemon
}

// A SetKeepAlive effect sets whether answers leave their connections open.
type SetKeepAlive struct{ KeepAlive bool }

// A LogDecision effect is a log line about a request.
type LogDecision struct {
	// ID is the caller's ID of the request.
	ID      string
	Action  string
	Reason  string
	Service string
	// Workspace is the name of the caller's workspace, empty for none.
	Workspace string
	Model     string
	Server    string
	Attempt   int
	// Score is the chosen server's, OtherScore that of the best alternative, Other.
	Score      float64
	Other      string
	OtherScore float64
	// ExpectedPause and ExpectedFirst are the expected longest pause and time to the first event, zero if unknown.
	ExpectedPause time.Duration
	ExpectedFirst time.Duration
	// Age is the age of the state that the decision is based on. Entry is the revision of the chosen server's entry.
	Age   time.Duration
	Entry int64
	// Waited is the time since the request arrived, Remaining the time until its deadline.
	Waited    time.Duration
	Remaining time.Duration
	// FirstLatency is the time from the request's arrival to the answer or its first event, zero if there was neither.
	FirstLatency time.Duration
	// Version is the configuration's.
	Version int64
	Status  int
	// SoftwareVersion is that of the server, OriginID that of the caller's attempt that began the stream.
	SoftwareVersion string
	OriginID        string
	// Detail says more of the reason.
	Detail string
	// Fingerprint and Parts identify what the request has in common with others. They are set where a server may have crashed.
	Fingerprint uint64
	Parts       []PromptPart
	// Routine reports whether the line is one of many and may be omitted under load.
	Routine bool
}

// A LogStateChange effect is a log line about a change of the daemon's state or view.
type LogStateChange struct {
	Subject string
	Change  string
	Reason  string
	// Version is that of the input, such as a revision or fencing token.
	Version int64
	// Age is the age of the input.
	Age     time.Duration
	Detail  string
	Warning bool
}

// A CloseConnections effect closes the callers' connections, each once it is idle. It is answered by ConnectionsClosed.
type CloseConnections struct{}

// An Exit effect ends the process after a planned stop.
type Exit struct{}

func (Send) effect()             {}
func (Abandon) effect()          {}
func (Withdraw) effect()         {}
func (Deliver) effect()          {}
func (Refuse) effect()           {}
func (Cancel) effect()           {}
func (RenewLease) effect()       {}
func (Register) effect()         {}
func (RevokeLease) effect()      {}
func (BecomeLeader) effect()     {}
func (Resign) effect()           {}
func (SendOrder) effect()        {}
func (PollServer) effect()       {}
func (SendPeer) effect()         {}
func (PublishDaemons) effect()   {}
func (SetKeepAlive) effect()     {}
func (LogDecision) effect()      {}
func (LogStateChange) effect()   {}
func (CloseConnections) effect() {}
func (Exit) effect()             {}

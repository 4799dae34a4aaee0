// Package conductor decides what a daemon does for callers on hosts that keep nothing: which server runs a request,
// when it is refused or repeated, which daemon gives orders to model engines, and what is loaded where.
//
// A Machine is one reducer over all events; effects are data that the shell carries out.
package conductor

import (
	"time"

	"samphirewharf/internal/decision/reducer"
	"samphirewharf/internal/fleet/matcher"
	"samphirewharf/internal/fleet/registrar"
	"samphirewharf/internal/peer/messenger"
)

// An Event is one input of Step.
type Event interface{ event() }

// A RequestArrived event is a caller's request that has a route.
type RequestArrived struct {
	Request reducer.RequestID
	// ID is the caller's name for this attempt of its own.
	ID    string
	Route matcher.Route
	// Version is the version of the configuration that the route is from.
	Version int64
	Service string
	// Model and Adapter are empty for plain services.
	Model   string
	Adapter string
	// InputTokens and OutputTokens are the size of a generation, the latter as the caller's bound.
	InputTokens  int
	OutputTokens int
	// Parts are the parts of the prompt in order.
	Parts []PromptPart
	// Patience is how long the caller waits for the whole answer.
	TimeLimit time.Duration
	// Fingerprint is equal for requests that do the same.
	Fingerprint uint64
}

// A PromptPart is a part of a prompt that other prompts may begin with too.
type PromptPart struct {
	ID     uint64
	Tokens int
}

// A CallerLeft event tells that the caller closed its connection.
type CallerLeft struct{ Request reducer.RequestID }

// An AttemptStarted event tells that the caller was passed the start of an answer.
type AttemptStarted struct {
	Request reducer.RequestID
	Attempt int
}

// A Cause tells why an attempt that isn't done ended, as far as the shell knows.
type Cause uint8

// The causes.
const (
	CauseNone Cause = iota
	// CauseConnect: the server took no connection.
	CauseConnect
	// CauseFull: the server had no place.
	CauseFull
	// CauseAbsent: the server doesn't have the model or adapter.
	CauseAbsent
	// CauseMisdirected: another server or incarnation has the address.
	CauseMisdirected
	// CauseBroken: the connection broke off.
	CauseBroken
	// CauseSilent: the server sent nothing for too long.
	CauseSilent
	// CauseInvalid: what came was not the server's answer to this request.
	CauseInvalid
	// CauseError: the server answered with an error of its own.
	CauseError
)

// String returns the cause's name in logs and metrics.
func (c Cause) String() string {
	names := [...]string{"None", "Connect", "Full", "Absent", "Misdirected", "Broken", "Silent", "Invalid", "Error"}
	if int(c) < len(names) {
		return names[c]
	}
	return "None"
}

// An AttemptEnded event tells how a Send ended.
type AttemptEnded struct {
	Request reducer.RequestID
	Attempt int
	Outcome reducer.AttemptOutcome
	Cause   Cause
	// Held tells that the shell keeps a whole answer of the server that the caller hasn't had.
	Buffered bool
	// Status is the server's, 0 if there was none.
	Status int
	// Events is how many events the caller has had over all attempts.
	Events int
	// Latency is the time to the answer, or to the first event of a stream; zero if there was neither.
	Latency time.Duration
	// RetryAfter is what a refusing server asked for.
	RetryAfter time.Duration
}

// A ServersListed event brings all servers' entries as of a revision.
type ServersListed struct {
	Entries  []registrar.Entry
	Revision int64
}

// A ServerChanged event brings a server's entry that was written.
type ServerChanged struct{ Entry registrar.Entry }

// A ServerRemoved event tells that a server's entry is gone.
type ServerRemoved struct {
	ID       string
	Revision int64
}

// A StoreReached event tells that the key-value service answers again.
type StoreReached struct{}

// A StoreLost event tells that the key-value service doesn't answer.
type StoreLost struct{ Reason string }

// A DaemonsListed event brings all daemons and the holder of the role, if there is one, at one moment.
type DaemonsListed struct {
	Daemons []DaemonChanged
	Leader  *Leader
	// Revision is that of the list.
	Revision int64
}

// A DaemonChanged event brings a daemon's record that was written.
type DaemonChanged struct {
	Daemon Daemon
	// Revision is that of the record's last change.
	Revision int64
}

// A DaemonRemoved event tells that a daemon's record is gone.
type DaemonRemoved struct {
	Name     string
	Revision int64
}

// A LeaderChanged event tells which daemon has the role of giving orders.
type LeaderChanged struct{ Leader Leader }

// A LeaderRemoved event tells that no daemon has the role.
type LeaderRemoved struct{ Revision int64 }

// A Daemon is a daemon's record in the key-value service.
type Daemon struct {
	Name string
	// Instance identifies the process.
	Instance string
	// Front is where callers connect, Peer where daemons do.
	CallerAddress string
	PeerAddress   string
	Zone          string
	// Processor is the share of a processor that the daemon has, in thousandths.
	CPUMillicores int
	// Leaving tells that it is in a planned stop.
	Stopping bool
}

// A Leader is the daemon that gives orders to engines.
type Leader struct {
	Name     string
	Instance string
	// Fence is the fencing number. It rises with each change of holder.
	FencingToken int64
}

// A ConfigurationChanged event brings a configuration that was read.
type ConfigurationChanged struct{ Configuration *matcher.Configuration }

// A LeaseRenewed event answers RenewLease.
type LeaseRenewed struct {
	// SentAt is the time before the call was sent.
	SentAt time.Duration
	OK     bool
	// Lost tells that the lease had ended and a new one was made; records under it are gone.
	Lost bool
}

// A RegisterEnded event answers Register.
type RegisterEnded struct{ OK bool }

// A BecomeLeaderEnded event answers TakeRole. Fence is 0 if the role was not taken, as far as is known.
type BecomeLeaderEnded struct{ FencingToken int64 }

// An OrderEnded event answers SendOrder.
type OrderEnded struct {
	Order  registrar.Order
	Result registrar.OrderResult
}

// A ServerReported event answers PollServer.
type ServerReported struct {
	Server string
	// StartedAt is the incarnation that answered, 0 if it didn't say.
	StartedAt int64
	SentAt    time.Duration
	OK        bool
	Report    registrar.Report
}

// A PeerReceived event is a message from another daemon.
type PeerReceived struct{ Message messenger.Message }

// A Ticked event lets time pass.
type Ticked struct{}

// A StopRequested event starts a planned stop.
type StopRequested struct{}

func (RequestArrived) event()       {}
func (CallerLeft) event()           {}
func (AttemptStarted) event()       {}
func (AttemptEnded) event()         {}
func (ServersListed) event()        {}
func (ServerChanged) event()        {}
func (ServerRemoved) event()        {}
func (StoreReached) event()         {}
func (StoreLost) event()            {}
func (DaemonsListed) event()        {}
func (DaemonChanged) event()        {}
func (DaemonRemoved) event()        {}
func (LeaderChanged) event()        {}
func (LeaderRemoved) event()        {}
func (ConfigurationChanged) event() {}
func (LeaseRenewed) event()         {}
func (RegisterEnded) event()        {}
func (BecomeLeaderEnded) event()    {}
func (OrderEnded) event()           {}
func (ServerReported) event()       {}
func (PeerReceived) event()         {}
func (Ticked) event()               {}
func (StopRequested) event()        {}

// Package conductor makes the decisions of a daemon that serves callers: which server runs a request, when a request
// is refused or retried, which daemon gives orders to model engines, and which models are loaded where. The hosts of
// the daemons keep no state.
//
// The store is the key-value service that has the records of servers and daemons, and the leader's record. The weight
// store is another service, from which engines load models that their hosts have neither in memory nor on disk.
//
// A Machine is one reducer over all events. Its effects are data that the executor carries out.
package conductor

import (
	"time"

	"samphirewharf/internal/decision/calibrator"
	"samphirewharf/internal/decision/elector"
	"samphirewharf/internal/decision/estimator"
	"samphirewharf/internal/decision/reducer"
	"samphirewharf/internal/decision/resumer"
	"samphirewharf/internal/fleet/matcher"
	"samphirewharf/internal/fleet/registrar"
	"samphirewharf/internal/peer/messenger"
)

// An Event is one input of Step.
type Event interface{ event() }

// A RequestArrived event is a caller's request for which a route was found.
type RequestArrived struct {
	Request reducer.RequestID
	// ID is the caller's ID for this attempt.
	ID    string
	Route matcher.Route
	// Version is the version of the configuration that the route belongs to.
	Version int64
	Service string
	// Workspace is the name of the caller's workspace, empty on public routes and in deployments without workspaces.
	Workspace string
	// Model and Adapter are empty for plain services.
	Model   string
	Adapter string
	// InputTokens and OutputTokens are the size of a generation. OutputTokens is the caller's limit.
	InputTokens  int
	OutputTokens int
	// Parts are the parts of the prompt, in order.
	Parts []PromptPart
	// Resumes reports whether the caller takes up a stream, OriginID is the ID of its attempt that brought the first event.
	Resumes  bool
	OriginID string
	// TimeLimit is how long the caller waits for the whole answer.
	TimeLimit time.Duration
	// Fingerprint is equal for requests with the same content.
	Fingerprint uint64
	// Delegated reports whether another daemon, which has no link to the servers, has passed the request on.
	Delegated bool
	// Origin is the version that the request's stream is bound to, known only if that daemon has passed it on.
	Origin Origin
}

// An Origin is the software version of the server that began a stream.
type Origin struct {
	SoftwareVersion string
	Known           bool
}

// A PromptPart is a part of a prompt.
type PromptPart = estimator.Part

// A CallerLeft event reports that the caller has closed its connection.
type CallerLeft struct{ Request reducer.RequestID }

// An AttemptStarted event reports that the start of an answer was passed on to the caller.
type AttemptStarted struct {
	Request reducer.RequestID
	Attempt int
	// Origin is the software version of the server that answers. A daemon of an earlier build that has it answer doesn't name it.
	Origin Origin
}

// An AttemptSilent event reports that the server has sent nothing for Send.FirstTimeout. It comes again after each such time.
type AttemptSilent struct {
	Request reducer.RequestID
	Attempt int
}

// A Cause is why an attempt failed, as far as the executor can tell.
type Cause uint8

// Causes of failed attempts.
const (
	CauseNone Cause = iota
	// CauseConnect: the server accepted no connection.
	CauseConnect
	// CauseFull: the server had no free slot.
	CauseFull
	// CauseAbsent: the server doesn't have the model or adapter loaded.
	CauseAbsent
	// CauseMisdirected: another server or incarnation has the address.
	CauseMisdirected
	// CauseBroken: the connection broke.
	CauseBroken
	// CauseSilent: the server timed out.
	CauseTimeout
	// CauseInvalid: the received data is not the server's answer to this request.
	CauseInvalid
	// CauseError: the server answered with an error of its own.
	CauseError
	// CauseLeaving: the server stopped accepting requests before anything was sent.
	CauseLeaving
	// CauseUnstated: the server answered with a status that tells callers that the request hasn't run, without stating that itself.
	CauseUnstated
)

// String returns the cause's name in logs and metrics.
func (c Cause) String() string {
	names := [...]string{"None", "Connect", "Full", "Absent", "Misdirected", "Broken", "Silent", "Invalid", "Error", "Leaving", "Unstated"}
	if int(c) < len(names) {
		return names[c]
	}
	return "None"
}

// An AttemptEnded event answers Send.
type AttemptEnded struct {
	Request reducer.RequestID
	Attempt int
	Outcome reducer.AttemptOutcome
	Cause   Cause
	// Buffered reports whether the executor has buffered a whole answer of the server that the caller hasn't received.
	Buffered bool
	// Status is the server's HTTP status, 0 if there was none.
	Status int
	// Events is the number of events that the caller has received over all attempts.
	Events int
	// Pace is that of the stream since the last AttemptProgressed event.
	Pace calibrator.Window
	// Latency is the time to the answer, or to the first event of a stream; zero if there was neither.
	Latency time.Duration
	// RetryAfter is the delay that a refusing server asked for.
	RetryAfter time.Duration
	// TimedOut reports whether a server that accepted no connection was silent rather than refusing.
	TimedOut bool
	// Detail says why an answer was given up, empty for failures that Cause describes in full.
	Detail string
}

// A ServerAdvised event carries what a server asks for in the header of an answer, as soon as that has arrived.
type ServerAdvised struct {
	Server string
	// StartedAt identifies the incarnation that the request was sent to.
	StartedAt int64
	Advice    Advice
}

// An Advice is what a server asks of all daemons in the header of an answer. The zero value asks for nothing.
type Advice struct {
	// RateLimited reports whether the server names RateLimit, the requests a second that it takes from all daemons together.
	RateLimited bool
	RateLimit   float64
	// Brittle reports whether a server of the service falls over if it rejects more than RejectionsBorne requests in a second for
	// want of room.
	Brittle         bool
	RejectionsBorne float64
	// Leaving reports whether the server is about to stop.
	Leaving bool
	// Pause is how long a server that refused the request wants no other one from this daemon.
	Pause time.Duration
}

// A ServersListed event carries all servers' entries as of a revision.
type ServersListed struct {
	Entries  []registrar.Entry
	Revision int64
}

// A ServerChanged event carries a server's entry that was written.
type ServerChanged struct{ Entry registrar.Entry }

// A ServerRemoved event reports that a server's entry was removed.
type ServerRemoved struct {
	ID       string
	Revision int64
}

// A StoreReached event reports that the store answers again.
type StoreReached struct{}

// A StoreLost event reports that the store doesn't answer.
type StoreLost struct{ Reason string }

// A DaemonsListed event carries all daemons and the leader, if there is one, as of a revision.
type DaemonsListed struct {
	Daemons []DaemonChanged
	Leader  *Leader
	// Quarantines are the records of what crashes servers.
	Quarantines []Quarantine
	// MixedServices are the services with a record that they have had several software versions lately.
	MixedServices []string
	// Histories are those of the services' software versions.
	Histories []resumer.History
	// Revision is that of the list.
	Revision int64
}

// A DaemonChanged event carries a daemon's record that was written.
type DaemonChanged struct {
	Daemon Daemon
	// Revision is that of the record's last change.
	Revision int64
}

// A DaemonRemoved event reports that a daemon's record was removed.
type DaemonRemoved struct {
	Name     string
	Revision int64
}

// A LeaderChanged event reports which daemon is the leader.
type LeaderChanged struct{ Leader Leader }

// A LeaderRemoved event reports that no daemon is the leader.
type LeaderRemoved struct{ Revision int64 }

// A Daemon is a daemon's record in the store.
type Daemon struct {
	// Name is the name of the daemon's host. It outlasts the process.
	Name string
	// Instance identifies the process.
	Instance string
	// CallerAddress is the address for callers, PeerAddress the address for other daemons.
	CallerAddress string
	PeerAddress   string
	Zone          string
	// CPUMillicores is the CPU share of the daemon in thousandths of a core.
	CPUMillicores int
	// Stopping reports whether the daemon is in a planned stop.
	Stopping bool
	// LinkDown reports whether the daemon reaches no server.
	LinkDown bool
	// FleetChanges reports whether the daemon takes changes of the leader's view. Earlier versions need the whole view each second.
	FleetChanges bool
}

// A Leader is the daemon that gives orders to engines.
type Leader = elector.Leader

// A ConfigurationChanged event carries a configuration that was read.
type ConfigurationChanged struct{ Configuration *matcher.Configuration }

// A LeaseRenewed event answers RenewLease.
type LeaseRenewed struct {
	// SentAt is a time before the call was sent.
	SentAt time.Duration
	OK     bool
	// Lost reports whether the lease had expired and a new one was created; records under the old one are gone.
	Lost bool
}

// A RegisterEnded event answers Register.
type RegisterEnded struct{ OK bool }

// A BecomeLeaderEnded event answers BecomeLeader. FencingToken is 0 if the daemon did not become the leader, or not to
// its knowledge.
type BecomeLeaderEnded struct{ FencingToken int64 }

// An OrderEnded event answers SendOrder.
type OrderEnded struct {
	Order  registrar.Order
	Result registrar.OrderResult
}

// A ServerReported event answers PollServer.
type ServerReported struct {
	Server string
	// StartedAt identifies the incarnation that answered, 0 if unknown.
	StartedAt int64
	SentAt    time.Duration
	OK        bool
	// Refused reports whether the server accepted no connection.
	Refused bool
	Report  registrar.Report
}

// A PeerReceived event carries a message from another daemon.
type PeerReceived struct{ Message messenger.Message }

// A Ticked event advances time without any other input.
type Ticked struct{}

// A ConnectionsClosed event reports that no connection of a caller is left, and none is accepted any more.
type ConnectionsClosed struct{}

// A StopRequested event starts a planned stop.
type StopRequested struct{}

func (RequestArrived) event()       {}
func (CallerLeft) event()           {}
func (AttemptStarted) event()       {}
func (AttemptSilent) event()        {}
func (AttemptEnded) event()         {}
func (ServerAdvised) event()        {}
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
func (ConnectionsClosed) event()    {}
func (StopRequested) event()        {}

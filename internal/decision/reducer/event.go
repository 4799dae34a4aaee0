package reducer

import (
	"time"

	"samphirewharf/internal/backend/orderer"
	"samphirewharf/internal/caller/refuser"
	"samphirewharf/internal/config/cataloger"
	"samphirewharf/internal/external/lister"
	"samphirewharf/internal/external/storer"
	"samphirewharf/internal/peer/messenger"
)

// A RequestID numbers a request within one daemon process.
type RequestID uint64

// An OpID numbers a call to the key-value service within one daemon process.
type OpID uint64

// A Moment is when an event happened.
type Moment struct {
	// Since is monotonic time since the process started. It goes on while the process is frozen.
	Since time.Duration
	// Wall is the wall clock, for times that outlive the process. Decisions that need safety don't use it.
	Wall time.Time
}

// An Event is one input of Step.
type Event interface{ event() }

// A RequestArrived event is a caller's request, or one that another daemon forwarded.
type RequestArrived struct {
	Request RequestID
	// ID is the caller's X-Request-Id, or a new one.
	ID string
	// Target names a deployment or adapter, or the service of a plain request.
	Target string
	// Plain tells that the target is a plain service.
	Plain  bool
	Method string
	// Path is the path below /services/NAME for plain requests.
	Path   string
	Urgent bool
	Stream bool
	// Timeout is the time the caller gives; zero means the deployment's default.
	Timeout time.Duration
	// Key is the idempotency key, empty if none was sent.
	Key string
	// BodyHash is a hash of method, path and body.
	BodyHash uint64
	// Prefixes are hashes of the prompt's growing prefixes, shortest first.
	Prefixes []uint64
	// ForwardedBy is the daemon that forwarded the request, empty for a caller's own.
	ForwardedBy string
}

// An AddressesAsked event is a caller's look-up of the daemons to use for a target.
type AddressesAsked struct {
	Request RequestID
	Target  string
	Zone    string
}

// A CallerLeft event tells that the caller closed its connection.
type CallerLeft struct{ Request RequestID }

// An AttemptStarted event tells that the first part of an answer came from the server.
type AttemptStarted struct {
	Request RequestID
	Attempt int
}

// An AttemptOutcome tells how a Dispatch or Forward ended.
type AttemptOutcome uint8

// The outcomes of an attempt.
const (
	// AttemptDone means that the whole answer was passed to the caller.
	AttemptDone AttemptOutcome = iota
	// AttemptNotSent means that no byte of the request was sent.
	AttemptNotSent
	// AttemptNotRun means that the server or daemon answered that it did not run the request.
	AttemptNotRun
	// AttemptFailed means that the request was sent and no usable answer came.
	AttemptFailed
	// AttemptRefused means that the daemon forwarded to refused; nothing was passed to the caller yet.
	AttemptRefused
	// AttemptCancelled means that the attempt ended because of a Cancel effect or because the caller left.
	AttemptCancelled
)

// String returns the outcome's name in logs and metrics.
func (o AttemptOutcome) String() string {
	names := [...]string{"Done", "NotSent", "NotRun", "Failed", "Refused", "Cancelled"}
	if int(o) < len(names) {
		return names[o]
	}
	return "Unknown"
}

// An AttemptEnded event tells how a Dispatch or Forward ended.
type AttemptEnded struct {
	Request RequestID
	Attempt int
	Outcome AttemptOutcome
	// ServerDied tells that the connection broke, so that the server may have crashed.
	ServerDied bool
	// Tokens is how many stream events the caller has been sent over all attempts.
	Tokens int
	// Status, ContentType and Answer describe a whole answer to a claimed request.
	// Answer is nil if the answer was larger than MaxStoredAnswerBytes.
	Status      int
	ContentType string
	Answer      []byte
	// RetryAfter is what a refusing server or daemon asked for.
	RetryAfter time.Duration
	// Refusal is the refusal of the daemon that was forwarded to, for AttemptRefused.
	Refusal refuser.Refusal
}

// A StoreGot event answers StoreGet.
type StoreGot struct {
	Op     OpID
	Result storer.Result
	Entry  storer.Entry
}

// A StoreSwapped event answers StoreSwap and StoreDelete.
type StoreSwapped struct {
	Op       OpID
	Result   storer.Result
	Revision int64
}

// A StoreListed event answers StoreList. Entries are ordered by key.
type StoreListed struct {
	Op      OpID
	Result  storer.Result
	Entries []storer.Entry
	// Revision is the service's revision at which the list was made.
	Revision int64
}

// A StoreChanged event reports a change below a watched prefix. Changes may be missed.
type StoreChanged struct {
	Entry   storer.Entry
	Deleted bool
}

// A LeaseRenewed event answers LeaseRenew.
type LeaseRenewed struct {
	// SentAt is Moment.Since before the call was sent.
	SentAt time.Duration
	Result storer.Result
	// Lost tells that the lease had expired and a new one was made; keys under it are gone.
	Lost bool
}

// A HostsListed event answers ListHosts.
type HostsListed struct {
	Service string
	// SentAt is Moment.Since before the call was sent.
	SentAt time.Duration
	OK     bool
	// Unchanged tells that the list is as it was at the last answer; Hosts is then nil.
	Unchanged bool
	Hosts     []lister.Host
}

// A ServerPolled event answers PollServer.
type ServerPolled struct {
	Server string
	OK     bool
	// SentAt is Moment.Since before the poll was sent.
	SentAt time.Duration
	Report orderer.Report
}

// An OrderEnded event answers SendOrder.
type OrderEnded struct {
	OrderID string
	Server  string
	Outcome orderer.Outcome
	// Fence is the engine's fencing number if it refused the order as stale.
	Fence int64
}

// A PeerReceived event is a message from another daemon.
type PeerReceived struct{ Message messenger.Message }

// A ConfigurationLoaded event brings a configuration that was read from the key-value service or a peer.
type ConfigurationLoaded struct {
	// Catalog is nil if the read failed.
	Catalog *cataloger.Catalog
	// Revision is the revision of the head key that it was read at, 0 from a peer.
	Revision int64
}

// A Ticked event lets time pass.
type Ticked struct{}

// A StopRequested event starts a planned stop.
type StopRequested struct{}

func (RequestArrived) event()      {}
func (AddressesAsked) event()      {}
func (CallerLeft) event()          {}
func (AttemptStarted) event()      {}
func (AttemptEnded) event()        {}
func (StoreGot) event()            {}
func (StoreSwapped) event()        {}
func (StoreListed) event()         {}
func (StoreChanged) event()        {}
func (LeaseRenewed) event()        {}
func (HostsListed) event()         {}
func (ServerPolled) event()        {}
func (OrderEnded) event()          {}
func (PeerReceived) event()        {}
func (ConfigurationLoaded) event() {}
func (Ticked) event()              {}
func (StopRequested) event()       {}

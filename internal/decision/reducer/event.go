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

// A Moment is the time of an event.
type Moment struct {
	// Monotonic is the monotonic time since the process started. It continues while the process is frozen.
	Monotonic time.Duration
	// Wall is the wall clock time, for times that outlive the process. Decisions that affect safety don't use
	// it.
	Wall time.Time
}

// An Event is one input of Step.
type Event interface{ event() }

// A RequestArrived event is a request from a caller, or one that another daemon forwarded.
type RequestArrived struct {
	Request RequestID
	// ID is the caller's X-Request-Id, or a generated one.
	ID string
	// Target is the name of a deployment or adapter, or of the service of a plain request.
	Target string
	// Plain reports whether the target is a plain service.
	Plain  bool
	Method string
	// Path is the path below /services/NAME, for plain requests.
	Path   string
	Urgent bool
	Stream bool
	// Timeout is the caller's time limit; zero means the deployment's default.
	Timeout time.Duration
	// Key is the idempotency key, empty if there is none.
	Key string
	// BodyHash is a hash of method, path and body.
	BodyHash uint64
	// Prefixes are the hashes of the prompt's prefixes, shortest first.
	Prefixes []uint64
	// ForwardedBy is the daemon that forwarded the request, empty if the caller sent it.
	ForwardedBy string
}

// An AddressesAsked event is a caller's look-up of the daemons to use for a target.
type AddressesAsked struct {
	Request RequestID
	Target  string
	Zone    string
}

// A CallerLeft event reports that the caller closed its connection.
type CallerLeft struct{ Request RequestID }

// An AttemptStarted event reports that the first part of an answer arrived from the server.
type AttemptStarted struct {
	Request RequestID
	Attempt int
}

// An AttemptOutcome is how a Dispatch or Forward ended.
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
	// AttemptRefused means that the other daemon refused a forwarded request; nothing was passed to the
	// caller yet.
	AttemptRefused
	// AttemptCancelled means that a Cancel effect ended the attempt, or that the caller disconnected.
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

// An AttemptEnded event reports how a Dispatch or Forward ended.
type AttemptEnded struct {
	Request RequestID
	Attempt int
	Outcome AttemptOutcome
	// ServerDied reports whether the connection broke, so that the server may have crashed.
	ServerDied bool
	// Tokens is how many stream events the caller has received over all attempts.
	Tokens int
	// Status, ContentType and Answer are the complete answer to a claimed request.
	// Answer is nil if the answer was larger than MaxStoredAnswerBytes.
	Status      int
	ContentType string
	Answer      []byte
	// RetryAfter is the delay that a refusing server or daemon asked for.
	RetryAfter time.Duration
	// Refusal is the other daemon's refusal, for AttemptRefused.
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

// A StoreListed event answers StoreList. Entries are sorted by key.
type StoreListed struct {
	Op      OpID
	Result  storer.Result
	Entries []storer.Entry
	// Revision is the store's revision at the time of the list.
	Revision int64
}

// A StoreChanged event reports a change below a watched prefix. Changes may be missing.
type StoreChanged struct {
	Entry   storer.Entry
	Deleted bool
}

// A LeaseRenewed event answers LeaseRenew.
type LeaseRenewed struct {
	// SentAt is the Moment.Monotonic before the call was sent.
	SentAt time.Duration
	Result storer.Result
	// Lost reports whether the lease had expired and a new one was created. Keys attached to the old lease
	// are gone.
	Lost bool
}

// A HostsListed event answers ListHosts.
type HostsListed struct {
	Service string
	// SentAt is the Moment.Monotonic before the call was sent.
	SentAt time.Duration
	OK     bool
	// Unchanged reports whether the list is the same as in the last answer; Hosts is nil then.
	Unchanged bool
	Hosts     []lister.Host
}

// A ServerPolled event answers PollServer.
type ServerPolled struct {
	Server string
	OK     bool
	// SentAt is the Moment.Monotonic before the poll was sent.
	SentAt time.Duration
	Report orderer.Report
}

// An OrderEnded event answers SendOrder.
type OrderEnded struct {
	OrderID string
	Server  string
	Outcome orderer.Outcome
	// Fence is the engine's fencing token if it refused the order as stale.
	Fence int64
}

// A PeerReceived event is a message from another daemon.
type PeerReceived struct{ Message messenger.Message }

// A ConfigurationLoaded event answers LoadConfiguration.
type ConfigurationLoaded struct {
	// Catalog is nil if the read failed.
	Catalog *cataloger.Catalog
	// Revision is the revision of the head key at the time of the read, 0 if read from a peer.
	Revision int64
}

// A Ticked event reports that time has passed.
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

package reducer

import (
	"time"

	"samphirewharf/internal/backend/orderer"
	"samphirewharf/internal/caller/refuser"
	"samphirewharf/internal/decision/planner"
	"samphirewharf/internal/peer/messenger"
)

// MaxStoredAnswerBytes is the maximum size of a claimed request's answer that is stored for repeats.
const MaxStoredAnswerBytes = 4096

// An Effect is one output of Step, carried out by the executor.
type Effect interface{ effect() }

// A Dispatch effect sends a request to a backend server and ends in AttemptEnded.
type Dispatch struct {
	Request RequestID
	Attempt int
	Server  string
	Address string
	// Replica and Adapter are empty for plain services.
	Replica string
	Adapter string
	// Timeout is the time remaining until the request's deadline.
	Timeout time.Duration
	// ResumeFrom is how many stream events the caller has already received.
	ResumeFrom int
	// KeepAnswer requests the answer's bytes in AttemptEnded.
	KeepAnswer bool
	Decision   RoutingDecision
}

// A Forward effect forwards a request to another daemon and ends in AttemptEnded.
type Forward struct {
	Request RequestID
	Attempt int
	Daemon  string
	Address string
	Timeout time.Duration
	Reason  string
}

// A Refuse effect is the final answer to a request.
type Refuse struct {
	Request RequestID
	Refusal refuser.Refusal
}

// An Answer effect is the final answer to a repeated request: the stored answer of the first one.
type Answer struct {
	Request     RequestID
	Status      int
	ContentType string
	Body        []byte
}

// An Addresses effect answers AddressesAsked.
type Addresses struct {
	Request    RequestID
	Addresses  []Address
	TimeToLive time.Duration
}

// An Address is the address of one daemon that a caller may use.
type Address struct {
	Address string
	Zone    string
}

// A Cancel effect cancels a running attempt. A Refuse effect for the same request follows if the caller is
// still connected.
type Cancel struct {
	Request RequestID
	Attempt int
}

// A RoutingDecision says how a replica was chosen, for the decision log.
type RoutingDecision struct {
	Deployment string
	Reason     string
	Score      float64
	// Other is the runner-up, empty if there was none.
	Other      string
	OtherScore float64
	// Waited is how long the request was queued.
	Waited time.Duration
}

// A StoreGet effect reads a key.
type StoreGet struct {
	Op  OpID
	Key string
}

// A StoreSwap effect writes a key if its revision is the given one. Revision 0 means that the key must not
// exist.
type StoreSwap struct {
	Op       OpID
	Key      string
	Value    []byte
	Revision int64
	// Leased attaches the key to the daemon's lease.
	Leased bool
}

// A StoreDelete effect deletes a key if its revision is the given one, and ends in StoreSwapped.
type StoreDelete struct {
	Op       OpID
	Key      string
	Revision int64
}

// A StoreList effect reads all keys with a prefix.
type StoreList struct {
	Op     OpID
	Prefix string
}

// A StoreWatch effect starts a watch on a prefix; the executor reconnects as needed.
type StoreWatch struct{ Prefix string }

// A StoreUnwatch effect ends a watch.
type StoreUnwatch struct{ Prefix string }

// A LeaseRenew effect renews the daemon's lease, or creates one.
type LeaseRenew struct{ TimeToLive time.Duration }

// A LeaseRevoke effect revokes the daemon's lease.
type LeaseRevoke struct{}

// A ListHosts effect reads the host list of one service.
type ListHosts struct{ Service string }

// A PollServer effect reads a server's state.
type PollServer struct {
	Server  string
	Address string
	// Checkpoints is the version of the checkpoints that the daemon already has.
	Checkpoints int64
	// ConnectOnly checks only whether the server accepts connections; the answer's Report is empty.
	ConnectOnly bool
}

// A SendOrder effect sends an order at most once.
type SendOrder struct {
	Server  string
	Address string
	Order   orderer.Order
	// Expires is the Moment.Monotonic after which the executor must not send the order.
	Expires time.Duration
}

// A SendPeer effect sends a message to another daemon. The message may be lost.
type SendPeer struct {
	Daemon  string
	Address string
	Message messenger.Message
}

// A LoadConfiguration effect reads the configuration and ends in ConfigurationLoaded.
type LoadConfiguration struct {
	// PeerAddress is the daemon to read from; empty means the key-value service.
	PeerAddress string
	// HaveVersion is the version of the current configuration.
	HaveVersion int64
}

// A PlacementDecided effect reports a cell's placement decision, for the decision log.
type PlacementDecided struct {
	Cell string
	planner.Decision
}

// A Noted effect writes a log line about membership, configuration or recovery.
type Noted struct {
	Message string
	Subject string
	Detail  string
	Warning bool
}

// An Exit effect ends the process after a planned stop.
type Exit struct{}

func (Dispatch) effect()          {}
func (Forward) effect()           {}
func (Refuse) effect()            {}
func (Answer) effect()            {}
func (Addresses) effect()         {}
func (Cancel) effect()            {}
func (StoreGet) effect()          {}
func (StoreSwap) effect()         {}
func (StoreDelete) effect()       {}
func (StoreList) effect()         {}
func (StoreWatch) effect()        {}
func (StoreUnwatch) effect()      {}
func (LeaseRenew) effect()        {}
func (LeaseRevoke) effect()       {}
func (ListHosts) effect()         {}
func (PollServer) effect()        {}
func (SendOrder) effect()         {}
func (SendPeer) effect()          {}
func (LoadConfiguration) effect() {}
func (PlacementDecided) effect()  {}
func (Noted) effect()             {}
func (Exit) effect()              {}

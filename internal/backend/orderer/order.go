// Package orderer defines the orders that backend servers take and the reports that they give,
// and sends the one and reads the other over HTTP.
package orderer

// A Kind tells what an order asks of an engine.
type Kind string

// The kinds of order.
const (
	// KindLoad loads a model as a new replica. Engines don't recognise a repeated load.
	KindLoad Kind = "Load"
	// KindUnload unloads a replica. Unloading an unknown replica is no error.
	KindUnload Kind = "Unload"
	// KindLoadAdapter loads an adapter into a slot of a replica.
	KindLoadAdapter Kind = "LoadAdapter"
	// KindUnloadAdapter frees an adapter's slot.
	KindUnloadAdapter Kind = "UnloadAdapter"
	// KindRaiseFence only raises the engine's fencing number.
	KindRaiseFence Kind = "RaiseFence"
	// KindChangeRole changes a replica's role.
	KindChangeRole Kind = "ChangeRole"
)

// An Order is an order to an engine. It is the body of POST /control/orders.
type Order struct {
	// OrderID is unique over all daemons and restarts.
	OrderID string
	Kind    Kind
	// Fence is the placer's fencing number. Engines that check it refuse lower ones than they have seen.
	Fence int64
	// Instance is the engine process that the order is meant for, empty for any. Engines that check fencing numbers
	// refuse orders for another process, since a restart makes them forget the numbers that they have seen.
	Instance string `json:",omitempty"`
	// Replica is the replica's ID, unique over all decisions ever made.
	Replica      string `json:",omitempty"`
	Deployment   string `json:",omitempty"`
	ModelVersion string `json:",omitempty"`
	Adapter      string `json:",omitempty"`
	Role         string `json:",omitempty"`
	// Bytes is the accelerator memory that the replica takes, its adapter slots included.
	Bytes        int64 `json:",omitempty"`
	AdapterSlots int   `json:",omitempty"`
	MaxInFlight  int   `json:",omitempty"`
	// LoadMilliseconds are the times of a load from the weight store, disk and memory, in this order.
	LoadMilliseconds [3]int64 `json:",omitempty"`
}

// An Outcome tells what is known about an order or a poll that has ended.
type Outcome uint8

// The outcomes.
const (
	// OutcomeUnknown means that the order may or may not take effect, now or later.
	OutcomeUnknown Outcome = iota
	// OutcomeNotSent means that no byte of the order left the daemon.
	OutcomeNotSent
	// OutcomeAccepted means that the engine answered that it carries the order out.
	OutcomeAccepted
	// OutcomeStaleFence means that the engine refused the order for its fencing number.
	OutcomeStaleFence
	// OutcomeRefused means that the engine refused the order for another reason, such as memory.
	OutcomeRefused
)

// String returns the outcome's name in logs.
func (o Outcome) String() string {
	switch o {
	case OutcomeNotSent:
		return "not sent"
	case OutcomeAccepted:
		return "accepted"
	case OutcomeStaleFence:
		return "stale fence"
	case OutcomeRefused:
		return "refused"
	default:
		return "unknown"
	}
}

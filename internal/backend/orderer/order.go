// Package orderer defines the orders sent to backend servers and the reports read from them, and an HTTP client for
// both.
package orderer

// A Kind is the kind of an order.
type Kind string

// The kinds of order.
const (
	// KindLoad loads a model as a new replica. Engines don't detect a repeated load.
	KindLoad Kind = "Load"
	// KindUnload unloads a replica. Unloading an unknown replica is not an error.
	KindUnload Kind = "Unload"
	// KindLoadAdapter loads an adapter into a slot of a replica.
	KindLoadAdapter Kind = "LoadAdapter"
	// KindUnloadAdapter unloads an adapter and frees its slot.
	KindUnloadAdapter Kind = "UnloadAdapter"
	// KindRaiseFence only raises the engine's fencing token.
	KindRaiseFence Kind = "RaiseFence"
	// KindChangeRole changes a replica's role.
	KindChangeRole Kind = "ChangeRole"
)

// An Order is an order to an engine. It is the body of POST /control/orders.
type Order struct {
	// OrderID is unique across all daemons and restarts.
	OrderID string
	Kind    Kind
	// Fence is the placer's fencing token. Engines that check it refuse tokens lower than the highest that they have
	// seen.
	Fence int64
	// Instance is the engine process that the order is for, empty for any. Engines that check fencing tokens refuse
	// orders for another process, since after a restart they no longer know the highest token.
	Instance string `json:",omitempty"`
	// Replica is the replica's ID, unique across all placement decisions ever made.
	Replica      string `json:",omitempty"`
	Deployment   string `json:",omitempty"`
	ModelVersion string `json:",omitempty"`
	Adapter      string `json:",omitempty"`
	Role         string `json:",omitempty"`
	// Bytes is the accelerator memory of the replica, including its adapter slots.
	Bytes        int64 `json:",omitempty"`
	AdapterSlots int   `json:",omitempty"`
	MaxInFlight  int   `json:",omitempty"`
	// LoadMilliseconds are the load times from the weight store, from disk and from memory, in this order.
	LoadMilliseconds [3]int64 `json:",omitempty"`
}

// An Outcome is the outcome of an order, as far as it is known.
type Outcome uint8

// The outcomes.
const (
	// OutcomeUnknown means that the order may or may not take effect, now or later.
	OutcomeUnknown Outcome = iota
	// OutcomeNotSent means that no byte of the order was sent.
	OutcomeNotSent
	// OutcomeAccepted means that the engine accepted the order.
	OutcomeAccepted
	// OutcomeStaleFence means that the engine refused the order because of its fencing token.
	OutcomeStaleFence
	// OutcomeRefused means that the engine refused the order for another reason, such as lack of memory.
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

package inferrer

import (
	"samphirewharf/internal/backend/orderer"
	"samphirewharf/internal/config/cataloger"
)

// Faults are what goes wrong with the engine. They are the body of POST /stand-in/faults, which replaces all
// and ends the waits of the ones before.
type Faults struct {
	// Freeze pauses the process: nothing is answered and nothing goes on until it ends.
	Freeze bool
	// Delay is how long each call waits before anything else happens.
	Delay cataloger.Duration
	// DelayOrders is how long orders wait besides. They take effect even if the sender has given up.
	DelayOrders cataloger.Duration
	// RefuseOrders refuses all orders.
	RefuseOrders bool
	// CutStreamsAfter closes the connection of a stream after so many events; zero never does.
	CutStreamsAfter int
}

// The kinds of violation.
const (
	// ViolationMemory is a load order for more memory than is free.
	ViolationMemory = "MemoryOvercommitted"
	// ViolationSlots is an adapter order for a replica without a free slot.
	ViolationSlots = "AdapterSlotsOvercommitted"
	// ViolationDuplicate is a load order for a replica that exists.
	ViolationDuplicate = "DuplicateReplica"
)

// A Violation is an order that a correct placer never sends.
type Violation struct {
	Kind  string
	Order orderer.Order
}

// Counts are what the engine has done, over all restarts. They are the answer of GET /stand-in/counts.
type Counts struct {
	Server  string
	Starts  int64
	Crashes int64
	// Orders are the orders that were carried out or refused, by kind.
	Orders map[orderer.Kind]int64
	// OrdersWaiting are the orders that arrived and wait because of faults.
	OrdersWaiting int64
	// StaleFences and RefusedOrders are orders refused for their fence or for another reason.
	StaleFences   int64
	RefusedOrders int64
	// Loads and AdapterLoads are loads begun.
	Loads        int64
	AdapterLoads int64
	// LoadsOf are the loads begun, by deployment.
	LoadsOf      map[string]int64
	Replicas     int
	PeakReplicas int
	UsedBytes    int64
	PeakBytes    int64
	// Violations are in the order they came.
	Violations []Violation
	// Runs are how often requests were begun, by X-Request-Id.
	Runs map[string]int
	// Completed, Cancelled, Cut and NotRun are how requests ended.
	Completed int64
	Cancelled int64
	Cut       int64
	NotRun    int64
}

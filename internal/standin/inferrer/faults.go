package inferrer

import (
	"samphirewharf/internal/backend/orderer"
	"samphirewharf/internal/config/cataloger"
)

// Faults are the injected faults. They are the body of POST /stand-in/faults, which replaces all of them
// and ends the delays of the previous ones.
type Faults struct {
	// Freeze pauses the simulated process: until it is unset, nothing is answered and nothing proceeds.
	Freeze bool
	// Delay is how long each call waits before anything else happens.
	Delay cataloger.Duration
	// DelayOrders is how long orders wait in addition. They take effect even if the sender has given up.
	DelayOrders cataloger.Duration
	// RefuseOrders refuses all orders.
	RefuseOrders bool
	// CutStreamsAfter is the number of events after which the connection of a stream is closed; zero means never.
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

// Counts are the totals over all restarts. They are the answer to GET /stand-in/counts.
type Counts struct {
	Server  string
	Starts  int64
	Crashes int64
	// Orders are the numbers of orders that were executed or refused, by kind.
	Orders map[orderer.Kind]int64
	// OrdersWaiting is the number of orders that are delayed by faults now.
	OrdersWaiting int64
	// StaleFences is the number of orders refused for a stale fencing token, RefusedOrders that of orders refused
	// for another reason.
	StaleFences   int64
	RefusedOrders int64
	// Loads and AdapterLoads are the numbers of loads started.
	Loads        int64
	AdapterLoads int64
	// LoadsOf are the numbers of loads started, by deployment.
	LoadsOf      map[string]int64
	Replicas     int
	PeakReplicas int
	UsedBytes    int64
	PeakBytes    int64
	// Violations are in order of arrival.
	Violations []Violation
	// Runs are the numbers of runs started, by X-Request-Id.
	Runs map[string]int
	// Completed, Cancelled, Cut and NotRun are the numbers of requests by outcome.
	Completed int64
	Cancelled int64
	Cut       int64
	NotRun    int64
}

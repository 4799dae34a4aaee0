package planner

import (
	"time"

	"samphirewharf/internal/backend/orderer"
)

// A pendingWrite is a swap of the record whose outcome is not known yet.
type pendingWrite struct {
	next Record
	// decisions are reported once the write is known to have taken effect.
	decisions []Action
	inFlight  bool
	retryAt   time.Duration
}

// A sentLoadOrder is the state of a load order that this process sent.
type sentLoadOrder struct {
	id      string
	server  string
	ended   bool
	outcome orderer.Outcome
	sentAt  time.Duration
	endedAt time.Duration
	// engineInstance is the first instance of the engine that was seen after the order had ended. The order
	// may still take effect there, but not at a later instance.
	engineInstance string
}

// resolved reports whether the order can't take effect after now. A nil order was never sent.
func (o *sentLoadOrder) resolved(now time.Duration) bool {
	switch {
	case o == nil:
		return true
	case !o.ended:
		return false
	case o.outcome == orderer.OutcomeUnknown:
		return now >= o.endedAt+maxOrderDelay
	default:
		return true
	}
}

type unloadState struct {
	startedAt time.Duration
	sentAt    time.Duration
	orderID   string
}

type eviction struct {
	server    string
	bytes     int64
	startedAt time.Duration
}

// A serverState is the placer's own view of a server, from its polls.
type serverState struct {
	polling    bool
	nextPollAt time.Duration
	// lastPollSentAt is when the newest answered poll was sent; engineInstance, sequence and fence are from
	// its report.
	lastPollSentAt time.Duration
	polled         bool
	engineInstance string
	sequence       int64
	fence          int64
	// present are the replicas in its report.
	present map[string]bool
	// raiseOrderID is the ID of the pending order to raise the engine's fencing token, empty if there is none.
	raiseOrderID string
	raiseRetryAt time.Duration
}

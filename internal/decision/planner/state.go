package planner

import (
	"time"

	"samphirewharf/internal/backend/orderer"
)

// A pendingWrite is a swap of the record that has not been settled.
type pendingWrite struct {
	next Record
	// decisions are reported once the write is known to have taken effect.
	decisions []Action
	inFlight  bool
	retryAt   time.Duration
}

// An sentLoadOrder is what this process knows of a load order that it sent.
type sentLoadOrder struct {
	id      string
	server  string
	ended   bool
	outcome orderer.Outcome
	sentAt  time.Duration
	endedAt time.Duration
	// engine is the first instance of the engine that was seen after the order had ended. The order may still
	// take effect there, but not at a later one.
	engineInstance string
}

// settled reports whether the order can't take effect later than now; nil stands for one never sent.
func (o *sentLoadOrder) settled(now time.Duration) bool {
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
	since   time.Duration
	sentAt  time.Duration
	orderID string
}

type eviction struct {
	server    string
	bytes     int64
	startedAt time.Duration
}

// A serverState is what the placer itself has seen of a server.
type serverState struct {
	polling    bool
	nextPollAt time.Duration
	// seenAt is when the newest own poll was sent; engine and fence are what it showed.
	lastPollSentAt time.Duration
	polled         bool
	engineInstance string
	sequence       int64
	fence          int64
	// present are the replicas that it showed.
	present map[string]bool
	// raising is the order that raises the fence, empty if none is on its way.
	raiseOrderID string
	raiseRetryAt time.Duration
}

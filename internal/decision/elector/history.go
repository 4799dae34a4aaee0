package elector

import (
	"maps"
	"time"

	"samphirewharf/internal/fleet/sequencer"
)

// retention is how long an ended leadership is remembered, which is longer than any delay between the orders of two hosts.
const retention = time.Minute

// A history is what is known of leaderships that have ended. The zero value is ready to use.
type history struct {
	// heldUntil holds until when hosts may have given orders, by name.
	heldUntil map[string]time.Duration
	// epoch is the store's, valid if known is true.
	epoch int64
	known bool
	// restored reports whether the store was restored while this process was running. unknownUntil is until when a host that this
	// daemon doesn't know of may give orders under a lease of before a restoration.
	restored     bool
	unknownUntil time.Duration
}

// observe handles the store's epoch. A process that starts in a later one than the first doesn't know when the last restoration was.
func (h *history) observe(now time.Duration, epoch int64, leaseTTL time.Duration) {
	if h.known && epoch <= h.epoch {
		return
	}
	h.restored = h.known
	if epoch > 0 {
		h.unknownUntil = now + leaseTTL
	}
	for name, until := range h.heldUntil {
		if h.restored && until > now-leaseTTL {
			h.heldUntil[name] = now + leaseTTL
		}
	}
	h.epoch, h.known = epoch, true
}

// ended records that a leader's record is gone, or that there is a later one.
func (h *history) ended(now time.Duration, leader Leader) {
	maps.DeleteFunc(h.heldUntil, func(_ string, until time.Duration) bool { return until < now-retention })
	if h.heldUntil == nil {
		h.heldUntil = make(map[string]time.Duration)
	}
	until := now
	if sequencer.Epoch(leader.FencingToken) < h.epoch {
		until = max(until, h.unknownUntil)
	}
	h.heldUntil[leader.Name] = max(h.heldUntil[leader.Name], until)
}

// othersUntil returns until when hosts other than one may give orders, as far as is known; a time long ago if none has led.
func (h *history) othersUntil(name string) time.Duration {
	latest := -never
	for other, until := range h.heldUntil {
		if other != name {
			latest = max(latest, until)
		}
	}
	return latest
}

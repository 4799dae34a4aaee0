package tracker

import (
	"math/rand/v2"
	"time"

	"samphirewharf/internal/external/storer"
)

// The times of a daemon's lease.
const (
	LeaseTimeToLive    = 10 * time.Second
	LeaseRenewInterval = 3300 * time.Millisecond
	// leasePauseMargin covers pauses between a check of the lease and what the check allows.
	leasePauseMargin = 500 * time.Millisecond
	// leaseDriftShare is the part of the time to live by which clocks may drift.
	leaseDriftShare = 10
	// jitterShare is the part of an interval by which it is shortened or lengthened at most.
	jitterShare = 10
)

// A Lease is the daemon's own lease in the key-value service.
type Lease struct {
	random *rand.Rand
	// validUntil is counted from before the renewal was sent, less the margins.
	validUntil time.Duration
	renewAt    time.Duration
	epoch      int
}

// NewLease returns a lease that is not valid yet and due for renewal at once.
func NewLease(random *rand.Rand) *Lease { return &Lease{random: random} }

// Due reports whether a renewal is to be sent now, and plans the next one.
func (l *Lease) Due(now time.Duration) bool {
	if now < l.renewAt {
		return false
	}
	l.renewAt = now + jitter(l.random, LeaseRenewInterval)
	return true
}

// Epoch returns how many leases there were. Keys that were tied to an earlier one are gone.
func (l *Lease) Epoch() int { return l.epoch }

// NextRenewal returns when Due will report true.
func (l *Lease) NextRenewal() time.Duration { return l.renewAt }

// ApplyRenewal takes the answer to a renewal that was sent at a time. Lost tells that a new lease was made.
func (l *Lease) ApplyRenewal(sentAt time.Duration, result storer.Result, lost bool) {
	if result != storer.ResultOK {
		return
	}
	if lost || l.epoch == 0 {
		l.epoch++
	}
	until := sentAt + LeaseTimeToLive - LeaseTimeToLive/leaseDriftShare - leasePauseMargin
	l.validUntil = max(l.validUntil, until)
}

// Valid reports whether the lease certainly holds at a time.
func (l *Lease) Valid(now time.Duration) bool { return now < l.validUntil }

// jitter returns the interval, shortened or lengthened at random.
func jitter(random *rand.Rand, interval time.Duration) time.Duration {
	spread := int64(interval / jitterShare)
	return interval + time.Duration(random.Int64N(2*spread+1)-spread)
}

package tracker

import (
	"math/rand/v2"
	"time"

	"samphirewharf/internal/external/storer"
)

// The timing of a daemon's lease.
const (
	LeaseTTL           = 10 * time.Second
	LeaseRenewInterval = 3300 * time.Millisecond
	// leasePauseMargin covers a pause of the process between a check of the lease and the action that it permits.
	leasePauseMargin = 500 * time.Millisecond
	// leaseDriftDivisor gives the clock drift that is allowed for, as the TTL divided by it.
	leaseDriftDivisor = 10
	// jitterDivisor gives the largest jitter of an interval, as the interval divided by it.
	jitterDivisor = 10
)

// A Lease is the state of the daemon's own lease in the key-value service.
type Lease struct {
	random *rand.Rand
	// validUntil is counted from the time before the renewal was sent, and the margins are subtracted.
	validUntil time.Duration
	renewAt    time.Duration
	epoch      int
}

// NewLease returns a lease that is not valid yet. Its first renewal is due at once.
func NewLease(random *rand.Rand) *Lease { return &Lease{random: random} }

// Due reports whether a renewal must be sent now. If so, it schedules the next one.
func (l *Lease) Due(now time.Duration) bool {
	if now < l.renewAt {
		return false
	}
	l.renewAt = now + jitter(l.random, LeaseRenewInterval)
	return true
}

// Epoch returns the number of leases so far. Keys attached to an earlier lease are gone.
func (l *Lease) Epoch() int { return l.epoch }

// NextRenewal returns when the next renewal is due.
func (l *Lease) NextRenewal() time.Duration { return l.renewAt }

// ApplyRenewal applies the result of a renewal that was sent at sentAt. Lost reports whether a new lease was created.
func (l *Lease) ApplyRenewal(sentAt time.Duration, result storer.Result, lost bool) {
	if result != storer.ResultOK {
		return
	}
	if lost || l.epoch == 0 {
		l.epoch++
	}
	until := sentAt + LeaseTTL - LeaseTTL/leaseDriftDivisor - leasePauseMargin
	l.validUntil = max(l.validUntil, until)
}

// Valid reports whether the lease is certain to be valid at a time.
func (l *Lease) Valid(now time.Duration) bool { return now < l.validUntil }

// jitter returns the interval with random jitter.
func jitter(random *rand.Rand, interval time.Duration) time.Duration {
	spread := int64(interval / jitterDivisor)
	return interval + time.Duration(random.Int64N(2*spread+1)-spread)
}

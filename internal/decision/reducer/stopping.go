package reducer

import (
	"maps"
	"slices"
	"time"
)

// exitDelay is how long a stopping daemon without requests still answers late callers with a refusal after
// the drain time.
const exitDelay = 200 * time.Millisecond

// A stopState is the state of a planned stop.
type stopState struct {
	requested bool
	// drainUntil is until when new requests are accepted, so that the addresses that callers cache expire.
	drainUntil time.Duration
	// refusing reports whether new requests are refused.
	refusing bool
	// leaseRevoked reports whether the lease was revoked.
	leaseRevoked bool
	exitAt       time.Duration
}

// handleStopRequested starts a planned stop: look-ups no longer return this daemon, and other daemons become
// placer and owners in its place.
func (m *Machine) handleStopRequested() {
	if m.stop.requested {
		return
	}
	m.stop.requested = true
	drain := m.settings.DrainTime
	if m.catalog != nil {
		drain = max(drain, m.catalog.Configuration.Limits.AddressTimeToLive.D()+time.Second)
	}
	if drain == 0 {
		drain = defaultDrainTime
	}
	m.stop.drainUntil = m.now.Monotonic + drain
	m.emit(Noted{Message: "planned stop started", Subject: m.settings.Daemon, Detail: drain.String()})
	m.announceLeaving()
}

// claimsIdle reports whether all results have been written.
func (m *Machine) claimsIdle() bool {
	isBusy := func(c *cell) bool { return !c.claims.Idle() }
	return !slices.ContainsFunc(slices.Collect(maps.Values(m.cells)), isBusy) && !slices.ContainsFunc(slices.Collect(maps.Values(m.retiredCells)), isBusy)
}

// tickStop ends the process when cached addresses have expired and all requests have their answer.
func (m *Machine) tickStop() {
	if !m.stop.requested || m.now.Monotonic < m.stop.drainUntil {
		return
	}
	m.stop.refusing = true
	if len(m.requests) > 0 || !m.claimsIdle() {
		return
	}
	if !m.stop.leaseRevoked {
		m.stop.leaseRevoked = true
		m.stop.exitAt = m.now.Monotonic + exitDelay
		m.emit(LeaseRevoke{})
		return
	}
	if m.now.Monotonic >= m.stop.exitAt {
		m.emit(Exit{})
	}
}

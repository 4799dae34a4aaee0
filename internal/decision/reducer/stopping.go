package reducer

import "time"

// closeGrace is how long after the drain time a stopping daemon with nothing in hand still answers
// late callers plainly.
const exitDelay = 200 * time.Millisecond

// stopState is the state of a planned stop.
type stopState struct {
	requested bool
	// drainUntil is until when new requests are taken, so that callers' kept addresses expire.
	drainUntil time.Duration
	// closed tells that new requests are refused.
	refusing bool
	// revoked tells that the lease was given up.
	leaseRevoked bool
	exitAt       time.Duration
}

// handleStopRequested starts a planned stop: no look-up names the daemon any more, and its roles go to others.
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
	m.stop.drainUntil = m.now.Since + drain
	m.emit(Noted{Message: "planned stop started", Subject: m.settings.Daemon, Detail: drain.String()})
	m.announceLeaving()
}

// claimsIdle reports whether every result has been written.
func (m *Machine) claimsIdle() bool {
	for _, c := range m.cells {
		if !c.claims.Idle() {
			return false
		}
	}
	return true
}

// tickStop ends the process once kept addresses have expired and every request has its answer.
func (m *Machine) tickStop() {
	if !m.stop.requested || m.now.Since < m.stop.drainUntil {
		return
	}
	m.stop.refusing = true
	if len(m.requests) > 0 || !m.claimsIdle() {
		return
	}
	if !m.stop.leaseRevoked {
		m.stop.leaseRevoked = true
		m.stop.exitAt = m.now.Since + exitDelay
		m.emit(LeaseRevoke{})
		return
	}
	if m.now.Since >= m.stop.exitAt {
		m.emit(Exit{})
	}
}

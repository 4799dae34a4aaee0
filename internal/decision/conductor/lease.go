package conductor

import "time"

// A leaseState is the state of the daemon's lease in the store. The daemon's records are written under it.
type leaseState struct {
	// validUntil is a lower bound of the lease's expiry at the store, less a margin.
	validUntil time.Duration
	renewAt    time.Duration
	renewing   bool
	// registered reports whether the daemon's record is written, registering whether a write is in progress.
	registered  bool
	registering bool
	// wasRegistered reports whether this process has been registered before.
	wasRegistered bool
	// outdated reports whether the record has changed while it was being written.
	outdated bool
	// registerAt is when the record may be written again after a failure.
	registerAt time.Duration
	// revoked reports whether the lease has been revoked for good.
	revoked bool
}

func (l *leaseState) valid(now time.Duration) bool { return now < l.validUntil }

func (l *leaseState) nextAt() time.Duration {
	if l.renewing || l.revoked {
		return never
	}
	return l.renewAt
}

// never is later than any time.
const never = time.Duration(1<<63 - 1)

func (m *Machine) tickLease() {
	l := &m.lease
	if l.revoked {
		return
	}
	if !l.renewing && m.now >= l.renewAt {
		l.renewing = true
		m.emit(RenewLease{TTL: m.settings.LeaseTTL})
	}
	if l.valid(m.now) && !l.registered && !l.registering && m.now >= l.registerAt && m.configuration != nil && m.serversLoaded && !m.stop.Requested() {
		l.registering = true
		m.emit(Register{Daemon: m.settings.Self})
	}
}

func (m *Machine) leaseRenewed(e LeaseRenewed) {
	l := &m.lease
	l.renewing = false
	if !e.OK {
		l.renewAt = m.now + leaseRetryDelay
		return
	}
	l.validUntil = e.SentAt + m.settings.LeaseTTL - leaseMargin
	l.renewAt = e.SentAt + m.settings.LeaseTTL/renewalsPerLease
	if e.Lost {
		l.registered = false
		m.leaseLost()
	}
}

func (m *Machine) registerEnded(e RegisterEnded) {
	l := &m.lease
	l.registering = false
	l.registered = e.OK && !l.outdated
	l.wasRegistered = l.wasRegistered || e.OK
	l.outdated = false
	if e.OK {
		m.emit(LogStateChange{Subject: "Daemon " + m.settings.Self.Name, Change: "Registered"})
		return
	}
	l.registerAt = m.now + leaseRetryDelay
}

package conductor

import (
	"slices"

	"samphirewharf/internal/decision/reducer"
)

// A daemon without links to the servers passes requests on to daemons that have them, which serve them like their own callers'
// requests and pass the answers back.

// mustDelegate reports whether a request is better served by another daemon: this one has no link, or failed to connect to several
// servers, which may show that before it is certain.
func (m *Machine) mustDelegate(r *request) bool {
	return !r.Delegated && (m.link.down || r.connectFailures >= delegatingFailures)
}

// delegate passes a request on to another daemon. It returns false if there is none.
func (m *Machine) delegate(r *request) bool {
	peer, ok := m.delegateFor(r)
	if !ok {
		return false
	}
	// The other daemon counts the request in its workspace's quota.
	m.returnTokens(r)
	r.attempt++
	r.state = stateRunning
	r.peer = peer.Name
	r.triedPeers = append(r.triedPeers, peer.Name)
	r.sentAt = m.now
	m.setTimer(r, r.deadline)
	m.logDecision(r, LogDecision{Action: "Delegate", Reason: m.delegationReason(), Server: peer.Name, Routine: r.attempt == 1})
	m.emit(Send{
		Request: r.Request, Attempt: r.attempt, Server: peer.Name, Address: peer.CallerAddress, ToDaemon: true,
		Timeout: r.deadline - m.now, RemainingTime: r.TimeLimit - (m.now - r.arrivedAt), Priority: -1, ConnectTimeout: m.connectTimeout(r), NewConnection: !r.Route.Repeatable(),
		Origin: Origin{SoftwareVersion: r.softwareVersion, Known: r.pinned},
	})
	return true
}

func (m *Machine) delegationReason() string {
	if m.link.down {
		return "LinkDown"
	}
	return "Connect"
}

// delegateFor returns a daemon that has links, as far as is known, one in this daemon's zone if most of those there have.
func (m *Machine) delegateFor(r *request) (Daemon, bool) {
	if len(r.triedPeers) >= maxDelegations {
		return Daemon{}, false
	}
	var local, all []Daemon
	linked, unlinked := 0, 0
	for _, name := range m.daemonNames() {
		d := m.daemons[name]
		if d.Zone == m.settings.Self.Zone {
			linked, unlinked = linked+boolToInt(!d.LinkDown), unlinked+boolToInt(d.LinkDown)
		}
		if name == m.settings.Self.Name || d.LinkDown || d.Stopping || d.CallerAddress == "" || slices.Contains(r.triedPeers, name) {
			continue
		}
		all = append(all, d)
		if d.Zone == m.settings.Self.Zone {
			local = append(local, d)
		}
	}
	if len(local) > 0 && linked > unlinked {
		all = local
	}
	if len(all) == 0 {
		return Daemon{}, false
	}
	return all[m.rng.IntN(len(all))], true
}

// delegationEnded decides how a request continues after another daemon had it.
func (m *Machine) delegationEnded(r *request, e AttemptEnded) {
	peer := r.peer
	r.peer = ""
	switch e.Outcome {
	case reducer.AttemptNotSent, reducer.AttemptNotRun:
		m.logDecision(r, LogDecision{Action: "Failed", Reason: e.Cause.String(), Server: peer})
		m.route(r)
	case reducer.AttemptFailed:
		r.runs++
		m.logDecision(r, LogDecision{Action: "Failed", Reason: e.Cause.String(), Server: peer, Status: e.Status, Detail: e.Detail})
		m.attemptFailed(r)
	default:
		m.handleOutcome(r, nil, e)
	}
}

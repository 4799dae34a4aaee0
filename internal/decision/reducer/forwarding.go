package reducer

import (
	"time"

	"samphirewharf/internal/caller/refuser"
	"samphirewharf/internal/decision/tracker"
)

// forwardMargin is how much earlier the deadline of a forwarded request is at the other daemon.
const forwardMargin = 50 * time.Millisecond

// suspectForwardDelay is how long a suspect that another daemon has refused waits before it is forwarded again. Daemons differ for a
// moment on which of them runs the suspects of a server, after one has joined or ended.
const suspectForwardDelay = 250 * time.Millisecond

// forwardToCell forwards a request to a daemon that serves its cell, over one hop at most.
func (m *Machine) forwardToCell(r *request) {
	if r.arrival.ForwardedBy != "" {
		m.refuse(r, refuser.CodeForwardFailed, refuser.NotRun, time.Second, "daemon does not serve "+r.service.Name)
		return
	}
	daemons := m.cellMembers(r.service.Name)
	candidates := daemons[:0:0]
	for _, d := range daemons {
		if d.ID != r.avoid && !d.Leaving && d.Zone == m.settings.Zone {
			candidates = append(candidates, d)
		}
	}
	if len(candidates) == 0 {
		for _, d := range daemons {
			if d.ID != r.avoid && !d.Leaving {
				candidates = append(candidates, d)
			}
		}
	}
	if len(candidates) == 0 {
		m.refuse(r, refuser.CodeForwardFailed, r.ran(), time.Second, "no daemon serves "+r.service.Name)
		return
	}
	m.forward(r, candidates[m.rng.IntN(len(candidates))], "cell is served by another daemon")
}

func (m *Machine) forward(r *request, to tracker.Daemon, reason string) {
	r.attempt++
	r.state = stateForwarded
	r.avoid = to.ID
	m.emit(Forward{
		Request: r.id,
		Attempt: r.attempt,
		Daemon:  to.ID,
		Address: to.Address,
		Timeout: forwardTimeout(r.deadline - m.now.Monotonic),
		Reason:  reason,
	})
}

// forwardTimeout returns the time limit for the other daemon. It is shorter than the remaining time, so that
// the other daemon's refusal, which says whether the request ran, arrives before this daemon's own deadline.
func forwardTimeout(remaining time.Duration) time.Duration {
	return max(remaining-forwardMargin, remaining/2)
}

// handleForwardEnded handles the end of a Forward. "Not run" is only passed on if nothing was sent or the
// other daemon reported it.
func (m *Machine) handleForwardEnded(r *request, e AttemptEnded) {
	switch e.Outcome {
	case AttemptDone:
		m.finish(r)
	case AttemptCancelled:
		m.finish(r)
	case AttemptRefused:
		m.handleForwardRefused(r, e)
	case AttemptNotSent, AttemptNotRun:
		m.retryForward(r)
	case AttemptFailed:
		r.mayHaveRun = true
		if !r.idempotent || r.answerStarted || !m.budget.Spend(m.now.Monotonic) {
			m.refuse(r, refuser.CodeForwardFailed, refuser.MayHaveRun, time.Second, "")
			return
		}
		m.retryForward(r)
	}
}

func (m *Machine) handleForwardRefused(r *request, e AttemptEnded) {
	refusal := e.Refusal
	if refusal.Ran != refuser.NotRun {
		r.mayHaveRun = true
	}
	retryable := refusal.Code == refuser.CodeDaemonStopping || refusal.Code == refuser.CodeForwardFailed ||
		refusal.Code == refuser.CodeNoConfiguration
	if retryable && refusal.Ran == refuser.NotRun && r.attempt < maxAttempts {
		r.forwardAt = m.now.Monotonic + suspectForwardDelay
		m.retryForward(r)
		return
	}
	if r.mayHaveRun && refusal.Ran == refuser.NotRun {
		refusal.Ran = refuser.MayHaveRun
	}
	m.emit(Refuse{Request: r.id, Refusal: refusal})
	m.finish(r)
}

// retryForward retries a request that the last daemon did not run.
func (m *Machine) retryForward(r *request) {
	if r.attempt >= maxAttempts {
		m.refuse(r, refuser.CodeForwardFailed, r.ran(), time.Second, "")
		return
	}
	switch {
	case m.cells[r.service.Name] == nil:
		m.forwardToCell(r)
	case !r.arrival.Plain:
		m.admitModel(r)
	case m.needsClaim(r):
		m.claimLocally(r)
	default:
		m.admitPlain(r)
	}
}

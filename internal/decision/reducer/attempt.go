package reducer

import (
	"time"

	"samphirewharf/internal/caller/refuser"
	"samphirewharf/internal/decision/claimer"
)

// attemptStarted notes that the caller has the start of its answer.
func (m *Machine) attemptStarted(e AttemptStarted) {
	r, ok := m.requests[e.Request]
	if !ok || r.attempt != e.Attempt {
		return
	}
	r.started = true
	r.mayHaveRun = true
}

// attemptEnded takes the end of a Dispatch or Forward.
func (m *Machine) attemptEnded(e AttemptEnded) {
	r, ok := m.requests[e.Request]
	if !ok || r.attempt != e.Attempt {
		return
	}
	r.tokens = max(r.tokens, e.Tokens)
	switch r.state {
	case stateForwarded:
		m.forwardEnded(r, e)
	case stateRunning:
		m.dispatchEnded(r, e)
	case stateAnswered:
		m.abandonedEnded(r, e)
	case stateQueued, stateClaiming, stateRepeated, stateVerifying:
	}
}

// abandonedEnded takes the end of an attempt whose caller has had its answer or left.
func (m *Machine) abandonedEnded(r *request, e AttemptEnded) {
	m.settleServer(r, e)
	m.settleClaim(r, e)
	q := r.queue
	m.release(r)
	m.finish(r)
	if q != nil {
		m.pump(q)
	}
}

func (m *Machine) dispatchEnded(r *request, e AttemptEnded) {
	q := r.queue
	server := r.server.Host.Server
	m.settleServer(r, e)
	if e.Outcome == AttemptNotRun && r.replica != nil {
		r.replica.Refused = true
		m.pollNow(server)
	}
	m.release(r)
	switch e.Outcome {
	case AttemptDone:
		q.observeService(m.now.Since - r.sentAt)
		m.budget.RecordSuccess()
		m.settleClaim(r, e)
		m.finish(r)
	case AttemptNotSent, AttemptNotRun:
		r.avoid = server
		m.retryUnrun(r, e)
	case AttemptCancelled:
		m.settleClaim(r, e)
		m.finish(r)
	case AttemptFailed, AttemptRefused:
		r.avoid = server
		r.mayHaveRun = true
		m.attemptFailed(r, e, server)
	}
	m.pump(q)
}

// settleServer tells the isolator how the request left its server. A broken connection is settled
// once it is known whether the server died.
func (m *Machine) settleServer(r *request, e AttemptEnded) {
	if r.server == nil || e.ServerDied {
		return
	}
	server := r.server.Host.Server
	m.isolator.Finished(server, r.hash, e.Outcome == AttemptDone)
	if e.Outcome == AttemptNotSent && m.fleet.RecordPollFailure(server) {
		m.serverDied(server)
	}
}

// settleClaim tells the claimer the outcome of a granted request.
func (m *Machine) settleClaim(r *request, e AttemptEnded) {
	if !r.claimed {
		return
	}
	r.claimed = false
	c := m.cells[r.service.Name]
	if c == nil {
		return
	}
	if e.Outcome == AttemptDone {
		result := claimer.Result{
			Status: e.Status, ContentType: e.ContentType, Body: e.Answer, TooLarge: e.Answer == nil,
		}
		m.applyClaims(c, c.claims.Complete(m.claimMoment(), uint64(r.id), result))
	} else {
		m.applyClaims(c, c.claims.Fail(m.claimMoment(), uint64(r.id)))
	}
	m.wakeRepeats(c, r.arrived.Key)
}

// retryUnrun tries another server for a request that provably did not run.
func (m *Machine) retryUnrun(r *request, e AttemptEnded) {
	if r.attempt >= maxAttempts {
		m.refuse(r, refuser.CodeServerRefused, r.ran(), max(time.Second, e.RetryAfter), r.queue.name)
		return
	}
	if m.route(r) {
		return
	}
	m.enqueue(r)
}

// attemptFailed retries, resumes or refuses a request that may have run.
func (m *Machine) attemptFailed(r *request, e AttemptEnded, server string) {
	if r.claimed {
		m.settleClaim(r, e)
		m.refuse(r, refuser.CodeOutcomeUnknown, refuser.MayHaveRun, 0, "")
		if e.ServerDied {
			m.verifyServer(server)
		}
		return
	}
	if e.ServerDied {
		m.verify(r, server)
		return
	}
	m.retryFailed(r)
}

// retryFailed retries an idempotent request within the retry budget, or refuses it.
func (m *Machine) retryFailed(r *request) {
	broken := refuser.CodeServerFailed
	if r.started {
		broken = refuser.CodeStreamBroken
	}
	switch {
	case m.isolator.Poisonous(r.hash, m.now.Since):
		m.refuse(r, refuser.CodePoisonRequest, refuser.MayHaveRun, 0, "")
	case !r.idempotent || r.attempt >= maxAttempts || (r.started && !r.arrived.Stream):
		m.refuse(r, broken, refuser.MayHaveRun, m.retryAfter(r), r.queue.name)
	case !m.budget.Spend(m.now.Since):
		m.refuse(r, refuser.CodeRetryBudgetSpent, refuser.MayHaveRun, m.retryAfter(r), r.queue.name)
	case m.route(r):
	default:
		m.enqueue(r)
	}
}

// callerLeft gives up a request whose caller closed its connection. A request that must not be
// repeated goes on, so that its result is recorded.
func (m *Machine) callerLeft(e CallerLeft) {
	r, ok := m.requests[e.Request]
	if !ok {
		return
	}
	switch r.state {
	case stateQueued:
		r.queue.remove(r)
		m.finish(r)
	case stateClaiming:
		m.releaseClaim(r)
		m.finish(r)
	case stateRunning:
		if r.claimed {
			return
		}
		m.emit(Cancel{Request: r.id, Attempt: r.attempt})
		r.state = stateAnswered
		m.unwakeRequest(r)
	case stateForwarded:
		m.emit(Cancel{Request: r.id, Attempt: r.attempt})
		r.state = stateAnswered
		m.unwakeRequest(r)
	case stateVerifying, stateRepeated:
		m.finish(r)
	case stateAnswered:
	}
}

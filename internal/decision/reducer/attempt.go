package reducer

import (
	"time"

	"samphirewharf/internal/caller/refuser"
	"samphirewharf/internal/decision/claimer"
)

// handleAttemptStarted records that the caller has received the start of its answer.
func (m *Machine) handleAttemptStarted(e AttemptStarted) {
	r, ok := m.requests[e.Request]
	if !ok || r.attempt != e.Attempt {
		return
	}
	r.answerStarted = true
	r.mayHaveRun = true
}

// handleAttemptEnded handles the end of a Dispatch or Forward.
func (m *Machine) handleAttemptEnded(e AttemptEnded) {
	r, ok := m.requests[e.Request]
	if !ok || r.attempt != e.Attempt {
		return
	}
	r.tokens = max(r.tokens, e.Tokens)
	switch r.state {
	case stateForwarded:
		m.handleForwardEnded(r, e)
	case stateRunning:
		m.handleDispatchEnded(r, e)
	case stateAnswered:
		m.handleAbandonedEnded(r, e)
	case stateQueued, stateClaiming, stateAwaitingFirst, stateVerifying:
	}
}

// handleAbandonedEnded handles the end of an attempt whose caller already has its answer or has disconnected.
func (m *Machine) handleAbandonedEnded(r *request, e AttemptEnded) {
	m.recordServerOutcome(r, e)
	m.recordClaimOutcome(r, e)
	q := r.queue
	m.releaseSlot(r)
	m.finish(r)
	if q != nil {
		m.dispatchQueue(q)
	}
}

func (m *Machine) handleDispatchEnded(r *request, e AttemptEnded) {
	q := r.queue
	server := r.server.Host.Server
	m.recordServerOutcome(r, e)
	if e.Outcome == AttemptNotRun && r.replica != nil {
		r.replica.Refused = true
		m.pollNow(server)
	}
	m.releaseSlot(r)
	switch e.Outcome {
	case AttemptDone:
		q.observeServiceTime(m.now.Monotonic - r.sentAt)
		m.budget.RecordSuccess()
		m.recordClaimOutcome(r, e)
		m.finish(r)
	case AttemptNotSent, AttemptNotRun:
		r.avoid = server
		m.retryNotRun(r, e)
	case AttemptCancelled:
		m.recordClaimOutcome(r, e)
		m.finish(r)
	case AttemptFailed, AttemptRefused:
		r.avoid = server
		r.mayHaveRun = true
		m.handleAttemptFailed(r, e, server)
	}
	m.dispatchQueue(q)
}

// recordServerOutcome reports to the isolator how the request ended at its server. A broken connection is
// reported later, once it is known whether the server died.
func (m *Machine) recordServerOutcome(r *request, e AttemptEnded) {
	if r.server == nil || e.ServerDied {
		return
	}
	server := r.server.Host.Server
	m.isolator.Finished(server, r.hash, e.Outcome == AttemptDone)
	if e.Outcome == AttemptNotSent && m.fleet.RecordPollFailure(server) {
		m.handleServerDied(server)
	}
}

// recordClaimOutcome reports the outcome of a request that was granted its claim to the claimer.
func (m *Machine) recordClaimOutcome(r *request, e AttemptEnded) {
	if !r.claimed {
		return
	}
	r.claimed = false
	c := m.cellOf(r.service.Name)
	if c == nil {
		return
	}
	if e.Outcome == AttemptDone {
		result := claimer.Result{
			Status: e.Status, ContentType: e.ContentType, Body: e.Answer, TooLarge: e.Answer == nil,
		}
		m.applyClaimActions(c, c.claims.Complete(m.claimTime(), uint64(r.id), result))
	} else {
		m.applyClaimActions(c, c.claims.Fail(m.claimTime(), uint64(r.id)))
	}
	m.retryRepeats(c, r.arrival.Key)
}

// retryNotRun retries a request that provably did not run, preferably at another server.
func (m *Machine) retryNotRun(r *request, e AttemptEnded) {
	if r.attempt >= maxAttempts {
		m.refuse(r, refuser.CodeServerRefused, r.ran(), max(time.Second, e.RetryAfter), r.queue.name)
		return
	}
	if m.route(r) {
		return
	}
	m.enqueue(r)
}

// handleAttemptFailed retries, resumes or refuses a request that may have run.
func (m *Machine) handleAttemptFailed(r *request, e AttemptEnded, server string) {
	if r.claimed {
		m.recordClaimOutcome(r, e)
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
	code := refuser.CodeServerFailed
	if r.answerStarted {
		code = refuser.CodeStreamBroken
	}
	switch {
	case m.isolator.Poisonous(r.hash, m.now.Monotonic):
		m.refuse(r, refuser.CodePoisonRequest, refuser.MayHaveRun, 0, "")
	case !r.idempotent || r.attempt >= maxAttempts || (r.answerStarted && !r.arrival.Stream):
		m.refuse(r, code, refuser.MayHaveRun, m.retryAfter(r), r.queue.name)
	case !m.budget.Spend(m.now.Monotonic):
		m.refuse(r, refuser.CodeRetryBudgetSpent, refuser.MayHaveRun, m.retryAfter(r), r.queue.name)
	case m.route(r):
	default:
		m.enqueue(r)
	}
}

// handleCallerLeft drops a request whose caller closed its connection. A request that must not be repeated
// goes on, so that its result is recorded.
func (m *Machine) handleCallerLeft(e CallerLeft) {
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
		m.clearTimer(r)
	case stateForwarded:
		m.emit(Cancel{Request: r.id, Attempt: r.attempt})
		r.state = stateAnswered
		m.clearTimer(r)
	case stateVerifying, stateAwaitingFirst:
		m.finish(r)
	case stateAnswered:
	}
}

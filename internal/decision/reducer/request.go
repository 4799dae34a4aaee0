package reducer

import (
	"time"

	"samphirewharf/internal/caller/refuser"
	"samphirewharf/internal/config/cataloger"
	"samphirewharf/internal/decision/observer"
	"samphirewharf/internal/decision/waker"
)

// A requestState tells what a request waits for.
type requestState uint8

const (
	// stateQueued: the request waits for a replica or server.
	stateQueued requestState = iota
	// stateClaiming: the request waits for its claim.
	stateClaiming
	// stateRepeated: the request waits for the end of another with its idempotency key.
	stateAwaitingFirst
	// stateRunning: a backend server runs the request.
	stateRunning
	// stateForwarded: another daemon has the request.
	stateForwarded
	// stateVerifying: the request waits to learn whether its server died.
	stateVerifying
	// stateAnswered: the caller has its final answer or is gone; the attempt's end is awaited.
	stateAnswered
)

// A request is one caller's request at this daemon.
type request struct {
	id        RequestID
	arrival   RequestArrived
	arrivedAt time.Duration
	// deadline is when the caller must have its answer, or the start of it for a stream.
	deadline time.Duration
	service  *cataloger.Service
	target   cataloger.Target
	// queue is the deployment or plain service that the request waits for.
	queue *requestQueue
	state requestState
	// hash identifies the request among repeats by its caller.
	hash uint64
	// idempotent tells that the request may run more than once.
	idempotent bool
	// claimed tells that the request was granted its claim and has to tell the claimer its result.
	claimed bool

	attempt int
	server  *observer.Server
	replica *observer.Replica
	// engine is the engine process that was known when the request was sent.
	engineInstance string
	sentAt         time.Duration
	// mayHaveRun tells that a byte was sent to a server that did not say that it did not run it.
	mayHaveRun bool
	// started tells that the caller has had the start of an answer.
	answerStarted bool
	tokens        int
	// avoid is the server of the last failed attempt.
	avoid string

	// alarm is when the request is looked at next.
	timer waker.Timer[*request]
}

func (r *request) adapter() string {
	if r.target.Adapter == nil {
		return ""
	}
	return r.target.Adapter.Name
}

func (r *request) ran() refuser.Ran {
	if r.mayHaveRun {
		return refuser.MayHaveRun
	}
	return refuser.NotRun
}

// setTimer sets when the request is looked at next.
func (m *Machine) setTimer(r *request, at time.Duration) { m.deadlines.Set(&r.timer, at) }

func (m *Machine) clearTimer(r *request) { m.deadlines.Remove(&r.timer) }

// expireRequests looks at the requests that are due.
func (m *Machine) expireRequests() {
	for r, ok := m.deadlines.PopDue(m.now.Since); ok; r, ok = m.deadlines.PopDue(m.now.Since) {
		if r.state == stateVerifying && m.now.Since < r.deadline {
			m.handleVerifyTimeout(r)
			continue
		}
		m.expire(r)
	}
}

// expire gives a request up at its deadline.
func (m *Machine) expire(r *request) {
	switch r.state {
	case stateQueued:
		r.queue.remove(r)
		m.refuse(r, refuser.CodeDeadlineExpired, r.ran(), m.retryAfter(r), "")
	case stateVerifying:
		m.refuse(r, refuser.CodeDeadlineExpired, refuser.MayHaveRun, m.retryAfter(r), "")
	case stateAwaitingFirst:
		m.refuse(r, refuser.CodeAlreadyInProgress, refuser.MayHaveRun, time.Second, "")
	case stateClaiming:
		// The claimer denies its requests at their deadline.
		m.setTimer(r, m.now.Since+time.Second)
	case stateRunning, stateForwarded:
		if r.answerStarted && r.arrival.Stream {
			return
		}
		m.emit(Cancel{Request: r.id, Attempt: r.attempt})
		m.refuseRunning(r, refuser.CodeDeadlineExpired, refuser.MayHaveRun, m.retryAfter(r), "")
	case stateAnswered:
	}
}

// refuse gives a request its final answer and forgets it.
func (m *Machine) refuse(r *request, code refuser.Code, ran refuser.Ran, after time.Duration, detail string) {
	m.emit(Refuse{Request: r.id, Refusal: refuser.Refusal{Code: code, Ran: ran, RetryAfter: after, Detail: detail}})
	m.finish(r)
}

// refuseRunning gives a request its final answer while its attempt still has to end.
func (m *Machine) refuseRunning(r *request, code refuser.Code, ran refuser.Ran, after time.Duration, detail string) {
	m.emit(Refuse{Request: r.id, Refusal: refuser.Refusal{Code: code, Ran: ran, RetryAfter: after, Detail: detail}})
	r.state = stateAnswered
	m.clearTimer(r)
}

// finish forgets a request. A claim that was granted and not settled is released if the request
// provably did not run, and else stays as one whose outcome is unknown.
func (m *Machine) finish(r *request) {
	if r.claimed && !r.mayHaveRun {
		m.releaseClaim(r)
	}
	m.recordClaimOutcome(r, AttemptEnded{Outcome: AttemptFailed})
	m.clearTimer(r)
	r.state = stateAnswered
	delete(m.requests, r.id)
}

// retryAfter returns when a repeat of the request is worth sending.
func (m *Machine) retryAfter(r *request) time.Duration {
	if r.queue == nil {
		return time.Second
	}
	return m.queueRetryAfter(r.queue)
}

package reducer

import (
	"time"

	"samphirewharf/internal/caller/refuser"
	"samphirewharf/internal/config/cataloger"
	"samphirewharf/internal/decision/observer"
	"samphirewharf/internal/decision/waker"
)

// A requestState is what a request waits for.
type requestState uint8

const (
	// stateQueued means that the request waits for a replica or server.
	stateQueued requestState = iota
	// stateClaiming means that the request waits for its claim.
	stateClaiming
	// stateAwaitingFirst means that the request waits for the end of another one with its idempotency key.
	stateAwaitingFirst
	// stateRunning means that a backend server runs the request.
	stateRunning
	// stateForwarded means that the request was forwarded to another daemon.
	stateForwarded
	// stateVerifying means that the request waits to learn whether its server died.
	stateVerifying
	// stateAnswered means that the caller has its final answer or has disconnected, and only the end of the
	// attempt is awaited.
	stateAnswered
)

// A request is one caller's request at this daemon.
type request struct {
	id        RequestID
	arrival   RequestArrived
	arrivedAt time.Duration
	// deadline is when the caller must have its answer, or the start of a streamed one.
	deadline time.Duration
	service  *cataloger.Service
	target   cataloger.Target
	// queue is the deployment or plain service that the request waits for.
	queue *requestQueue
	state requestState
	// hash is a hash of the target and the body. Repeats of the request have the same one.
	hash uint64
	// idempotent reports whether the request may run more than once.
	idempotent bool
	// claimed reports whether the request was granted its claim and its outcome must be reported to the
	// claimer.
	claimed bool

	attempt int
	server  *observer.Server
	replica *observer.Replica
	// engineInstance is the server's engine process when the request was sent.
	engineInstance string
	sentAt         time.Duration
	// mayHaveRun reports whether a byte was sent to a server that did not confirm that the request did not
	// run.
	mayHaveRun bool
	// answerStarted reports whether the caller has received the start of an answer.
	answerStarted bool
	tokens        int
	// avoid is the server or daemon of the last failed attempt.
	avoid string
	// forwardAt is when a suspect that another daemon has refused may be forwarded again, zero before.
	forwardAt time.Duration

	// timer is when the request is checked next.
	timer waker.Timer[*request]
}

func (r *request) adapter() string {
	if r.target.Adapter == nil {
		return ""
	}
	return r.target.Adapter.Name
}

func (r *request) ran() refuser.RunState {
	if r.mayHaveRun {
		return refuser.MayHaveRun
	}
	return refuser.NotRun
}

// setTimer sets when the request is checked next.
func (m *Machine) setTimer(r *request, at time.Duration) { m.timers.Set(&r.timer, at) }

func (m *Machine) clearTimer(r *request) { m.timers.Remove(&r.timer) }

// expireRequests handles the requests whose timer is due.
func (m *Machine) expireRequests() {
	for r, ok := m.timers.PopDue(m.now.Monotonic); ok; r, ok = m.timers.PopDue(m.now.Monotonic) {
		if r.state == stateVerifying && m.now.Monotonic < r.deadline {
			m.handleVerifyTimeout(r)
			continue
		}
		if r.state == stateQueued && m.now.Monotonic < r.deadline {
			m.setTimer(r, r.deadline)
			m.dispatchQueue(r.queue)
			continue
		}
		m.expire(r)
	}
}

// expire handles a request at its deadline.
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
		m.setTimer(r, m.now.Monotonic+time.Second)
	case stateRunning, stateForwarded:
		if r.answerStarted && r.arrival.Stream {
			return
		}
		m.emit(Cancel{Request: r.id, Attempt: r.attempt})
		m.refuseRunning(r, refuser.CodeDeadlineExpired, refuser.MayHaveRun, m.retryAfter(r), "")
	case stateAnswered:
	}
}

// refuse refuses a request and removes it.
func (m *Machine) refuse(r *request, code refuser.Code, ran refuser.RunState, after time.Duration, detail string) {
	m.emit(Refuse{Request: r.id, Refusal: refuser.Refusal{Code: code, Ran: ran, RetryAfter: after, Detail: detail}})
	m.finish(r)
}

// refuseRunning refuses a request whose attempt has not ended yet.
func (m *Machine) refuseRunning(r *request, code refuser.Code, ran refuser.RunState, after time.Duration, detail string) {
	m.emit(Refuse{Request: r.id, Refusal: refuser.Refusal{Code: code, Ran: ran, RetryAfter: after, Detail: detail}})
	r.state = stateAnswered
	m.clearTimer(r)
}

// finish removes a request. A claim without a reported outcome is released if the request provably did not
// run; otherwise its outcome stays unknown.
func (m *Machine) finish(r *request) {
	if r.claimed && !r.mayHaveRun {
		m.releaseClaim(r)
	}
	m.recordClaimOutcome(r, AttemptEnded{Outcome: AttemptFailed})
	m.clearTimer(r)
	r.state = stateAnswered
	delete(m.requests, r.id)
}

// retryAfter returns the delay after which a retry of the request is worthwhile.
func (m *Machine) retryAfter(r *request) time.Duration {
	if r.queue == nil {
		return time.Second
	}
	return m.queueRetryAfter(r.queue)
}

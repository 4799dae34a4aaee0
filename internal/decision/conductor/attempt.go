package conductor

import (
	"time"

	"samphirewharf/internal/decision/reducer"
	"samphirewharf/internal/fleet/matcher"
)

func (m *Machine) attemptStarted(e AttemptStarted) {
	r := m.requestOf(e.Request)
	if r == nil || r.attempt != e.Attempt {
		return
	}
	r.answerStarted = true
	m.recordFirst(r)
	if r.server != nil {
		r.server.answeredSentAt = max(r.server.answeredSentAt, r.sentAt)
		m.serverAlive(r.server, m.now)
	}
	m.streamStarted(r, e.Origin)
}

// attemptSilent has a request tried elsewhere if its server may have failed. One that has shown life since, but has answered none that
// was sent later, has the request in its queue. A busy one may be running other daemons' requests, so it is polled first.
func (m *Machine) attemptSilent(e AttemptSilent) {
	r := m.requestOf(e.Request)
	if r == nil || r.attempt != e.Attempt || r.answerStarted || r.server == nil || r.state != stateRunning {
		return
	}
	s := r.server
	overtaken := s.answeredSentAt > r.sentAt
	switch {
	case !overtaken && s.aliveAt > r.sentAt:
		return
	case !overtaken && s.load() >= busyLoad && r.needsModel() && r.polledAttempt != r.attempt:
		r.polledAttempt = r.attempt
		m.countSend(s)
		m.emit(PollServer{Server: s.entry.ID, Address: s.entry.Address})
		return
	}
	m.emit(Abandon{Request: r.Request, Attempt: r.attempt})
}

func (m *Machine) attemptEnded(e AttemptEnded) {
	r := m.requestOf(e.Request)
	if r == nil || r.attempt != e.Attempt {
		return
	}
	s := r.server
	m.recordPace(r, e.Pace)
	m.recordOutcome(r, s, e)
	m.detachServer(r)
	if r.state == stateAnswered {
		m.removeRequest(r)
		m.dispatchQueue(r.Service)
		return
	}
	m.clearTimer(r)
	r.state = stateQueued
	if r.peer != "" {
		m.delegationEnded(r, e)
	} else {
		m.handleOutcome(r, s, e)
	}
	m.dispatchQueue(r.Service)
}

// recordOutcome updates the server's state with the outcome of an attempt.
func (m *Machine) recordOutcome(r *request, s *server, e AttemptEnded) {
	if s == nil {
		return
	}
	if e.Cause != CauseBroken && e.Cause != CauseConnect && e.Cause != CauseLeaving {
		s.lastEnd = attemptEnd{at: m.now, outcome: e.Outcome, cause: e.Cause}
	}
	switch e.Outcome {
	case reducer.AttemptDone:
		m.recordAnswer(s, r.sentAt, e.Latency, e.Status >= 500)
		m.serverAlive(s, m.now)
		s.answeredSentAt = max(s.answeredSentAt, r.sentAt)
		m.recordEnd(r, s, e.Status < 300)
		return
	case reducer.AttemptCancelled:
		m.recordEnd(r, s, false)
		return
	case reducer.AttemptNotRun:
		m.serverAlive(s, m.now)
	}
	switch e.Cause {
	case CauseFull:
		m.rejected(s)
	case CauseAbsent:
		s.absentUntil[modelName(r.Model, r.Adapter)] = m.now + absentTTL
		m.reportAbsent(s, r)
	case CauseMisdirected:
		m.serverFailed(s, e.Cause, s.breaker.WithFailure(m.now))
		s.breaker = s.breaker.WithPause(m.now)
	case CauseBroken:
		m.serverFailed(s, e.Cause, s.breaker.WithFailure(m.now))
		m.recordBrokenConnection(r, s)
		m.doubtLink(s)
	case CauseConnect:
		m.serverFailed(s, e.Cause, s.breaker.WithFailure(m.now))
		m.serverUnreachable(s, e.TimedOut)
	case CauseInvalid:
		m.serverFailed(s, e.Cause, s.breaker.WithInvalid(m.now, r.sentAt))
		m.recordEnd(r, s, false)
	case CauseUnstated:
		// It has answered at once, as it may with any other error.
		m.recordAnswer(s, r.sentAt, e.Latency, true)
		m.serverAlive(s, m.now)
		s.answeredSentAt = max(s.answeredSentAt, r.sentAt)
		m.recordEnd(r, s, false)
	case CauseTimeout, CauseError:
		m.serverFailed(s, e.Cause, s.breaker.WithFailure(m.now))
		m.recordEnd(r, s, false)
		if e.Cause == CauseTimeout {
			m.doubtLink(s)
		}
	case CauseNone, CauseLeaving:
	}
}

// handleOutcome decides how a request continues after an attempt.
func (m *Machine) handleOutcome(r *request, s *server, e AttemptEnded) {
	r.buffered = r.buffered || e.Buffered
	server := ""
	if s != nil {
		server = s.entry.ID
	}
	switch e.Outcome {
	case reducer.AttemptDone:
		m.attemptDone(r, server, e)
	case reducer.AttemptNotSent:
		r.sends--
		if e.Cause != CauseLeaving {
			r.connectFailures++
		}
		m.logDecision(r, LogDecision{Action: "Failed", Reason: e.Cause.String(), Server: server})
		m.route(r)
	case reducer.AttemptNotRun:
		m.logDecision(r, LogDecision{Action: "Rejected", Reason: e.Cause.String(), Server: server, Status: e.Status})
		m.retryRejected(r)
	case reducer.AttemptCancelled:
		m.removeRequest(r)
	default:
		r.runs++
		d := LogDecision{Action: "Failed", Reason: e.Cause.String(), Server: server, Status: e.Status, Detail: e.Detail}
		if e.Cause == CauseBroken {
			d.Fingerprint, d.Parts = r.Fingerprint, r.Parts
		}
		m.logDecision(r, d)
		m.attemptFailed(r)
	}
}

// attemptDone completes a request after a whole answer, or handles a buffered error answer.
func (m *Machine) attemptDone(r *request, server string, e AttemptEnded) {
	if e.Buffered {
		r.runs++
		m.attemptFailed(r)
		return
	}
	m.streamEnded(r)
	first := m.firstLatency(r, e)
	slow := r.Route.LatencyObjective > 0 && first > r.Route.LatencyObjective
	m.logDecision(r, LogDecision{Action: "Answer", Server: server, Status: e.Status, FirstLatency: first, Routine: !slow && e.Status < 500})
	m.removeRequest(r)
}

// firstLatency returns the time from the request's arrival to its answer or first event.
func (m *Machine) firstLatency(r *request, e AttemptEnded) time.Duration {
	if r.Route.Kind == matcher.KindStream {
		return r.sentAt - r.arrivedAt + e.Latency
	}
	return m.now - r.arrivedAt
}

// retryRejected routes a request that a server refused to run to another server, within the retry budget.
func (m *Machine) retryRejected(r *request) {
	if !m.service(r.Service).budget.Spend(m.now, m.daemonCount()) {
		m.giveUp(r, RefusedBudget, m.retryAfter(r))
		return
	}
	m.route(r)
}

// attemptFailed retries a request that may have run, if it may run again, or else refuses it.
func (m *Machine) attemptFailed(r *request) {
	switch {
	case m.heldBack(r):
		m.giveUp(r, RefusedPoison, m.holdTime(r))
	case !r.mayRunAgain() || r.answerStarted && r.Route.Kind != matcher.KindStream:
		m.giveUp(r, RefusedBroken, 0)
	case !m.service(r.Service).budget.Spend(m.now, m.daemonCount()):
		m.giveUp(r, RefusedBudget, 0)
	default:
		m.route(r)
	}
}

// callerLeft cancels a request whose caller has closed its connection. An attempt that must not be repeated goes on,
// since cancelling it would leave its outcome unknown.
func (m *Machine) callerLeft(e CallerLeft) {
	r := m.requestOf(e.Request)
	if r == nil {
		return
	}
	m.logDecision(r, LogDecision{Action: "CallerLeft", Routine: true})
	switch r.state {
	case stateQueued:
		m.dequeue(r)
		m.returnTokens(r)
		m.removeRequest(r)
	case stateRunning:
		if r.Route.Kind != matcher.KindNonIdempotent {
			m.emit(Cancel{Request: r.Request, Attempt: r.attempt})
		}
		m.answered(r)
	case stateAsking:
		m.stopAsking(r)
		m.removeRequest(r)
	case stateMetered:
		m.stopMetering(r)
		m.removeRequest(r)
	case stateAnswered:
	}
}

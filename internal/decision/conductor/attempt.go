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
	r.started = true
}

func (m *Machine) attemptEnded(e AttemptEnded) {
	r := m.requestOf(e.Request)
	if r == nil || r.attempt != e.Attempt {
		return
	}
	s := r.server
	m.judge(r, s, e)
	m.leaveServer(r)
	if r.state == stateAnswered {
		m.forget(r)
		m.pump(r.Service)
		return
	}
	m.unwakeRequest(r)
	m.settle(r, s, e)
	m.pump(r.Service)
}

// judge takes what the attempt's end says of the server.
func (m *Machine) judge(r *request, s *server, e AttemptEnded) {
	if s == nil {
		return
	}
	switch e.Outcome {
	case reducer.AttemptDone:
		s.worked(e.Latency, e.Status >= 500)
		m.acquit(r)
		return
	case reducer.AttemptCancelled:
		return
	}
	switch e.Cause {
	case CauseFull:
		s.fullUntil = m.now + fullPause
	case CauseAbsent:
		s.absent[modelName(r.Model, r.Adapter)] = m.now + absentPause
		m.noteAbsent(s, r)
	case CauseMisdirected:
		m.serverFailed(s, e.Cause)
		s.avoidUntil = m.now + avoidMost
	case CauseBroken:
		m.serverFailed(s, e.Cause)
		m.suspect(r, s)
	case CauseConnect:
		m.serverFailed(s, e.Cause)
		m.serverDown(s)
		m.noteDown(s, r)
		m.crashed(s.entry.ID)
	case CauseSilent, CauseInvalid, CauseError:
		m.serverFailed(s, e.Cause)
	case CauseNone:
	}
}

// settle decides what becomes of a request whose attempt has ended.
func (m *Machine) settle(r *request, s *server, e AttemptEnded) {
	r.held = r.held || e.Buffered
	server := ""
	if s != nil {
		server = s.entry.ID
	}
	switch e.Outcome {
	case reducer.AttemptDone:
		m.done(r, server, e)
	case reducer.AttemptNotSent:
		r.sends--
		r.connects++
		m.decided(r, LogDecision{Action: "Failed", Reason: e.Cause.String(), Server: server})
		m.route(r)
	case reducer.AttemptNotRun:
		m.decided(r, LogDecision{Action: "Rejected", Reason: e.Cause.String(), Server: server, Status: e.Status})
		m.again(r)
	case reducer.AttemptCancelled:
		m.forget(r)
	default:
		r.runs++
		m.decided(r, LogDecision{Action: "Failed", Reason: e.Cause.String(), Server: server, Status: e.Status})
		m.attemptFailed(r)
	}
}

// done ends a request whose caller has the whole answer.
func (m *Machine) done(r *request, server string, e AttemptEnded) {
	if e.Buffered {
		r.runs++
		m.attemptFailed(r)
		return
	}
	first := m.firstTime(r, e)
	slow := r.Route.LatencyObjective > 0 && first > r.Route.LatencyObjective
	m.decided(r, LogDecision{Action: "Answer", Server: server, Status: e.Status, FirstLatency: first, Routine: !slow && e.Status < 500})
	m.forget(r)
}

// firstTime returns how long the caller waited for the answer or the first event.
func (m *Machine) firstTime(r *request, e AttemptEnded) time.Duration {
	if r.Route.Kind == matcher.KindStream {
		return r.sentAt - r.at + e.Latency
	}
	return m.now - r.at
}

// again sends a request that a server refused to run to another one, within the budget.
func (m *Machine) again(r *request) {
	if !m.pool(r.Service).budget.Spend(m.now, m.daemonCount()) {
		m.giveUp(r, RefusedBudget, m.retryAfter(r))
		return
	}
	m.route(r)
}

// attemptFailed repeats a request that may have run, if it may run again, or ends it.
func (m *Machine) attemptFailed(r *request) {
	switch {
	case m.convicted(r):
		m.giveUp(r, RefusedPoison, 0)
	case !r.mayRunAgain() || r.started && r.Route.Kind != matcher.KindStream:
		m.giveUp(r, RefusedBroken, 0)
	case !m.pool(r.Service).budget.Spend(m.now, m.daemonCount()):
		m.giveUp(r, RefusedBudget, 0)
	default:
		m.route(r)
	}
}

// callerLeft gives up a request whose caller closed its connection. A server goes on with one that must not be
// repeated, since breaking it off would leave its outcome open.
func (m *Machine) callerLeft(e CallerLeft) {
	r := m.requestOf(e.Request)
	if r == nil {
		return
	}
	m.decided(r, LogDecision{Action: "CallerLeft", Routine: true})
	switch r.state {
	case stateQueued:
		m.dequeue(r)
		m.forget(r)
	case stateRunning:
		if r.Route.Kind != matcher.KindNonIdempotent {
			m.emit(Cancel{Request: r.Request, Attempt: r.attempt})
		}
		m.answered(r)
	case stateAnswered:
	}
}

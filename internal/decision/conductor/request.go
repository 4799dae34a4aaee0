package conductor

import (
	"cmp"
	"slices"
	"time"

	"samphirewharf/internal/decision/attributor"
	"samphirewharf/internal/decision/reducer"
	"samphirewharf/internal/decision/sharer"
	"samphirewharf/internal/decision/waker"
	"samphirewharf/internal/fleet/matcher"
)

// A requestState is the state of a request.
type requestState uint8

const (
	// stateQueued: the request waits for a server.
	stateQueued requestState = iota
	// stateRunning: a server is running the request.
	stateRunning
	// stateAsking: the request waits for the version that began its stream.
	stateAsking
	// stateMetered: the request waits for the tokens that it counts in its workspace's quota.
	stateMetered
	// stateAnswered: the caller has its final answer or has disconnected, but the attempt has not ended yet.
	stateAnswered
)

// A request is one caller's request at this daemon.
type request struct {
	RequestArrived
	arrivedAt time.Duration
	state     requestState
	// deadline is when the caller must have the final answer.
	deadline time.Duration
	// firstDeadline is when a stream's caller stops waiting for the first event; for other requests it equals
	// deadline.
	firstDeadline time.Duration

	attempt int
	server  *server
	// unread is the number of tokens of the prompt that the server had not cached.
	unread int
	sentAt time.Duration
	// sends counts the sends that may have reached a server, runs those that a server may have run.
	sends int
	runs  int
	// connectFailures counts the servers that accepted no connection.
	connectFailures int
	// tried holds the IDs of the servers that the request was sent to.
	tried []string
	// polledAttempt is the last attempt for which the silent server was polled.
	polledAttempt int
	// peer is the daemon that has the request in this one's place, empty for none. triedPeers holds those that had it.
	peer       string
	triedPeers []string
	// answerStarted reports whether the caller has received the start of an answer.
	answerStarted bool
	// buffered reports whether the executor has buffered an error answer.
	buffered bool

	// traits are what the request has in common with others.
	traits []attributor.Trait
	// pinned reports whether the request's stream has begun, softwareVersion is that of the server that began it.
	pinned          bool
	softwareVersion string
	// boundSince is since when the request must go on at the version that began its stream, 0 if it needn't.
	boundSince time.Duration
	// probe reports whether the request is sent though requests with one of its traits have crashed servers.
	probe bool

	// share is the request's place among the workspaces whose requests wait.
	share sharer.Ticket
	// tokens are those of its workspace's quota.
	tokens tokenState

	// timer is set to when the request has to be handled next.
	timer waker.Timer[*request]
}

func newRequest(e RequestArrived, now time.Duration) *request {
	r := &request{RequestArrived: e, arrivedAt: now}
	r.traits = traitsOf(e)
	r.timer.Owner, r.timer.Number = r, uint64(e.Request)
	r.pinned, r.softwareVersion = e.Origin.Known, e.Origin.SoftwareVersion
	r.deadline = now + max(min(e.TimeLimit, e.Route.Timeout)-deadlineMargin, deadlineMargin)
	r.firstDeadline = r.deadline
	if e.Route.Kind == matcher.KindStream {
		r.firstDeadline = min(r.deadline, now+eventTimeout(e.Route)-eventTimeoutMargin)
	}
	return r
}

// eventTimeout returns how long callers wait for the next event of a stream, the first one included.
func eventTimeout(route matcher.Route) time.Duration {
	return max(minEventTimeout, eventTimeoutObjectives*route.LatencyObjective, eventTimeoutGaps*route.EventGapObjective)
}

// traitsOf returns what a request has in common with others.
func traitsOf(e RequestArrived) []attributor.Trait {
	parts := make([]uint64, 0, len(e.Parts))
	for _, p := range e.Parts {
		parts = append(parts, p.ID)
	}
	return attributor.Traits(e.Fingerprint, parts)
}

// needsModel reports whether the request needs a model.
func (r *request) needsModel() bool { return r.Model != "" }

// mayRunAgain reports whether another server may run the request after one may have run it.
func (r *request) mayRunAgain() bool {
	return r.Route.Repeatable() && r.runs < max(r.Route.MaxServers, 1)
}

// setTimer sets when the request has to be handled next.
func (m *Machine) setTimer(r *request, at time.Duration) { m.timers.Set(&r.timer, at) }

func (m *Machine) clearTimer(r *request) { m.timers.Remove(&r.timer) }

// expireRequests handles the requests whose timers have expired.
func (m *Machine) expireRequests() {
	for r, ok := m.timers.PopDue(m.now); ok; r, ok = m.timers.PopDue(m.now) {
		switch r.state {
		case stateQueued:
			m.dequeue(r)
			m.route(r)
		case stateRunning:
			m.expireRunning(r)
		case stateAsking:
			m.originUnanswered(r)
		case stateMetered:
			m.stopMetering(r)
			m.giveUp(r, RefusedQuotaUnknown, quotaRetryDelay)
		case stateAnswered:
		}
	}
}

// expireRunning refuses a running request that has reached its deadline. This also ends a stream that has begun.
func (m *Machine) expireRunning(r *request) {
	m.emit(Cancel{Request: r.Request, Attempt: r.attempt})
	m.refuse(r, RefusedTimeout, 0)
}

// enqueue queues a request until the given time at the latest.
func (m *Machine) enqueue(r *request, until time.Duration) {
	r.state = stateQueued
	state := m.service(r.Service)
	at, _ := slices.BinarySearchFunc(state.queue, r, compareUrgency)
	state.queue = slices.Insert(state.queue, at, r)
	m.setTimer(r, until)
}

func (m *Machine) dequeue(r *request) {
	m.clearTimer(r)
	state := m.service(r.Service)
	if i := slices.Index(state.queue, r); i >= 0 {
		state.queue = slices.Delete(state.queue, i, i+1)
	}
}

// compareUrgency orders requests by priority, latency objective, fair share and arrival.
func compareUrgency(a, b *request) int {
	return cmp.Or(
		cmp.Compare(a.Route.Priority, b.Route.Priority),
		cmp.Compare(a.Route.LatencyObjective, b.Route.LatencyObjective),
		cmp.Compare(a.share.Start, b.share.Start),
		cmp.Compare(a.arrivedAt, b.arrivedAt),
		cmp.Compare(a.Request, b.Request),
	)
}

// refuse ends a request with a refusal.
func (m *Machine) refuse(r *request, reason RefusalReason, retryAfter time.Duration) {
	m.returnTokens(r)
	m.logDecision(r, LogDecision{Action: "Refuse", Reason: reason.String(), Detail: m.quotaDetail(r, reason, retryAfter), Routine: reason == RefusedQuota})
	m.emit(Refuse{Request: r.Request, Reason: reason, MayHaveRun: r.runs > 0 || r.state == stateRunning, RetryAfter: retryAfter})
	m.answered(r)
}

// answered records that the caller has its final answer. The request is kept until its attempt has ended.
func (m *Machine) answered(r *request) {
	m.clearTimer(r)
	if r.state == stateRunning {
		r.state = stateAnswered
		return
	}
	m.removeRequest(r)
}

func (m *Machine) removeRequest(r *request) {
	m.clearTimer(r)
	m.detachServer(r)
	m.service(r.Service).sharer.Leave(&r.share)
	r.state = stateAnswered
	delete(m.requests, r.Request)
	m.stop.RequestEnded(m.now)
}

// logDecision logs a decision about a request.
func (m *Machine) logDecision(r *request, d LogDecision) {
	d.ID = r.ID
	d.Service = r.Service
	d.Workspace = r.Workspace
	d.Model = modelName(r.Model, r.Adapter)
	d.Attempt = r.attempt
	d.Waited = m.now - r.arrivedAt
	d.Remaining = r.deadline - m.now
	d.Version = r.Version
	d.OriginID = r.OriginID
	if r.server != nil {
		d.SoftwareVersion = r.server.entry.SoftwareVersion
	}
	switch {
	case d.Server != "":
	case r.server != nil:
		d.Server = r.server.entry.ID
	default:
		d.Server = r.peer
	}
	m.emit(d)
}

func modelName(model, adapter string) string {
	if adapter == "" {
		return model
	}
	return model + "/" + adapter
}

// requestOf returns a current request, or nil if there is none with the ID.
func (m *Machine) requestOf(id reducer.RequestID) *request { return m.requests[id] }

package conductor

import (
	"cmp"
	"slices"
	"time"

	"samphirewharf/internal/decision/allotter"
	"samphirewharf/internal/decision/breaker"
	"samphirewharf/internal/decision/retainer"
	"samphirewharf/internal/decision/selector"
	"samphirewharf/internal/fleet/matcher"
)

// An unavailability is the reason why no server can be chosen.
type unavailability uint8

const (
	// unavailableNoServer: the service has no server that accepts requests.
	unavailableNoServer unavailability = iota
	// unavailableCold: no server has the model or adapter loaded.
	unavailableCold
	// unavailableFull: the servers that could run the request have no free slot.
	unavailableFull
	// unavailableInvalid: the servers that could run the request give invalid answers only, and have been probed lately.
	unavailableInvalid
)

// A choice is a chosen server with its score, and the best alternative.
type choice struct {
	server     *server
	score      float64
	other      *server
	otherScore float64
	// probe reports whether the request is to show whether the server is sound.
	probe bool
}

func (m *Machine) requestArrived(e RequestArrived) {
	r := newRequest(e, m.now)
	m.requests[e.Request] = r
	r.share = m.service(e.Service).sharer.Join(m.now, m.configuration, e.Workspace, e.Route, e.InputTokens+e.OutputTokens)
	if !m.link.down {
		// A request that is delegated counts where it is served.
		m.service(e.Service).budget.CountRequest(m.now)
		m.service(e.Service).probes = m.service(e.Service).probes.WithRequest()
		m.countArrival(r)
	}
	switch {
	case r.Route.Kind == matcher.KindStream && m.stop.RejectsStream(m.now), r.Route.Kind != matcher.KindStream && m.stop.RejectsRequest(r.deadline):
		m.refuse(r, RefusedStopping, stopRetryDelay)
	default:
		m.route(r)
	}
}

// route sends a request to a server, queues it, or refuses it.
func (m *Machine) route(r *request) {
	if m.now >= r.deadline {
		m.giveUp(r, RefusedExpired, m.retryAfter(r))
		return
	}
	if !m.catchUp.done {
		m.logDecision(r, LogDecision{Action: "Queue", Reason: "CatchingUp"})
		m.enqueue(r, min(r.deadline, m.now+catchUpTimeout))
		return
	}
	if m.heldBack(r) {
		m.giveUp(r, RefusedPoison, m.holdTime(r))
		return
	}
	if r.Delegated && m.link.down {
		m.giveUp(r, RefusedLink, linkRetryDelay)
		return
	}
	if m.mustDelegate(r) && m.delegate(r) {
		return
	}
	if m.link.down && m.link.contactAt <= m.link.downSince {
		m.giveUp(r, RefusedLink, linkRetryDelay)
		return
	}
	if r.sends >= maxSends || r.connectFailures >= maxConnectFailures {
		m.giveUp(r, RefusedFull, fullRetryDelay)
		return
	}
	reason, done := m.dispatch(r)
	if done {
		return
	}
	if !m.hasTokens(r) {
		m.returnTokens(r)
	}
	switch {
	case m.link.down:
		m.giveUp(r, RefusedLink, linkRetryDelay)
	case reason == unavailableNoServer:
		m.giveUp(r, RefusedNoServer, noServerRetryDelay)
	case m.stop.Requested():
		m.giveUp(r, RefusedStopping, stopRetryDelay)
	case !m.configuration.HasService(r.Service):
		// Nothing is loaded for the service any more, and its servers are about to leave.
		m.giveUp(r, RefusedNoServer, noServerRetryDelay)
	case reason == unavailableCold && !m.configuration.Offers(r.Service, r.Model):
		// No engine will load the model.
		m.giveUp(r, RefusedCold, noServerRetryDelay)
	case reason == unavailableCold:
		m.waitCold(r)
	case reason == unavailableInvalid:
		m.countRefusal(r)
		m.giveUp(r, RefusedNoServer, m.probedIn(r))
	default:
		m.waitFull(r)
	}
}

// dispatch sends a request to the best server that may have it now. Each request passes here before each send, so that what it is bound
// to holds for the servers of that moment. It returns false, and the reason, if there is no server; a request that waits for
// something else, or was refused, needs none.
func (m *Machine) dispatch(r *request) (reason unavailability, done bool) {
	if !m.pinVersion(r) || !r.tokens.asked && !m.takeTokens(r) {
		return 0, true
	}
	c, reason := m.choose(r)
	if c.server == nil {
		return reason, false
	}
	if m.takeTokens(r) {
		m.send(r, c)
	}
	return reason, true
}

// waitCold queues a request whose model is expected to be loaded in time, and refuses others.
func (m *Machine) waitCold(r *request) {
	ready := m.readyIn(r)
	if r.answerStarted || m.now+ready > r.firstDeadline {
		m.countRefusal(r)
		m.giveUp(r, RefusedCold, ready)
		return
	}
	m.expediteDemand(r)
	m.logDecision(r, LogDecision{Action: "Queue", Reason: "Cold", Age: m.fleet.age(m.now)})
	// Route again when the next update of the model's ready time is due.
	m.enqueue(r, min(r.firstDeadline, m.now+max(ready/2, demandInterval)))
}

// waitFull queues a request if a slot is expected to become free in time, and refuses it otherwise.
func (m *Machine) waitFull(r *request) {
	free := m.slotFreeIn(r)
	if m.now+free+m.limitedRunTime(r) > r.firstDeadline {
		m.countRefusal(r)
		m.giveUp(r, RefusedFull, fullRetryAfter(free))
		return
	}
	m.expediteDemand(r)
	m.logDecision(r, LogDecision{Action: "Queue", Reason: "Full", Age: m.fleet.age(m.now)})
	m.enqueue(r, min(r.firstDeadline, m.now+max(free, fullBackoff)))
}

// giveUp ends a request, with the server's own error answer if one is buffered.
func (m *Machine) giveUp(r *request, reason RefusalReason, retryAfter time.Duration) {
	if r.buffered {
		m.deliver(r)
		return
	}
	m.refuse(r, reason, retryAfter)
}

func (m *Machine) deliver(r *request) {
	m.logDecision(r, LogDecision{Action: "Answer", Reason: "Held"})
	m.emit(Deliver{Request: r.Request})
	m.removeRequest(r)
}

// choose returns the best server for a request now.
func (m *Machine) choose(r *request) (choice, unavailability) {
	var candidates []*server
	reason, full := unavailableNoServer, false
	m.breakers = m.breakers[:0]
	for _, s := range m.serversOf(r.Service) {
		if !m.maySend(r, s) || slices.Contains(r.tried, s.entry.ID) && r.runs > 0 {
			continue
		}
		switch {
		case s.downUntil > m.now:
			if r.needsModel() {
				reason = max(reason, unavailableCold)
			}
		case !m.hasModel(s, r.Model, r.Adapter):
			reason = max(reason, unavailableCold)
		case s.busyUntil() > m.now || m.atCapacity(s, r) || m.rateHoldsBack(s, r) || m.brittleHoldsBack(s):
			reason = unavailableFull
			full = full || !s.breaker.Suspect()
		default:
			candidates = append(candidates, s)
			m.breakers = append(m.breakers, s.breaker)
		}
	}
	if breaker.AllClosed(m.now, m.breakers) {
		return m.best(r, candidates), reason
	}
	allowed := m.service(r.Service).probes.Choose(m.now, m.breakers, breaker.Request{Repeatable: m.mayProbe(r), Repeat: r.runs > 0, Full: full})
	if allowed.Failing && reason != unavailableFull {
		reason = unavailableInvalid
	}
	permitted := make([]*server, 0, len(allowed.Indexes))
	for _, i := range allowed.Indexes {
		permitted = append(permitted, candidates[i])
	}
	c := m.best(r, permitted)
	c.probe = allowed.Probe
	return c, reason
}

// mayProbe reports whether a request may be sent to another server if the next one fails.
func (m *Machine) mayProbe(r *request) bool {
	return r.Route.Repeatable() && r.runs+1 < r.Route.MaxServers && m.service(r.Service).budget.Remaining(m.now, m.daemonCount()) >= probeRepeats
}

// probedIn returns the time until one of the servers may get a request for which choose has just found only failing ones.
func (m *Machine) probedIn(r *request) time.Duration {
	return max(fullRetryDelay, breaker.RetryIn(m.now, m.breakers, breaker.Request{Repeatable: m.mayProbe(r)}))
}

// best returns the best of the servers that could run the request.
func (m *Machine) best(r *request, servers []*server) choice {
	criteria := m.criteria(r)
	m.choices = m.choices[:0]
	for _, s := range servers {
		c := selector.Candidate{
			Load: s.load(), ErrorShare: s.errorShare, Latency: s.latency,
			OtherZone: s.entry.Zone != m.settings.Self.Zone, Tried: slices.Contains(r.tried, s.entry.ID),
		}
		cached := 0.0
		if r.Route.Sticky || criteria.EventGap > 0 {
			cached = s.cachedParts.CachedShare(r.Parts)
		}
		if r.Route.Sticky {
			c.CachedShare = cached
		}
		if criteria.EventGap > 0 {
			c.Forecast, c.Recent = m.forecast(s, unreadTokens(r, cached)), s.sentSince(m.now-recentSendTime)
		}
		m.choices = append(m.choices, c)
	}
	picked := selector.Choose(m.choices, criteria, m.rng)
	c := choice{score: picked.Score, otherScore: picked.OtherScore}
	if picked.Index >= 0 {
		c.server = servers[picked.Index]
	}
	if picked.Other >= 0 {
		c.other = servers[picked.Other]
	}
	return c
}

// hasModel reports whether the server is assumed to have the model and adapter loaded.
func (m *Machine) hasModel(s *server, model, adapter string) bool {
	if model == "" {
		return true
	}
	if s.absentUntil[modelName(model, adapter)] > m.now {
		return false
	}
	return m.weights(s).HasLoaded(model, adapter)
}

// atCapacity reports whether an engine has a request for each of its slots. Plain servers have their own queues.
func (m *Machine) atCapacity(s *server, r *request) bool {
	return r.needsModel() && s.load() >= 1
}

// send dispatches a request to the chosen server.
func (m *Machine) send(r *request, c choice) {
	s := c.server
	r.attempt++
	r.sends++
	r.state = stateRunning
	r.server = s
	r.sentAt = m.now
	if !slices.Contains(r.tried, s.entry.ID) {
		r.tried = append(r.tried, s.entry.ID)
	}
	if c.probe {
		s.breaker = s.breaker.WithProbe(m.now)
		m.service(r.Service).probes = m.service(r.Service).probes.WithProbe()
	}
	expected := m.recordSend(r, s)
	s.requests[r.Request] = r
	m.countSend(s)
	s.sends.Add(retainer.Send{ID: r.ID, At: m.now, Entry: s.entry.Revision, Proof: m.view.servers})
	m.service(r.Service).sharer.Serve(m.now, &r.share)
	s.cachedParts.Add(r.Parts)
	m.setTimer(r, r.deadline)
	d := LogDecision{Action: "Send", Score: c.score, Age: m.now - s.seenAt, Entry: s.entry.Revision, Routine: r.attempt == 1, ExpectedPause: expected.Pause, ExpectedFirst: expected.First}
	if c.other != nil {
		d.Other, d.OtherScore = c.other.entry.ID, c.otherScore
	}
	m.logDecision(r, d)
	e := Send{
		Request: r.Request, Attempt: r.attempt, Server: s.entry.ID, Address: s.entry.Address, StartedAt: s.entry.StartedAt,
		Timeout: r.deadline - m.now, RemainingTime: r.TimeLimit - (m.now - r.arrivedAt), Priority: -1,
		ConnectTimeout: m.connectTimeout(r), NewConnection: !r.Route.Repeatable(),
		ReportAdvice: s.rateLimited || m.service(s.entry.Service).brittle.active,
		BufferErrors: r.Route.Repeatable() && r.runs+1 < r.Route.MaxServers,
		Origin:       Origin{SoftwareVersion: s.entry.SoftwareVersion, Known: true},
	}
	if r.needsModel() {
		e.Priority = r.Route.EnginePriority()
	}
	e.ReportPace = m.forecasts(r)
	if r.Route.Repeatable() {
		e.FirstTimeout = m.firstTimeout(r)
	}
	if r.Route.Kind == matcher.KindStream && r.Route.Resumable {
		e.EventGapTimeout = eventTimeout(r.Route) - eventTimeoutMargin
	}
	m.emit(e)
}

// firstTimeout returns how long a repeatable request waits for the start of an answer before another server is considered,
// zero for no limit, as where no other server may run it.
func (m *Machine) firstTimeout(r *request) time.Duration {
	if r.runs+1 >= r.Route.MaxServers || len(r.tried) > 1 {
		return 0
	}
	limit := max(minFirstTimeout, firstTimeoutObjectives*r.Route.LatencyObjective)
	return min(limit, time.Duration(firstTimeoutShare*float64(r.deadline-m.now)))
}

// connectTimeout returns how long a connection for the request may take to open, so that time is left for another server.
func (m *Machine) connectTimeout(r *request) time.Duration {
	share := time.Duration(connectTimeoutShare * float64(r.deadline-m.now))
	return min(max(share, minConnectTimeout), maxConnectTimeout)
}

// dispatchQueue routes the queued requests of a service again.
func (m *Machine) dispatchQueue(service string) {
	state, ok := m.services[service]
	if !ok || len(state.queue) == 0 || !m.catchUp.done {
		return
	}
	queue := state.queue
	state.queue = nil
	for _, r := range queue {
		m.clearTimer(r)
		if reason, done := m.dispatch(r); !done {
			m.requeue(r, reason)
		}
	}
}

// requeue queues a request again that still has no server, without logging the decision again.
func (m *Machine) requeue(r *request, reason unavailability) {
	var wait time.Duration
	retryIn := demandInterval
	switch reason {
	case unavailableNoServer, unavailableInvalid:
		m.route(r)
		return
	case unavailableCold:
		wait = m.readyIn(r)
	case unavailableFull:
		wait = m.slotFreeIn(r)
		retryIn = min(retryIn, max(wait, fullBackoff))
		wait += m.limitedRunTime(r)
	}
	if m.now+wait > r.firstDeadline {
		m.route(r)
		return
	}
	m.enqueue(r, min(r.firstDeadline, m.now+retryIn))
}

func (m *Machine) dispatchQueues() {
	for _, name := range m.serviceNames() {
		m.dispatchQueue(name)
	}
}

// routeQueues decides anew on all queued requests.
func (m *Machine) routeQueues() { m.routeQueued(func(*request) bool { return true }) }

func (m *Machine) routeQueued(due func(r *request) bool) {
	for _, name := range m.serviceNames() {
		for _, r := range slices.Clone(m.service(name).queue) {
			if due(r) {
				m.dequeue(r)
				m.route(r)
			}
		}
	}
}

// slotFreeIn predicts when a slot becomes free for the request, from the rate at which running requests end.
func (m *Machine) slotFreeIn(r *request) time.Duration {
	earliest := never
	running, ahead := 0, 0
	var elapsed time.Duration
	for _, s := range m.serversOf(r.Service) {
		if !m.maySend(r, s) || !m.hasModel(s, r.Model, r.Adapter) {
			continue
		}
		earliest = min(earliest, max(0, s.busyUntil()-m.now))
		for _, other := range s.requests {
			running++
			elapsed += m.now - other.sentAt
		}
	}
	for _, other := range m.service(r.Service).queue {
		if other.Model == r.Model && other.Adapter == r.Adapter && compareUrgency(other, r) < 0 {
			ahead++
		}
	}
	if earliest == never {
		earliest = 0
	}
	earliest = max(earliest, m.rateAllowsIn(r, ahead))
	if running == 0 {
		return max(earliest, fullBackoff)
	}
	// A request observed at a random time has on average as much time ahead of it as behind it.
	remaining := elapsed / time.Duration(running)
	return max(earliest, remaining*time.Duration(ahead+1)/time.Duration(running), fullBackoff)
}

// limitedServers returns the servers that could run a request if all of them have rates, and none otherwise.
func (m *Machine) limitedServers(r *request) []*server {
	var list []*server
	for _, s := range m.serversOf(r.Service) {
		if !m.maySend(r, s) || s.downUntil > m.now || !m.hasModel(s, r.Model, r.Adapter) {
			continue
		}
		if !s.rateLimited {
			return nil
		}
		list = append(list, s)
	}
	return list
}

// rateAllowsIn predicts when the servers' rates allow the request after the requests ahead of it. It returns 0 if a server has
// no rate.
func (m *Machine) rateAllowsIn(r *request, ahead int) time.Duration {
	limited := m.limitedServers(r)
	if len(limited) == 0 {
		return 0
	}
	wait, perSecond := allotter.Unavailable, 0.0
	for _, s := range limited {
		wait = min(wait, s.rateShare.Wait(m.now))
		perSecond += s.rateShare.Rate()
	}
	if perSecond == 0 {
		return wait
	}
	return wait + time.Duration(float64(ahead)/perSecond*float64(time.Second))
}

// limitedRunTime returns the expected time from the send of a request to the start of its answer if all servers that could run
// it have rates, so that none is sent too late to be answered: it would take the place of another one.
func (m *Machine) limitedRunTime(r *request) time.Duration {
	limited := m.limitedServers(r)
	if len(limited) == 0 {
		return 0
	}
	fastest := slices.MinFunc(limited, func(a, b *server) int { return cmp.Compare(a.latency, b.latency) })
	return fastest.latency + sendMargin
}

// fullRetryAfter returns the retry delay for a request whose slot becomes free after a time.
func fullRetryAfter(free time.Duration) time.Duration {
	if free >= allotter.Unavailable {
		return rateRetryDelay
	}
	return max(fullRetryDelay, free)
}

// retryAfter returns the delay after which it is worthwhile to send the request again.
func (m *Machine) retryAfter(r *request) time.Duration {
	_, reason := m.choose(r)
	switch {
	case reason == unavailableCold && r.needsModel():
		return m.readyIn(r)
	case reason == unavailableFull:
		return fullRetryAfter(m.slotFreeIn(r))
	case reason == unavailableInvalid:
		return m.probedIn(r)
	default:
		return fullRetryDelay
	}
}

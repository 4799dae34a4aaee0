package conductor

import (
	"slices"
	"time"

	"samphirewharf/internal/fleet/matcher"
)

// A verdict tells why no server can be chosen.
type verdict uint8

const (
	// verdictNoServer: the service has no server that takes requests.
	verdictNoServer verdict = iota
	// verdictCold: no server has the model or adapter.
	verdictCold
	// verdictFull: those that could serve have no place.
	verdictFull
)

// A choice is a server with its score and the best alternative.
type choice struct {
	server     *server
	score      float64
	other      *server
	otherScore float64
}

func (m *Machine) arrive(e RequestArrived) {
	r := newRequest(e, m.now)
	m.requests[e.Request] = r
	m.pool(e.Service).budget.CountRequest(m.now)
	m.noteArrival(r)
	switch {
	case m.stop.refuses(r, m.now):
		m.refuse(r, RefusedStopping, stopRetry)
	case m.convicted(r):
		m.refuse(r, RefusedPoison, crashLife)
	default:
		m.route(r)
	}
}

// route sends a request to a server, lets it wait for one, or refuses it.
func (m *Machine) route(r *request) {
	if m.now >= r.giveUpAt {
		m.giveUp(r, RefusedExpired, m.retryAfter(r))
		return
	}
	if r.sends >= maxSends || r.connects >= maxConnects {
		m.giveUp(r, RefusedFull, fullRetry)
		return
	}
	c, why := m.choose(r)
	if c.server != nil {
		m.send(r, c)
		return
	}
	switch {
	case why == verdictNoServer:
		m.giveUp(r, RefusedNoServer, noServerRetry)
	case m.stop.requested:
		m.giveUp(r, RefusedStopping, stopRetry)
	case why == verdictCold:
		m.waitCold(r)
	default:
		m.waitFull(r)
	}
}

// waitCold lets a request wait for its model if that will be there in time.
func (m *Machine) waitCold(r *request) {
	ready := m.readyIn(r)
	if r.started || m.now+ready > r.firstBy {
		m.noteRefused(r)
		m.giveUp(r, RefusedCold, ready)
		return
	}
	m.noteWaiting(r)
	m.decided(r, LogDecision{Action: "Queue", Reason: "Cold", Age: m.fleet.age(m.now)})
	// The prediction is looked at again when news of the model is due.
	m.enqueue(r, min(r.firstBy, m.now+max(ready/2, demandInterval)))
}

// waitFull lets a request wait for a place if one is likely to get free in time.
func (m *Machine) waitFull(r *request) {
	free := m.placeIn(r)
	if m.now+free > r.firstBy {
		m.noteRefused(r)
		m.giveUp(r, RefusedFull, max(fullRetry, free))
		return
	}
	m.noteWaiting(r)
	m.decided(r, LogDecision{Action: "Queue", Reason: "Full", Age: m.fleet.age(m.now)})
	m.enqueue(r, min(r.firstBy, m.now+max(free, fullPause)))
}

// giveUp ends a request, with the server's own answer if one is kept.
func (m *Machine) giveUp(r *request, reason RefusalReason, after time.Duration) {
	if r.held {
		m.deliver(r)
		return
	}
	m.refuse(r, reason, after)
}

func (m *Machine) deliver(r *request) {
	m.decided(r, LogDecision{Action: "Answer", Reason: "Held"})
	m.emit(Deliver{Request: r.Request})
	m.forget(r)
}

// choose returns the best server for a request now.
func (m *Machine) choose(r *request) (choice, verdict) {
	var able, avoided []*server
	why := verdictNoServer
	for _, s := range m.serversOf(r.Service) {
		if !s.usable() || slices.Contains(r.tried, s.entry.ID) && r.runs > 0 {
			continue
		}
		switch {
		case s.downUntil > m.now:
			if r.engagesModel() {
				why = max(why, verdictCold)
			}
		case !m.holds(s, r.Model, r.Adapter):
			why = max(why, verdictCold)
		case s.fullUntil > m.now || m.atCapacity(s, r):
			why = verdictFull
		case s.avoidUntil > m.now:
			avoided = append(avoided, s)
		default:
			able = append(able, s)
		}
	}
	if len(able) == 0 {
		able = m.leastAvoided(avoided)
	}
	return m.best(r, able), why
}

// leastAvoided returns the avoided server whose time is up first, since a doubtful server is better than none.
func (m *Machine) leastAvoided(avoided []*server) []*server {
	if len(avoided) == 0 {
		return nil
	}
	return []*server{slices.MinFunc(avoided, func(a, b *server) int { return int(a.avoidUntil - b.avoidUntil) })}
}

// best returns the server with the lowest score. Equal scores are decided by chance.
func (m *Machine) best(r *request, able []*server) choice {
	var c choice
	fastest := fastestOf(able)
	spread := staleSpread * min(1, float64(m.daemonCount())/staleDaemons)
	for _, i := range m.rng.Perm(len(able)) {
		s := able[i]
		score := m.score(r, s, fastest) + spread*m.rng.Float64()
		switch {
		case c.server == nil || score < c.score:
			c.other, c.otherScore = c.server, c.score
			c.server, c.score = s, score
		case c.other == nil || score < c.otherScore:
			c.other, c.otherScore = s, score
		}
	}
	return c
}

// score returns what sending the request to the server costs, in units of a server's full load.
func (m *Machine) score(r *request, s *server, fastest time.Duration) float64 {
	score := s.load() + s.errors
	if s.entry.Zone != m.settings.Self.Zone {
		score += crossZoneScore
	}
	if r.Route.Sticky {
		score -= keptScore * s.kept.share(r.Parts)
	}
	if fastest > 0 && s.latency > fastest {
		score += slowScore * min(slowMost, float64(s.latency-fastest)/float64(fastest))
	}
	if slices.Contains(r.tried, s.entry.ID) {
		score++
	}
	return score
}

func fastestOf(list []*server) time.Duration {
	var fastest time.Duration
	for _, s := range list {
		if s.latency > 0 && (fastest == 0 || s.latency < fastest) {
			fastest = s.latency
		}
	}
	return fastest
}

// holds tells that the server is believed to have what the request needs.
func (m *Machine) holds(s *server, model, adapter string) bool {
	if model == "" {
		return true
	}
	if s.absent[modelName(model, adapter)] > m.now {
		return false
	}
	return m.holdings(s).HasLoaded(model, adapter)
}

// atCapacity tells that an engine has a request for each of its slots. Plain servers queue by themselves.
func (m *Machine) atCapacity(s *server, r *request) bool {
	return r.engagesModel() && s.load() >= 1
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
	s.runs[r.Request] = r
	s.kept.add(r.Parts)
	m.wakeRequest(r, r.giveUpAt)
	d := LogDecision{Action: "Send", Score: c.score, Age: m.now - s.seenAt, Routine: r.attempt == 1}
	if c.other != nil {
		d.Other, d.OtherScore = c.other.entry.ID, c.otherScore
	}
	m.decided(r, d)
	e := Send{
		Request: r.Request, Attempt: r.attempt, Server: s.entry.ID, Address: s.entry.Address,
		Timeout: r.giveUpAt - m.now, RemainingTime: r.TimeLimit - (m.now - r.at), Priority: -1,
		NewConnection: !r.Route.Repeatable(),
		BufferErrors:  r.Route.Repeatable() && r.runs+1 < r.Route.MaxServers,
	}
	if r.engagesModel() {
		e.Priority = priority(r.Route)
	}
	if r.Route.Repeatable() {
		e.FirstTimeout = m.silence(r)
	}
	if r.Route.Kind == matcher.KindStream && r.Route.Resumable {
		e.EventGapTimeout = max(streamPatience, patienceGaps*r.Route.EventGapObjective) - patienceMargin
	}
	m.emit(e)
}

// silence returns how long a repeatable request waits for the first sign of an answer before another server is tried.
func (m *Machine) silence(r *request) time.Duration {
	if !r.mayRunAgain() || len(r.tried) > 1 {
		return 0
	}
	limit := max(minSilence, silentObjectives*r.Route.LatencyObjective)
	return min(limit, time.Duration(silentShare*float64(r.giveUpAt-m.now)))
}

// priority returns an engine's priority for a route: its rank, and among equal ranks the shorter objective first.
func priority(r matcher.Route) int {
	p := 2 * r.Priority
	if r.LatencyObjective >= time.Second {
		p++
	}
	return min(p, 9)
}

// pump routes the waiting requests of a service again.
func (m *Machine) pump(service string) {
	p, ok := m.pools[service]
	if !ok || len(p.queue) == 0 {
		return
	}
	queue := p.queue
	p.queue = nil
	for _, r := range queue {
		m.unwakeRequest(r)
		c, why := m.choose(r)
		if c.server != nil {
			m.send(r, c)
			continue
		}
		m.requeue(r, why)
	}
}

// requeue puts a request back for which there is still no server, without telling of it again.
func (m *Machine) requeue(r *request, why verdict) {
	if why == verdictCold && m.now+m.readyIn(r) <= r.firstBy || why == verdictFull && m.now+m.placeIn(r) <= r.firstBy {
		m.enqueue(r, min(r.firstBy, m.now+demandInterval))
		return
	}
	m.route(r)
}

func (m *Machine) pumpAll() {
	for _, name := range m.poolNames() {
		m.pump(name)
	}
}

// placeIn predicts when a place gets free for the request: at the rate at which running requests end.
func (m *Machine) placeIn(r *request) time.Duration {
	var soonest time.Duration
	running, ahead := 0, 0
	var stay time.Duration
	for _, s := range m.serversOf(r.Service) {
		if !s.usable() || !m.holds(s, r.Model, r.Adapter) {
			continue
		}
		if s.fullUntil > m.now && (soonest == 0 || s.fullUntil-m.now < soonest) {
			soonest = s.fullUntil - m.now
		}
		for _, other := range s.runs {
			running++
			stay += m.now - other.sentAt
		}
	}
	for _, other := range m.pool(r.Service).queue {
		if other.Model == r.Model && other.Adapter == r.Adapter && compareUrgency(other, r) < 0 {
			ahead++
		}
	}
	if running == 0 {
		return max(soonest, fullPause)
	}
	// A request seen at a random moment has on average as much before it as behind it.
	left := stay / time.Duration(running)
	return max(soonest, left*time.Duration(ahead+1)/time.Duration(running), fullPause)
}

// retryAfter returns when a repeat of the request is worth sending.
func (m *Machine) retryAfter(r *request) time.Duration {
	_, why := m.choose(r)
	switch {
	case why == verdictCold && r.engagesModel():
		return m.readyIn(r)
	case why == verdictFull:
		return max(fullRetry, m.placeIn(r))
	default:
		return fullRetry
	}
}

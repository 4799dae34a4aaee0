package conductor

import (
	"maps"
	"slices"
	"time"

	"samphirewharf/internal/decision/allotter"
	"samphirewharf/internal/decision/breaker"
	"samphirewharf/internal/decision/estimator"
	"samphirewharf/internal/decision/reducer"
	"samphirewharf/internal/decision/retainer"
	"samphirewharf/internal/fleet/registrar"
)

// A server is this daemon's state of one backend server.
type server struct {
	entry registrar.Entry
	// seenAt is when the last change of the entry arrived.
	seenAt time.Duration
	// keepUntil is until when the server is used after its entry was removed near an outage; zero if the entry is
	// present.
	keepUntil time.Duration
	// unconfirmedUntil is until when the server isn't used, because its entry had been removed and came back by a restoration
	// of the store; zero for others.
	unconfirmedUntil time.Duration

	// requests holds this daemon's requests at the server.
	requests map[reducer.RequestID]*request
	// otherRequests is the number of other daemons' requests at the server, as the leader reports it, smoothed since
	// the reported counts are old.
	otherRequests float64
	// absentUntil holds the models and adapters that the server lacked, and until when they count as not loaded there.
	absentUntil map[string]time.Duration

	// rateLimited reports whether the server names rateLimit, the requests a second that it takes from all daemons together.
	// advisedAt is when the server last told this daemon itself what it asks for.
	rateLimited bool
	rateLimit   float64
	advisedAt   time.Duration
	// recentSends holds the times of this daemon's requests to the server in the last allotter.RateMemory.
	recentSends []time.Duration
	// rateShare is this daemon's share of the server's rate, valid if rateLimited.
	rateShare allotter.RateShare

	// breaker records the server's failures.
	breaker   breaker.Breaker
	fullUntil time.Duration
	// rejections holds when the brittle server had no room for this daemon's requests in the last second.
	rejections []time.Duration
	// pausedUntil is until when the server wants nothing from this daemon.
	pausedUntil time.Duration
	// downUntil is until when the server counts as down because it accepted no connection.
	downUntil time.Duration
	// errorShare is the smoothed share of error answers, latency the smoothed time to the first part of an answer.
	errorShare float64
	latency    time.Duration
	// lastEnd is the last attempt here that ended otherwise than by a broken connection.
	lastEnd attemptEnd
	// aliveAt is when the server last showed life.
	aliveAt time.Duration
	// answeredSentAt is when the latest of this daemon's requests was sent that the server has answered.
	answeredSentAt time.Duration
	// ended holds the attempts that the server hasn't outlived yet, as far as is known.
	ended []endedAttempt
	// cachedParts are the parts of prompts that the server has processed recently.
	cachedParts estimator.Parts
	// sends are this daemon's latest requests to the server.
	sends retainer.Sends
	speed serverSpeed
}

// An attemptEnd is how and when an attempt ended, zero for none.
type attemptEnd struct {
	at      time.Duration
	outcome reducer.AttemptOutcome
	cause   Cause
}

func newServer(e registrar.Entry) *server {
	return &server{entry: e, requests: make(map[reducer.RequestID]*request), absentUntil: make(map[string]time.Duration)}
}

// usable reports whether the server accepts new requests.
func (s *server) usable() bool {
	return s.entry.State == registrar.StateReady && s.unconfirmedUntil == 0
}

// busyUntil returns until when the server gets no requests because it had no slot or asked for a pause.
func (s *server) busyUntil() time.Duration { return max(s.fullUntil, s.pausedUntil) }

// load returns the number of requests per slot.
func (s *server) load() float64 {
	return (float64(len(s.requests)) + s.otherRequests) / float64(max(s.entry.Slots, 1))
}

// updateOtherRequests updates the average of other daemons' requests from a recent count of all daemons' requests.
func (s *server) updateOtherRequests(all int) {
	s.otherRequests += otherRequestsWeight * (float64(max(0, all-len(s.requests))) - s.otherRequests)
}

// serverKey returns the key of a server in removals.
func serverKey(id string) string { return "server " + id }

// serversListed handles a complete list of entries. Servers that are not in it were removed.
func (m *Machine) serversListed(e ServersListed) {
	m.observeEpoch(e.Revision)
	first := !m.serversLoaded
	m.serversLoaded = true
	present := make(map[string]bool, len(e.Entries))
	for _, entry := range e.Entries {
		present[entry.ID] = true
		m.serverChanged(entry)
	}
	for _, id := range m.serverIDs() {
		if !present[id] && (e.Revision == 0 || m.servers[id].entry.Revision <= e.Revision) {
			m.serverRemoved(id, e.Revision)
		}
	}
	m.serversRevision = max(m.serversRevision, e.Revision)
	if first {
		m.emit(LogStateChange{Subject: "Servers", Change: "Listed", Version: int64(len(e.Entries))})
	}
	m.dispatchQueues()
}

// serverChanged handles a written entry. Entries of an earlier incarnation, or older than the current one, are
// ignored, and so are those that a later list lacked. They come from daemons whose view is older.
func (m *Machine) serverChanged(e registrar.Entry) {
	s, ok := m.servers[e.ID]
	if !ok && (m.predatesRemoval(serverKey(e.ID), e.Revision) || e.Revision > 0 && e.Revision <= m.serversRevision) {
		return
	}
	if ok && (e.StartedAt < s.entry.StartedAt || e.Revision <= s.entry.Revision && s.keepUntil == 0) {
		return
	}
	switch {
	case !ok:
		s = newServer(e)
		m.servers[e.ID] = s
		m.serverSetChanged()
		m.doubtRestored(s)
		m.emit(LogStateChange{Subject: "Server " + e.ID, Change: "Seen", Reason: e.Service, Version: e.Revision, Detail: e.Address + " " + e.Zone + " " + e.SoftwareVersion})
	case e.StartedAt > s.entry.StartedAt || e.Address != s.entry.Address:
		m.versionSeen(s.entry)
		m.serverEnded(s)
		use := s.sends.Describe(m.now, len(s.requests))
		s = newServer(e)
		m.servers[e.ID] = s
		m.serverSetChanged()
		m.placement.removeEngine(e.ID)
		m.emit(LogStateChange{Subject: "Server " + e.ID, Change: "Restarted", Version: e.Revision, Detail: e.Address + " " + e.SoftwareVersion + "; before: " + use})
	default:
		m.serverUpdated(s, e)
	}
	s.seenAt = m.now
	s.keepUntil = 0
	m.versionSeen(e)
	m.engineChanged(s)
	m.dispatchQueue(e.Service)
}

// serverUpdated handles a changed entry of the same incarnation. A draining server stays draining.
func (m *Machine) serverUpdated(s *server, e registrar.Entry) {
	if s.entry.State == registrar.StateDraining {
		e.State = registrar.StateDraining
	}
	if e.State != s.entry.State {
		m.emit(LogStateChange{Subject: "Server " + e.ID, Change: "Draining", Version: e.Revision, Detail: s.sends.Describe(m.now, len(s.requests))})
		m.withdrawRequests(s)
	}
	if e.Service != s.entry.Service {
		m.serverSetChanged()
		m.forgetSpeed(s)
	}
	s.entry = e
	s.unconfirmedUntil = 0
	clear(s.absentUntil)
}

// serverRemoved handles the removal of an entry. If it happens near an outage of the store, the server is kept for a
// while, since it may register again.
func (m *Machine) serverRemoved(id string, revision int64) {
	s, ok := m.servers[id]
	if !ok || s.keepUntil > 0 || revision != 0 && revision < s.entry.Revision {
		return
	}
	if s.usable() && m.viewRecentlyStale() {
		s.keepUntil = max(m.now, m.view.refreshedAt) + entryRecoveryTimeout
		if m.view.stale {
			s.keepUntil = m.now + time.Hour
		}
		m.emit(LogStateChange{Subject: "Server " + id, Change: "Doubted", Reason: "entry removed near an outage", Version: revision, Detail: s.sends.Describe(m.now, len(s.requests))})
		return
	}
	m.dropServer(s, revision)
}

func (m *Machine) dropServer(s *server, revision int64) {
	m.emit(LogStateChange{Subject: "Server " + s.entry.ID, Change: "Gone", Version: revision, Detail: s.sends.Describe(m.now, len(s.requests))})
	m.versionSeen(s.entry)
	m.serverEnded(s)
	m.recordServerRemoval(s, revision)
	delete(m.servers, s.entry.ID)
	m.serverSetChanged()
	m.placement.removeEngine(s.entry.ID)
	m.dispatchQueue(s.entry.Service)
}

// expireServers drops the servers whose entries have not been registered again after an outage, and confirms those whose
// entries outlived a restoration.
func (m *Machine) expireServers() {
	var due []string
	for id, s := range m.servers {
		if s.keepUntil > 0 && m.now >= s.keepUntil {
			due = append(due, id)
		}
		if s.unconfirmedUntil > 0 && m.now >= s.unconfirmedUntil {
			s.unconfirmedUntil = 0
			m.placement.dirty = true
		}
	}
	slices.Sort(due)
	for _, id := range due {
		m.dropServer(m.servers[id], 0)
	}
}

// withdrawRequests has the requests at a server that accepts no more sent elsewhere, if they still wait for a connection to it.
func (m *Machine) withdrawRequests(s *server) {
	for _, id := range slices.Sorted(maps.Keys(s.requests)) {
		if r := s.requests[id]; r.state == stateRunning && !r.answerStarted {
			m.emit(Withdraw{Request: id, Attempt: r.attempt})
		}
	}
}

// serverEnded handles the end of an incarnation. Requests whose connections broke shortly before may have crashed it.
func (m *Machine) serverEnded(s *server) {
	m.withdrawRequests(s)
	m.serverCrashed(s)
	m.forgetSpeed(s)
}

func (m *Machine) storeReached() {
	if !m.store.unavailable {
		return
	}
	m.store.unavailable = false
	m.store.reachedAt = m.now
	if m.subscriber.Following() {
		m.setViewStale(false)
	}
	m.subscriber.StoreReached(m.now)
	m.emit(LogStateChange{Subject: "Store", Change: "Reached", Age: m.now - m.store.lostAt})
}

func (m *Machine) storeLost(e StoreLost) {
	if m.store.unavailable {
		return
	}
	m.store.unavailable = true
	m.store.lostAt = m.now
	if m.subscriber.Following() {
		m.setViewStale(true)
	}
	m.subscriber.StoreLost()
	m.emit(LogStateChange{Subject: "Store", Change: "Lost", Reason: e.Reason, Warning: true})
}

// detachServer removes a request from the requests of its server.
func (m *Machine) detachServer(r *request) {
	if r.server != nil {
		delete(r.server.requests, r.Request)
		r.server = nil
	}
}

// serverFailed records a failure of a server, and the state of its breaker after that.
func (m *Machine) serverFailed(s *server, cause Cause, after breaker.Breaker) {
	s.errorShare += answerWeight * (1 - s.errorShare)
	failures := s.breaker.Failures()
	s.breaker = after
	if after.Failures() == failures {
		return
	}
	m.emit(LogStateChange{
		Subject: "Server " + s.entry.ID, Change: "Suspected", Reason: cause.String(), Version: int64(after.Failures()),
		Age: m.now - s.seenAt, Detail: "avoided for " + (after.OpenUntil() - m.now).String(),
	})
}

// recordAnswer updates the averages after an answer to a request that was sent at a time, and the breaker.
func (m *Machine) recordAnswer(s *server, sentAt, latency time.Duration, isError bool) {
	before := s.breaker
	s.breaker = before.WithValid(m.now, sentAt)
	if before.Probing() && !s.breaker.Probing() {
		m.service(s.entry.Service).probes = m.service(s.entry.Service).probes.WithValid()
	}
	if before.Suspect() && !s.breaker.Suspect() {
		// Otherwise it would be left alone for as long as others have room.
		s.errorShare = 0
	}
	s.downUntil = 0
	outcome := 0.0
	if isError {
		outcome = 1
	}
	s.errorShare += answerWeight * (outcome - s.errorShare)
	if latency <= 0 {
		return
	}
	if s.latency == 0 {
		s.latency = latency
		return
	}
	s.latency += time.Duration(answerWeight * float64(latency-s.latency))
}

// serverDown records that a server accepted no connection. The models that it had have to be loaded elsewhere.
func (m *Machine) serverDown(s *server) {
	if s == nil {
		return
	}
	if s.downUntil <= m.now {
		m.emit(LogStateChange{Subject: "Server " + s.entry.ID, Change: "Down", Age: m.now - s.seenAt})
		m.placement.dirty = true
	}
	s.downUntil = m.now + downTTL
}

package conductor

import (
	"slices"
	"time"

	"samphirewharf/internal/decision/attributor"
	"samphirewharf/internal/fleet/registrar"
)

// An endedAttempt is an attempt that ended before its server did. The server may still end because of it, so an answer says
// nothing for the request until the server has shown life later.
type endedAttempt struct {
	request  uint64
	traits   []attributor.Trait
	at       time.Duration
	answered bool
}

// recordEnd records an attempt that ended while its server seemed to live.
func (m *Machine) recordEnd(r *request, s *server, answered bool) {
	if len(s.ended) >= maxEndedAttempts {
		m.releaseEnded(s.ended[0])
		s.ended = slices.Delete(s.ended, 0, 1)
	}
	s.ended = append(s.ended, endedAttempt{request: r.Fingerprint, traits: r.traits, at: m.now, answered: answered})
	if r.needsModel() && slices.ContainsFunc(r.traits, m.crashes.attributor.Questioned) {
		m.pollLater(s, m.now+crashLag, 1)
	}
}

// confirmAnswers polls the engines that have answered requests with a trait and may not have outlived them, so that these answers
// count soon.
func (m *Machine) confirmAnswers(t attributor.Trait) {
	for _, id := range m.serverIDs() {
		s := m.servers[id]
		i := slices.IndexFunc(s.ended, func(e endedAttempt) bool { return e.answered && slices.Contains(e.traits, t) })
		if i >= 0 && m.engineSettings(s.entry.Service) != nil {
			m.pollLater(s, max(m.now, s.ended[i].at+crashLag), 1)
		}
	}
}

// serverAlive releases the attempts that a server has outlived. It showed life at the given time.
func (m *Machine) serverAlive(s *server, at time.Duration) {
	s.aliveAt = max(s.aliveAt, at)
	m.link.contactAt = max(m.link.contactAt, at)
	s.ended = slices.DeleteFunc(s.ended, func(e endedAttempt) bool {
		if at < e.at+crashLag {
			return false
		}
		m.releaseEnded(e)
		return true
	})
}

// expireEnded releases the attempts whose server's end would be known by now.
func (m *Machine) expireEnded() {
	for _, id := range m.serverIDs() {
		m.serverAlive(m.servers[id], m.now-m.crashWindow())
	}
}

// releaseEnded has an answer clear the traits of its request.
func (m *Machine) releaseEnded(e endedAttempt) {
	if !e.answered {
		return
	}
	for _, t := range m.crashes.attributor.AddAnswer(e.at, e.traits) {
		m.shareEvidence(t)
		m.quarantineChanged(t, "answered by a server")
	}
}

// takeEnded removes the attempts that ended shortly before a server did and returns those under which it may have ended. If no
// connection broke with the server, the time of its end isn't known, and only whole requests are suspected.
func (m *Machine) takeEnded(s *server) []brokenConnection {
	ended := s.ended
	s.ended = nil
	endedAt, known := m.now, false
	for _, b := range m.crashes.broken {
		if b.server == s.entry.ID && m.now <= b.at+m.crashWindow() {
			endedAt, known = min(endedAt, b.at), true
		}
	}
	var list []brokenConnection
	for _, e := range ended {
		near := e.at >= endedAt-crashLag-crashPollDelay
		switch {
		case s.entry.State == registrar.StateDraining || known && !near:
			m.releaseEnded(e)
		case near && known:
			list = append(list, brokenConnection{server: s.entry.ID, request: e.request, traits: e.traits, at: endedAt})
		case near:
			list = append(list, brokenConnection{server: s.entry.ID, request: e.request, traits: e.traits, at: e.at})
		default:
			list = append(list, brokenConnection{server: s.entry.ID, request: e.request, traits: e.traits[:1], at: e.at})
		}
	}
	return list
}

package conductor

import "strconv"

// serverAdvised handles what a server asks for in an answer.
func (m *Machine) serverAdvised(e ServerAdvised) {
	s, ok := m.servers[e.Server]
	if !ok {
		return
	}
	previous := s.advice
	s.advice = e.Advice
	switch {
	case e.Advice.RateLimited && (!previous.RateLimited || previous.RateLimit != e.Advice.RateLimit):
		m.emit(LogStateChange{Subject: "Server " + e.Server, Change: "RateLimited", Detail: strconv.FormatFloat(e.Advice.RateLimit, 'g', 4, 64) + " requests a second from all daemons"})
	case previous.RateLimited && !e.Advice.RateLimited:
		m.emit(LogStateChange{Subject: "Server " + e.Server, Change: "RateUnlimited"})
	}
}

package conductor

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"samphirewharf/internal/decision/allotter"
	"samphirewharf/internal/fleet/registrar"
	"samphirewharf/internal/peer/messenger"
)

// serverAdvised handles what a server asks for in an answer.
func (m *Machine) serverAdvised(e ServerAdvised) {
	s, ok := m.servers[e.Server]
	if !ok || e.StartedAt != s.entry.StartedAt {
		return
	}
	s.advisedAt = m.now
	m.brittleAdvised(s, e.Advice)
	if m.setRateLimit(s, e.Advice.RateLimited, e.Advice.RateLimit) {
		m.reportRateLimit(s)
	}
	if e.Advice.Leaving && s.entry.State != registrar.StateDraining {
		s.entry.State = registrar.StateDraining
		m.placement.dirty = true
		m.emit(LogStateChange{Subject: "Server " + e.Server, Change: "Draining", Reason: "it says so in an answer", Version: s.entry.Revision, Detail: s.sends.Describe(m.now, len(s.requests))})
	}
	if until := m.now + e.Advice.Pause; e.Advice.Pause > 0 && until > s.pausedUntil {
		s.pausedUntil = until
		m.emit(LogStateChange{Subject: "Server " + e.Server, Change: "Paused", Reason: "it refused a request and asked for a pause", Detail: e.Advice.Pause.String()})
	}
}

// setRateLimit sets the rate of requests that a server takes from all daemons together. It returns false if that is known.
func (m *Machine) setRateLimit(s *server, limited bool, perSecond float64) bool {
	if s.rateLimited == limited && s.rateLimit == perSecond {
		return false
	}
	isNew := !s.rateLimited
	s.rateLimited, s.rateLimit = limited, perSecond
	if !limited {
		m.emit(LogStateChange{Subject: "Server " + s.entry.ID, Change: "RateUnlimited"})
		m.dispatchQueue(s.entry.Service)
		return true
	}
	if isNew {
		daemons := m.daemonCount()
		s.rateShare = allotter.NewRateShare(m.now, m.shareRate(s), s.recentSends, daemons/allotter.Sharers(perSecond, daemons))
	} else {
		m.updateRateShare(s)
	}
	m.emit(LogStateChange{
		Subject: "Server " + s.entry.ID, Change: "RateLimited",
		Detail: formatRate(perSecond) + " requests a second from all daemons, " + formatRate(s.rateShare.Rate()) + " from this one",
	})
	return true
}

func formatRate(perSecond float64) string { return strconv.FormatFloat(perSecond, 'g', 4, 64) }

// updateRateShare sets this daemon's share of a server's rate.
func (m *Machine) updateRateShare(s *server) { s.rateShare.SetRate(m.now, m.shareRate(s)) }

// shareRate returns this daemon's share of a server's rate, which depends on the set of daemons.
func (m *Machine) shareRate(s *server) float64 {
	return allotter.ShareRate(s.rateLimit, s.entry.ID, m.settings.Self.Name, m.sharers())
}

// countSend counts a request, poll or order that is sent to a server.
func (m *Machine) countSend(s *server) {
	s.recentSends = slices.DeleteFunc(s.recentSends, func(at time.Duration) bool { return at < m.now-allotter.RateMemory })
	s.recentSends = append(s.recentSends, m.now)
	if s.rateLimited {
		s.rateShare.Take(m.now)
	}
}

// sentSince reports whether this daemon has sent the server a request after the given time.
func (s *server) sentSince(at time.Duration) bool {
	return len(s.recentSends) > 0 && s.recentSends[len(s.recentSends)-1] > at
}

// tickRateShares sets this daemon's shares, which change when daemons register or have been away for some time.
func (m *Machine) tickRateShares() {
	if m.now < m.rateSharesAt {
		return
	}
	m.rateSharesAt = m.now + rateShareInterval
	m.forgetBrittleSlots()
	maps.DeleteFunc(m.departed, func(_ string, removedAt time.Duration) bool { return !m.hasShare(removedAt) })
	for _, s := range m.servers {
		if s.rateLimited {
			m.updateRateShare(s)
		}
	}
}

// rateHoldsBack reports whether a server's rate allows no request now, or whether a request that waits for the server comes
// first.
func (m *Machine) rateHoldsBack(s *server, r *request) bool {
	if !s.rateLimited {
		return false
	}
	return s.rateShare.Wait(m.now) > 0 || slices.ContainsFunc(m.service(r.Service).queue, func(other *request) bool {
		return compareUrgency(other, r) < 0 && m.hasModel(s, other.Model, other.Adapter)
	})
}

// reportRateLimit reports a server's rate to the leader or, on the leader, to the other daemons.
func (m *Machine) reportRateLimit(s *server) {
	if m.isLeader() {
		m.scheduleFleetMessage()
		return
	}
	m.demand.rateLimits[s.entry.ID] = rateLimitOf(s)
	m.demand.reportSoon(m.now)
}

func rateLimitOf(s *server) messenger.RateLimit {
	return messenger.RateLimit{Server: s.entry.ID, StartedAt: s.entry.StartedAt, Limited: s.rateLimited, PerSecond: s.rateLimit}
}

// takeRateLimitReports returns the rates to report to the leader and forgets them.
func (m *Machine) takeRateLimitReports() []messenger.RateLimit {
	var list []messenger.RateLimit
	for _, id := range slices.Sorted(maps.Keys(m.demand.rateLimits)) {
		list = append(list, m.demand.rateLimits[id])
	}
	clear(m.demand.rateLimits)
	return list
}

// hasRateLimits reports whether any server names a rate.
func (m *Machine) hasRateLimits() bool {
	for _, s := range m.servers {
		if s.rateLimited {
			return true
		}
	}
	return false
}

// rateLimits returns the rates of all servers that have one.
func (m *Machine) rateLimits() []messenger.RateLimit {
	if !m.hasRateLimits() {
		return nil
	}
	var list []messenger.RateLimit
	for _, id := range m.serverIDs() {
		if s := m.servers[id]; s.rateLimited {
			list = append(list, rateLimitOf(s))
		}
	}
	return list
}

// rateLimitsReported handles a daemon's report on the leader.
func (m *Machine) rateLimitsReported(list []messenger.RateLimit) {
	for _, l := range list {
		if s, ok := m.servers[l.Server]; ok && s.entry.StartedAt == l.StartedAt && m.setRateLimit(s, l.Limited, l.PerSecond) {
			m.scheduleFleetMessage()
		}
	}
}

// rateLimitsReceived handles the leader's rates. What a server has told this daemon itself shortly before takes precedence,
// and is reported again if the leader says otherwise.
func (m *Machine) rateLimitsReceived(limits map[string]reportedLimit) {
	if len(limits) == 0 && !m.hasRateLimits() {
		return
	}
	for _, id := range m.serverIDs() {
		s := m.servers[id]
		l := limits[id].limit
		limited := l.Limited && l.StartedAt == s.entry.StartedAt
		if !limited {
			l.PerSecond = 0
		}
		switch {
		case s.rateLimited == limited && s.rateLimit == l.PerSecond:
		case s.advisedAt > 0 && m.now < s.advisedAt+adviceTTL:
			m.reportRateLimit(s)
		default:
			m.setRateLimit(s, limited, l.PerSecond)
		}
	}
}

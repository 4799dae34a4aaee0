package conductor

import (
	"math"
	"strconv"
	"time"

	"samphirewharf/internal/decision/calibrator"
	"samphirewharf/internal/decision/reducer"
	"samphirewharf/internal/decision/selector"
	"samphirewharf/internal/fleet/matcher"
)

const (
	// recentSendTime is how long after a request a connection to its server is probably still open.
	recentSendTime = 5 * time.Second
	// speedLogInterval and speedLogChange bound the lines on a server's speed: at most one in the interval, if the speed has changed by
	// the ratio.
	speedLogInterval = 10 * time.Second
	speedLogChange   = 1.3
)

// An AttemptProgressed event carries the pace of a running stream, at most once a second for each stream. The pace is that since the
// event before.
type AttemptProgressed struct {
	Request reducer.RequestID
	Attempt int
	Pace    calibrator.Window
}

func (AttemptProgressed) event() {}

// A serverSpeed is what is known of the speed of an engine.
type serverSpeed struct {
	// estimate is nil before the first stream with a gap objective.
	estimate *calibrator.Estimate
	// loggedAt is when the speed was logged last, logged the relative time of a step then.
	loggedAt time.Duration
	logged   float64
}

// forecasts reports whether a request's server is chosen by expected pauses.
func (m *Machine) forecasts(r *request) bool {
	return r.Route.EventGapObjective > 0 && r.Route.Kind == matcher.KindStream && r.needsModel() && m.engineSettings(r.Service) != nil
}

// speedsOf returns what the engines of a service have in common.
func (m *Machine) speedsOf(service string) *calibrator.Service {
	speeds, ok := m.speeds[service]
	if !ok {
		speeds = &calibrator.Service{}
		m.speeds[service] = speeds
	}
	return speeds
}

func (m *Machine) estimateOf(s *server) *calibrator.Estimate {
	if s.speed.estimate == nil {
		s.speed.estimate = m.speedsOf(s.entry.Service).NewEstimate()
	}
	return s.speed.estimate
}

// forgetSpeed drops the estimate of a server that has ended or moved to another service.
func (m *Machine) forgetSpeed(s *server) {
	if s.speed.estimate != nil {
		m.speedsOf(s.entry.Service).Remove(s.speed.estimate)
	}
	s.speed = serverSpeed{}
}

// criteria returns what the choice of a server depends on besides the servers.
func (m *Machine) criteria(r *request) selector.Criteria {
	c := selector.Criteria{Daemons: m.daemonCount()}
	if m.forecasts(r) {
		c.EventGap, c.First = r.Route.EventGapObjective, r.Route.LatencyObjective
		c.Length = m.speedsOf(r.Service).Length(r.OutputTokens)
	}
	return c
}

// forecast returns what is expected of a server that gets the request.
func (m *Machine) forecast(s *server, unread int) selector.Forecast {
	return m.estimateOf(s).Forecast(m.now, calibrator.Work{Batch: s.batch() + 1, Prompt: unread})
}

// unreadTokens returns the number of tokens of the prompt that a server has to read that has cached a share of it.
func unreadTokens(r *request, cachedShare float64) int {
	return int(math.Round(float64(r.InputTokens) * (1 - cachedShare)))
}

// batch returns the number of requests at the server.
func (s *server) batch() float64 { return float64(len(s.requests)) + s.otherRequests }

// recordSend notes what a server has to read for a request that is about to be sent, and returns what is expected.
func (m *Machine) recordSend(r *request, s *server) selector.Forecast {
	if !m.forecasts(r) {
		return selector.Forecast{}
	}
	r.unread = unreadTokens(r, s.cachedParts.CachedShare(r.Parts))
	f := m.forecast(s, r.unread)
	m.estimateOf(s).ObserveSend(m.now, r.unread, r.Route.EventGapObjective)
	m.speedsOf(r.Service).ObserveLength(r.OutputTokens)
	return f
}

// recordFirst learns from the first event of a stream.
func (m *Machine) recordFirst(r *request) {
	if r.server != nil && m.forecasts(r) {
		m.estimateOf(r.server).ObserveFirst(m.now, m.workOf(r), m.now-r.sentAt)
	}
}

func (m *Machine) attemptProgressed(e AttemptProgressed) {
	if r := m.requestOf(e.Request); r != nil && r.attempt == e.Attempt {
		m.recordPace(r, e.Pace)
	}
}

// recordPace learns from a part of a stream.
func (m *Machine) recordPace(r *request, pace calibrator.Window) {
	if r.server == nil || pace.Gaps == 0 || !m.forecasts(r) {
		return
	}
	m.estimateOf(r.server).ObserveEvents(m.now, m.workOf(r), pace)
	m.logSpeed(r.server)
}

// workOf returns what a request's server runs.
func (m *Machine) workOf(r *request) calibrator.Work {
	return calibrator.Work{Batch: r.server.batch(), Prompt: r.unread}
}

// logSpeed logs that a server has become slower or faster relative to others.
func (m *Machine) logSpeed(s *server) {
	slowness := m.estimateOf(s).Slowness(m.now)
	before := s.speed.logged
	if before == 0 {
		before = 1
	}
	if m.now < s.speed.loggedAt+speedLogInterval || slowness < before*speedLogChange && before < slowness*speedLogChange {
		return
	}
	s.speed.loggedAt, s.speed.logged = m.now, slowness
	m.emit(LogStateChange{
		Subject: "Server " + s.entry.ID, Change: "Speed", Reason: s.entry.Service,
		Detail: strconv.FormatFloat(slowness, 'f', 2, 64) + " times as long as the median",
	})
}

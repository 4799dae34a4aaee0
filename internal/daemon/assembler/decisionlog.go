package assembler

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"

	"samphirewharf/internal/decision/reducer"
)

// sampleThreshold is the number of routing decisions per second above which only one in sampleEvery is logged.
const (
	sampleThreshold = 200
	sampleEvery     = 100
)

// A decisionLog logs routing decisions, sampled under high load.
type decisionLog struct {
	logger *log.Logger

	second   int64
	count    int
	unlogged int
}

// observe logs the routing decisions among the effects. Only the driver's loop calls it.
func (l *decisionLog) observe(_ reducer.Event, effects []reducer.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case reducer.Dispatch:
			l.logDispatch(e)
		case reducer.Forward:
			l.logForward(e)
		case reducer.Refuse:
			l.logRefusal(e)
		}
	}
}

func (l *decisionLog) logDispatch(e reducer.Dispatch) {
	metrics.GetOrCreateCounter(`samphirewharf_routing_decisions_total{action="dispatch"}`).Inc()
	if !l.shouldLog() {
		return
	}
	l.logger.Info().
		Uint64("Request", uint64(e.Request)).
		Int("Attempt", e.Attempt).
		Str("Deployment", e.Decision.Deployment).
		Str("Server", e.Server).
		Str("Replica", e.Replica).
		Str("Adapter", e.Adapter).
		Str("Reason", e.Decision.Reason).
		Float64("Score", e.Decision.Score).
		Str("Other", e.Decision.Other).
		Float64("OtherScore", e.Decision.OtherScore).
		Dur("Waited", e.Decision.Waited).
		Int("Unlogged", l.takeUnlogged()).
		Msg("request routed")
}

func (l *decisionLog) logForward(e reducer.Forward) {
	metrics.GetOrCreateCounter(`samphirewharf_routing_decisions_total{action="forward"}`).Inc()
	if !l.shouldLog() {
		return
	}
	l.logger.Info().
		Uint64("Request", uint64(e.Request)).
		Int("Attempt", e.Attempt).
		Str("Daemon", e.Daemon).
		Str("Reason", e.Reason).
		Msg("request forwarded")
}

func (l *decisionLog) logRefusal(e reducer.Refuse) {
	metrics.GetOrCreateCounter(`samphirewharf_routing_decisions_total{action="refuse"}`).Inc()
	if !l.shouldLog() {
		return
	}
	l.logger.Info().
		Uint64("Request", uint64(e.Request)).
		Int("Code", int(e.Refusal.Code)).
		Str("CodeName", e.Refusal.Code.String()).
		Str("Ran", e.Refusal.Ran.String()).
		Dur("RetryAfter", e.Refusal.RetryAfter).
		Str("RefusedFor", e.Refusal.Detail).
		Msg("request refused")
}

// shouldLog reports whether to log a decision, and counts those that are not logged.
func (l *decisionLog) shouldLog() bool {
	second := time.Now().Unix()
	if second != l.second {
		l.second, l.count = second, 0
	}
	l.count++
	if l.count <= sampleThreshold || l.count%sampleEvery == 0 {
		return true
	}
	l.unlogged++
	return false
}

// takeUnlogged returns how many decisions were not logged since the last call.
func (l *decisionLog) takeUnlogged() int {
	unlogged := l.unlogged
	l.unlogged = 0
	return unlogged
}

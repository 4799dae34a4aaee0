package gateway

import (
	"time"

	"samphirewharf/internal/decision/calibrator"
	"samphirewharf/internal/decision/conductor"
)

// paceInterval is the least time between two reports of the pace of one stream.
const paceInterval = time.Second

// A pace records the times between events of one attempt.
type pace struct {
	lastAt time.Time
	window calibrator.Window
}

// record adds an event.
func (p *pace) record(now time.Time) {
	if !p.lastAt.IsZero() {
		gap := now.Sub(p.lastAt)
		p.window.Gaps++
		p.window.Span += gap
		p.window.Longest = max(p.window.Longest, gap)
	}
	p.lastAt = now
}

// recordPace records an event that is sent to the caller, and reports the pace if that is due.
func (a *attempt) recordPace(now time.Time) {
	a.pace.record(now)
	if !a.send.ReportPace || a.pace.window.Span < paceInterval {
		return
	}
	a.exchange.gateway.Post(conductor.AttemptProgressed{Request: a.exchange.id, Attempt: a.send.Attempt, Pace: a.pace.window})
	a.pace.window = calibrator.Window{}
}

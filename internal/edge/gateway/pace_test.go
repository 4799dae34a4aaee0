package gateway

import (
	"testing"
	"time"

	"samphirewharf/internal/decision/calibrator"
	"samphirewharf/internal/decision/conductor"
)

// TestPace guards against an event for each token, and against times between events that are lost or counted twice.
func TestPace(t *testing.T) {
	var posted []calibrator.Window
	g := &Gateway{Post: func(e conductor.Event) { posted = append(posted, e.(conductor.AttemptProgressed).Pace) }}
	a := &attempt{exchange: &exchange{gateway: g}, send: conductor.Send{ReportPace: true}}
	start := time.Now()
	a.recordPace(start)
	for n := range 25 {
		a.recordPace(start.Add(time.Duration(n+1) * 100 * time.Millisecond))
	}
	a.recordPace(start.Add(2800 * time.Millisecond))
	assertEqual(t, "reports", len(posted), 2)
	assertEqual(t, "report", posted[1], calibrator.Window{Gaps: 10, Span: time.Second, Longest: 100 * time.Millisecond})
	assertEqual(t, "rest", a.pace.window, calibrator.Window{Gaps: 6, Span: 800 * time.Millisecond, Longest: 300 * time.Millisecond})

	a = &attempt{exchange: &exchange{gateway: g}}
	a.recordPace(start)
	a.recordPace(start.Add(2 * time.Second))
	assertEqual(t, "reports after those of an attempt that needs none", len(posted), 2)
}

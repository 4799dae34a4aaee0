package gateway

import (
	"context"
	"net/http"
	"time"

	"samphirewharf/internal/caller/refuser"
	"samphirewharf/internal/decision/conductor"
	"samphirewharf/internal/decision/reducer"
	"samphirewharf/internal/entry/acceptor"
)

// An exchange carries out the effects of one request until its final answer.
type exchange struct {
	gateway *Gateway
	writer  *acceptor.Writer
	// caller ends when the caller leaves.
	callerCtx context.Context //nolint:containedctx // It spans the exchange's life.
	header    RequestHeader
	host      string
	method    string
	uri       string
	body      []byte
	arrived   conductor.RequestArrived
	start     time.Time
	id        reducer.RequestID
	effects   <-chan conductor.Effect

	// attempt is the running attempt, nil if there is none. While one runs, only it uses writer, progress, first,
	// firstAfter, held, eventAt and pause.
	attempt  *attempt
	progress progress
	// first is the header of the answer that the caller is being passed, nil before.
	firstHeader http.Header
	// firstAfter is the time to the first part of the answer.
	firstLatency time.Duration
	// eventAt is when the caller was passed the last event, pause the longest time between two.
	lastEventAt  time.Time
	longestPause time.Duration
	// attempts is how many sends there were.
	attempts int
	// held is an answer that reports an error of the server, kept in case another one does better.
	buffered *answer
	// gone tells that the caller has left.
	callerLeft bool
}

// An answer is a whole answer of a server.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// run posts the request and carries out effects until the answer is final or the caller has left.
func (x *exchange) run() {
	arrived := x.arrived
	arrived.Request = x.id
	x.gateway.Post(arrived)
	callerDone := x.callerCtx.Done()
	for {
		select {
		case effect := <-x.effects:
			if x.apply(effect) {
				return
			}
		case ended := <-x.ended():
			if x.attemptEnded(ended) {
				return
			}
		case <-callerDone:
			callerDone = nil
			if x.handleCallerLeft() {
				return
			}
		}
	}
}

// apply carries out one effect. It returns true after the final one.
func (x *exchange) apply(effect conductor.Effect) bool {
	switch e := effect.(type) {
	case conductor.Send:
		x.attempts++
		x.attempt = newAttempt(x, e)
		go x.attempt.run()
		return false
	case conductor.Cancel:
		if x.attempt != nil && x.attempt.send.Attempt == e.Attempt {
			x.attempt.cancel(context.Canceled)
			x.writer.Hurry()
		}
		return x.callerLeft && x.attempt == nil
	case conductor.Deliver:
		x.deliver()
		return true
	case conductor.Refuse:
		x.stopAttempt()
		x.refuse(e)
		return true
	default:
		x.stopAttempt()
		return true
	}
}

// deliver passes on the answer that was kept.
func (x *exchange) deliver() {
	if x.buffered == nil || x.writer.Started() {
		x.writer.Abort()
		return
	}
	x.setHeader(x.buffered.header)
	x.countOutcome(refuser.CodeOK, x.buffered.status)
	x.gateway.logCallerLeft(x.writer.WriteWhole(x.buffered.status, x.buffered.body))
}

// attemptEnded reports the end of the running attempt. It returns true if nothing is left to do.
func (x *exchange) attemptEnded(ended conductor.AttemptEnded) bool {
	x.attempt = nil
	x.gateway.Post(ended)
	done := ended.Outcome == reducer.AttemptDone && !ended.Buffered
	if done {
		x.countOutcome(refuser.CodeOK, ended.Status)
	}
	return done || x.callerLeft
}

// ended returns the channel that the running attempt's end comes on, nil if none runs.
func (x *exchange) ended() <-chan conductor.AttemptEnded {
	if x.attempt == nil {
		return nil
	}
	return x.attempt.ended
}

// handleCallerLeft reports that the caller has left. It returns true if no attempt has to be seen to its end.
func (x *exchange) handleCallerLeft() bool {
	x.callerLeft = true
	x.gateway.Post(conductor.CallerLeft{Request: x.id})
	x.countOutcome(refuser.CodeCallerLeft, refuser.CodeCallerLeft.HTTPStatus())
	return x.attempt == nil && x.applyPendingEffect()
}

// applyPendingEffect tells that no effect that begins an attempt is on its way.
func (x *exchange) applyPendingEffect() bool {
	select {
	case effect := <-x.effects:
		return x.apply(effect)
	default:
		return true
	}
}

// stopAttempt cancels the running attempt, if there is one, and reports its end.
func (x *exchange) stopAttempt() {
	if x.attempt == nil {
		return
	}
	x.attempt.cancel(context.Canceled)
	x.writer.Hurry()
	ended := <-x.attempt.ended
	x.attempt = nil
	x.gateway.Post(ended)
}

// refuse writes the final answer, or breaks off one that has begun.
func (x *exchange) refuse(e conductor.Refuse) {
	if x.callerLeft {
		return
	}
	refusal := refusalFor(e)
	x.countOutcome(refusal.Code, refusal.Code.HTTPStatus())
	if x.writer.Started() {
		x.writer.Abort()
		return
	}
	x.gateway.writeRefusal(x.writer, refusal)
}

// countOutcome reports the outcome. The times of an answer are left out while an attempt runs, which owns them.
func (x *exchange) countOutcome(code refuser.Code, status int) {
	o := Outcome{
		Kind: x.arrived.Route.Kind, Route: x.arrived.Route.Name, Code: code, Status: status,
		TotalLatency: time.Since(x.start), Attempts: x.attempts,
	}
	if x.attempt == nil {
		o.FirstLatency, o.LongestPause = x.firstLatency, x.longestPause
	}
	x.gateway.Count(o)
}

// recordPause notes that the caller is passed an event.
func (x *exchange) recordPause(now time.Time) {
	if !x.lastEventAt.IsZero() {
		x.longestPause = max(x.longestPause, now.Sub(x.lastEventAt))
	}
	x.lastEventAt = now
}

func (x *exchange) setHeader(header http.Header) {
	for name, values := range header {
		x.writer.Header()[name] = values
	}
}

// refusalCodes are the codes of refusals of requests that have not run.
var refusalCodes = map[conductor.RefusalReason]refuser.Code{
	conductor.RefusedNoServer: refuser.CodeNoServer,
	conductor.RefusedCold:     refuser.CodeColdStartTooSlow,
	conductor.RefusedFull:     refuser.CodeNoCapacity,
	conductor.RefusedExpired:  refuser.CodeDeadlineUnreachable,
	conductor.RefusedTimeout:  refuser.CodeDeadlineExpired,
	conductor.RefusedBroken:   refuser.CodeServerFailed,
	conductor.RefusedBudget:   refuser.CodeServerRefused,
	conductor.RefusedPoison:   refuser.CodePoisonHeldBack,
	conductor.RefusedStopping: refuser.CodeDaemonStopping,
}

// refusalFor returns the refusal that a caller gets. Statuses that promise that nothing has run are kept for requests
// of which that is true.
func refusalFor(e conductor.Refuse) refuser.Refusal {
	code := refusalCodes[e.Reason]
	refusal := refuser.Refusal{Code: code, RetryAfter: e.RetryAfter, Ran: refuser.NotRun}
	if !e.MayHaveRun {
		return refusal
	}
	refusal.Ran = refuser.MayHaveRun
	if code.HTTPStatus() < http.StatusInternalServerError || code.HTTPStatus() == http.StatusServiceUnavailable {
		refusal.Code = refuser.CodeServerFailed
	}
	return refusal
}

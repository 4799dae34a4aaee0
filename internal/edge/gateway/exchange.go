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
	caller  context.Context //nolint:containedctx // It spans the exchange's life.
	header  RequestHeader
	host    string
	method  string
	uri     string
	body    []byte
	arrived conductor.RequestArrived
	start   time.Time
	id      reducer.RequestID
	effects <-chan conductor.Effect

	// attempt is the running attempt, nil if there is none. While one runs, only it uses writer, progress, first,
	// firstAfter, held, eventAt and pause.
	attempt  *attempt
	progress progress
	// first is the header of the answer that the caller is being passed, nil before.
	first http.Header
	// firstAfter is the time to the first part of the answer.
	firstAfter time.Duration
	// eventAt is when the caller was passed the last event, pause the longest time between two.
	eventAt time.Time
	pause   time.Duration
	// attempts is how many sends there were.
	attempts int
	// held is an answer that reports an error of the server, kept in case another one does better.
	held *answer
	// gone tells that the caller has left.
	gone bool
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
	left := x.caller.Done()
	for {
		select {
		case effect := <-x.effects:
			if x.apply(effect) {
				return
			}
		case ended := <-x.ended():
			if x.end(ended) {
				return
			}
		case <-left:
			left = nil
			if x.leave() {
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
		return x.gone && x.attempt == nil
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
	if x.held == nil || x.writer.Started() {
		x.writer.Abort()
		return
	}
	x.commitHeader(x.held.header)
	x.count(refuser.CodeOK, x.held.status)
	x.gateway.left(x.writer.WriteWhole(x.held.status, x.held.body))
}

// end reports the end of the running attempt. It returns true if nothing is left to do.
func (x *exchange) end(ended conductor.AttemptEnded) bool {
	x.attempt = nil
	x.gateway.Post(ended)
	done := ended.Outcome == reducer.AttemptDone && !ended.Buffered
	if done {
		x.count(refuser.CodeOK, ended.Status)
	}
	return done || x.gone
}

// ended returns the channel that the running attempt's end comes on, nil if none runs.
func (x *exchange) ended() <-chan conductor.AttemptEnded {
	if x.attempt == nil {
		return nil
	}
	return x.attempt.ended
}

// leave reports that the caller has left. It returns true if no attempt has to be seen to its end.
func (x *exchange) leave() bool {
	x.gone = true
	x.gateway.Post(conductor.CallerLeft{Request: x.id})
	x.count(refuser.CodeCallerLeft, refuser.CodeCallerLeft.HTTPStatus())
	return x.attempt == nil && x.settled()
}

// settled tells that no effect that begins an attempt is on its way.
func (x *exchange) settled() bool {
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
	if x.gone {
		return
	}
	refusal := refusalFor(e)
	x.count(refusal.Code, refusal.Code.HTTPStatus())
	if x.writer.Started() {
		x.writer.Abort()
		return
	}
	x.gateway.writeRefusal(x.writer, refusal)
}

// count reports the outcome. The times of an answer are left out while an attempt runs, which owns them.
func (x *exchange) count(code refuser.Code, status int) {
	o := Outcome{
		Kind: x.arrived.Route.Kind, Route: x.arrived.Route.Name, Code: code, Status: status,
		TotalLatency: time.Since(x.start), Attempts: x.attempts,
	}
	if x.attempt == nil {
		o.FirstLatency, o.LongestPause = x.firstAfter, x.pause
	}
	x.gateway.Count(o)
}

// notePause notes that the caller is passed an event.
func (x *exchange) notePause(now time.Time) {
	if !x.eventAt.IsZero() {
		x.pause = max(x.pause, now.Sub(x.eventAt))
	}
	x.eventAt = now
}

func (x *exchange) commitHeader(header http.Header) {
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

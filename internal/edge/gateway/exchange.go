package gateway

import (
	"context"
	"net/http"
	"strings"
	"time"

	"samphirewharf/internal/caller/refuser"
	"samphirewharf/internal/decision/conductor"
	"samphirewharf/internal/decision/reducer"
	"samphirewharf/internal/decision/validator"
	"samphirewharf/internal/entry/acceptor"
)

// An exchange carries out the effects of one request until its final answer.
type exchange struct {
	gateway *Gateway
	writer  *acceptor.Writer
	// callerCtx is cancelled when the caller leaves.
	callerCtx context.Context //nolint:containedctx // It lives as long as the exchange.
	header    RequestHeader
	host      string
	method    string
	uri       string
	body      []byte
	arrived   conductor.RequestArrived
	start     time.Time
	// delegatedBy is the daemon that has passed the request on, empty if a caller sent it.
	delegatedBy string
	id          reducer.RequestID
	effects     <-chan conductor.Effect

	// attempt is the running attempt, nil if there is none. While one runs, only its goroutine uses writer, position,
	// firstHeader, firstLatency, buffered, lastEventAt and longestPause.
	attempt  *attempt
	position validator.Position
	// firstHeader is the header of the answer that is being sent to the caller, nil until that starts.
	firstHeader http.Header
	// firstLatency is the time until the first part of the answer.
	firstLatency time.Duration
	// lastEventAt is when the last event was sent to the caller, longestPause the longest time between two events.
	lastEventAt  time.Time
	longestPause time.Duration
	// attempts counts the attempts.
	attempts int
	// buffered is an answer with a server error, kept in case a retry at another server doesn't succeed.
	buffered *answer
	// callerLeft reports whether the caller has left.
	callerLeft bool
}

// An answer is a complete answer of a server.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// run posts the request and carries out effects until the final answer was sent or the caller has left.
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

// apply carries out one effect. It returns true after the last one.
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
			x.writer.ShortenWriteTimeout()
		}
		return x.callerLeft && x.attempt == nil
	case conductor.Abandon:
		if x.attempt != nil && x.attempt.send.Attempt == e.Attempt {
			x.attempt.cancel(errServerSilent)
		}
		return false
	case conductor.Withdraw:
		if x.attempt != nil && x.attempt.send.Attempt == e.Attempt {
			x.attempt.withdrawal.Withdraw()
		}
		return false
	case conductor.Deliver:
		x.stopAttempt()
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

// deliver sends the buffered answer to the caller.
func (x *exchange) deliver() {
	if x.buffered == nil || x.writer.Started() {
		x.writer.Abort()
		return
	}
	x.setHeader(x.buffered.header)
	x.countOutcome(refuser.CodeOK, x.buffered.status)
	x.gateway.logCallerLeft(x.writer.WriteWhole(x.buffered.status, x.buffered.body))
}

// attemptEnded reports the end of the running attempt to the conductor. It returns true if the exchange is complete.
func (x *exchange) attemptEnded(ended conductor.AttemptEnded) bool {
	x.attempt = nil
	x.gateway.Post(ended)
	done := ended.Outcome == reducer.AttemptDone && !ended.Buffered
	if done {
		x.countOutcome(refuser.CodeOK, ended.Status)
	}
	return done || x.callerLeft
}

// ended returns the channel that receives the end of the running attempt, nil if none runs.
func (x *exchange) ended() <-chan conductor.AttemptEnded {
	if x.attempt == nil {
		return nil
	}
	return x.attempt.ended
}

// handleCallerLeft reports to the conductor that the caller has left. It returns true if no attempt is running or about
// to start.
func (x *exchange) handleCallerLeft() bool {
	x.callerLeft = true
	x.gateway.Post(conductor.CallerLeft{Request: x.id})
	x.countOutcome(refuser.CodeCallerLeft, refuser.CodeCallerLeft.HTTPStatus())
	return x.attempt == nil && x.applyPendingEffect()
}

// applyPendingEffect applies the next effect if one is waiting. It returns true unless that effect leaves work to do,
// such as an attempt that it started.
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
	x.writer.ShortenWriteTimeout()
	ended := <-x.attempt.ended
	x.attempt = nil
	x.gateway.Post(ended)
}

// refuse sends the refusal to the caller, or aborts the connection if an answer has already started.
func (x *exchange) refuse(e conductor.Refuse) {
	if x.callerLeft {
		return
	}
	refusal := refusalFor(e)
	x.markRejection(e)
	x.countOutcome(refusal.Code, refusal.Code.HTTPStatus())
	if x.writer.Started() {
		x.writer.Abort()
		return
	}
	x.gateway.writeRefusal(x.writer, refusal)
}

// countOutcome reports the outcome. It leaves out the latencies while an attempt runs, whose goroutine owns them.
func (x *exchange) countOutcome(code refuser.Code, status int) {
	o := Outcome{
		Kind: x.arrived.Route.Kind, Route: x.arrived.Route.Name, Workspace: x.arrived.Workspace, Code: code, Status: status,
		TotalLatency: time.Since(x.start), Attempts: x.attempts,
	}
	if x.attempt == nil {
		o.FirstLatency, o.LongestPause = x.firstLatency, x.longestPause
	}
	x.gateway.Count(o)
}

// recordPause updates longestPause for an event that is about to be sent to the caller.
func (x *exchange) recordPause(now time.Time) {
	if !x.lastEventAt.IsZero() {
		x.longestPause = max(x.longestPause, now.Sub(x.lastEventAt))
	}
	x.lastEventAt = now
}

// setHeader sets the fields of a server's answer, without those that daemons write for each other. The server's own would be believed.
func (x *exchange) setHeader(header http.Header) {
	for name, values := range header {
		if !strings.HasPrefix(name, daemonFieldPrefix) {
			x.writer.Header()[name] = values
		}
	}
}

// refusalCodes maps the reasons of the conductor to codes, for requests that have not run.
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
	conductor.RefusedOrigin:   refuser.CodeStreamOriginUnknown,
	conductor.RefusedLink:     refuser.CodeNoLink,

	conductor.RefusedQuota:        refuser.CodeQuotaExceeded,
	conductor.RefusedQuotaUnknown: refuser.CodeQuotaUnknown,
}

// refusalFor returns the refusal that is sent to the caller. If the request may have run, it replaces codes whose
// status promises that it hasn't.
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

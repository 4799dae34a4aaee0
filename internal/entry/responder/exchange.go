package responder

import (
	"context"
	"fmt"

	"samphirewharf/internal/caller/refuser"
	"samphirewharf/internal/decision/reducer"
	"samphirewharf/internal/decision/validator"
	"samphirewharf/internal/entry/acceptor"
)

// An exchange carries out the effects of one request until its final response.
type exchange struct {
	responder *Responder
	writer    *acceptor.Writer
	inbound   *inbound
	// callerCtx is cancelled when the caller disconnects.
	callerCtx context.Context
	id        reducer.RequestID
	effects   <-chan reducer.Effect

	// attempt is the running attempt, nil if there is none. While an attempt runs, only it uses writer, position and
	// partlyRelayed.
	attempt  *attempt
	position validator.Position
	// partlyRelayed is true if part of a response that can't be resumed was relayed.
	partlyRelayed bool
	// dispatched is true if an attempt was started.
	dispatched bool
}

// run posts the request and carries out effects until the final response or until the caller disconnects.
func (x *exchange) run() {
	event := x.inbound.event
	event.Request = x.id
	x.responder.Post(event)
	for {
		select {
		case effect := <-x.effects:
			if x.apply(effect) {
				return
			}
		case ended := <-x.attemptEnded():
			if x.endAttempt(ended) {
				return
			}
		case <-x.callerCtx.Done():
			x.handleCallerLeft()
			return
		}
	}
}

// writeAnswer writes the stored answer of an earlier request.
func (x *exchange) writeAnswer(e reducer.Answer) {
	if x.writer.Started() {
		x.writer.Abort()
		return
	}
	setOrDelete(x.writer.Header(), "Content-Type", e.ContentType)
	if err := x.writer.WriteWhole(e.Status, e.Body); err != nil {
		x.responder.logger().Debug().Err(err).Msg("caller disconnected before the response")
	}
}

// apply carries out one effect and reports whether it was the final one.
func (x *exchange) apply(effect reducer.Effect) bool {
	switch e := effect.(type) {
	case reducer.Dispatch:
		return x.startAttempt(newDispatch(x, e))
	case reducer.Forward:
		return x.startAttempt(newForward(x, e))
	case reducer.Cancel:
		if x.attempt != nil && x.attempt.number == e.Attempt {
			x.cancelAttempt()
		}
		return false
	case reducer.Refuse:
		if !x.stopAttempt() {
			x.refuse(e.Refusal)
		}
		return true
	case reducer.Answer:
		if !x.stopAttempt() {
			x.writeAnswer(e)
		}
		return true
	default:
		x.stopAttempt()
		x.refuse(x.missingAnswerRefusal(effect))
		return true
	}
}

// startAttempt starts an attempt after the previous one has ended. It returns true if the previous one had completed
// the response.
func (x *exchange) startAttempt(a *attempt) bool {
	if x.stopAttempt() {
		return true
	}
	x.attempt = a
	x.dispatched = true
	go a.run()
	return false
}

// cancelAttempt closes the running attempt's connection to the server and shortens the timeout of a write to the
// caller.
func (x *exchange) cancelAttempt() {
	x.attempt.cancel()
	x.writer.ShortenWriteTimeout()
}

// endAttempt posts the end of the running attempt. It returns true if the caller has received the complete response.
func (x *exchange) endAttempt(ended reducer.AttemptEnded) bool {
	x.attempt = nil
	countAttempt(ended.Outcome)
	x.responder.Post(ended)
	return ended.Outcome == reducer.AttemptDone
}

// attemptEnded returns the channel that receives the end of the running attempt, nil if there is none.
func (x *exchange) attemptEnded() <-chan reducer.AttemptEnded {
	if x.attempt == nil {
		return nil
	}
	return x.attempt.ended
}

// handleCallerLeft cancels the running attempt because the caller has disconnected. An attempt whose answer is to be
// stored continues, since cancelling a request that must not be repeated leaves its outcome unknown.
func (x *exchange) handleCallerLeft() {
	stored := x.attempt != nil && x.attempt.answer.enabled && !x.inbound.event.Stream
	if x.attempt != nil && !stored {
		x.cancelAttempt()
	}
	x.responder.Post(reducer.CallerLeft{Request: x.id})
	if stored {
		x.endAttempt(<-x.attempt.ended)
		return
	}
	x.stopAttempt()
}

// refuse ends the response with a refusal, in the form that is still possible.
func (x *exchange) refuse(refusal refuser.Refusal) {
	switch {
	case !x.writer.Started():
		x.responder.refuse(x.writer, refusal)
	case x.partlyRelayed:
		countRefusal(refusal.Code)
		x.writer.Abort()
	default:
		countRefusal(refusal.Code)
		x.refuseStream(refusal)
	}
}

// refuseStream ends an event stream with an error event and without [DONE].
func (x *exchange) refuseStream(refusal refuser.Refusal) {
	_, err := fmt.Fprintf(x.writer, "event: error\ndata: %s\n\n", refusal.Problem())
	if err == nil {
		err = x.writer.Flush()
	}
	if err != nil {
		x.responder.logger().Debug().Err(err).Msg("caller disconnected before the end of the stream")
	}
}

// stopAttempt cancels the running attempt, if any, and posts its end. It returns true if the caller has received the
// complete response nevertheless.
func (x *exchange) stopAttempt() bool {
	if x.attempt == nil {
		return false
	}
	x.cancelAttempt()
	return x.endAttempt(<-x.attempt.ended)
}

// missingAnswerRefusal returns the refusal of a request that the reducer ended without an answer, or with an
// unexpected effect.
func (x *exchange) missingAnswerRefusal(effect reducer.Effect) refuser.Refusal {
	x.responder.logger().Error().Str("Effect", fmt.Sprintf("%T", effect)).Msg("reducer ended a request without an answer")
	refusal := refuser.Refusal{Code: refuser.CodeDaemonStopping, Detail: "the daemon gave the request up"}
	if x.dispatched {
		refusal.Ran = refuser.MayHaveRun
	}
	return refusal
}

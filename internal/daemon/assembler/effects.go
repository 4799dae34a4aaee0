package assembler

import "samphirewharf/internal/decision/reducer"

// undeliveredEvent returns the event that ends the attempt of an effect whose handler has returned. A handler ends
// every attempt that it has started before it returns, so an undelivered Cancel concerns only attempts that were never
// started.
func undeliveredEvent(effect reducer.Effect) (reducer.Event, bool) {
	switch e := effect.(type) {
	case reducer.Dispatch:
		return reducer.AttemptEnded{Request: e.Request, Attempt: e.Attempt, Outcome: reducer.AttemptNotSent}, true
	case reducer.Forward:
		return reducer.AttemptEnded{Request: e.Request, Attempt: e.Attempt, Outcome: reducer.AttemptNotSent}, true
	case reducer.Cancel:
		return reducer.AttemptEnded{Request: e.Request, Attempt: e.Attempt, Outcome: reducer.AttemptCancelled}, true
	default:
		return nil, false
	}
}

// requestOf returns the request that an effect concerns.
func requestOf(effect reducer.Effect) (reducer.RequestID, bool) {
	switch e := effect.(type) {
	case reducer.Dispatch:
		return e.Request, true
	case reducer.Forward:
		return e.Request, true
	case reducer.Refuse:
		return e.Request, true
	case reducer.Answer:
		return e.Request, true
	case reducer.Addresses:
		return e.Request, true
	case reducer.Cancel:
		return e.Request, true
	default:
		return 0, false
	}
}

package responder

import (
	"errors"
	"slices"

	"samphirewharf/internal/decision/reducer"
	"samphirewharf/internal/entry/streamer"
	"samphirewharf/internal/network/bounder"
	"samphirewharf/internal/network/inspector"
)

// errInvalidEvent is returned for an event that doesn't follow those that the caller has.
var errInvalidEvent = errors.New("invalid event")

// invalidAnswers are the errors for answers that a server sent, but that aren't valid.
var invalidAnswers = []error{
	errInvalidEvent, errNotEventStream, errIncompleteStream, errInvalidRefusal, bounder.ErrTooLarge, inspector.ErrInvalidHead, inspector.ErrReset,
	inspector.ErrUnsolicited, streamer.ErrEventTooLarge, streamer.ErrMalformedEvent, streamer.ErrOtherRequest, streamer.ErrResponseInEvent,
	streamer.ErrTooManyEvents,
}

// isInvalid reports whether an attempt ended because the answer isn't valid.
func isInvalid(err error) bool {
	return slices.ContainsFunc(invalidAnswers, func(invalid error) bool { return errors.Is(err, invalid) })
}

// logEnd logs the end of a failed attempt. An answer that was given up as invalid is logged at info level, since it may be the only sign
// of a server that writes something else than its runs have made.
func (a *attempt) logEnd(ended reducer.AttemptEnded, err error) {
	logger := a.exchange.responder.logger()
	if ended.Outcome != reducer.AttemptFailed || !isInvalid(err) {
		logger.Debug().Err(err).Str("Request", a.call.ID).Str("Address", a.call.Address).
			Str("Outcome", outcomeNames[ended.Outcome]).Msg("attempt ended")
		return
	}
	entry := logger.Info().Str("Request", a.call.ID).Int("Attempt", a.number).Str("Server", a.server).Str("Address", a.call.Address).
		Int("Events", ended.Tokens)
	if last, ok := a.exchange.position.Last(); ok {
		entry = entry.Int("LastEvent", last)
	}
	entry.Str("Detail", streamer.Detail(err)).Msg("invalid answer given up")
}

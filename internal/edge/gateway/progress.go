package gateway

import (
	"errors"
	"fmt"

	"samphirewharf/internal/entry/streamer"
)

// errGap means that a resumed stream doesn't continue with the event after the last one sent.
var errGap = errors.New("events of the stream are missing")

// A progress tracks the events of a stream that were sent to the caller, over all attempts.
type progress struct {
	// lastID is the ID of the last event sent, valid if numbered is true.
	lastID   int
	numbered bool
	// count is the number of events sent.
	count int
}

// accept reports whether to send an event; it returns false for an event that the caller already has. It returns
// errGap if an event is missing, or if an event has no ID in a numbered or resumed stream.
func (p *progress) accept(event streamer.Event, resuming bool) (bool, error) {
	switch {
	case !event.HasID && (resuming || p.numbered):
		return false, fmt.Errorf("event without an ID after %d: %w", p.lastID, errGap)
	case !event.HasID:
	case p.numbered && event.ID <= p.lastID:
		if !resuming {
			return false, fmt.Errorf("event %d after %d: %w", event.ID, p.lastID, errGap)
		}
		return false, nil
	case p.numbered && event.ID != p.lastID+1:
		return false, fmt.Errorf("event %d after %d: %w", event.ID, p.lastID, errGap)
	default:
		p.lastID, p.numbered = event.ID, true
	}
	p.count++
	return true, nil
}

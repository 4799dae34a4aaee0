package gateway

import (
	"errors"
	"fmt"

	"samphirewharf/internal/entry/streamer"
)

// errGap means that a resumed stream doesn't go on where it broke off.
var errGap = errors.New("events of the stream are missing")

// A progress tells how far a stream of events has come over all attempts.
type progress struct {
	// last is the number of the last event that the caller was sent, if numbered.
	lastID   int
	numbered bool
	count    int
}

// accept tells whether an event is the caller's next one; it isn't if the caller has had it. It fails if one is
// missing, or if the event can't be placed in a stream that was resumed.
func (p *progress) accept(event streamer.Event, resuming bool) (bool, error) {
	switch {
	case !event.HasID && (resuming || p.numbered):
		return false, fmt.Errorf("event without a number after %d: %w", p.lastID, errGap)
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

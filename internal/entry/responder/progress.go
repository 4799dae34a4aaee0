package responder

import (
	"errors"
	"fmt"

	"samphirewharf/internal/entry/streamer"
)

var (
	errGap        = errors.New("events of the stream are missing")
	errUnnumbered = errors.New("a resumed stream has an event without a number")
)

// progress tells how far a stream of events has come over all attempts.
type progress struct {
	// sent is how many events the caller has been sent, [DONE] not included.
	sent int
	// first is the number of the stream's first event, if numbered.
	first    int
	numbered bool
}

// isNext tells whether an event is the next one; it isn't if the caller has had it. It fails if one is missing, or
// if the event can't be placed in a stream that was resumed.
func (p *progress) isNext(event streamer.Event, resumed bool) (bool, error) {
	if !event.HasID {
		if resumed || p.numbered {
			return false, errUnnumbered
		}
		return true, nil
	}
	if p.sent == 0 && !p.numbered {
		p.first = event.ID
		p.numbered = true
	}
	if !p.numbered {
		return false, errUnnumbered
	}
	next := p.first + p.sent
	if event.ID > next {
		return false, fmt.Errorf("event %d after %d: %w", event.ID, next-1, errGap)
	}
	return event.ID == next, nil
}

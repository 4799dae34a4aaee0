package responder

import (
	"errors"
	"fmt"

	"samphirewharf/internal/entry/streamer"
)

var (
	errGap        = errors.New("the stream has missing events")
	errUnnumbered = errors.New("a resumed stream has an event without a number")
)

// A progress tracks how many events of a stream the caller has received over all attempts.
type progress struct {
	// sent is the number of events sent to the caller, not including [DONE].
	sent int
	// first is the number of the stream's first event, if numbered is true.
	first    int
	numbered bool
}

// isNext reports whether an event is the next one for the caller; it is not if the caller has already received it. It
// returns an error if an event is missing, or if the event's position in a resumed stream is unknown. It records the
// number of the stream's first event.
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

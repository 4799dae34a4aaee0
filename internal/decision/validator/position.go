package validator

import (
	"errors"
	"fmt"
)

// Reasons why an event isn't passed on.
var (
	ErrUnnumbered  = errors.New("event without a number")
	ErrNumbered    = errors.New("event with a number in a stream without numbers")
	ErrNoData      = errors.New("event without data")
	ErrGap         = errors.New("events of the stream are missing")
	ErrOrder       = errors.New("event is out of order")
	ErrNoEvents    = errors.New("stream ended before its first event")
	ErrShort       = errors.New("stream ended before the events that the caller has")
	ErrNumberedEnd = errors.New("end of the stream has a number")
)

// numbering is whether the events of a stream have numbers.
type numbering uint8

const (
	// undecided: the first event decides.
	undecided numbering = iota
	numbered
	unnumbered
)

// A Position is what a caller has of a stream, and what the attempt that goes on with it has sent. The zero value is the start of a
// stream of which nothing says whether its events have numbers, or from which number on; WithFirst bounds that number, WithNumbers and
// WithLast say it.
type Position struct {
	numbering numbering
	// known reports whether the next number is known: from the start, or since the first event.
	known bool
	// first is the number of the stream's first event, last that of the last event that the caller has, first-1 if it has none. Both are
	// valid if known is true.
	first, last int
	// minFirst and maxFirst bound the number of the first event, if bounded is true and known is false.
	minFirst, maxFirst int
	bounded            bool
	// count is the number of events passed on, over all attempts.
	count int
	// continued reports whether earlier attempts have passed on events.
	continued bool
	// attemptLast is the number of the attempt's last event, valid if attemptBegun is true.
	attemptLast  int
	attemptBegun bool
}

// WithNumbers returns the position in a stream whose events must have the numbers from first on.
func (p Position) WithNumbers(first int) Position {
	p.numbering, p.first, p.last, p.known = numbered, first, first-1, true
	return p
}

// WithFirst returns the position in a stream that may begin with an event without a number, or with one from minFirst to maxFirst. An attempt
// that goes on with it begins with the event after the last one, or anew: others may count from another first number.
func (p Position) WithFirst(minFirst, maxFirst int) Position {
	p.minFirst, p.maxFirst, p.bounded = minFirst, maxFirst, true
	return p
}

// WithLast returns the position of a caller that already has the events up to a number.
func (p Position) WithLast(last int) Position {
	p.numbering, p.last, p.known = numbered, max(last, p.first-1), true
	return p
}

// WithAttempt returns the position before another attempt goes on with the stream.
func (p Position) WithAttempt() Position {
	p.continued, p.attemptBegun = p.count > 0, false
	return p
}

// Last returns the number of the last event that the caller has, and false if there is none or it has no number.
func (p Position) Last() (n int, ok bool) { return p.last, p.known && p.last >= p.first }

// Count returns the number of events passed on.
func (p Position) Count() int { return p.count }

// Next returns the position after the attempt's next event, and whether to pass the event on. It isn't passed on if the caller already
// has it. The error says why the attempt's answer isn't valid; the position then stays as it was.
func (p Position) Next(e Event) (next Position, pass bool, err error) {
	switch {
	case !e.HasData && !e.HasIDField:
		// A comment or a reconnection time is no event, and takes no place in the stream.
		return p, p.numbering == unnumbered && !p.continued, nil
	case !e.HasData && p.numbering != unnumbered:
		return p, false, p.invalid(e, ErrNoData)
	case !e.HasID && (p.numbering == numbered || p.continued):
		return p, false, p.invalid(e, ErrUnnumbered)
	case !e.HasID:
		p.numbering = unnumbered
		p.count++
		return p, true, nil
	case p.numbering == unnumbered:
		return p, false, p.invalid(e, ErrNumbered)
	default:
		return p.nextNumbered(e)
	}
}

func (p Position) nextNumbered(e Event) (next Position, pass bool, err error) {
	next = p
	switch {
	case p.known:
	case p.bounded && e.ID > p.maxFirst:
		return p, false, fmt.Errorf("first event %d: %w", e.ID, ErrGap)
	case p.bounded && e.ID < p.minFirst:
		return p, false, fmt.Errorf("first event %d: %w", e.ID, ErrOrder)
	default:
		next.first, next.last, next.known = e.ID, e.ID-1, true
	}
	switch {
	case e.ID > next.last+1:
		return p, false, p.invalid(e, ErrGap)
	case e.ID < next.first:
		return p, false, p.invalid(e, ErrOrder)
	case p.attemptBegun && e.ID != p.attemptLast+1:
		return p, false, p.invalid(e, ErrOrder)
	case !p.attemptBegun && p.bounded && e.ID != next.first && e.ID != next.last+1:
		// The server may count from another first number, so that its numbers in between are those of other events.
		return p, false, p.invalid(e, ErrOrder)
	}
	next.numbering, next.attemptLast, next.attemptBegun = numbered, e.ID, true
	if e.ID <= next.last {
		return next, false, nil
	}
	next.last = e.ID
	next.count++
	return next, true, nil
}

// End returns an error if a stream that ends here can't be whole: a caller without any event gets at least one, and an attempt that
// begins anew doesn't end before the events that the caller has.
func (p Position) End() error {
	_, has := p.Last()
	switch {
	case p.numbering == numbered && p.count == 0 && !has:
		return ErrNoEvents
	case p.attemptBegun && p.attemptLast < p.last:
		return fmt.Errorf("event %d was due: %w", p.due(), ErrShort)
	default:
		return nil
	}
}

// Done returns an error if an event that marks the end of the stream can't come here. It has no number and follows at least one event,
// in a stream that an attempt goes on with all those that the caller has.
func (p Position) Done(e Event) error {
	_, has := p.Last()
	switch {
	case e.HasID || e.HasIDField && p.numbering == numbered:
		return ErrNumberedEnd
	case p.count == 0 && !has:
		return ErrNoEvents
	case p.continued && p.numbering != numbered:
		return ErrUnnumbered
	default:
		return p.End()
	}
}

// invalid returns the error for an event.
func (p Position) invalid(e Event, reason error) error {
	switch {
	case e.HasID && p.known:
		return fmt.Errorf("event %d where %d was due: %w", e.ID, p.due(), reason)
	case p.known:
		return fmt.Errorf("event %d was due: %w", p.due(), reason)
	default:
		return reason
	}
}

// due returns the number that the attempt's next event should have.
func (p Position) due() int {
	if p.attemptBegun {
		return p.attemptLast + 1
	}
	return p.last + 1
}

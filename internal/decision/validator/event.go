// Package validator decides which events of a stream may follow those that its caller already has.
package validator

import "strconv"

// maxNumberDigits bounds the numbers of events, so that the next number never overflows.
const maxNumberDigits = 15

// ParseNumber returns the number of an event as a server or caller writes it. Other spellings of a number, which readers may
// interpret differently, are no numbers.
func ParseNumber(text string) (n int, ok bool) {
	n, err := strconv.Atoi(text)
	if err != nil || n < 0 || len(text) > maxNumberDigits || strconv.Itoa(n) != text {
		return 0, false
	}
	return n, true
}

// An Event is the part of a server-sent event that the decision depends on.
type Event struct {
	// ID is the event's number, if HasID.
	ID    int
	HasID bool
	// HasData reports whether the event has data. Readers of event streams don't dispatch others, such as comments.
	HasData bool
	// HasIDField reports whether there is an ID, which may be no number.
	HasIDField bool
}

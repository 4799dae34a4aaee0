package streamer

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"

	"samphirewharf/internal/decision/validator"
	"samphirewharf/internal/network/bounder"
)

const (
	// MaxEventBytes bounds the size of one server-sent event, and the empty lines before it.
	MaxEventBytes = 256 << 10
	// SmallEventBytes is how much of an event needs no room in a budget.
	SmallEventBytes = 16 << 10
	// MaxEvents bounds the events of one body.
	MaxEvents = 1 << 16
)

// ErrEventTooLarge is returned for an event larger than MaxEventBytes, ErrTooManyEvents for a body of more than MaxEvents, and
// ErrResponseInEvent for the head of a response among events, which a server may write when it fails in the middle of a stream.
var (
	ErrEventTooLarge   = errors.New("server-sent event is too large")
	ErrTooManyEvents   = errors.New("too many server-sent events")
	ErrResponseInEvent = errors.New("head of a response in a server-sent event")
	// ErrMalformedEvent is returned for text that is no event, or that readers of event streams may interpret differently.
	ErrMalformedEvent = errors.New("malformed server-sent event")
)

// statusLinePrefix begins the head of a response. No field of an event begins like that.
const statusLinePrefix = "HTTP/1."

// An Event is one server-sent event, or another block of lines, such as a comment.
type Event struct {
	validator.Event
	// Raw is the event as received, including the empty line at the end. It is valid until the next call of Next.
	Raw []byte
	// Done is true if the data is "[DONE]", which ends a stream.
	Done bool
}

// An EventReader splits a body into server-sent events.
type EventReader struct {
	// Hold is what the event that is being read takes up. The caller releases it.
	Hold bounder.Hold

	reader *bufio.Reader
	raw    []byte
	// events counts the events that were read.
	events int
}

// NewEventReader returns a reader of the events in a body.
func NewEventReader(body io.Reader) *EventReader {
	return &EventReader{reader: bufio.NewReaderSize(body, bufferBytes)}
}

// HasNext reports whether another whole block has already been received, so that Next doesn't wait for the server.
func (e *EventReader) HasNext() bool {
	received, _ := e.reader.Peek(e.reader.Buffered())
	received = bytes.TrimLeft(received, "\r\n")
	return bytes.Contains(received, []byte("\n\n")) || bytes.Contains(received, []byte("\n\r\n"))
}

// Next returns the next event. The error is io.EOF at the end of the body, and io.ErrUnexpectedEOF if the body ends
// within an event.
func (e *EventReader) Next() (Event, error) {
	e.reset()
	event := Event{}
	if e.events++; e.events > MaxEvents {
		return Event{}, ErrTooManyEvents
	}
	blank := 0
	for {
		line, err := e.readLine()
		if err != nil {
			return Event{}, err
		}
		if bytes.HasPrefix(line, []byte(statusLinePrefix)) {
			return Event{}, ErrResponseInEvent
		}
		if len(line) > 0 {
			if err := event.parseField(line); err != nil {
				return Event{}, err
			}
			continue
		}
		if len(bytes.TrimSpace(e.raw)) == 0 {
			blank += len(e.raw)
			if blank > MaxEventBytes {
				return Event{}, ErrEventTooLarge
			}
			e.raw = e.raw[:0]
			continue
		}
		event.Raw = e.raw
		return event, nil
	}
}

// reset forgets the event before, and gives back the memory of a large one.
func (e *EventReader) reset() {
	e.raw = e.raw[:0]
	if cap(e.raw) > SmallEventBytes {
		e.raw = nil
		e.Hold.Release()
	}
}

// readLine appends one line to raw and returns it without its line ending.
func (e *EventReader) readLine() ([]byte, error) {
	start := len(e.raw)
	for {
		part, err := e.reader.ReadSlice('\n')
		e.raw = append(e.raw, part...)
		switch {
		case len(e.raw) > MaxEventBytes:
			return nil, ErrEventTooLarge
		case !e.Hold.Grow(int64(cap(e.raw))):
			return nil, fmt.Errorf("read server-sent event: %w", bounder.ErrNoRoom)
		case err == nil:
			return bytes.TrimSuffix(e.raw[start:len(e.raw)-1], []byte("\r")), nil
		case errors.Is(err, bufio.ErrBufferFull):
		case errors.Is(err, io.EOF) && len(e.raw) > 0:
			return nil, io.ErrUnexpectedEOF
		default:
			return nil, err
		}
	}
}

// parseField parses one field of the event.
func (e *Event) parseField(line []byte) error {
	name, value, valued := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "":
	case "id":
		if e.HasIDField {
			return fmt.Errorf("second id field: %w", ErrMalformedEvent)
		}
		e.HasIDField = true
		e.ID, e.HasID = validator.ParseNumber(string(value))
	case "data":
		e.Done = !e.HasData && string(value) == "[DONE]"
		e.HasData = true
	case "event", "retry":
	default:
		// Fields of extensions are passed on. A line without a value, or with another name than theirs, may be a part of another answer.
		if !valued || bytes.ContainsFunc(name, isNotFieldName) {
			return fmt.Errorf("line that is no field: %w", ErrMalformedEvent)
		}
	}
	if bytes.IndexByte(line, '\r') >= 0 {
		return fmt.Errorf("carriage return within a line: %w", ErrMalformedEvent)
	}
	return nil
}

// isNotFieldName reports whether a character doesn't occur in names of fields, which are in lower case, unlike those of a response.
func isNotFieldName(r rune) bool {
	return (r < 'a' || r > 'z') && (r < '0' || r > '9') && r != '-' && r != '_'
}

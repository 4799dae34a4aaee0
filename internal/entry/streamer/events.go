package streamer

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

// MaxEventBytes bounds one server-sent event.
const MaxEventBytes = 256 << 10

// ErrEventTooLarge means that an event is larger than MaxEventBytes.
var ErrEventTooLarge = errors.New("server-sent event is too large")

// An Event is one server-sent event.
type Event struct {
	// Raw are the event's lines as they came, the empty line at the end included. It is valid until the next call.
	Raw []byte
	// ID is the number in its id field, if HasID.
	ID    int
	HasID bool
	// Done tells that the data is "[DONE]", which ends a stream.
	Done bool
}

// An EventReader splits a body into server-sent events.
type EventReader struct {
	reader *bufio.Reader
	raw    []byte
}

// NewEventReader reads events from a body.
func NewEventReader(body io.Reader) *EventReader {
	return &EventReader{reader: bufio.NewReaderSize(body, bufferBytes)}
}

// Buffered tells that more bytes have come already.
func (e *EventReader) Buffered() bool { return e.reader.Buffered() > 0 }

// Next returns the next event. The error is io.EOF at the end of the body, and io.ErrUnexpectedEOF if the body ends
// inside an event.
func (e *EventReader) Next() (Event, error) {
	e.raw = e.raw[:0]
	event := Event{}
	for {
		line, err := e.readLine()
		if err != nil {
			return Event{}, err
		}
		if len(line) > 0 {
			event.parseField(line)
			continue
		}
		if len(bytes.TrimSpace(e.raw)) == 0 {
			e.raw = e.raw[:0]
			continue
		}
		event.Raw = e.raw
		return event, nil
	}
}

// readLine appends one line to the event's and returns it without its end.
func (e *EventReader) readLine() ([]byte, error) {
	start := len(e.raw)
	for {
		part, err := e.reader.ReadSlice('\n')
		e.raw = append(e.raw, part...)
		switch {
		case len(e.raw) > MaxEventBytes:
			return nil, ErrEventTooLarge
		case err == nil:
			return bytes.TrimRight(e.raw[start:], "\r\n"), nil
		case errors.Is(err, bufio.ErrBufferFull):
		case errors.Is(err, io.EOF) && len(e.raw) > 0:
			return nil, io.ErrUnexpectedEOF
		default:
			return nil, err
		}
	}
}

// parseField takes one field of the event.
func (e *Event) parseField(line []byte) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "id":
		id, err := strconv.Atoi(string(value))
		e.ID, e.HasID = id, err == nil
	case "data":
		e.Done = string(value) == "[DONE]"
	}
}

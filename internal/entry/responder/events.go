package responder

import (
	"errors"
	"fmt"
	"io"

	"samphirewharf/internal/entry/streamer"
)

// relayEvents relays the events of a stream that the caller has not received yet, up to the one that marks its end.
func (a *attempt) relayEvents(reply *streamer.Reply) error {
	x := a.exchange
	x.position = x.position.WithAttempt()
	events := streamer.NewEventReader(reply.Body)
	for {
		event, err := events.Next()
		a.timer.Reset(streamStallTimeout)
		switch {
		case errors.Is(err, io.EOF):
			err = errIncompleteStream
		case err != nil:
			err = reply.Failure(err)
		case event.Done:
			if err = x.position.Done(event.Event); err == nil {
				return a.writeEvent(reply, event, true)
			}
			err = fmt.Errorf("%w: %w", errInvalidEvent, err)
		default:
			err = a.relayEvent(reply, event)
		}
		if err == nil && !events.HasNext() {
			err = a.flushEvents()
		}
		if err != nil {
			_ = a.flushEvents()
			return err
		}
	}
}

func (a *attempt) relayEvent(reply *streamer.Reply, event streamer.Event) error {
	next, pass, err := a.exchange.position.Next(event.Event)
	if err != nil {
		return fmt.Errorf("%w: %w", errInvalidEvent, err)
	}
	if pass {
		if err := a.writeEvent(reply, event, false); err != nil {
			return err
		}
	}
	a.exchange.position = next
	return nil
}

// writeEvent writes an event, preceded by the status and header if it is the first one.
func (a *attempt) writeEvent(reply *streamer.Reply, event streamer.Event, flush bool) error {
	if !a.exchange.writer.Started() {
		a.postStarted()
		a.writeHeader(reply)
	}
	a.unflushed = !flush
	return a.write(event.Raw, flush)
}

// flushEvents sends the caller what was written so far, since the next event or attempt may take a while.
func (a *attempt) flushEvents() error {
	if !a.unflushed {
		return nil
	}
	a.unflushed = false
	return a.write(nil, true)
}

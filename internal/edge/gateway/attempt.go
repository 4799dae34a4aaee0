package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"samphirewharf/internal/decision/conductor"
	"samphirewharf/internal/decision/reducer"
	"samphirewharf/internal/entry/streamer"
	"samphirewharf/internal/fleet/matcher"
	"samphirewharf/internal/network/filter"
)

// minTimeout is the least time that an attempt gets.
const minTimeout = time.Millisecond

var (
	errSilent     = errors.New("server was silent for too long")
	errOverdue    = errors.New("time for the answer is up")
	errInvalid    = errors.New("answer is not the server's own")
	errServer     = errors.New("server answered with an error")
	errCallerLeft = errors.New("caller left")
)

// An attempt sends a request to one server and passes the answer to the caller.
type attempt struct {
	exchange *exchange
	send     conductor.Send
	ctx      context.Context //nolint:containedctx // It spans the attempt's life.
	cancel   context.CancelCauseFunc
	// limit ends the attempt in any case, silence if the server sends nothing for too long; nil if that has no limit.
	limit   *time.Timer
	silence *time.Timer
	sentAt  time.Time
	latency time.Duration
	status  int
	// held tells that the answer was kept.
	held bool
	// ended takes the attempt's end. It has room for one, so that the attempt never waits.
	ended chan conductor.AttemptEnded
}

func newAttempt(x *exchange, e conductor.Send) *attempt {
	a := &attempt{exchange: x, send: e, ended: make(chan conductor.AttemptEnded, 1), sentAt: time.Now()}
	a.ctx, a.cancel = context.WithCancelCause(context.Background())
	a.limit = time.AfterFunc(max(e.Timeout, minTimeout), a.overdue)
	if e.FirstTimeout > 0 {
		a.silence = time.AfterFunc(e.FirstTimeout, a.silent)
	}
	return a
}

// run sends the request and reports how that ended.
func (a *attempt) run() {
	defer a.cancel(context.Canceled)
	defer a.stopTimers()
	reply, err := a.exchange.gateway.Client.Send(a.ctx, a.call())
	if err != nil {
		a.ended <- a.failed(err)
		return
	}
	err = a.pass(reply)
	if err != nil {
		reply.Discard()
	} else {
		reply.Finish()
	}
	a.ended <- a.failed(err)
}

func (a *attempt) overdue() { a.cancel(errOverdue) }

func (a *attempt) silent() { a.cancel(errSilent) }

func (a *attempt) stopTimers() {
	a.limit.Stop()
	if a.silence != nil {
		a.silence.Stop()
	}
}

func (a *attempt) call() streamer.Call {
	x := a.exchange
	header := x.header.Forward.Clone()
	sending := AttemptHeader{Server: a.send.Server, TimeLimit: a.send.RemainingTime, Priority: a.send.Priority, LastEventID: x.header.LastEventID}
	if x.first != nil {
		sending.Resuming, sending.FirstHeader = true, x.first
		sending.LastEventID = strconv.Itoa(x.progress.last)
	}
	x.gateway.Translator.SetHeader(header, sending)
	return streamer.Call{
		Address: a.send.Address, Host: x.host, Method: x.method, Path: x.uri, Header: header, Body: x.body,
		ID: x.header.ID, Fresh: a.send.NewConnection,
	}
}

// pass reads the answer and passes it to the caller. It returns nil when the caller has all of it, or it is held.
func (a *attempt) pass(reply *streamer.Reply) error {
	x := a.exchange
	a.status = reply.StatusCode
	if !x.gateway.Translator.Valid(reply.StatusCode, reply.Header, x.header.ID) {
		return fmt.Errorf("status %d: %w", reply.StatusCode, errInvalid)
	}
	success := reply.StatusCode >= 200 && reply.StatusCode < 300
	if success && x.arrived.Route.Kind == matcher.KindStream && reply.IsEvents() {
		return a.passEvents(reply)
	}
	if x.first != nil {
		return fmt.Errorf("status %d: %w", reply.StatusCode, errServer)
	}
	return a.passWhole(reply)
}

// passWhole holds an answer back until it is whole, so that a broken one doesn't reach the caller.
func (a *attempt) passWhole(reply *streamer.Reply) error {
	x := a.exchange
	body, whole, err := reply.ReadUpTo(maxBufferedBytes)
	if err != nil {
		return reply.Fail(err)
	}
	a.latency = time.Since(a.sentAt)
	header := filter.EndToEnd(reply.Header)
	if !whole {
		return a.passThrough(reply, header, body)
	}
	if reply.StatusCode >= http.StatusInternalServerError && a.send.BufferErrors {
		x.held = &answer{status: reply.StatusCode, header: header, body: body}
		a.held = true
		return nil
	}
	x.firstAfter = time.Since(x.start)
	x.commitHeader(header)
	if err := x.writer.WriteWhole(reply.StatusCode, body); err != nil {
		return fmt.Errorf("%w: %w", errCallerLeft, err)
	}
	return nil
}

// passThrough passes on an answer that is too large to hold back. If it breaks off, so does the caller's connection.
func (a *attempt) passThrough(reply *streamer.Reply, header http.Header, part []byte) error {
	x := a.exchange
	a.begin(header)
	if reply.ContentLength >= 0 {
		x.writer.Header().Set("Content-Length", strconv.FormatInt(reply.ContentLength, 10))
	}
	x.writer.WriteHeader(reply.StatusCode)
	if _, err := x.writer.Write(part); err != nil {
		return fmt.Errorf("%w: %w", errCallerLeft, err)
	}
	buffer := make([]byte, 16<<10)
	for {
		n, err := reply.Body.Read(buffer)
		if _, werr := x.writer.Write(buffer[:n]); werr != nil {
			return fmt.Errorf("%w: %w", errCallerLeft, werr)
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return reply.Fail(err)
		}
	}
}

// passEvents passes the events of a stream on that the caller hasn't had, each as it comes.
func (a *attempt) passEvents(reply *streamer.Reply) error {
	x := a.exchange
	header := filter.EndToEnd(reply.Header)
	resuming := x.first != nil
	events := streamer.NewEventReader(reply.Body)
	for {
		event, err := events.Next()
		if errors.Is(err, io.EOF) {
			return a.finishEvents(header)
		}
		if err != nil {
			return reply.Fail(err)
		}
		a.heard()
		next, err := x.progress.accept(event, resuming)
		if err != nil {
			return err
		}
		if !next {
			continue
		}
		if x.first == nil {
			a.begin(header)
			x.writer.WriteHeader(reply.StatusCode)
		}
		if err := a.writeEvent(event, !events.Buffered()); err != nil {
			return err
		}
	}
}

// finishEvents ends a stream that its server has ended. One without events has a header all the same.
func (a *attempt) finishEvents(header http.Header) error {
	x := a.exchange
	if x.first == nil {
		a.begin(header)
		x.writer.WriteHeader(a.status)
	}
	if err := x.writer.Flush(); err != nil {
		return fmt.Errorf("%w: %w", errCallerLeft, err)
	}
	return nil
}

func (a *attempt) writeEvent(event streamer.Event, flush bool) error {
	a.exchange.notePause(time.Now())
	w := a.exchange.writer
	_, err := w.Write(event.Raw)
	if err == nil && flush {
		err = w.Flush()
	}
	if err != nil {
		return fmt.Errorf("%w: %w", errCallerLeft, err)
	}
	return nil
}

// begin sets the header of the answer and reports that the caller gets the start of it.
func (a *attempt) begin(header http.Header) {
	x := a.exchange
	x.first = header
	x.firstAfter = time.Since(x.start)
	x.commitHeader(header)
	x.gateway.Post(conductor.AttemptStarted{Request: x.id, Attempt: a.send.Attempt})
}

// heard notes that the server has sent something, and waits for the next.
func (a *attempt) heard() {
	if a.latency == 0 {
		a.latency = time.Since(a.sentAt)
	}
	switch {
	case a.send.EventGapTimeout > 0 && a.silence != nil:
		a.silence.Reset(a.send.EventGapTimeout)
	case a.send.EventGapTimeout > 0:
		a.silence = time.AfterFunc(a.send.EventGapTimeout, a.silent)
	case a.silence != nil:
		a.silence.Stop()
	}
}

// failed returns the event for the attempt's end; the error is nil if the caller has the whole answer or it is held.
func (a *attempt) failed(err error) conductor.AttemptEnded {
	ended := conductor.AttemptEnded{
		Request: a.exchange.id, Attempt: a.send.Attempt, Status: a.status, Latency: a.latency, Buffered: a.held,
		Events: a.exchange.progress.count,
	}
	if err == nil {
		return ended
	}
	ended.Outcome = reducer.AttemptFailed
	cause := context.Cause(a.ctx)
	var failure *streamer.Failure
	switch {
	case errors.As(err, &failure):
		a.describe(&ended, failure)
	case errors.Is(err, errCallerLeft):
		ended.Outcome = reducer.AttemptCancelled
	case errors.Is(err, errServer):
		ended.Cause = conductor.CauseError
	default:
		ended.Cause = conductor.CauseInvalid
	}
	if ended.Outcome == reducer.AttemptFailed && (errors.Is(cause, errSilent) || errors.Is(cause, errOverdue)) {
		ended.Cause = conductor.CauseSilent
	}
	a.exchange.gateway.Logger.Debug().Err(err).Str("Request", a.exchange.header.ID).Str("Server", a.send.Server).Msg("attempt ended")
	return ended
}

// describe fills in the event from the client's failure.
func (a *attempt) describe(ended *conductor.AttemptEnded, failure *streamer.Failure) {
	ended.Outcome = failure.Outcome
	ended.RetryAfter = failure.RetryAfter
	switch {
	case failure.Outcome == reducer.AttemptNotRun:
		ended.Status = failure.Status
		ended.Cause = a.exchange.gateway.Translator.Classify(failure.Status, failure.Header, a.send.Server)
	case failure.Outcome == reducer.AttemptNotSent:
		ended.Cause = conductor.CauseConnect
	case errors.Is(failure.Err, streamer.ErrOtherRequest):
		ended.Cause = conductor.CauseInvalid
	case failure.Died:
		ended.Cause = conductor.CauseBroken
	default:
		ended.Cause = conductor.CauseInvalid
	}
}

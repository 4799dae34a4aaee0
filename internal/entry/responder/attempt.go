package responder

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"samphirewharf/internal/caller/refuser"
	"samphirewharf/internal/decision/reducer"
	"samphirewharf/internal/entry/streamer"
)

const (
	// copyBytes is the size of the buffer for relaying responses.
	copyBytes = 16 << 10
	// drainTimeout bounds the wait for the end of a body after its last event.
	drainTimeout = time.Second
	// forwardGracePeriod is how much longer than its deadline a forwarded request may take, so that the refusal of the
	// other daemon arrives.
	forwardGracePeriod = 250 * time.Millisecond
	// maxProblemBytes bounds the size of a refusal by another daemon.
	maxProblemBytes = 64 << 10
	// streamStallTimeout bounds the time between two events of a stream.
	streamStallTimeout = 30 * time.Second
	// minAttemptTimeout is the minimum timeout of an attempt.
	minAttemptTimeout = time.Millisecond
)

var (
	errServerError      = errors.New("server responded with an error")
	errNotEventStream   = errors.New("the answer is no event stream")
	errPartlyRelayed    = errors.New("part of a response that can't be resumed was already sent")
	errIncompleteStream = errors.New("the stream ended without [DONE]")
	errCallerLeft       = errors.New("the caller disconnected")
	errInvalidRefusal   = errors.New("could not parse the daemon's refusal")
)

// An attempt sends a request to one server or daemon and relays the response to the caller.
type attempt struct {
	exchange *exchange
	number   int
	call     streamer.Call
	// server is the backend server or daemon that is called.
	server string
	// unflushed is true if an event was written that the caller hasn't been sent.
	unflushed bool
	// forward is true if the call goes to another daemon.
	forward bool
	// answer is the response so far, if it is to be stored; it is at most reducer.MaxStoredAnswerBytes long.
	answer answerBuffer
	// ctx bounds the attempt. It ends when timer fires; each event of a stream resets the timer.
	ctx    context.Context
	cancel context.CancelFunc
	timer  *time.Timer
	// ended receives the end of the attempt. It is buffered, so that the attempt never blocks on it.
	ended chan reducer.AttemptEnded
}

func newAttempt(x *exchange, number int, address string, timeout time.Duration) *attempt {
	a := &attempt{exchange: x, number: number, ended: make(chan reducer.AttemptEnded, 1)}
	ctx, cancel := context.WithCancelCause(context.Background())
	a.ctx = ctx
	a.cancel = func() { cancel(context.Canceled) }
	a.timer = time.AfterFunc(max(timeout, minAttemptTimeout), func() { cancel(context.DeadlineExceeded) })
	in := x.inbound
	a.call = streamer.Call{
		Address: address,
		Method:  in.event.Method,
		Header:  in.header.Clone(),
		Body:    in.body,
		ID:      in.event.ID,
	}
	return a
}

func newDispatch(x *exchange, e reducer.Dispatch) *attempt {
	a := newAttempt(x, e.Attempt, e.Address, e.Timeout)
	a.server = e.Server
	a.answer.enabled = e.KeepAnswer
	a.call.Path = x.inbound.serverPath
	a.call.NewConnection = e.KeepAnswer
	header := a.call.Header
	setOrDelete(header, replicaHeader, e.Replica)
	setOrDelete(header, adapterHeader, e.Adapter)
	setOrDelete(header, prefixHeader, longestPrefix(x.inbound.event.Prefixes))
	if header.Get(priorityHeader) == "" {
		header.Set(priorityHeader, "u="+strconv.Itoa(maxUrgentLevel))
	}
	a.resume(max(e.ResumeFrom, x.position.Count()))
	return a
}

func newForward(x *exchange, e reducer.Forward) *attempt {
	a := newAttempt(x, e.Attempt, e.Address, e.Timeout+forwardGracePeriod)
	a.server, a.forward = e.Daemon, true
	a.call.Path = x.inbound.path
	a.call.NewConnection = x.inbound.event.Key != ""
	header := a.call.Header
	header.Set(forwardedByHeader, x.responder.Daemon)
	header.Set(timeoutHeader, strconv.FormatInt(max(e.Timeout, minAttemptTimeout).Milliseconds(), 10))
	a.resume(x.position.Count())
	return a
}

// run sends the request and reports the end of the attempt. It then waits a limited time for the end of the body, so
// that the connection can be reused.
func (a *attempt) run() {
	defer a.timer.Stop()
	defer a.cancel()
	reply, err := a.exchange.responder.Client.Send(a.ctx, a.call)
	if err != nil {
		a.ended <- a.endEvent(err)
		return
	}
	err = a.relay(reply)
	ended := a.endEvent(err)
	if err != nil {
		reply.Discard()
		a.ended <- ended
		return
	}
	a.setAnswer(reply, &ended)
	a.ended <- ended
	a.drain(reply)
}

// writeHeader writes the status and header of the response.
func (a *attempt) writeHeader(reply *streamer.Reply) {
	w := a.exchange.writer
	for name, values := range reply.Header {
		switch name {
		case requestIDHeader, refusalHeader:
		default:
			w.Header()[name] = values
		}
	}
	w.WriteHeader(reply.StatusCode)
}

// relayRest relays the rest of a body as it arrives.
func (a *attempt) relayRest(reply *streamer.Reply) error {
	buffer := make([]byte, copyBytes)
	for {
		n, err := reply.Body.Read(buffer)
		if n > 0 {
			if werr := a.write(buffer[:n], true); werr != nil {
				return werr
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return reply.Failure(err)
		}
	}
}

// setAnswer adds the response to the event if it is to be stored.
func (a *attempt) setAnswer(reply *streamer.Reply, ended *reducer.AttemptEnded) {
	if !a.answer.enabled {
		return
	}
	ended.Status = reply.StatusCode
	ended.ContentType = reply.Header.Get("Content-Type")
	ended.Answer = a.answer.content()
}

// drain reads the rest of a body for a limited time and ends the reply.
func (a *attempt) drain(reply *streamer.Reply) {
	timer := time.AfterFunc(drainTimeout, a.cancel)
	defer timer.Stop()
	if _, complete, err := reply.ReadUpTo(0); err != nil || !complete {
		reply.Discard()
		return
	}
	reply.Finish()
}

// endEvent returns the event for the end of the attempt. The error is nil if the caller has received the complete
// response.
func (a *attempt) endEvent(err error) reducer.AttemptEnded {
	ended := reducer.AttemptEnded{Request: a.exchange.id, Attempt: a.number, Tokens: a.exchange.position.Count()}
	if err == nil {
		return ended
	}
	ended.Outcome = reducer.AttemptFailed
	var failure *streamer.Failure
	var refused *refusedError
	switch {
	case errors.As(err, &refused):
		ended.Outcome = reducer.AttemptRefused
		ended.Refusal = refused.refusal
		ended.RetryAfter = refused.refusal.RetryAfter
	case errors.As(err, &failure):
		ended.Outcome = failure.Outcome
		ended.ServerDied = failure.ServerDied
		ended.RetryAfter = failure.RetryAfter
	case errors.Is(err, errCallerLeft):
		ended.Outcome = reducer.AttemptCancelled
	}
	a.logEnd(ended, err)
	return ended
}

// relay reads the response and relays it to the caller. It returns nil if the caller has received all of it.
func (a *attempt) relay(reply *streamer.Reply) error {
	x := a.exchange
	switch {
	case a.forward && reply.Header.Get(refusalHeader) != "":
		return readRefusal(reply)
	case x.partlyRelayed:
		return errPartlyRelayed
	case !a.forward && !x.inbound.event.Plain && reply.StatusCode >= http.StatusInternalServerError:
		return fmt.Errorf("status %d: %w", reply.StatusCode, errServerError)
	}
	events, success := reply.IsEventStream(), reply.StatusCode/100 == 2
	switch {
	case success && !x.inbound.event.Plain && events != x.inbound.event.Stream, x.writer.Started() && (!events || !success):
		return fmt.Errorf("status %d and content type %q: %w", reply.StatusCode, reply.Header.Get("Content-Type"), errNotEventStream)
	case events && !x.inbound.event.Plain:
		return a.relayEvents(reply)
	case events:
		return a.relayUnbuffered(reply, nil)
	default:
		return a.relayBuffered(reply)
	}
}

// relayBuffered buffers a response until it is complete, so that the request can be sent to another server if this one
// fails.
func (a *attempt) relayBuffered(reply *streamer.Reply) error {
	p, complete, err := reply.ReadUpTo(a.exchange.responder.bufferedBytes())
	if err != nil {
		return reply.Failure(err)
	}
	if !complete {
		return a.relayUnbuffered(reply, p)
	}
	a.writeHeader(reply)
	if a.call.Method != http.MethodHead {
		setContentLength(a.exchange.writer.Header(), len(p))
	} else if reply.ContentLength >= 0 {
		setContentLength(a.exchange.writer.Header(), int(reply.ContentLength))
	}
	if err := a.write(p, true); err != nil && !a.answer.enabled {
		return err
	}
	// A stored answer counts even if its caller has disconnected: a repeated request receives it.
	return nil
}

// relayUnbuffered relays a response as it arrives, after the part that has already been read. If the response breaks
// off, the caller's connection must be closed.
func (a *attempt) relayUnbuffered(reply *streamer.Reply, part []byte) error {
	a.exchange.partlyRelayed = true
	a.postStarted()
	a.writeHeader(reply)
	if reply.ContentLength >= 0 {
		setContentLength(a.exchange.writer.Header(), int(reply.ContentLength))
	}
	if err := a.write(part, true); err != nil {
		return err
	}
	return a.relayRest(reply)
}

// postStarted reports that the caller receives the start of a response that isn't complete yet.
func (a *attempt) postStarted() {
	x := a.exchange
	x.responder.Post(reducer.AttemptStarted{Request: x.id, Attempt: a.number})
}

// resume asks the server to continue after the events that the caller has received.
func (a *attempt) resume(from int) {
	if from > 0 {
		a.call.Header.Set(resumeHeader, strconv.Itoa(from))
	}
}

// write writes to the caller. It blocks while the caller doesn't read.
func (a *attempt) write(p []byte, flush bool) error {
	a.answer.add(p)
	w := a.exchange.writer
	_, err := w.Write(p)
	if err == nil && flush {
		err = w.Flush()
	}
	if err != nil {
		return fmt.Errorf("write response: %w: %w", errCallerLeft, err)
	}
	return nil
}

// A refusedError is the error for a refusal by another daemon.
type refusedError struct{ refusal refuser.Refusal }

// Error returns a message with the refusal's code.
func (e *refusedError) Error() string {
	return "the daemon refused the request: " + e.refusal.Code.String()
}

// readRefusal returns the refusal of another daemon as an error.
func readRefusal(reply *streamer.Reply) error {
	body, complete, err := reply.ReadUpTo(maxProblemBytes)
	if err != nil {
		return reply.Failure(err)
	}
	if !complete {
		return errInvalidRefusal
	}
	refusal, err := refuser.ParseProblem(body)
	if err != nil {
		return fmt.Errorf("%w: %w", errInvalidRefusal, err)
	}
	return &refusedError{refusal}
}

package prover_test

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"samphirewharf/internal/caller/refuser"
	"samphirewharf/internal/decision/reducer"
)

const (
	// answerTokens is the length of a complete answer.
	answerTokens = 10
	dialTimeout  = time.Second
	// forwardGrace is how long after its deadline a forwarded request times out at the daemon that forwarded it.
	forwardGrace = 250 * time.Millisecond
)

// A call is a caller's request to a daemon. It is sent once.
type call struct {
	name    string
	daemon  string
	target  string
	plain   bool
	method  string
	path    string
	key     string
	body    string
	urgent  bool
	stream  bool
	poison  bool
	timeout time.Duration

	outcome string // "ok", "refused", "broken", "unreachable", "left"; empty while it waits
	refusal refuser.Refusal
	sentAt  time.Duration
	x       *exchange
}

// An exchange is an open request at a daemon, from a caller or forwarded by another daemon.
type exchange struct {
	p    *process
	id   reducer.RequestID
	call *call
	// from is the attempt of the daemon that forwarded the request, nil if it came from a caller.
	from    *attempt
	attempt *attempt
	// sent is how many tokens were passed on to the caller.
	sent     int
	started  bool
	deadline time.Duration
	closed   bool
}

// An attempt is one dispatch of a request to a server or one forwarding to another daemon.
type attempt struct {
	x      *exchange
	number int
	server *server
	to     *process
	// forwarded is the exchange at the daemon that the request was forwarded to.
	forwarded *exchange
	replicaID string
	// replica is the model replica that runs the request.
	replica *replica
	// lastArrival is when the last message from the server or daemon arrives; later messages do not arrive before it.
	lastArrival time.Duration
	ended       bool
}

// send sends a call to its daemon.
func (w *World) send(c *call) {
	c.sentAt = w.now
	w.calls[c.name] = c
	w.callOrder = append(w.callOrder, c)
	w.after(w.delay(), func() {
		p := w.process(c.daemon)
		if p == nil || p.dead || !w.reaches("caller", c.daemon) {
			c.end("unreachable", refuser.Refusal{})
			return
		}
		if p.frozen {
			p.backlog = append(p.backlog, c)
		}
		p.deliver(func() { p.open(c, nil, c.timeout) })
	})
}

func (c *call) end(outcome string, refusal refuser.Refusal) {
	if c.outcome != "" && c.x != nil {
		c.x.p.w.oracle.failf("two answers for %s: %s and %s", c.name, c.outcome, outcome)
		return
	}
	c.outcome, c.refusal = outcome, refusal
	if c.x != nil {
		c.x.p.w.logf("%s at %s: %s %s %v, retry after %v", c.name, c.daemon, outcome, refusal.Code, refusal.Ran, refusal.RetryAfter)
	}
}

// open accepts a request and passes it to the reducer.
func (p *process) open(c *call, from *attempt, timeout time.Duration) *exchange {
	p.nextID++
	x := &exchange{p: p, id: p.nextID, call: c, from: from}
	p.exchanges[x.id] = x
	arrived := reducer.RequestArrived{
		Request: x.id, ID: c.name, Target: c.target, Plain: c.plain, Method: c.method, Path: c.path, Urgent: c.urgent,
		Stream: c.stream, Timeout: timeout, Key: c.key, BodyHash: xxhash.Sum64String(c.body),
	}
	if from != nil {
		arrived.ForwardedBy = from.x.p.name
	}
	x.deadline = p.w.now + c.timeLimit(timeout)
	if from == nil {
		c.x = x
		p.w.oracle.checkDeadline(x)
	}
	p.step(arrived)
	return x
}

// timeLimit returns the time limit of a request: its own, or the one of the configuration.
func (c *call) timeLimit(timeout time.Duration) time.Duration {
	switch {
	case timeout > 0:
		return timeout
	case c.plain || c.urgent:
		return 5 * time.Second
	default:
		return 20 * time.Second
	}
}

// executeRequest carries out an effect on a request.
func (p *process) executeRequest(effect reducer.Effect) {
	switch e := effect.(type) {
	case reducer.Dispatch:
		if x := p.exchanges[e.Request]; x != nil {
			x.dispatch(e)
		}
	case reducer.Forward:
		if x := p.exchanges[e.Request]; x != nil {
			x.forward(e)
		}
	case reducer.Cancel:
		if x := p.exchanges[e.Request]; x != nil && x.attempt != nil && x.attempt.number == e.Attempt {
			x.attempt.cancel()
		}
	case reducer.Refuse:
		if x := p.exchanges[e.Request]; x != nil {
			x.cancelAttempt()
			x.refuse(e.Refusal)
		}
	case reducer.Answer:
		if x := p.exchanges[e.Request]; x != nil {
			x.cancelAttempt()
			x.complete(string(e.Body))
		}
	}
}

// newAttempt replaces the running attempt, if any, by a new one.
func (x *exchange) newAttempt(number int) *attempt {
	x.cancelAttempt()
	x.attempt = &attempt{x: x, number: number}
	return x.attempt
}

// cancelAttempt cancels the running attempt, if any.
func (x *exchange) cancelAttempt() {
	if x.attempt != nil {
		x.attempt.cancel()
	}
}

func (x *exchange) dispatch(e reducer.Dispatch) {
	w := x.p.w
	a := x.newAttempt(e.Attempt)
	a.server, a.replicaID = w.servers[e.Server], e.Replica
	w.logf("%s dispatches %s to %s", x.p.name, x.call.name, e.Server)
	if e.ResumeFrom > x.sent {
		w.oracle.failf("%s resumes at token %d, but its caller has %d", x.call.name, e.ResumeFrom, x.sent)
	}
	x.p.after(max(e.Timeout, time.Millisecond), a.timeOut)
	if !w.reaches(x.p.name, e.Server) {
		x.p.after(dialTimeout, func() { a.close(reducer.AttemptEnded{Outcome: reducer.AttemptNotSent}) })
		return
	}
	w.after(w.delay(), func() {
		switch {
		case a.ended:
		case a.server.dead:
			a.finish(reducer.AttemptEnded{Outcome: reducer.AttemptNotSent})
		default:
			a.server.run(a)
		}
	})
}

func (x *exchange) forward(e reducer.Forward) {
	w := x.p.w
	a := x.newAttempt(e.Attempt)
	x.p.after(max(e.Timeout, time.Millisecond)+forwardGrace, a.timeOut)
	to := w.process(e.Daemon)
	w.logf("%s forwards %s to %s: %s", x.p.name, x.call.name, e.Daemon, e.Reason)
	if !w.reaches(x.p.name, e.Daemon) {
		x.p.after(dialTimeout, func() { a.close(reducer.AttemptEnded{Outcome: reducer.AttemptNotSent}) })
		return
	}
	w.after(w.delay(), func() {
		if to.dead {
			a.finish(reducer.AttemptEnded{Outcome: reducer.AttemptNotSent})
			return
		}
		a.to = to
		to.deliver(func() {
			if !a.ended {
				a.forwarded = to.open(x.call, a, max(e.Timeout, time.Millisecond))
			}
		})
	})
}

func (a *attempt) remoteName() string {
	if a.server != nil {
		return a.server.name
	}
	return a.to.name
}

// deliver delivers a message from the server or daemon, in order, unless the connection is cut.
func (a *attempt) deliver(run func()) {
	w := a.x.p.w
	a.lastArrival = max(a.lastArrival, w.now+w.delay())
	w.after(a.lastArrival-w.now, func() {
		if (a.server == nil && a.to == nil) || w.reaches(a.x.p.name, a.remoteName()) {
			a.x.p.deliver(run)
		}
	})
}

// passTokens passes the first tokens of the answer on to the caller; tokens is their total number.
func (a *attempt) passTokens(tokens int) {
	a.deliver(func() {
		if a.ended {
			return
		}
		a.x.started = true
		a.x.sent = max(a.x.sent, tokens)
		if a.x.from != nil {
			a.x.from.passTokens(tokens)
		}
		a.x.p.step(reducer.AttemptStarted{Request: a.x.id, Attempt: a.number})
	})
}

// finish ends the attempt by a message from the server or daemon.
func (a *attempt) finish(ended reducer.AttemptEnded) { a.deliver(func() { a.close(ended) }) }

// close ends the attempt at its own daemon.
func (a *attempt) close(ended reducer.AttemptEnded) {
	if a.ended {
		return
	}
	a.ended = true
	x := a.x
	if x.attempt == a {
		x.attempt = nil
	}
	ended.Request, ended.Attempt, ended.Tokens = x.id, a.number, x.sent
	if ended.Outcome == reducer.AttemptDone && !x.closed {
		x.complete(string(ended.Answer))
	}
	x.p.step(ended)
}

func (a *attempt) timeOut() {
	if a.ended {
		return
	}
	a.closeRemote()
	outcome := reducer.AttemptFailed
	if a.server == nil && a.to == nil {
		outcome = reducer.AttemptNotSent
	}
	a.close(reducer.AttemptEnded{Outcome: outcome})
}

// cancel ends the attempt immediately at its own daemon, and after a delay at the server or daemon it was sent to.
func (a *attempt) cancel() {
	if a.ended {
		return
	}
	a.ended = true
	a.x.attempt = nil
	a.closeRemote()
	x, ended := a.x, reducer.AttemptEnded{Outcome: reducer.AttemptCancelled, Request: a.x.id, Attempt: a.number, Tokens: a.x.sent}
	x.p.after(0, func() { x.p.step(ended) })
}

// closeRemote closes the connection to the server or daemon.
func (a *attempt) closeRemote() {
	w := a.x.p.w
	w.after(w.delay(), func() {
		if a.server != nil {
			a.server.end(a)
		}
		if a.to != nil {
			a.to.deliver(func() {
				if a.forwarded != nil {
					a.forwarded.disconnect()
				}
			})
		}
	})
}

// close closes the exchange and reports whether it was open.
func (x *exchange) close() bool {
	if x.closed {
		return false
	}
	x.closed = true
	delete(x.p.exchanges, x.id)
	return true
}

func (x *exchange) complete(body string) {
	if !x.close() {
		return
	}
	if x.from != nil {
		x.from.passTokens(x.sent)
		x.from.finish(reducer.AttemptEnded{Outcome: reducer.AttemptDone, Status: 200, Answer: []byte(body)})
		return
	}
	x.p.w.oracle.observeAnswer(x, body)
	x.call.end("ok", refuser.Refusal{})
}

func (x *exchange) refuse(refusal refuser.Refusal) {
	if !x.close() {
		return
	}
	if x.from != nil {
		x.from.finish(reducer.AttemptEnded{Outcome: reducer.AttemptRefused, Refusal: refusal, RetryAfter: refusal.RetryAfter})
		return
	}
	x.call.end("refused", refusal)
	x.p.w.oracle.observeRefusal(x.call)
}

// abort ends the request because its daemon crashed.
func (x *exchange) abort() {
	if x.attempt != nil {
		x.attempt.ended = true
		x.attempt.closeRemote()
	}
	if !x.close() {
		return
	}
	if x.from != nil {
		x.from.finish(reducer.AttemptEnded{Outcome: reducer.AttemptFailed, ServerDied: true})
		return
	}
	x.call.end("broken", refuser.Refusal{Ran: refuser.MayHaveRun})
}

// disconnect ends the request because its caller closed the connection.
func (x *exchange) disconnect() {
	if !x.close() {
		return
	}
	if x.from == nil {
		x.call.end("left", refuser.Refusal{Ran: refuser.MayHaveRun})
	}
	x.p.step(reducer.CallerLeft{Request: x.id})
	x.cancelAttempt()
}

func sortedIDs(m map[reducer.RequestID]*exchange) []reducer.RequestID {
	ids := make([]reducer.RequestID, 0, len(m))
	for id := range m {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

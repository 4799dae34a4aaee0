package claimer

import (
	"bytes"
	"fmt"
	"strconv"
	"time"

	"samphirewharf/internal/caller/refuser"
	"samphirewharf/internal/external/storer"
)

const (
	historyDaemons     = 3
	historyPartitions  = 2
	historyKeys        = 8
	historyRetention   = 24 * time.Hour
	historyClockMargin = time.Minute
)

var historyStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// A pendingCall is a store call in flight. Its effect, its answer and the life of its process are
// independent of each other.
type pendingCall struct {
	action  Action
	daemon  int
	machine *Machine
	applied bool
	// timedOut reports whether the process has been given an unknown outcome or was replaced, so that the
	// answer is not delivered.
	timedOut bool
	answer   Answer
}

// A trackedRequest is the oracle's state of one request.
type trackedRequest struct {
	id         uint64
	machine    *Machine
	key        string
	bodyHash   uint64
	outcome    Action
	granted    bool
	dispatched bool
	ended      bool
	grantedAt  time.Duration
	result     Result
	completed  bool
}

// A history runs several Machines over one store with injected faults and checks every answer.
type history struct {
	store        *fakeStore
	now          time.Duration
	daemons      [historyDaemons]*Machine
	paused       [historyDaemons]bool
	calls        []*pendingCall
	requests     []*trackedRequest
	byID         map[uint64]*trackedRequest
	granted      map[string]*trackedRequest
	lastInstance int
	mutate       func(*Machine)
	err          error
}

func newHistory(mutate func(*Machine)) *history {
	h := &history{
		store:   newFakeStore(),
		byID:    make(map[uint64]*trackedRequest),
		granted: make(map[string]*trackedRequest),
		mutate:  mutate,
	}
	for d := range h.daemons {
		h.restart(d)
	}
	return h
}

// runHistory runs the steps that the choices encode, ends all injected faults and returns the first rule
// violation found.
func runHistory(choices []uint64, mutate func(*Machine)) error {
	h := newHistory(mutate)
	for i, c := range choices {
		h.step(mix(c + uint64(i)<<32))
		if h.err != nil {
			return h.err
		}
	}
	h.healAll()
	return h.err
}

// mix distributes choices evenly, because generators prefer small numbers.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

func (h *history) moment() Moment {
	return Moment{Monotonic: h.now, Wall: historyStart.Add(h.now)}
}

func (h *history) fail(format string, args ...any) {
	if h.err == nil {
		h.err = fmt.Errorf(format, args...)
	}
}

func (h *history) step(x uint64) {
	daemon := int(x >> 8 % historyDaemons)
	arg := x >> 16
	switch choice := x % 64; {
	case choice < 12:
		h.claim(daemon, arg)
	case choice < 24:
		h.applyCall(arg)
	case choice < 40:
		h.answerCall(arg)
	case choice < 42:
		h.timeOutCall(arg)
	case choice < 43:
		h.failUnsentCall(arg)
	case choice < 49:
		h.progressRequest(arg)
	case choice < 52:
		h.changeOwner(daemon, arg)
	case choice < 53:
		h.restart(daemon)
	case choice < 54:
		h.paused[daemon] = !h.paused[daemon]
	case choice < 55:
		h.advance(historyRetention / 2 * time.Duration(arg%8/7))
	default:
		h.advance(time.Duration(arg%400) * time.Millisecond)
	}
}

func (h *history) advance(by time.Duration) {
	h.now += by
	for d, m := range h.daemons {
		if !h.paused[d] {
			h.handle(d, m.Tick(h.moment()))
		}
	}
}

// answerCall delivers the answer to an applied call to its process.
func (h *history) answerCall(arg uint64) {
	for i := range h.calls {
		at := (i + int(arg%1024)) % len(h.calls)
		c := h.calls[at]
		if c.applied && !c.timedOut && !h.paused[c.daemon] {
			h.calls = append(h.calls[:at], h.calls[at+1:]...)
			h.handle(c.daemon, c.machine.HandleStoreAnswer(h.moment(), c.answer))
			return
		}
	}
}

// applyCall applies a call to the store.
func (h *history) applyCall(arg uint64) {
	for i := range h.calls {
		c := h.calls[(i+int(arg%1024))%len(h.calls)]
		if !c.applied {
			c.applied = true
			c.answer = h.store.apply(c.action)
			return
		}
	}
}

func (h *history) claim(daemon int, arg uint64) {
	key := "key-" + strconv.Itoa(int(arg%historyKeys))
	for range historyDaemons {
		if p := h.daemons[daemon].partitions[Partition(key, historyPartitions)]; p != nil && p.owned && !h.paused[daemon] {
			break
		}
		daemon = (daemon + 1) % historyDaemons
	}
	if h.paused[daemon] {
		return
	}
	r := &trackedRequest{id: uint64(len(h.requests) + 1), machine: h.daemons[daemon], key: key, bodyHash: 1}
	if arg>>8%8 == 0 {
		r.bodyHash = 2
	}
	h.requests = append(h.requests, r)
	h.byID[r.id] = r
	deadline := h.now + time.Duration(arg>>16%5000+1)*time.Millisecond
	h.handle(daemon, r.machine.Claim(h.moment(), Request{ID: r.id, Key: r.key, BodyHash: r.bodyHash, Deadline: deadline}))
}

// failUnsentCall ends a call that was never sent.
func (h *history) failUnsentCall(arg uint64) {
	for i := range h.calls {
		at := (i + int(arg%1024)) % len(h.calls)
		c := h.calls[at]
		if !c.applied && !c.timedOut && !h.paused[c.daemon] {
			h.calls = append(h.calls[:at], h.calls[at+1:]...)
			op, _ := operationID(c.action)
			h.handle(c.daemon, c.machine.HandleStoreAnswer(h.moment(), Answer{Op: op, Result: storer.ResultNotSent}))
			return
		}
	}
}

// progressRequest advances a granted request: it is dispatched, released before its dispatch, or ended
// after it.
func (h *history) progressRequest(arg uint64) {
	for i := range h.requests {
		r := h.requests[(i+int(arg%1024))%len(h.requests)]
		if d, ok := h.daemonOf(r.machine); ok && !h.paused[d] && r.granted && !r.ended {
			h.progress(d, r, arg>>10)
			return
		}
	}
}

func (h *history) progress(d int, r *trackedRequest, arg uint64) {
	switch {
	case !r.dispatched && arg%4 == 0:
		r.ended = true
		delete(h.granted, r.key)
		h.handle(d, r.machine.Release(h.moment(), r.id))
	case !r.dispatched:
		r.dispatched = true
	case arg%4 == 0:
		r.ended = true
		h.handle(d, r.machine.Fail(h.moment(), r.id))
	default:
		r.ended = true
		r.completed = true
		answer := fmt.Appendf(nil, "answer %d", r.id)
		if arg>>2%16 == 0 {
			answer = make([]byte, DefaultMaxAnswerBytes+1)
		}
		r.result = Result{Status: 200, ContentType: "text/plain", Body: answer}
		h.handle(d, r.machine.Complete(h.moment(), r.id, r.result))
	}
}

func (h *history) daemonOf(m *Machine) (int, bool) {
	for d, other := range h.daemons {
		if other == m {
			return d, true
		}
	}
	return 0, false
}

// timeOutCall answers a call with an unknown outcome. The call may still take effect.
func (h *history) timeOutCall(arg uint64) {
	for i := range h.calls {
		c := h.calls[(i+int(arg%1024))%len(h.calls)]
		if !c.timedOut && !h.paused[c.daemon] {
			c.timedOut = true
			op, _ := operationID(c.action)
			h.handle(c.daemon, c.machine.HandleStoreAnswer(h.moment(), Answer{Op: op, Result: storer.ResultUnknown}))
			return
		}
	}
}

// changeOwner assigns or revokes a partition. Several daemons may own the same one.
func (h *history) changeOwner(daemon int, arg uint64) {
	if h.paused[daemon] {
		return
	}
	m := h.daemons[daemon]
	number := int(arg % historyPartitions)
	if arg>>8%8 == 0 {
		h.handle(daemon, m.RevokePartition(h.moment(), number))
		return
	}
	h.handle(daemon, m.AssignPartition(h.moment(), number))
}

// restart replaces a process by a new instance. Calls of the old instance may still take effect.
func (h *history) restart(daemon int) {
	h.lastInstance++
	for _, c := range h.calls {
		if c.daemon == daemon {
			c.timedOut = true
		}
	}
	m := New(Settings{
		Cell:         "cell",
		Daemon:       "daemon-" + strconv.Itoa(daemon),
		Instance:     strconv.Itoa(h.lastInstance),
		Partitions:   historyPartitions,
		Retention:    historyRetention,
		ClockMargin:  historyClockMargin,
		SegmentBytes: 400,
		ResultDelay:  200 * time.Millisecond,
	})
	if h.mutate != nil {
		h.mutate(m)
	}
	h.daemons[daemon] = m
	h.paused[daemon] = false
}

// handle carries out a Machine's actions and checks its answers to requests.
func (h *history) handle(daemon int, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Granted:
			h.checkGranted(h.recordOutcome(a.Request, a))
		case Denied:
			h.checkDenied(h.recordOutcome(a.Request, a), a)
		case Replayed:
			h.checkReplayed(h.recordOutcome(a.Request, a), a)
		default:
			h.calls = append(h.calls, &pendingCall{action: a, daemon: daemon, machine: h.daemons[daemon]})
		}
	}
}

// recordOutcome records the answer to a request and fails if there was one already.
func (h *history) recordOutcome(id uint64, a Action) *trackedRequest {
	r := h.byID[id]
	if r.outcome != nil {
		h.fail("request %d: got %T after %T, want one answer", id, a, r.outcome)
	}
	r.outcome = a
	return r
}

func (h *history) checkDenied(r *trackedRequest, d Denied) {
	if d.Ran == refuser.DidRun && !h.anyRequest(r.key, func(other *trackedRequest) bool { return other.completed }) {
		h.fail("request %d: got ran, want not run because %s never completed", r.id, r.key)
	}
	if d.Code == refuser.CodeIdempotencyKeyReused && !h.anyRequest(r.key, func(other *trackedRequest) bool { return other.bodyHash != r.bodyHash }) {
		h.fail("request %d: got key reused, but %s was never sent with another body", r.id, r.key)
	}
}

func (h *history) checkGranted(r *trackedRequest) {
	if other := h.granted[r.key]; other != nil && h.now-other.grantedAt < historyRetention {
		h.fail("request %d: %s granted again after request %d", r.id, r.key, other.id)
	}
	r.granted = true
	r.grantedAt = h.now
	h.granted[r.key] = r
}

func (h *history) checkReplayed(r *trackedRequest, got Replayed) {
	same := func(other *trackedRequest) bool {
		return other.completed && other.bodyHash == r.bodyHash && bytes.Equal(other.result.Body, got.Body)
	}
	if !h.anyRequest(r.key, same) {
		h.fail("request %d: got answer %q, want one recorded for %s", r.id, got.Body, r.key)
	}
}

func (h *history) anyRequest(key string, match func(*trackedRequest) bool) bool {
	for _, r := range h.requests {
		if r.key == key && match(r) {
			return true
		}
	}
	return false
}

// healAll ends all injected faults and checks that all pending requests are decided and new ones granted.
func (h *history) healAll() {
	h.paused = [historyDaemons]bool{}
	for d, m := range h.daemons {
		for number := range historyPartitions {
			if d == 0 {
				h.handle(d, m.AssignPartition(h.moment(), number))
			} else {
				h.handle(d, m.RevokePartition(h.moment(), number))
			}
		}
	}
	h.drain(10)
	h.checkDecided()
	for i := range 4 {
		h.checkGrantsNew("new-" + strconv.Itoa(i))
	}
}

// drain answers all calls and ends all granted requests, for the given seconds of virtual time.
func (h *history) drain(seconds int) {
	for range seconds {
		for i := 0; i < 1000 && len(h.calls) > 0; i++ {
			h.applyCall(0)
			c := h.calls[0]
			h.calls = h.calls[1:]
			if !c.timedOut {
				h.handle(c.daemon, c.machine.HandleStoreAnswer(h.moment(), c.answer))
			}
		}
		if len(h.calls) > 0 {
			h.fail("got %d calls in flight after 1000 answers, want 0", len(h.calls))
		}
		for _, r := range h.requests {
			if d, ok := h.daemonOf(r.machine); ok && r.granted && !r.ended {
				h.progress(d, r, 1)
			}
		}
		h.advance(time.Second)
	}
}

func (h *history) checkDecided() {
	for _, r := range h.requests {
		if _, alive := h.daemonOf(r.machine); alive && r.outcome == nil {
			h.fail("request %d: got no answer after all faults ended", r.id)
		}
	}
	for d, m := range h.daemons {
		if got, want := len(m.requests), 0; got != want {
			h.fail("daemon %d: got %d open requests, want %d", d, got, want)
		}
	}
}

func (h *history) checkGrantsNew(key string) {
	r := &trackedRequest{id: uint64(len(h.requests) + 1), machine: h.daemons[0], key: key, bodyHash: 1}
	h.requests = append(h.requests, r)
	h.byID[r.id] = r
	h.handle(0, r.machine.Claim(h.moment(), Request{ID: r.id, Key: key, BodyHash: 1, Deadline: h.now + time.Minute}))
	h.drain(3)
	if !r.completed {
		h.fail("request %d: got %#v after all faults ended, want it granted", r.id, r.outcome)
	}
}

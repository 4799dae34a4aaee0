// Package driver runs a daemon's reducer: one goroutine processes events in order and distributes the effects.
package driver

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"samphirewharf/internal/decision/reducer"
)

const (
	// eventQueueSize bounds the events queued for the reducer. Post blocks while the queue is full.
	eventQueueSize = 8192
	// effectQueueSize bounds the effects queued for the handler of one request. A request has at most one attempt, one
	// withdrawal, one cancellation and one final answer outstanding.
	effectQueueSize = 8
	// minTickDelay limits how often the reducer runs only because time has passed.
	minTickDelay = time.Millisecond
)

// A Driver runs one reducer with events of type E and effects of type F. Set the fields, then call Start.
type Driver[E, F any] struct {
	// Step passes an event to the reducer and returns its effects.
	Step func(event E) []F
	// TickDelay returns how long the reducer can wait without an event.
	TickDelay func() time.Duration
	// Tick is the event that the reducer receives when TickDelay has passed without another event.
	Tick E
	// RequestOf returns the request that an effect concerns, if any.
	RequestOf func(effect F) (reducer.RequestID, bool)
	// UndeliveredEvent returns the event that ends the attempt of an effect that could not be delivered to a handler,
	// if the effect starts or ends an attempt.
	UndeliveredEvent func(effect F) (E, bool)
	// Execute carries out an effect that concerns no open request. It must not block.
	Execute func(effect F)
	// Panicked is called with the event and the cause if the reducer panics, before the process ends. It may be nil.
	Panicked func(event E, cause any)

	events chan E
	nextID atomic.Uint64
	// queues maps the reducer.RequestID of each open request to its *effectQueue[F].
	queues sync.Map
	done   chan struct{}
	// undelivered are the events for effects that could not be delivered. Only the loop uses it.
	undelivered []E
}

// An effectQueue holds the effects of one request for its handler.
type effectQueue[F any] struct {
	mu      sync.Mutex
	effects chan F
	closed  bool
}

// Start starts the loop, which ends when the context ends.
func (d *Driver[E, F]) Start(ctx context.Context) {
	d.events = make(chan E, eventQueueSize)
	d.done = make(chan struct{})
	go d.loop(ctx)
}

// Close closes a request. Attempts in effects that its handler has not received end as not sent.
func (d *Driver[E, F]) Close(id reducer.RequestID) {
	found, ok := d.queues.LoadAndDelete(id)
	if !ok {
		return
	}
	queue, ok := found.(*effectQueue[F])
	if !ok {
		return
	}
	for _, effect := range queue.close() {
		if event, ok := d.UndeliveredEvent(effect); ok {
			d.Post(event)
		}
	}
}

// Open opens a new request and returns its ID and the channel of its effects.
func (d *Driver[E, F]) Open() (reducer.RequestID, <-chan F) {
	id := reducer.RequestID(d.nextID.Add(1))
	queue := &effectQueue[F]{effects: make(chan F, effectQueueSize)}
	d.queues.Store(id, queue)
	return id, queue.effects
}

// Post queues an event for the reducer. It blocks while the queue is full, and drops the event if the loop has ended.
func (d *Driver[E, F]) Post(event E) {
	select {
	case d.events <- event:
	case <-d.done:
	}
}

// QueueLength returns the number of events queued for the reducer.
func (d *Driver[E, F]) QueueLength() int { return len(d.events) }

// Wait blocks until the loop has ended.
func (d *Driver[E, F]) Wait() { <-d.done }

// loop passes events to the reducer, and a tick when its delay has passed.
func (d *Driver[E, F]) loop(ctx context.Context) {
	defer close(d.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		var event E
		select {
		case <-ctx.Done():
			return
		case event = <-d.events:
		case <-timer.C:
			event = d.Tick
		}
		d.step(event)
		for len(d.undelivered) > 0 {
			event, d.undelivered = d.undelivered[0], d.undelivered[1:]
			d.step(event)
		}
		timer.Reset(max(minTickDelay, d.TickDelay()))
	}
}

// step passes one event to the reducer and delivers its effects.
func (d *Driver[E, F]) step(event E) {
	defer d.reportPanic(event)
	for _, effect := range d.Step(event) {
		d.deliver(effect)
	}
}

// reportPanic reports a panic and goes on with it: a reducer that is left half-way through an event must not decide anything more.
func (d *Driver[E, F]) reportPanic(event E) {
	cause := recover()
	if cause == nil {
		return
	}
	if d.Panicked != nil {
		d.Panicked(event, cause)
	}
	panic(cause) //nolint:forbidigo // The process has to end.
}

// deliver passes an effect to the handler of its request, or to Execute.
func (d *Driver[E, F]) deliver(effect F) {
	id, concerns := d.RequestOf(effect)
	if !concerns {
		d.Execute(effect)
		return
	}
	found, _ := d.queues.Load(id)
	if queue, ok := found.(*effectQueue[F]); ok && queue.send(effect) {
		return
	}
	if event, ok := d.UndeliveredEvent(effect); ok {
		d.undelivered = append(d.undelivered, event)
	}
}

// close closes the queue and returns the effects that the handler has not received.
func (q *effectQueue[F]) close() []F {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	var remaining []F
	for {
		select {
		case effect := <-q.effects:
			remaining = append(remaining, effect)
		default:
			return remaining
		}
	}
}

// send queues an effect for the handler and reports whether that was possible.
func (q *effectQueue[F]) send(effect F) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		return false
	}
	select {
	case q.effects <- effect:
		return true
	default:
		return false
	}
}

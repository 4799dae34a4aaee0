// Package driver runs a daemon's reducer: one goroutine takes events in order and hands effects out.
package driver

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"samphirewharf/internal/decision/reducer"
)

const (
	// eventBuffer is how many events may wait for the reducer before posting blocks.
	eventQueueSize = 8192
	// effectBuffer is how many effects of one request may wait for its handler. A request has at most
	// one attempt, one cancellation and one final answer outstanding.
	effectQueueSize = 8
	// minSleep bounds how often the reducer is woken by time alone.
	minTickDelay = time.Millisecond
)

// A Driver runs one reducer, whose events are of type E and whose effects are of type F. Set the fields, then call Start.
type Driver[E, F any] struct {
	// Step feeds an event to the reducer and returns its effects.
	Step func(event E) []F
	// Sleep returns how long the reducer can go without an event.
	TickDelay func() time.Duration
	// Tick is the event that lets time pass.
	Tick E
	// RequestOf returns the request that an effect concerns, if any.
	RequestOf func(effect F) (reducer.RequestID, bool)
	// Unstarted returns the event that ends an attempt whose handler is gone, if the effect begins or ends one.
	UndeliveredEvent func(effect F) (E, bool)
	// Execute carries out an effect that concerns no request in hand. It must not block.
	Execute func(effect F)

	events chan E
	nextID atomic.Uint64
	queues  sync.Map
	done   chan struct{}
	// ended are the ends of attempts that no handler could begin. Only the loop uses it.
	undelivered []E
}

// A effectQueue is a request whose handler follows its effects.
type effectQueue[F any] struct {
	mu      sync.Mutex
	effects chan F
	closed  bool
}

// Start starts the loop, which ends when the context does.
func (d *Driver[E, F]) Start(ctx context.Context) {
	d.events = make(chan E, eventQueueSize)
	d.done = make(chan struct{})
	go d.loop(ctx)
}

// Close forgets a request. Attempts that its handler was told of too late end as not sent.
func (d *Driver[E, F]) Close(id reducer.RequestID) {
	found, ok := d.queues.LoadAndDelete(id)
	if !ok {
		return
	}
	c, ok := found.(*effectQueue[F])
	if !ok {
		return
	}
	for _, effect := range c.close() {
		if event, ok := d.UndeliveredEvent(effect); ok {
			d.Post(event)
		}
	}
}

// Open returns a new request's ID and the channel that its effects come on.
func (d *Driver[E, F]) Open() (reducer.RequestID, <-chan F) {
	id := reducer.RequestID(d.nextID.Add(1))
	c := &effectQueue[F]{effects: make(chan F, effectQueueSize)}
	d.queues.Store(id, c)
	return id, c.effects
}

// Post hands an event to the reducer. It blocks while too many events wait, and drops the event once
// the loop has ended.
func (d *Driver[E, F]) Post(event E) {
	select {
	case d.events <- event:
	case <-d.done:
	}
}

// QueueLength returns how many events wait for the reducer.
func (d *Driver[E, F]) QueueLength() int { return len(d.events) }

// Wait returns when the loop has ended.
func (d *Driver[E, F]) Wait() { <-d.done }

// loop feeds events to the reducer, and a Ticked event when the reducer asks to be woken.
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

// step feeds one event to the reducer and hands its effects out.
func (d *Driver[E, F]) step(event E) {
	for _, effect := range d.Step(event) {
		d.deliver(effect)
	}
}

// deliver hands an effect to the handler of its request, or to Execute.
func (d *Driver[E, F]) deliver(effect F) {
	id, concerns := d.RequestOf(effect)
	if !concerns {
		d.Execute(effect)
		return
	}
	found, _ := d.queues.Load(id)
	if c, ok := found.(*effectQueue[F]); ok && c.send(effect) {
		return
	}
	if event, ok := d.UndeliveredEvent(effect); ok {
		d.undelivered = append(d.undelivered, event)
	}
}

// close ends the call and returns the effects that its handler has not taken.
func (c *effectQueue[F]) close() []F {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	var left []F
	for {
		select {
		case effect := <-c.effects:
			left = append(left, effect)
		default:
			return left
		}
	}
}

// send hands an effect to the call's handler and returns whether it can take it.
func (c *effectQueue[F]) send(effect F) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	select {
	case c.effects <- effect:
		return true
	default:
		return false
	}
}

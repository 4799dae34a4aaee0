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
	eventBuffer = 8192
	// effectBuffer is how many effects of one request may wait for its handler. A request has at most
	// one attempt, one cancellation and one final answer outstanding.
	effectBuffer = 8
	// minSleep bounds how often the reducer is woken by time alone.
	minSleep = time.Millisecond
)

// A Driver runs one reducer. Set the fields, then call Start.
type Driver struct {
	Machine *reducer.Machine
	// Clock returns the moment of an event. It must be monotonic.
	Clock func() reducer.Moment
	// Execute carries out an effect that concerns no request in hand. It must not block.
	Execute func(reducer.Effect)
	// Observe sees each event before the reducer and its effects afterwards; nil means nobody does.
	Observe func(now reducer.Moment, event reducer.Event, effects []reducer.Effect)

	events chan reducer.Event
	nextID atomic.Uint64
	calls  sync.Map
	done   chan struct{}
	// ended are the ends of attempts that no handler could begin. Only the loop uses it.
	ended []reducer.Event
}

// A call is a request whose handler follows its effects.
type call struct {
	mu      sync.Mutex
	effects chan reducer.Effect
	closed  bool
}

// Start starts the loop, which ends when the context does.
func (d *Driver) Start(ctx context.Context) {
	d.events = make(chan reducer.Event, eventBuffer)
	d.done = make(chan struct{})
	go d.loop(ctx)
}

// Close forgets a request. Attempts that its handler was told of too late end as not sent.
func (d *Driver) Close(id reducer.RequestID) {
	found, ok := d.calls.LoadAndDelete(id)
	if !ok {
		return
	}
	c, ok := found.(*call)
	if !ok {
		return
	}
	for _, effect := range c.close() {
		if event, ok := unstarted(effect); ok {
			d.Post(event)
		}
	}
}

// Open returns a new request's ID and the channel that its effects come on.
func (d *Driver) Open() (reducer.RequestID, <-chan reducer.Effect) {
	id := reducer.RequestID(d.nextID.Add(1))
	c := &call{effects: make(chan reducer.Effect, effectBuffer)}
	d.calls.Store(id, c)
	return id, c.effects
}

// Post hands an event to the reducer. It blocks while too many events wait, and drops the event once
// the loop has ended.
func (d *Driver) Post(event reducer.Event) {
	select {
	case d.events <- event:
	case <-d.done:
	}
}

// Wait returns when the loop has ended.
func (d *Driver) Wait() { <-d.done }

// loop feeds events to the reducer, and a Ticked event when the reducer asks to be woken.
func (d *Driver) loop(ctx context.Context) {
	defer close(d.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		var event reducer.Event
		select {
		case <-ctx.Done():
			return
		case event = <-d.events:
		case <-timer.C:
			event = reducer.Ticked{}
		}
		d.step(event)
		for len(d.ended) > 0 {
			event, d.ended = d.ended[0], d.ended[1:]
			d.step(event)
		}
		timer.Reset(max(minSleep, d.Machine.NextWake()-d.Clock().Since))
	}
}

// step feeds one event to the reducer and hands its effects out.
func (d *Driver) step(event reducer.Event) {
	now := d.Clock()
	effects := d.Machine.Step(now, event)
	if d.Observe != nil {
		d.Observe(now, event, effects)
	}
	for _, effect := range effects {
		d.deliver(effect)
	}
}

// deliver hands an effect to the handler of its request, or to Execute.
func (d *Driver) deliver(effect reducer.Effect) {
	id, concerns := requestOf(effect)
	if !concerns {
		d.Execute(effect)
		return
	}
	found, _ := d.calls.Load(id)
	if c, ok := found.(*call); ok && c.send(effect) {
		return
	}
	if event, ok := unstarted(effect); ok {
		d.ended = append(d.ended, event)
	}
}

// close ends the call and returns the effects that its handler has not taken.
func (c *call) close() []reducer.Effect {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	var left []reducer.Effect
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
func (c *call) send(effect reducer.Effect) bool {
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

// unstarted returns the event that ends an attempt whose handler is gone. A handler ends every attempt
// that it has begun before it goes, so a Cancel for it only meets attempts that were never begun.
func unstarted(effect reducer.Effect) (reducer.Event, bool) {
	switch e := effect.(type) {
	case reducer.Dispatch:
		return reducer.AttemptEnded{Request: e.Request, Attempt: e.Attempt, Outcome: reducer.AttemptNotSent}, true
	case reducer.Forward:
		return reducer.AttemptEnded{Request: e.Request, Attempt: e.Attempt, Outcome: reducer.AttemptNotSent}, true
	case reducer.Cancel:
		return reducer.AttemptEnded{Request: e.Request, Attempt: e.Attempt, Outcome: reducer.AttemptCancelled}, true
	default:
		return nil, false
	}
}

// requestOf returns the request that an effect concerns.
func requestOf(effect reducer.Effect) (reducer.RequestID, bool) {
	switch e := effect.(type) {
	case reducer.Dispatch:
		return e.Request, true
	case reducer.Forward:
		return e.Request, true
	case reducer.Refuse:
		return e.Request, true
	case reducer.Answer:
		return e.Request, true
	case reducer.Addresses:
		return e.Request, true
	case reducer.Cancel:
		return e.Request, true
	default:
		return 0, false
	}
}

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
}

// Start starts the loop, which ends when the context does.
func (d *Driver) Start(ctx context.Context) {
	d.events = make(chan reducer.Event, eventBuffer)
	d.done = make(chan struct{})
	go d.loop(ctx)
}

// Close forgets a request; effects that come for it later are dropped.
func (d *Driver) Close(id reducer.RequestID) { d.calls.Delete(id) }

// Open returns a new request's ID and the channel that its effects come on.
func (d *Driver) Open() (reducer.RequestID, <-chan reducer.Effect) {
	id := reducer.RequestID(d.nextID.Add(1))
	effects := make(chan reducer.Effect, effectBuffer)
	d.calls.Store(id, effects)
	return id, effects
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
		now := d.Clock()
		effects := d.Machine.Step(now, event)
		if d.Observe != nil {
			d.Observe(now, event, effects)
		}
		for _, effect := range effects {
			d.deliver(effect)
		}
		timer.Reset(max(minSleep, d.Machine.NextWake()-now.Since))
	}
}

// deliver hands an effect to the handler of its request, or to Execute.
func (d *Driver) deliver(effect reducer.Effect) {
	id, concerns := requestOf(effect)
	if !concerns {
		d.Execute(effect)
		return
	}
	call, ok := d.calls.Load(id)
	if !ok {
		return
	}
	effects, ok := call.(chan reducer.Effect)
	if !ok {
		return
	}
	select {
	case effects <- effect:
	default:
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

package prover_test

import "samphirewharf/internal/decision/reducer"

// A mutation breaks decisions between the reducer and its shell. The zero value breaks nothing.
type mutation struct {
	name string
	// event may change or drop an event, effects may change effects.
	event   func(p *process, event reducer.Event) (reducer.Event, bool)
	effects func(p *process, effects []reducer.Effect) []reducer.Effect
	// ignoreExpiry sends orders whose time has passed.
	ignoreExpiry bool
}

func (m mutation) change(p *process, event reducer.Event) (reducer.Event, bool) {
	if m.event == nil {
		return event, true
	}
	return m.event(p, event)
}

func (m mutation) rewrite(p *process, effects []reducer.Effect) []reducer.Effect {
	if m.effects == nil {
		return effects
	}
	return m.effects(p, effects)
}

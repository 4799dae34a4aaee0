package placer

import (
	"maps"
	"time"

	"samphirewharf/internal/fleet/matcher"
)

const (
	// maxEarlierModels bounds the models that are remembered.
	maxEarlierModels = 8192
	// orderTimeout is longer than the time from a plan to the answer to its order.
	orderTimeout = 10 * time.Second
)

// Earlier are the models that configurations no longer have, or had with a larger size, by name. Engines may still have them so, also those
// whose entry names another service by now. The zero value is ready to use.
type Earlier struct {
	models map[string]EarlierModel
}

// An EarlierModel is a model as earlier configurations had it, with its largest sizes.
type EarlierModel struct {
	matcher.Model
	// Until is when the last order that was given under one of these configurations has been answered.
	Until time.Duration
}

// Models returns the models by name. Callers must not change them.
func (e *Earlier) Models() map[string]EarlierModel { return e.models }

// Configured records the models that a configuration had, which may be nil, and the next one doesn't have or has with a smaller size.
func (e *Earlier) Configured(now time.Duration, before, after *matcher.Configuration) {
	maps.DeleteFunc(e.models, func(_ string, m EarlierModel) bool { return !isLargerAnywhere(m.Model, after) })
	if before == nil {
		return
	}
	for name, s := range before.Services {
		if s.Engine == nil {
			continue
		}
		for _, model := range s.Engine.Models {
			if isLarger(model, after.Services[name].Engine) {
				e.add(EarlierModel{Model: model, Until: now + orderTimeout})
			}
		}
	}
}

// isLarger reports whether a model is larger than an engine's model of its name, or the engine, which may be nil, has none.
func isLarger(m matcher.Model, engine *matcher.Engine) bool {
	if engine == nil {
		return true
	}
	current, ok := engine.Models[m.Name]
	return !ok || m.Megabytes > current.Megabytes || m.AdapterMegabytes > current.AdapterMegabytes
}

// isLargerAnywhere reports whether a model is larger than that of its name is for some service, or no service has it.
func isLargerAnywhere(m matcher.Model, c *matcher.Configuration) bool {
	known := false
	for _, s := range c.Services {
		if !c.Offers(s.Name, m.Name) || s.Engine == nil {
			continue
		}
		if known = true; isLarger(m, s.Engine) {
			return true
		}
	}
	return !known
}

// add records a model. If there are too many, they are forgotten; a model of unknown size is evicted before anything is loaded beside it.
func (e *Earlier) add(model EarlierModel) {
	known, ok := e.models[model.Name]
	if e.models == nil || !ok && len(e.models) >= maxEarlierModels {
		e.models = make(map[string]EarlierModel)
	}
	model.Megabytes = max(model.Megabytes, known.Megabytes)
	model.AdapterMegabytes = max(model.AdapterMegabytes, known.AdapterMegabytes)
	e.models[model.Name] = model
}

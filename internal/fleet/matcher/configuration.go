// Package matcher defines the operators' configuration of hosts, routes and services, and matches requests to routes.
package matcher

import (
	"slices"
	"time"
)

// A Kind defines how requests of a route are answered and whether they may run more than once.
type Kind uint8

// The kinds of routes.
const (
	// KindIdempotent requests may run more than once.
	KindIdempotent Kind = iota
	// KindNonIdempotent requests run at most once.
	KindNonIdempotent
	// KindStream requests are answered by a series of events. They run at most once unless the route is resumable.
	KindStream
)

// String returns the kind's name in logs and metrics.
func (k Kind) String() string {
	switch k {
	case KindIdempotent:
		return "Idempotent"
	case KindNonIdempotent:
		return "NonIdempotent"
	default:
		return "Stream"
	}
}

// A Configuration is one version of the operators' configuration. It is immutable.
type Configuration struct {
	Version  int64
	Services map[string]Service
	Limits   Limits
	// Workspaces holds the workspaces by name. It is empty in a deployment that doesn't tell its callers apart.
	Workspaces map[string]Workspace
	// workspaceNames holds the names of the workspaces by the digests of their keys.
	workspaceNames map[KeyDigest]string
	// routes holds the routes of each host, those with the longest prefix first.
	routes map[string][]Route
	// numbered holds the services that a resumable route goes to.
	numbered map[string]bool
}

// Limits bound callers' requests and connections.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	// IdleTimeout bounds the time that a connection waits for its next request.
	IdleTimeout time.Duration
}

// A Route defines how requests for one host and path prefix are handled.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout bounds the time to the end of the answer.
	Timeout time.Duration
	// LatencyObjective is the objective for the time to the answer, or to the first event of a stream.
	LatencyObjective time.Duration
	// EventGapObjective is the objective for the longest time between two events of a stream.
	EventGapObjective time.Duration
	// Priority orders requests of one service; 0 is the most urgent.
	Priority int
	// Shares are the services that the route's requests are split between. It is never empty.
	Shares []Share
	// MaxServers bounds how many servers may run one request.
	MaxServers int
	// Sticky reports whether requests should go to servers that have processed parts of their prompt.
	Sticky bool
	// Resumable reports whether a stream may continue at another server.
	Resumable bool
	// Public reports whether callers need no key of a workspace.
	Public bool
}

// A Share is one service's part of a route's requests.
type Share struct {
	Service string
	Weight  int
}

// A Service is a group of identical backend servers.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int
	// Engine is nil for services without model engines.
	Engine *Engine
}

// An Engine describes the model engines of a service: their capacity and the models that they can load.
type Engine struct {
	// Slots is how many requests an engine runs at once.
	Slots int
	// TokenCapacity is how many tokens of running requests and cached prompts fit in an engine's memory.
	TokenCapacity int
	// WeightMegabytes is an engine's memory for models and adapters.
	WeightMegabytes float64
	AdapterSlots    int
	// LoadsPerSecond is the weight store's limit over all engines of the service.
	LoadsPerSecond float64
	Models         map[string]Model
}

// A Model is a model that an engine can load.
type Model struct {
	Name      string
	Megabytes float64
	// Adapters is the number of the model's adapters, AdapterMegabytes the size of each.
	Adapters         int
	AdapterMegabytes float64
	// The load times are for weights in the host's memory, on its disk, and in the weight store.
	MemoryLoadTime time.Duration
	DiskLoadTime   time.Duration
	StoreLoadTime  time.Duration
}

// HasService reports whether the configuration has a service. None yet, nil, may have any.
func (c *Configuration) HasService(name string) bool {
	if c == nil {
		return true
	}
	_, ok := c.Services[name]
	return ok
}

// Offers reports whether the configuration has a service and its engines, if it has any, can load a model, empty for none. No configuration
// yet, nil, may offer anything.
func (c *Configuration) Offers(service, model string) bool {
	if c == nil {
		return true
	}
	s, ok := c.Services[service]
	if !ok || s.Engine == nil || model == "" {
		return ok
	}
	_, ok = s.Engine.Models[model]
	return ok
}

// EngineServices returns the names of the services with engines, sorted.
func (c *Configuration) EngineServices() []string {
	var names []string
	if c == nil {
		return nil
	}
	for name, s := range c.Services {
		if s.Engine != nil {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Repeatable reports whether the route's requests may run more than once.
func (r Route) Repeatable() bool {
	return r.Kind == KindIdempotent || r.Kind == KindStream && r.Resumable
}

// EnginePriority returns an engine's priority number for the route, lowest first: by the route's priority, then the shorter latency
// objective first.
func (r Route) EnginePriority() int {
	p := 2 * r.Priority
	if r.LatencyObjective >= time.Second {
		p++
	}
	return min(p, 9)
}

// PickService returns the service for a request, at random by weight. The draw is a random number in [0, 1).
func (r Route) PickService(draw float64) string {
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	remaining := draw * float64(total)
	for _, s := range r.Shares {
		remaining -= float64(s.Weight)
		if remaining < 0 {
			return s.Service
		}
	}
	return r.Shares[len(r.Shares)-1].Service
}

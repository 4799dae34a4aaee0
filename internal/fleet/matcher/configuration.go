// Package matcher holds the operators' configuration of hosts, routes and services, and finds the route of a request.
package matcher

import "time"

// A Kind tells how often the requests of a route may run.
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

// A Configuration is one version of what the operators want. It is immutable.
type Configuration struct {
	Version  int64
	Services map[string]Service
	Limits   Limits
	// routes are ordered by length of prefix for each host, longest first.
	routes map[string][]Route
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection may wait for its next request.
	IdleTimeout time.Duration
}

// A Route says what happens to the requests of one host below one path.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout bounds the time until the whole answer.
	Timeout time.Duration
	// Objective is the time to the answer, or to the first event of a stream, that callers should see.
	LatencyObjective time.Duration
	// EventGap is the longest pause between events that callers should see.
	EventGapObjective time.Duration
	// Rank orders requests of one service; 0 is the most urgent.
	Priority int
	// Shares are the services that the route's requests go to. It is never empty.
	Shares []Share
	// MaxServers bounds the servers that may run one request.
	MaxServers int
	// Sticky tells that requests should go to servers that have read parts of their prompt.
	Sticky bool
	// Resumable tells that a stream may go on at another server.
	Resumable bool
}

// A Share is one service's part of a route's requests.
type Share struct {
	Service string
	Weight  int
}

// A Service is a group of backend servers that are alike.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int
	// Engine is nil for plain services.
	Engine *Engine
}

// An Engine tells what the model engines of a service hold and how they load it.
type Engine struct {
	// Slots is how many requests an engine runs at once.
	Slots int
	// TokenCapacity is how many tokens of running requests and kept prompts fit in an engine's memory.
	TokenCapacity int
	// WeightMegabytes is the memory for models and adapters.
	WeightMegabytes float64
	AdapterSlots    int
	// LoadsPerSecond is what the weight store allows over all engines of the service.
	LoadsPerSecond float64
	Models         map[string]Model
}

// A Model is one entry of an engine's catalogue.
type Model struct {
	Name             string
	Megabytes        float64
	Adapters         int
	AdapterMegabytes float64
	// The load times are for weights in the host's memory, on its disk, and at the weight store.
	MemoryLoadTime time.Duration
	DiskLoadTime   time.Duration
	StoreLoadTime  time.Duration
}

// Repeatable tells that the route's requests may run more than once.
func (r Route) Repeatable() bool {
	return r.Kind == KindIdempotent || r.Kind == KindStream && r.Resumable
}

// PickService returns the service for a request. The draw is from 0 up to but not including 1.
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

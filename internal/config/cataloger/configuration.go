// Package cataloger defines the configuration in force: services, deployments and adapters.
package cataloger

import "time"

// A ServiceKind tells what the backend servers of a service run.
type ServiceKind string

// The kinds of service.
const (
	// KindModel is a service of model engines.
	KindModel ServiceKind = "Model"
	// KindPlain is a service that takes any HTTP request below /services/NAME/.
	KindPlain ServiceKind = "Plain"
)

// A Weighting tells what weighs more when replicas are kept or evicted.
type Weighting string

// The weightings.
const (
	// WeightColdStart weighs tail cold-start time more.
	WeightColdStart Weighting = "ColdStart"
	// WeightIdleHours weighs idle accelerator hours more.
	WeightIdleHours Weighting = "IdleHours"
)

// A Configuration is one immutable version of what operators have decided.
// Maps and slices are never changed once the value is shared.
type Configuration struct {
	// Version is 1 for the first configuration and grows by 1 with each change.
	Version int64
	// ChangeID identifies the change that made this version, unique for each attempt to apply one.
	ChangeID string
	// Weighting is what the questionnaire says weighs more.
	Weighting Weighting
	// Zones are all availability zones, in the order of the questionnaire.
	Zones []Zone
	// Services are the services that requests are routed to. Names are unique.
	Services []Service
	// Deployments are the models of all services. Names are unique, also against adapters' names.
	Deployments []Deployment
	// Limits are the derived limits of the whole system.
	Limits Limits
}

// A Zone is an availability zone.
type Zone struct {
	Name   string
	Region string
	// OneWay is the network delay from this zone to any other zone of its region.
	OneWay Duration
}

// A Service is a group of backend servers that run the same engine. Today a service is one cell.
type Service struct {
	Name string
	Kind ServiceKind
	// Region is the region of the service's servers; only its daemons serve it. Empty means any.
	Region string `json:",omitempty"`
	// ChecksFencing tells that the engines refuse an order with an old fencing number.
	ChecksFencing bool
	// NonIdempotent are the rules for requests that must never be repeated. Plain services only.
	NonIdempotent []Rule
	// IdentityHeader names the header that carries the idempotency key; empty means Idempotency-Key.
	IdentityHeader string
	// ClaimRetention is how long a claim is kept. Zero if the service has no rules.
	ClaimRetention Duration
	// MaxInFlight is how many requests one backend server runs at once. Plain services only.
	MaxInFlight int
	// Deadline is the default deadline of an urgent request to a plain service.
	Deadline Duration
	// Weight shares of the weight store, for model services.
	Store WeightStore
}

// A Rule matches requests that must never be repeated.
type Rule struct {
	// Method is an HTTP method in upper case, or "*".
	Method string
	// PathPrefix is the start of the path below /services/NAME. Empty matches all.
	PathPrefix string
}

// A WeightStore states the limits of the weight store that a service loads from.
type WeightStore struct {
	// LoadsPerSecond is how many model loads may start in a second.
	LoadsPerSecond float64
	// FullSpeedLoads is how many model loads run at once at full speed.
	FullSpeedLoads int
	// FullSpeedAdapters is how many adapter loads run at once at full speed.
	FullSpeedAdapters int
	// AdapterLoad is how long one adapter load takes at full speed.
	AdapterLoad Duration
}

// A Deployment is one model that can be loaded on the backend servers of its service.
type Deployment struct {
	Name    string
	Service string
	// ModelVersion is the version of the weights. Replicas of different versions never mix.
	ModelVersion string
	// Role is the role that replicas are ordered to take; empty means that they do everything.
	Role string
	// Bytes is the accelerator memory that one replica needs without its adapter slots.
	Bytes int64
	// Load is how long a load takes from the weight store at full speed.
	Load Duration
	// LoadFromDisk is how long a load takes when the checkpoint is on the server's disk.
	LoadFromDisk Duration
	// LoadFromMemory is how long a load takes when the checkpoint is in the server's memory.
	LoadFromMemory Duration
	// MaxInFlight is how many requests one replica runs at once.
	MaxInFlight int
	// MaxReplicas bounds the replicas decided for this deployment.
	MaxReplicas int
	// AdapterSlots is how many adapters a replica holds at once; their memory is reserved with it.
	AdapterSlots int
	// AdapterBytes is the memory of one adapter slot.
	AdapterBytes int64
	// Adapters are the adapters of this model. Names are unique among adapters and deployments.
	Adapters []Adapter
	// UrgentDeadline is the default deadline of an urgent request.
	UrgentDeadline Duration
	// CanWaitDeadline is the default deadline of a request that can wait.
	CanWaitDeadline Duration
	// MaxQueue bounds the requests that wait for this deployment at one daemon.
	MaxQueue int
}

// An Adapter is a small set of weights that is loaded into a slot of its model's replica.
type Adapter struct {
	Name  string
	Bytes int64
}

// ReplicaBytes returns the memory that one replica reserves, its adapter slots included.
func (d Deployment) ReplicaBytes() int64 {
	return d.Bytes + int64(d.AdapterSlots)*d.AdapterBytes
}

// Limits are limits that the generator derives from the questionnaire.
type Limits struct {
	// RetryShare is how many retries may be sent for each success.
	RetryShare float64
	// MinKeepAlive and MaxKeepAlive bound how long an idle replica stays loaded.
	MinKeepAlive Duration
	MaxKeepAlive Duration
	// KeepAliveQuantile is the share of inter-arrival times that keep-alive covers.
	KeepAliveQuantile float64
	// AddressTimeToLive is how long callers may keep an answer of /v1/addresses.
	AddressTimeToLive Duration
}

// A Duration is a time.Duration that is written as text such as "1m30s" in own formats.
type Duration time.Duration

// D returns the value as a time.Duration.
func (d Duration) D() time.Duration { return time.Duration(d) }

// MarshalText returns the duration in Go's notation.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText reads a duration in Go's notation.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = Duration(parsed)
	return nil
}

// Package questioner reads the operators' questionnaire and generates the configuration from its answers.
package questioner

import (
	"fmt"
	"time"

	"samphirewharf/internal/config/cataloger"
)

// A Questionnaire is the answers of one organisation. Parse returns it checked.
type Questionnaire struct {
	// Organisation is the name of the organisation.
	Organisation string
	// WeighsMore is what weighs more when replicas are kept or evicted.
	WeighsMore cataloger.Weighting
	// UrgentAnswers is how fast an urgent request must be answered.
	UrgentAnswers time.Duration
	// CanWaitAnswers is how long other requests can wait. It is at least UrgentAnswers.
	CanWaitAnswers time.Duration
	// Zones are the availability zones. Names are unique.
	Zones []Zone
	// Services are the services. Names are unique.
	Services []Service
	// Models are groups of models.
	Models []ModelGroup
}

// A Zone is an availability zone.
type Zone struct {
	Name   string
	Region string
	// OneWay is the network delay to another zone of the region.
	OneWay time.Duration
}

// A Service is a group of backend servers.
type Service struct {
	Name string
	Kind cataloger.ServiceKind
	// Zones are names of zones. There is at least one.
	Zones []string
	// Servers is how many backend servers run it, over all zones.
	Servers int
	// Memory is the accelerator memory of one server in bytes, for model services.
	Memory int64
	// ChecksFencing tells that the engines refuse an order with an old fencing number, for model services.
	ChecksFencing bool
	// WeightStore is what the engines load from, for model services.
	WeightStore WeightStore
	// InFlight is how many requests one server runs at once, for plain services.
	InFlight int
	// NeverRepeat are the requests that must never be repeated, for plain services.
	NeverRepeat []cataloger.Rule
	// IdentityHeader names the header that identifies such a request; empty means Idempotency-Key.
	IdentityHeader string
	// KeysRememberedFor is how long the identity of such a request is remembered.
	KeysRememberedFor time.Duration
}

// A WeightStore is what a service's weight store allows.
type WeightStore struct {
	// LoadsPerSecond is how many model loads may start in a second.
	LoadsPerSecond float64
	// FullSpeedLoads is how many model loads run at once at full speed.
	FullSpeedLoads int
	// LoadSpeed is how many bytes a second one model load reads at full speed.
	LoadSpeed int64
	// FullSpeedAdapters is how many adapter loads run at once at full speed.
	FullSpeedAdapters int
	// AdapterLoad is how long an adapter load takes at full speed.
	AdapterLoad time.Duration
}

// A ModelGroup is one model, or several alike.
type ModelGroup struct {
	// Name is the model's name, or what the names of a group start with.
	Name string
	// Count is how many models the group has. It is at least 1.
	Count int
	// Service is the name of a model service.
	Service string
	// Version is the version of the weights.
	Version string
	// Size is the accelerator memory of one replica in bytes, without adapters.
	Size int64
	// Adapters are groups of adapters that each model of the group has.
	Adapters []AdapterGroup
}

// An AdapterGroup is one adapter, or several alike, of each model of a group.
type AdapterGroup struct {
	Name string
	// Count is how many adapters the group has. It is at least 1.
	Count int
	// Size is the memory of one adapter in bytes.
	Size int64
}

// names returns the model names of the group.
func (g ModelGroup) names() []string { return numbered(g.Name, g.Count) }

// names returns the adapter names of the group for one model.
func (g AdapterGroup) names(model string) []string { return numbered(model+"-"+g.Name, g.Count) }

// numbered returns the name alone, or the name with numbers from 1 of equal width if there are several.
func numbered(name string, count int) []string {
	if count == 1 {
		return []string{name}
	}
	width := len(fmt.Sprint(count))
	names := make([]string, 0, count)
	for i := 1; i <= count; i++ {
		names = append(names, fmt.Sprintf("%s-%0*d", name, width, i))
	}
	return names
}

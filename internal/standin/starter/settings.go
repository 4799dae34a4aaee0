package starter

import (
	"samphirewharf/internal/config/cataloger"
	"samphirewharf/internal/external/lister"
)

// A Part is one of the outside systems that a Starter starts.
type Part string

// The parts.
const (
	PartKeyValueService Part = "KeyValueService"
	PartHostList        Part = "HostList"
	PartServers         Part = "Servers"
)

// Settings describe the outside systems. The zero value starts a key-value service and an empty host list.
type Settings struct {
	// Parts are the parts to start; empty means all.
	Parts []Part
	// Host is the IP to listen on; empty means 127.0.0.1.
	Host string
	// BasePort is the port of the key-value service. The host list has the next one and the servers,
	// in the order of the services, those after it. Zero takes free ports.
	BasePort int
	// RegisterAt is the address of a host list that was started elsewhere and is to list the servers.
	RegisterAt string
	// Seed seeds all random choices.
	Seed uint64

	// WritesPerSecond and ReadsPerSecond limit the key-value service; zero means no limit.
	WritesPerSecond float64
	ReadsPerSecond  float64
	// HostLag is how long changes take to appear in the host list, once the servers are in it.
	HostLag cataloger.Duration

	// Zones are the availability zones that servers are spread over, unless their service says otherwise.
	Zones    []string
	Services []Service
	// Store are the limits of the weight store that all services load from.
	Store cataloger.WeightStore
	// TimeScale multiplies the times of loads and divides their rate; zero means 1.
	TimeScale float64
	Engine    Engine
}

// A Service describes the backend servers of one service.
type Service struct {
	Name    string
	Kind    cataloger.ServiceKind
	Servers int
	// Zones are the service's availability zones; empty means all.
	Zones []string
	// MemoryBytes is the accelerator memory of each server. Model services only.
	MemoryBytes int64
	// ChecksFencing tells that the engines refuse old fencing numbers.
	ChecksFencing bool
	// IdentityHeader is the header with the idempotency key; empty means Idempotency-Key. Plain services only.
	IdentityHeader string
	// RunTime is how long a call runs. Plain services only.
	RunTime cataloger.Duration
}

// An Engine describes what all model engines have in common. Times are not scaled.
type Engine struct {
	PromptTime    cataloger.Duration
	TokenInterval cataloger.Duration
	UnloadTime    cataloger.Duration
	ReportLag     cataloger.Duration
	EventDelay    cataloger.Duration
	// EventLossShare is the share of cache events that are never reported.
	EventLossShare float64
	// RestartAfter is how long a crashed server stays away, of a plain service too.
	RestartAfter cataloger.Duration
	// MemoryCheckpoints and DiskCheckpoints are how many checkpoints each server holds near; zero means 4 and 16.
	MemoryCheckpoints int
	DiskCheckpoints   int
}

// Addresses are where the started parts listen, by IP and port. Parts that are not started are empty.
type Addresses struct {
	KeyValueService string
	HostList        string
	Servers         []lister.Host
}

func (s Settings) includes(part Part) bool {
	for _, p := range s.Parts {
		if p == part {
			return true
		}
	}
	return len(s.Parts) == 0
}

func (s Settings) timeScale() float64 {
	if s.TimeScale == 0 {
		return 1
	}
	return s.TimeScale
}

// zone returns the availability zone of a server by its number within the service.
func (s Settings) zone(service Service, number int) string {
	zones := service.Zones
	if len(zones) == 0 {
		zones = s.Zones
	}
	if len(zones) == 0 {
		return ""
	}
	return zones[number%len(zones)]
}

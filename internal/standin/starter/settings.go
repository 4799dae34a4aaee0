package starter

import (
	"samphirewharf/internal/config/cataloger"
	"samphirewharf/internal/external/lister"
)

// A Part is one of the external systems that a Starter starts.
type Part string

// The parts.
const (
	PartKeyValueService Part = "KeyValueService"
	PartHostList        Part = "HostList"
	PartServers         Part = "Servers"
)

// Settings describe the external systems. The zero value starts a key-value service and an empty host list.
type Settings struct {
	// Parts are the parts to start; empty means all.
	Parts []Part
	// Host is the IP to listen on; empty means 127.0.0.1.
	Host string
	// BasePort is the port of the key-value service. The host list has the next port and the servers,
	// in the order of the services, the ports after it. Zero selects free ports.
	BasePort int
	// RegisterAt is the address of a host list that runs in another process and is to list the servers.
	RegisterAt string
	// Seed seeds all random choices.
	Seed uint64

	// WritesPerSecond and ReadsPerSecond limit the key-value service; zero means no limit.
	WritesPerSecond float64
	ReadsPerSecond  float64
	// HostLag is the delay until changes become visible in the host list. It does not apply to the servers of these
	// settings.
	HostLag cataloger.Duration

	// Zones are the availability zones over which servers are spread, unless their service has its own.
	Zones    []string
	Services []Service
	// Store are the limits of the weight store that all services load from.
	Store cataloger.WeightStore
	// TimeScale multiplies the durations of loads and divides their rate; zero means 1.
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
	// ChecksFencing reports whether the engines refuse stale fencing tokens.
	ChecksFencing bool
	// IdentityHeader is the header with the idempotency key; empty means Idempotency-Key. Plain services only.
	IdentityHeader string
	// RunTime is the duration of a call. Plain services only.
	RunTime cataloger.Duration
}

// An Engine describes the properties that all model engines share. TimeScale does not apply to its durations.
type Engine struct {
	PromptTime    cataloger.Duration
	TokenInterval cataloger.Duration
	UnloadTime    cataloger.Duration
	ReportLag     cataloger.Duration
	EventDelay    cataloger.Duration
	// EventLossShare is the share of cache events that are never reported.
	EventLossShare float64
	// RestartAfter is the delay between a crash and the restart of a server, also of a plain service.
	RestartAfter cataloger.Duration
	// MemoryCheckpoints and DiskCheckpoints are how many checkpoints each server caches in memory and on disk; zero
	// means 4 and 16.
	MemoryCheckpoints int
	DiskCheckpoints   int
}

// Addresses are the addresses of the started parts, by IP and port. They are empty for parts that are not started.
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

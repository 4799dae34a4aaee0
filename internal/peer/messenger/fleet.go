package messenger

import (
	"time"

	"samphirewharf/internal/fleet/registrar"
)

// A Demand reports the demand of the sender's callers to the leader.
type Demand struct {
	// ConfigurationVersion is the configuration version in force at the sender.
	ConfigurationVersion int64
	Models               []ModelDemand
	// InFlight is the number of the sender's running requests, by server.
	InFlight map[string]int
	// Suspects is set by earlier versions, which send no Evidence.
	Suspects []Suspect
	Absences []Absence
	// RateLimits are those that have changed, or differ from the leader's.
	RateLimits []RateLimit
}

// A RateLimit is the rate of requests that a server takes from all daemons together.
type RateLimit struct {
	Server    string
	StartedAt int64
	// Limited is false if the server no longer has a limit.
	Limited   bool
	PerSecond float64
}

// A ModelDemand is one daemon's demand for a model, or for an adapter of it.
type ModelDemand struct {
	Service string
	Model   string
	Adapter string
	// SoftwareVersion is the version at which the requests have to go on, valid if Pinned.
	SoftwareVersion string
	Pinned          bool
	// Waiting and Running are current numbers of requests, Arrived and Refused those since the last message.
	Waiting int
	Running int
	Arrived int
	Refused int
	// Slack is the time until the first waiting request reaches its time limit.
	Slack time.Duration
}

// An Absence is a model or adapter that was found not to be loaded by a server. An empty Model means that the server
// accepts no connections.
type Absence struct {
	Server    string
	StartedAt int64
	Model     string
	Adapter   string
}

// A Fleet is the leader's view of the servers, or what has changed of it. For a server that isn't in the view, the server's own entry
// applies.
type Fleet struct {
	// Holder is the name of the leader. Other daemons relay its message.
	Holder string
	// Fence is the leader's fencing token. A message with a lower token than one received before is stale.
	Fence int64
	// Sequence increases with each message of a fencing token.
	Sequence int64
	Servers  []FleetServer
	Loading  []Loading
	// Suspects is set by earlier versions, which send no Evidence.
	Suspects []Suspect
	// ConfigurationVersion is the configuration version in force at the sender.
	ConfigurationVersion int64
	// RateLimits are those of all servers that have one or, among changes, those that have changed.
	RateLimits []RateLimit
	// Whole reports whether this is the whole view, Changes whether it is what has changed since the message with the Previous sequence
	// number. If neither is set, all but some of the servers is in it, as earlier versions expect it.
	Whole    bool
	Changes  bool
	Previous int64
	// Gone are, among changes, the servers that are no longer in the view.
	Gone []string
	// InFlight holds, among changes, the numbers of requests that have changed since those before were counted, by server; valid if
	// Counted.
	InFlight map[string]int
	Counted  bool
}

// A FleetServer is the state of one server.
type FleetServer struct {
	Server    string
	StartedAt int64
	Models    []registrar.LoadedModel
	// InFlight is the number of requests of all daemons at the server.
	InFlight int
}

// A Loading is a model or adapter that is being loaded, or a model that is in demand and can't be loaded yet.
type Loading struct {
	Service string
	Model   string
	Adapter string
	// SoftwareVersion is that of the server that loads it, empty if none does yet.
	SoftwareVersion string
	ReadyIn         time.Duration
	// Ended reports, among changes, whether it is no longer expected.
	Ended bool
}

func encodeDemand(d *Demand) *DemandPart {
	if d == nil {
		return nil
	}
	part := &DemandPart{
		ConfigurationVersion: d.ConfigurationVersion,
		Suspects:             convert(d.Suspects, encodeSuspect),
		InFlight:             encodeInFlight(d.InFlight),
		Models: convert(d.Models, func(m ModelDemand) *ModelDemandPart {
			return &ModelDemandPart{
				Service: m.Service, Model: m.Model, Adapter: m.Adapter, Waiting: int64(m.Waiting), Running: int64(m.Running),
				Arrived: int64(m.Arrived), Refused: int64(m.Refused), SlackNanoseconds: int64(m.Slack),
				SoftwareVersion: m.SoftwareVersion, Pinned: m.Pinned,
			}
		}),
		Absences: convert(d.Absences, func(a Absence) *AbsencePart {
			return &AbsencePart{Server: a.Server, StartedAt: a.StartedAt, Model: a.Model, Adapter: a.Adapter}
		}),
		RateLimits: convert(d.RateLimits, encodeRateLimit),
	}
	return part
}

func decodeDemand(p *DemandPart) *Demand {
	if p == nil {
		return nil
	}
	d := &Demand{
		ConfigurationVersion: p.GetConfigurationVersion(),
		Suspects:             convert(p.GetSuspects(), decodeSuspect),
		Models: convert(p.GetModels(), func(m *ModelDemandPart) ModelDemand {
			return ModelDemand{
				Service: m.GetService(), Model: m.GetModel(), Adapter: m.GetAdapter(), Waiting: int(m.GetWaiting()),
				Running: int(m.GetRunning()), Arrived: int(m.GetArrived()), Refused: int(m.GetRefused()),
				Slack: time.Duration(m.GetSlackNanoseconds()), SoftwareVersion: m.GetSoftwareVersion(), Pinned: m.GetPinned(),
			}
		}),
		Absences: convert(p.GetAbsences(), func(a *AbsencePart) Absence {
			return Absence{Server: a.GetServer(), StartedAt: a.GetStartedAt(), Model: a.GetModel(), Adapter: a.GetAdapter()}
		}),
		RateLimits: convert(p.GetRateLimits(), decodeRateLimit),
		InFlight:   decodeInFlight(p.GetInFlight()),
	}
	return d
}

func encodeInFlight(byServer map[string]int) map[string]int64 {
	encoded := make(map[string]int64, len(byServer))
	for server, n := range byServer {
		encoded[server] = int64(n)
	}
	return encoded
}

func decodeInFlight(encoded map[string]int64) map[string]int {
	if len(encoded) == 0 {
		return nil
	}
	byServer := make(map[string]int, len(encoded))
	for server, n := range encoded {
		byServer[server] = int(n)
	}
	return byServer
}

// encodeFleets returns the parts for a whole view and for changes, one of which is nil.
func encodeFleets(f *Fleet) (whole, changes *FleetPart) {
	switch {
	case f == nil:
		return nil, nil
	case f.Changes:
		return nil, encodeFleet(f)
	default:
		return encodeFleet(f), nil
	}
}

func decodeFleets(whole, changes *FleetPart) *Fleet {
	if changes == nil {
		return decodeFleet(whole)
	}
	f := decodeFleet(changes)
	f.Changes = true
	return f
}

func encodeFleet(f *Fleet) *FleetPart {
	return &FleetPart{
		Holder: f.Holder, Fence: f.Fence, Sequence: f.Sequence, ConfigurationVersion: f.ConfigurationVersion,
		Suspects:   convert(f.Suspects, encodeSuspect),
		Servers:    convert(f.Servers, encodeFleetServer),
		RateLimits: convert(f.RateLimits, encodeRateLimit),
		Whole:      f.Whole, Previous: f.Previous, Gone: f.Gone, InFlight: encodeInFlight(f.InFlight), Counted: f.Counted,
		Loading: convert(f.Loading, func(l Loading) *LoadingPart {
			return &LoadingPart{Service: l.Service, Model: l.Model, Adapter: l.Adapter, ReadyInNanoseconds: int64(l.ReadyIn), SoftwareVersion: l.SoftwareVersion, Ended: l.Ended}
		}),
	}
}

func decodeFleet(p *FleetPart) *Fleet {
	if p == nil {
		return nil
	}
	return &Fleet{
		Holder: p.GetHolder(), Fence: p.GetFence(), Sequence: p.GetSequence(), ConfigurationVersion: p.GetConfigurationVersion(),
		Suspects:   convert(p.GetSuspects(), decodeSuspect),
		Servers:    convert(p.GetServers(), decodeFleetServer),
		RateLimits: convert(p.GetRateLimits(), decodeRateLimit),
		Whole:      p.GetWhole(), Previous: p.GetPrevious(), Gone: p.GetGone(), InFlight: decodeInFlight(p.GetInFlight()), Counted: p.GetCounted(),
		Loading: convert(p.GetLoading(), func(l *LoadingPart) Loading {
			return Loading{
				Service: l.GetService(), Model: l.GetModel(), Adapter: l.GetAdapter(),
				ReadyIn: time.Duration(l.GetReadyInNanoseconds()), SoftwareVersion: l.GetSoftwareVersion(), Ended: l.GetEnded(),
			}
		}),
	}
}

func encodeFleetServer(s FleetServer) *ServerPart {
	return &ServerPart{
		Server: s.Server, StartedAt: s.StartedAt, InFlight: int64(s.InFlight),
		Models: convert(s.Models, func(m registrar.LoadedModel) *HeldModelPart {
			return &HeldModelPart{Name: m.Name, Version: int64(m.Version), Adapters: m.Adapters}
		}),
	}
}

func decodeFleetServer(s *ServerPart) FleetServer {
	return FleetServer{
		Server: s.GetServer(), StartedAt: s.GetStartedAt(), InFlight: int(s.GetInFlight()),
		Models: convert(s.GetModels(), func(m *HeldModelPart) registrar.LoadedModel {
			return registrar.LoadedModel{Name: m.GetName(), Version: int(m.GetVersion()), Adapters: m.GetAdapters()}
		}),
	}
}

func encodeRateLimit(l RateLimit) *RateLimitPart {
	return &RateLimitPart{Server: l.Server, StartedAt: l.StartedAt, Limited: l.Limited, PerSecond: l.PerSecond}
}

func decodeRateLimit(p *RateLimitPart) RateLimit {
	return RateLimit{Server: p.GetServer(), StartedAt: p.GetStartedAt(), Limited: p.GetLimited(), PerSecond: p.GetPerSecond()}
}

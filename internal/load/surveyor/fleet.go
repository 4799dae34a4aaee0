package surveyor

import (
	"fmt"
	"time"

	"samphirewharf/internal/backend/orderer"
	"samphirewharf/internal/config/cataloger"
	"samphirewharf/internal/external/lister"
)

// Sizes and names that are the same in all surveys.
const (
	modelBytes   = 6 << 30
	serverBytes  = 80 << 30
	adapterBytes = 50 << 20
	regionName   = "region-0"
	zoneName     = "zone-0"
)

// A Size is the size of the system around one surveyed daemon. A zero field means none, except for Daemons.
type Size struct {
	// Services is the number of cells in the configuration. The surveyed daemon serves those that are assigned to it.
	Services int
	// Plain is true if all services are plain ones with non-idempotent requests.
	Plain bool
	// Placer is true if the surveyed daemon is the placer of its cell. Otherwise another daemon is, if there is one.
	Placer bool
	// Servers is the number of backend servers in each cell.
	Servers int
	// Daemons is the total number of daemons.
	Daemons int
	// Models and Adapters are the numbers of models and adapters in the catalogue.
	Models   int
	Adapters int
	// Replicas is the number of ready replicas that each backend server reports.
	Replicas int
	// RequestsPerSecond is the request rate at the surveyed daemon.
	RequestsPerSecond float64
	// Retention is how long claims are kept in the store.
	Retention time.Duration
}

// configuration returns a configuration of the size.
func (s Size) configuration() cataloger.Configuration {
	c := cataloger.Configuration{
		Version: 1,
		Zones:   []cataloger.Zone{{Name: zoneName, Region: regionName}},
		Limits:  cataloger.Limits{RetryShare: 0.1, MaxKeepAlive: cataloger.Duration(24 * time.Hour), MinKeepAlive: cataloger.Duration(24 * time.Hour)},
	}
	for i := range s.Services {
		service := cataloger.Service{Name: serviceName(i), Kind: cataloger.KindModel, Region: regionName}
		if s.Plain {
			service.Kind = cataloger.KindPlain
			service.NonIdempotent = []cataloger.Rule{{Method: "*"}}
			service.ClaimRetention = cataloger.Duration(s.Retention)
			service.MaxInFlight = 1 << 10
			service.Deadline = cataloger.Duration(time.Minute)
		}
		c.Services = append(c.Services, service)
	}
	for i := range s.Models {
		c.Deployments = append(c.Deployments, s.deployment(i))
	}
	return c
}

func (s Size) deployment(number int) cataloger.Deployment {
	d := cataloger.Deployment{
		Name:           modelName(number),
		Service:        serviceName(number % s.Services),
		ModelVersion:   "1",
		Bytes:          modelBytes,
		Load:           cataloger.Duration(time.Second),
		MaxInFlight:    1 << 10,
		MaxReplicas:    s.Servers,
		MaxQueue:       1 << 10,
		AdapterSlots:   4,
		AdapterBytes:   adapterBytes,
		UrgentDeadline: cataloger.Duration(time.Minute),
	}
	for a := number; a < s.Adapters; a += s.Models {
		d.Adapters = append(d.Adapters, cataloger.Adapter{Name: fmt.Sprintf("model-%03d-adapter-%03d", number, a/s.Models), Bytes: adapterBytes})
	}
	return d
}

// hosts returns the backend servers of a cell.
func (s Size) hosts(service string) []lister.Host {
	list := make([]lister.Host, 0, s.Servers)
	for i := range s.Servers {
		list = append(list, lister.Host{
			Server:      fmt.Sprintf("%s-%03d", service, i),
			Service:     service,
			Address:     fmt.Sprintf("10.0.%d.%d:8000", i/256, i%256),
			Zone:        zoneName,
			MemoryBytes: serverBytes,
			State:       lister.HostLive,
		})
	}
	return list
}

// models returns the models of a cell.
func (s Size) models(service string) []string {
	var list []string
	for i := range s.Models {
		if serviceName(i%s.Services) == service {
			list = append(list, modelName(i))
		}
	}
	return list
}

func modelName(number int) string { return fmt.Sprintf("model-%03d", number) }

func serviceName(number int) string { return fmt.Sprintf("service-%02d", number) }

// report returns a server's report with the given replicas.
func report(h lister.Host, sequence int64, replicas []orderer.ReplicaReport) orderer.Report {
	used := int64(0)
	for _, r := range replicas {
		used += r.Bytes
	}
	return orderer.Report{
		Instance:           "0193a1b2-0000-7000-8000-" + fmt.Sprintf("%012x", len(h.Server)),
		Sequence:           sequence,
		MemoryBytes:        h.MemoryBytes,
		UsedBytes:          used,
		Replicas:           replicas,
		CheckpointsVersion: 1,
	}
}

package reducer

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"samphirewharf/internal/backend/orderer"
	"samphirewharf/internal/config/cataloger"
	"samphirewharf/internal/external/lister"
)

// A fixture is the only daemon of its cells, with some deployments ready on two servers each.
type fixture struct {
	machine         *Machine
	now             Moment
	next            RequestID
	deploymentNames []string
}

// newFixture returns a daemon that serves the given number of services with the given number of servers each.
// models and adapters are totals over all services; ready is the number of ready models.
func newFixture(services, servers, models, adapters, ready int) *fixture {
	f := &fixture{now: Moment{Monotonic: time.Second, Wall: time.Unix(1_800_000_000, 0)}}
	f.machine = New(Settings{Daemon: "d1", Instance: "i1", Address: "127.0.0.1:1", Zone: "z1", Seed: 1})
	f.step(ConfigurationLoaded{Catalog: cataloger.NewCatalog(f.configuration(services, models, adapters))})
	for s := range services {
		f.step(HostsListed{Service: serviceName(s), OK: true, Hosts: hosts(s, servers)})
	}
	for i := range ready {
		f.load(i, servers)
	}
	return f
}

func (f *fixture) configuration(services, models, adapters int) cataloger.Configuration {
	c := cataloger.Configuration{Version: 1}
	for s := range services {
		c.Services = append(c.Services, cataloger.Service{Name: serviceName(s), Kind: cataloger.KindModel})
	}
	for i := range models {
		d := cataloger.Deployment{
			Name: fmt.Sprintf("model-%d", i), Service: serviceName(i % services), Bytes: 1 << 30, MaxInFlight: 1 << 20,
			AdapterSlots: 4, UrgentDeadline: cataloger.Duration(time.Minute), MaxReplicas: 4, MaxQueue: 64,
		}
		for a := i; a < adapters; a += models {
			d.Adapters = append(d.Adapters, cataloger.Adapter{Name: fmt.Sprintf("adapter-%d", a)})
		}
		c.Deployments = append(c.Deployments, d)
		f.deploymentNames = append(f.deploymentNames, d.Name)
	}
	return c
}

// load reports the model as ready on two servers of its service.
func (f *fixture) load(model, servers int) {
	services := len(f.machine.catalog.Configuration.Services)
	service := model % services
	for copyNumber := range 2 {
		server := serverName(service, (model/services+copyNumber)%servers)
		s, ok := f.machine.fleet.Server(server)
		if !ok {
			return
		}
		report := s.Report
		report.Instance = "e1"
		report.Sequence++
		report.Replicas = append(report.Replicas, orderer.ReplicaReport{
			Replica: fmt.Sprintf("r-%d-%d", model, copyNumber), Deployment: f.deploymentNames[model], State: orderer.StateReady,
		})
		f.step(ServerPolled{Server: server, OK: true, SentAt: f.now.Monotonic, Report: report})
	}
}

// serve runs one request from arrival to its end and reports whether it was dispatched.
func (f *fixture) serve(model int) bool {
	f.next++
	id := f.next
	dispatched := false
	for _, e := range f.step(RequestArrived{Request: id, Target: f.deploymentNames[model], Urgent: true, BodyHash: uint64(id)}) {
		if d, ok := e.(Dispatch); ok && d.Request == id {
			dispatched = true
		}
	}
	f.step(AttemptEnded{Request: id, Attempt: 1, Outcome: AttemptDone, Status: 200})
	return dispatched
}

func (f *fixture) step(e Event) []Effect {
	f.now.Monotonic += time.Microsecond
	return f.machine.Step(f.now, e)
}

func serviceName(i int) string { return fmt.Sprintf("service-%d", i) }

func serverName(service, i int) string { return fmt.Sprintf("server-%d-%d", service, i) }

func hosts(service, servers int) []lister.Host {
	var list []lister.Host
	for i := range servers {
		list = append(list, lister.Host{
			Server: serverName(service, i), Service: serviceName(service), Address: "127.0.0.1:2", Zone: "z1",
			MemoryBytes: 1 << 40, State: lister.HostLive,
		})
	}
	return list
}

// BenchmarkRoutingDecision measures one routing decision: a request's arrival, its dispatch and its end.
func BenchmarkRoutingDecision(b *testing.B) {
	sizes := []struct {
		name                                       string
		services, servers, models, adapters, ready int
	}{
		{"40Models12Servers", 1, 12, 40, 80, 20},
		{"560Models18000Adapters3000Servers", 60, 50, 560, 18000, 300},
	}
	for _, size := range sizes {
		b.Run(size.name, func(b *testing.B) {
			f := newFixture(size.services, size.servers, size.models, size.adapters, size.ready)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				if !f.serve(i % size.ready) {
					b.Fatal("request was not dispatched")
				}
			}
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "decisions/s")
		})
	}
}

// BenchmarkCatalogMemory measures the memory of a daemon's state with a catalog of the size expected in two
// years.
func BenchmarkCatalogMemory(b *testing.B) {
	var before, after runtime.MemStats
	for range b.N {
		runtime.GC()
		runtime.ReadMemStats(&before)
		f := newFixture(60, 50, 560, 18000, 300)
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1e6, "MB")
		runtime.KeepAlive(f)
	}
}

// Package emulator plays a trace of requests against the placement policy of one model service in virtual
// time, with one placer daemon, a weight store that is slow when it is shared, and servers that hold
// checkpoints near. It has no daemons' network and no faults.
package emulator

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"samphirewharf/internal/config/cataloger"
	"samphirewharf/internal/config/questioner"
	"samphirewharf/internal/decision/limiter"
	"samphirewharf/internal/decision/observer"
	"samphirewharf/internal/decision/planner"
	"samphirewharf/internal/decision/warmer"
	"samphirewharf/internal/emulation/tracer"
	"samphirewharf/internal/external/lister"
	"samphirewharf/internal/external/storer"
)

// Sizes of a server's tiers if the Emulator does not state them.
const (
	defaultMemoryTier = 64_000_000_000
	defaultDiskTier   = 256_000_000_000
	// defaultOnDisk is the share of checkpoints that are on one server's disk at the start.
	defaultOnDisk = 0.5
	// startDelay is the time of the first call, so that no time is zero.
	startDelay = time.Second
)

// ErrNoModels is returned for a questionnaire without a model service.
var ErrNoModels = errors.New("questionnaire has no model service")

// An Emulator plays traces against policies. The zero value plus a questionnaire is ready to use.
type Emulator struct {
	Questionnaire questioner.Questionnaire
	// Tracer generates the trace; the zero value means tracer.Default().
	Tracer tracer.Tracer
	// MemoryTier and DiskTier are the bytes of checkpoints that a server holds; zero means the defaults.
	MemoryTierBytes int64
	DiskTierBytes   int64
	// Warmup is the time at the start of the trace that is played but not measured.
	Warmup time.Duration
	// Length is how much of the trace is played; zero means all of it.
	Duration time.Duration
}

// An emulation is one run.
type emulation struct {
	clock
	policy  Policy
	seed    uint64
	warmup  time.Duration
	rng     *rand.Rand
	catalog *cataloger.Catalog
	service *cataloger.Service

	planner *planner.Machine
	warmer  warmer.Warmer
	share   limiter.LoadLimiter
	fleet   observer.Fleet
	queues  map[string]*queue
	// active are the queues that the placer is told of.
	active       map[*queue]bool
	lastUse      map[string]time.Duration
	needsAt      time.Duration
	needsPending bool
	sequence     int64
	idleTicks    int

	engines map[string]*engine
	// names are the servers' names in order, indexes their places in it.
	names        []string
	indexes      map[string]int
	modelStore   weightStore
	adapterStore weightStore
	stored       storer.Entry
	fence        int64

	result        Metrics
	scheduled     uint64
	coldTimes     []time.Duration
	served        int
	idleHours     float64
	loadedHours   float64
	loads         [3]int
	adapterLoads  int
	decisions     map[string]int
	decided       int
	writes        int
	cut           int
	overcommitted int
}

// Run plays the trace of a seed against a policy.
func (e Emulator) Run(policy Policy, seed uint64) (Metrics, error) {
	if e.Tracer == (tracer.Tracer{}) {
		e.Tracer = tracer.Default()
	}
	q := e.Questionnaire
	if policy.Weighting != "" {
		q.WeighsMore = policy.Weighting
	}
	run, err := e.start(q, policy, seed)
	if err != nil {
		return Metrics{}, err
	}
	length := cmp.Or(e.Duration, time.Duration(e.Tracer.Days)*24*time.Hour)
	for _, r := range e.Tracer.Generate(run.catalog.Configuration.Deployments, seed) {
		if r.ArrivesAt < length {
			run.play(r)
		}
	}
	run.runUntil(length)
	return run.figures(), nil
}

// start returns a run with its servers listed.
func (e Emulator) start(q questioner.Questionnaire, policy Policy, seed uint64) (*emulation, error) {
	at := slices.IndexFunc(q.Services, func(s questioner.Service) bool { return s.Kind == cataloger.KindModel })
	if at < 0 {
		return nil, fmt.Errorf("emulate %s: %w", q.Organisation, ErrNoModels)
	}
	described := q.Services[at]
	configuration, _ := questioner.Generate(q)
	configuration.Deployments = slices.DeleteFunc(configuration.Deployments, func(d cataloger.Deployment) bool {
		return d.Service != described.Name
	})
	run := &emulation{
		policy: policy, seed: seed, warmup: e.Warmup, rng: rand.New(rand.NewPCG(seed, 0)),
		catalog:   cataloger.NewCatalog(configuration),
		warmer:    warmer.Warmer{Weighting: configuration.Weighting, Limits: configuration.Limits},
		queues:    make(map[string]*queue),
		active:    make(map[*queue]bool),
		lastUse:   make(map[string]time.Duration),
		engines:   make(map[string]*engine),
		indexes:   make(map[string]int),
		decisions: make(map[string]int),
	}
	run.service, _ = run.catalog.Service(described.Name)
	store := run.service.Store
	run.share.Configure(store, 0)
	run.modelStore = weightStore{clock: &run.clock, fullSpeed: store.FullSpeedLoads}
	if store.LoadsPerSecond > 0 {
		run.modelStore.spacing = time.Duration(float64(time.Second) / store.LoadsPerSecond)
	}
	run.adapterStore = weightStore{clock: &run.clock, fullSpeed: store.FullSpeedAdapters}
	run.planner = run.newPlanner()
	e.addServers(run, described)
	run.at(startDelay, run.pollAll)
	run.at(startDelay, run.tick)
	run.at(startDelay, run.tickUses)
	return run, nil
}

func (e Emulator) addServers(run *emulation, s questioner.Service) {
	var hosts []lister.Host
	for i := range s.Servers {
		name := fmt.Sprintf("%s-%03d", s.Name, i)
		host := lister.Host{
			Server: name, Service: s.Name, Zone: s.Zones[i%len(s.Zones)], MemoryBytes: s.Memory, State: lister.HostLive,
		}
		hosts = append(hosts, host)
		run.names = append(run.names, name)
		run.indexes[name] = i
		run.engines[name] = &engine{
			emulation: run, host: host, changed: true,
			memory: tier{bytes: cmp.Or(e.MemoryTierBytes, defaultMemoryTier)},
			disk:   tier{bytes: cmp.Or(e.DiskTierBytes, defaultDiskTier)},
		}
	}
	run.fleet.SetHosts(s.Name, hosts)
	for i := range run.catalog.Configuration.Deployments {
		if run.rng.Float64() >= defaultOnDisk {
			continue
		}
		server := run.engines[run.names[run.rng.IntN(len(run.names))]]
		server.disk.keep(&run.catalog.Configuration.Deployments[i])
		server.checkpoints++
	}
}

// play schedules a request of the trace.
func (e *emulation) play(traced tracer.Request) {
	e.scheduled++
	r := &request{Request: traced, id: e.scheduled}
	if e.counts(r) {
		e.result.Requests++
	}
	e.at(r.ArrivesAt, func() { e.arrive(r) })
}

func compareQueue(a, b *queue) int { return strings.Compare(a.deployment.Name, b.deployment.Name) }

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

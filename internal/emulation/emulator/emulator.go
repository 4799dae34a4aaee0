// Package emulator replays a trace of requests against the placement policy of one model service in virtual
// time. It emulates one placer daemon, a weight store whose bandwidth concurrent loads share, and servers that
// cache checkpoints. It emulates neither the network between daemons nor faults.
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

// Default sizes of a server's checkpoint tiers.
const (
	defaultMemoryTierBytes = 64_000_000_000
	defaultDiskTierBytes   = 256_000_000_000
	// initialDiskShare is the share of checkpoints that are on the disk of one server at the start.
	initialDiskShare = 0.5
	// startDelay is the time of the first call. It is above zero because a zero time means that a time is not set.
	startDelay = time.Second
)

// ErrNoModels is returned if the questionnaire has no model service.
var ErrNoModels = errors.New("questionnaire has no model service")

// An Emulator replays traces against policies. Only the questionnaire is required.
type Emulator struct {
	Questionnaire questioner.Questionnaire
	// Tracer generates the traces; the zero value means tracer.Default().
	Tracer tracer.Tracer
	// MemoryTierBytes and DiskTierBytes bound the checkpoints that a server caches; zero means the defaults.
	MemoryTierBytes int64
	DiskTierBytes   int64
	// Warmup is the time at the start of the trace that is replayed but not measured.
	Warmup time.Duration
	// Duration is how much of the trace is replayed; zero means all of it.
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

	planner     *planner.Machine
	warmer      warmer.Warmer
	loadLimiter limiter.LoadLimiter
	fleet       observer.Fleet
	queues      map[string]*queue
	// activeQueues are the queues whose demand is sent to the placer.
	activeQueues   map[*queue]bool
	lastUse        map[string]time.Duration
	nextDemandAt   time.Duration
	demandPending  bool
	demandSequence int64
	idleTicks      int

	engines map[string]*engine
	// serverNames are the names of the servers in order, serverIndexes their positions in it.
	serverNames   []string
	serverIndexes map[string]int
	modelStore    weightStore
	adapterStore  weightStore
	storedRecord  storer.Entry
	fencingToken  int64

	result         Metrics
	lastRequestID  uint64
	coldStartTimes []time.Duration
	served         int
	idleHours      float64
	loadedHours    float64
	// loads counts the model loads by observer.Tier.
	loads         [3]int
	adapterLoads  int
	decisions     map[string]int
	decidedLoads  int
	recordWrites  int
	interrupted   int
	overcommitted int
}

// Run replays the trace of a seed against a policy and returns the metrics.
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
	duration := cmp.Or(e.Duration, time.Duration(e.Tracer.Days)*24*time.Hour)
	for _, r := range e.Tracer.Generate(run.catalog.Configuration.Deployments, seed) {
		if r.ArrivesAt < duration {
			run.scheduleArrival(r)
		}
	}
	run.runUntil(duration)
	return run.metrics(), nil
}

// start returns a run with its servers added and its periodic calls scheduled.
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
		catalog:       cataloger.NewCatalog(configuration),
		warmer:        warmer.Warmer{Weighting: configuration.Weighting, Limits: configuration.Limits},
		queues:        make(map[string]*queue),
		activeQueues:  make(map[*queue]bool),
		lastUse:       make(map[string]time.Duration),
		engines:       make(map[string]*engine),
		serverIndexes: make(map[string]int),
		decisions:     make(map[string]int),
	}
	run.service, _ = run.catalog.Service(described.Name)
	store := run.service.Store
	run.loadLimiter.Configure(store, 0)
	run.modelStore = weightStore{clock: &run.clock, fullSpeedLoads: store.FullSpeedLoads}
	if store.LoadsPerSecond > 0 {
		run.modelStore.minStartInterval = time.Duration(float64(time.Second) / store.LoadsPerSecond)
	}
	run.adapterStore = weightStore{clock: &run.clock, fullSpeedLoads: store.FullSpeedAdapters}
	run.planner = run.newPlanner()
	e.addServers(run, described)
	run.callAt(startDelay, run.pollAll)
	run.callAt(startDelay, run.tick)
	run.callAt(startDelay, run.repeatDemand)
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
		run.serverNames = append(run.serverNames, name)
		run.serverIndexes[name] = i
		run.engines[name] = &engine{
			emulation: run, host: host, changed: true,
			memory: tier{capacityBytes: cmp.Or(e.MemoryTierBytes, defaultMemoryTierBytes)},
			disk:   tier{capacityBytes: cmp.Or(e.DiskTierBytes, defaultDiskTierBytes)},
		}
	}
	run.fleet.SetHosts(s.Name, hosts)
	for i := range run.catalog.Configuration.Deployments {
		if run.rng.Float64() >= initialDiskShare {
			continue
		}
		server := run.engines[run.serverNames[run.rng.IntN(len(run.serverNames))]]
		server.disk.touch(&run.catalog.Configuration.Deployments[i])
		server.checkpointsVersion++
	}
}

// scheduleArrival schedules the arrival of a request of the trace.
func (e *emulation) scheduleArrival(traced tracer.Request) {
	e.lastRequestID++
	r := &request{Request: traced, id: e.lastRequestID}
	if e.isMeasured(r) {
		e.result.Requests++
	}
	e.callAt(r.ArrivesAt, func() { e.handleArrival(r) })
}

func compareQueue(a, b *queue) int { return strings.Compare(a.deployment.Name, b.deployment.Name) }

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

package conductor

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"samphirewharf/internal/decision/allotter"
	"samphirewharf/internal/decision/reducer"
	"samphirewharf/internal/decision/waker"
	"samphirewharf/internal/fleet/matcher"
	"samphirewharf/internal/peer/messenger"
)

// Settings are what a Machine knows from its start.
type Settings struct {
	// Self is the daemon's record.
	Self Daemon
	// Seed seeds random choices.
	Seed uint64

	// LeaseTime is the life of the daemon's lease in the key-value service.
	LeaseTTL time.Duration
	// TurnPause is how long orders of two holders must lie apart.
	TakeoverDelay time.Duration
	// EnginesCheckFences tells that engines refuse orders with a lower fencing number than one seen.
	EnginesCheckFencing bool

	// RetryRatio, RetrySlack and RetryWindow are the budget of repeats that all daemons keep for each service.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration

	// LoadWindow and LoadOverage bound the loads from the weight store: in each window at most its rate times the
	// window times the overage may begin.
	LoadWindow  time.Duration
	LoadOverage float64

	// StopTime is how long a planned stop may take.
	StopTimeout time.Duration
	// AddressLife is how long callers keep the addresses that they are told.
	AddressTTL time.Duration
}

// A Machine is the state of one daemon's decisions. New makes one. It is not safe for concurrent use.
type Machine struct {
	settings Settings
	rng      *rand.Rand
	now      time.Duration
	out      []Effect

	configuration *matcher.Configuration
	// configuredAt is when the configuration came in force, measureAt when the gauges are measured next.
	configuredAt time.Duration
	measureAt    time.Duration
	requests     map[reducer.RequestID]*request
	wakes        waker.Queue[*request]
	servers      map[string]*server
	// byService holds the servers by service, nil after a change of the set.
	byService map[string][]*server
	pools     map[string]*pool
	// serversKnown tells that all entries were listed once.
	serversKnown bool

	store   storeBelief
	daemons map[string]Daemon
	lease   leaseState
	role    roleState
	fleet   fleetBelief
	demand  demandState
	placing placingState
	feed    feedState
	source  sourceState
	gone    map[string]goneRecord
	// daemonRevisions are the revisions of the daemons' records.
	daemonRevisions map[string]int64
	crashes         crashBelief
	stop            stopState

	// followers are the daemons that watch the key-value service, nil after a change of the daemons.
	followers []string
	// daemonsChanged tells that callers may have to be told of other daemons.
	daemonsChanged bool

	published PublishDaemons
	// publishedOnce tells that published was emitted.
	publishedOnce bool
}

// A storeBelief is what is known of the key-value service.
type storeBelief struct {
	lost bool
	// lostAt and backAt are when it stopped answering last, and when it answered again.
	lostAt time.Duration
	backAt time.Duration
}

// A pool is what the daemon keeps for one service.
type pool struct {
	name string
	// queue are the waiting requests, most urgent first.
	queue  []*request
	budget allotter.Budget
}

// New returns a machine.
func New(settings Settings) *Machine {
	return &Machine{
		settings:        settings,
		rng:             rand.New(rand.NewPCG(settings.Seed, settings.Seed^0x9e3779b97f4a7c15)),
		requests:        make(map[reducer.RequestID]*request),
		servers:         make(map[string]*server),
		pools:           make(map[string]*pool),
		daemons:         make(map[string]Daemon),
		fleet:           newFleetBelief(),
		demand:          newDemandState(),
		placing:         newPlacingState(),
		gone:            make(map[string]goneRecord),
		daemonRevisions: make(map[string]int64),
		crashes:         crashBelief{byFingerprint: make(map[uint64]*crashRecord)},
	}
}

// Step takes one event at a moment, the time since start including time for which the host stood still. The effects
// are valid until the next call.
func (m *Machine) Step(now time.Duration, event Event) []Effect {
	m.now = max(now, m.now)
	m.out = nil
	m.apply(event)
	m.pass()
	return m.out
}

// NextWake returns when the machine has to be given a Ticked event at the latest.
func (m *Machine) NextWake() time.Duration {
	next := m.now + idleWake
	if at, ok := m.wakes.Next(); ok {
		next = min(next, at)
	}
	return min(next, m.lease.nextAt(), m.role.nextAt(m.now), m.demand.nextAt(m), m.fleet.nextAt(m), m.feed.nextAt(), m.placing.nextAt(m), m.stop.nextAt(m.now))
}

func (m *Machine) apply(event Event) {
	switch e := event.(type) {
	case RequestArrived:
		m.arrive(e)
	case CallerLeft:
		m.callerLeft(e)
	case AttemptStarted:
		m.attemptStarted(e)
	case AttemptEnded:
		m.attemptEnded(e)
	case ServersListed:
		m.serversListed(e)
	case ServerChanged:
		m.serverChanged(e.Entry)
	case ServerRemoved:
		m.serverRemoved(e.ID, e.Revision)
	case StoreReached, StoreLost, LeaseRenewed, RegisterEnded, BecomeLeaderEnded:
		m.applyStore(event)
	case DaemonsListed, DaemonChanged, DaemonRemoved, LeaderChanged, LeaderRemoved:
		m.applyMembership(event)
	case ConfigurationChanged:
		m.configured(e.Configuration)
	case OrderEnded:
		m.orderEnded(e)
	case ServerReported:
		m.serverReported(e)
	case PeerReceived:
		m.peerReceived(e.Message)
	case UpdatesReceived:
		m.feedHeard(e)
	case StopRequested:
		m.stopRequested()
	case Ticked:
	}
}

func (m *Machine) applyStore(event Event) {
	switch e := event.(type) {
	case StoreReached:
		m.storeReached()
	case StoreLost:
		m.storeLost(e)
	case LeaseRenewed:
		m.leaseRenewed(e)
	case RegisterEnded:
		m.registerEnded(e)
	case BecomeLeaderEnded:
		m.roleAnswered(e)
	}
}

func (m *Machine) applyMembership(event Event) {
	switch e := event.(type) {
	case DaemonsListed:
		m.daemonsListed(e)
	case DaemonChanged:
		m.daemonSeen(e)
	case DaemonRemoved:
		m.daemonGone(e.Name, e.Revision)
	case LeaderChanged:
		m.holderSeen(e.Leader)
	case LeaderRemoved:
		m.holderGone(e.Revision)
	}
}

// pass does what is due by time.
func (m *Machine) pass() {
	m.expireRequests()
	m.expireServers()
	m.passLease()
	m.passRole()
	m.passFeed()
	m.passPlacing()
	m.passDemand()
	m.passFleet()
	m.passStop()
	m.publish()
	m.passMeasuring()
}

func (m *Machine) configured(c *matcher.Configuration) {
	if m.configuration != nil && c.Version <= m.configuration.Version {
		return
	}
	m.configuration, m.configuredAt = c, m.now
	m.emit(LogStateChange{Subject: "Configuration", Change: "InForce", Version: c.Version})
	m.pumpAll()
}

func (m *Machine) emit(e Effect) { m.out = append(m.out, e) }

// pool returns the state of a service, made on first use.
func (m *Machine) pool(service string) *pool {
	p, ok := m.pools[service]
	if !ok {
		p = &pool{name: service, budget: allotter.Budget{
			Window: m.settings.RetryWindow, Ratio: m.settings.RetryRatio, Slack: m.settings.RetrySlack,
		}}
		m.pools[service] = p
	}
	return p
}

// poolNames returns the names of the services that requests came for, in order.
func (m *Machine) poolNames() []string {
	return slices.Sorted(maps.Keys(m.pools))
}

// engine returns the engine settings of a service, nil if it has none.
func (m *Machine) engine(service string) *matcher.Engine {
	if m.configuration == nil {
		return nil
	}
	return m.configuration.Services[service].Engine
}

// daemonCount returns how many daemons take requests, this one included.
func (m *Machine) daemonCount() int {
	n := len(m.daemons)
	if _, ok := m.daemons[m.settings.Self.Name]; !ok {
		n++
	}
	return n
}

// publish emits what callers are told if it has changed.
func (m *Machine) publish() {
	ready := m.configuration != nil && m.serversKnown && !m.stop.requested
	if m.publishedOnce && ready == m.published.Ready && !m.daemonsChanged {
		return
	}
	m.daemonsChanged = false
	p := PublishDaemons{Ready: ready}
	if p.Ready {
		p.Daemons = append(p.Daemons, m.settings.Self)
	}
	for _, d := range m.liveDaemons() {
		if d.Name != m.settings.Self.Name && !d.Stopping {
			p.Daemons = append(p.Daemons, d)
		}
	}
	m.published, m.publishedOnce = p, true
	m.emit(p)
}

// message returns an empty message of this daemon.
func (m *Machine) message() messenger.Message {
	self := m.settings.Self
	return messenger.Message{From: self.Name, Instance: self.Instance, Address: self.PeerAddress, Zone: self.Zone}
}

// serversOf returns the servers of a service in order of their IDs. The list must not be changed.
func (m *Machine) serversOf(service string) []*server {
	if m.byService == nil {
		m.byService = make(map[string][]*server)
		for _, id := range m.serverIDs() {
			s := m.servers[id]
			m.byService[s.entry.Service] = append(m.byService[s.entry.Service], s)
		}
	}
	return m.byService[service]
}

// serverSetChanged notes that servers came, went or changed their service.
func (m *Machine) serverSetChanged() { m.byService = nil }

// serverIDs returns the IDs of all servers, in order.
func (m *Machine) serverIDs() []string {
	return slices.Sorted(maps.Keys(m.servers))
}

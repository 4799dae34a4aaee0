package conductor

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"samphirewharf/internal/decision/allotter"
	"samphirewharf/internal/decision/breaker"
	"samphirewharf/internal/decision/calibrator"
	"samphirewharf/internal/decision/elector"
	"samphirewharf/internal/decision/reducer"
	"samphirewharf/internal/decision/resumer"
	"samphirewharf/internal/decision/selector"
	"samphirewharf/internal/decision/sharer"
	"samphirewharf/internal/decision/stopper"
	"samphirewharf/internal/decision/subscriber"
	"samphirewharf/internal/decision/waker"
	"samphirewharf/internal/fleet/matcher"
	"samphirewharf/internal/peer/messenger"
)

// Settings configure a Machine.
type Settings struct {
	// Self is the daemon's record.
	Self Daemon
	// Seed seeds random choices.
	Seed uint64

	// FirstStart reports whether the whole system starts for the first time, so that no stream has begun before.
	FirstStart bool

	// LeaseTTL is the TTL of the daemon's lease in the store.
	LeaseTTL time.Duration
	// ServersMaxAge is how long after the store has accepted a change of a server's entry a daemon may act on the one before, zero for
	// verifier.DefaultMaxAge.
	ServersMaxAge time.Duration
	// EntryTTL is how long the store keeps the entry of a server that no longer renews it.
	EntryTTL time.Duration
	// TakeoverDelay is the minimum time between the orders of two leaders.
	TakeoverDelay time.Duration
	// EnginesCheckFencing reports whether engines refuse orders with a lower fencing token than one they have seen.
	EnginesCheckFencing bool

	// RetryRatio, RetrySlack and RetryWindow are the retry budget that all daemons share for each service.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration

	// LoadWindow and LoadOverage limit the loads from the weight store: in each window at most the allowed rate times
	// the window times the overage may start.
	LoadWindow  time.Duration
	LoadOverage float64

	// QuotaWindow, QuotaOverage and QuotaSlack bound what servers may run for a workspace: in each window its quota times 1 +
	// QuotaOverage, plus QuotaSlack in the quota's unit. They are zero where the platform sets no bound.
	QuotaWindow  time.Duration
	QuotaOverage float64
	QuotaSlack   float64

	// StopTimeout bounds a planned stop.
	StopTimeout time.Duration
	// AddressTTL is how long callers keep the addresses that they resolve.
	AddressTTL time.Duration
}

// A Machine is the decision state of one daemon. It is not safe for concurrent use.
type Machine struct {
	settings Settings
	rng      *rand.Rand
	now      time.Duration
	effects  []Effect
	// startedAt is when the first event was handled, valid if started.
	started   bool
	startedAt time.Duration

	configuration *matcher.Configuration
	// configuredAt is when the configuration came into force, updateGaugesAt when the gauges are due next.
	configuredAt   time.Duration
	updateGaugesAt time.Duration
	requests       map[reducer.RequestID]*request
	timers         waker.Queue[*request]
	servers        map[string]*server
	// serversByService holds the servers by service; nil after the set of servers has changed.
	serversByService map[string][]*server
	services         map[string]*serviceState
	// speeds holds what is known of the speeds of engines, by service.
	speeds map[string]*calibrator.Service
	// choices and breakers are memory for the latest choice of a server.
	choices  []selector.Candidate
	breakers []breaker.Breaker
	// serversLoaded reports whether all entries have been listed once, serversRevision is the latest revision as of which they were.
	serversLoaded   bool
	serversRevision int64

	store     storeState
	daemons   map[string]Daemon
	lease     leaseState
	election  elector.Elector
	fleet     fleetState
	demand    demandState
	placement placementState
	view      viewState
	// subscriber chooses the source of updates of the store; candidates are its possible upstreams, nil after the set of daemons has
	// changed. followSent reports whether a Follow effect was emitted, relays the last Relay effect.
	subscriber subscriber.Subscriber
	candidates []subscriber.Candidate
	followSent bool
	relays     bool
	removals   map[string]removal
	// daemonRevisions are the revisions of the daemons' records, by daemon name.
	daemonRevisions map[string]int64
	// daemonsRevision is the latest revision as of which the records of daemons and leader were listed.
	daemonsRevision int64
	link            linkState
	crashes         crashState
	catchUp         catchUpState
	quotas          quotaState
	origins         resumer.Resumer
	// registrars are the daemons that hold origins, valid if registrarsKnown, which is false after the set of daemons has changed.
	registrars      []string
	registrarsKnown bool
	stop            stopper.Stopper
	// versions holds the software versions of each service's servers; versionsAt is when they are noted next.
	versions   resumer.Versions
	versionsAt time.Duration
	// historiesAt is when the histories of versions are compared with the store's next.
	historiesAt time.Duration
	// sweeper finds the records of origins that nobody needs any more.
	sweeper resumer.Sweeper

	// departed holds when the records of daemons that are no longer registered were removed, by daemon name.
	departed map[string]time.Duration
	// rateSharesAt is when the shares of rates are updated next.
	rateSharesAt time.Duration

	// followers are the daemons that watch the store; nil after the set of daemons has changed.
	followers []string
	// keepers are the daemons that merge the evidence of crashes; nil after the set of daemons has changed.
	keepers []string
	// daemonsChanged reports whether the set of daemons has changed since it was published.
	daemonsChanged bool

	published PublishDaemons
	// publishedOnce reports whether published has been emitted.
	publishedOnce bool
}

// A storeState is the state of the store as this daemon sees it.
type storeState struct {
	unavailable bool
	// lostAt is when the store stopped answering last, reachedAt when it answered again.
	lostAt    time.Duration
	reachedAt time.Duration
}

// A serviceState is this daemon's state of one service.
type serviceState struct {
	name string
	// queue holds the waiting requests, most urgent first.
	queue   []*request
	budget  allotter.RetryBudget
	brittle brittleState
	probes  breaker.Probes
	sharer  sharer.Sharer
}

// New returns a Machine without servers, daemons or a configuration.
func New(settings Settings) *Machine {
	settings.Self.FleetChanges = true
	m := &Machine{
		settings:        settings,
		rng:             rand.New(rand.NewPCG(settings.Seed, settings.Seed^0x9e3779b97f4a7c15)),
		requests:        make(map[reducer.RequestID]*request),
		servers:         make(map[string]*server),
		services:        make(map[string]*serviceState),
		speeds:          make(map[string]*calibrator.Service),
		daemons:         make(map[string]Daemon),
		fleet:           newFleetState(),
		demand:          newDemandState(),
		placement:       newPlacementState(),
		removals:        make(map[string]removal),
		daemonRevisions: make(map[string]int64),
		departed:        make(map[string]time.Duration),
		quotas:          newQuotaState(settings),
	}
	m.origins = newResumer(m)
	m.versions.FirstStart = settings.FirstStart
	m.stop = stopper.Stopper{Timeout: settings.StopTimeout, AddressTTL: settings.AddressTTL}
	m.election = elector.Elector{
		Self:  Leader{Name: settings.Self.Name, Instance: settings.Self.Instance},
		Delay: settings.TakeoverDelay, LeaseTTL: settings.LeaseTTL, Fenced: settings.EnginesCheckFencing,
	}
	return m
}

// Step applies one event. Now is the time since the start, including time during which the host was suspended. The
// returned effects are valid until the next call.
func (m *Machine) Step(now time.Duration, event Event) []Effect {
	if !m.started {
		m.started, m.startedAt = true, now
	}
	m.now = max(now, m.now)
	m.effects = nil
	m.apply(event)
	m.tick()
	return m.effects
}

// NextWake returns when Step has to be called with a Ticked event at the latest.
func (m *Machine) NextWake() time.Duration {
	next := m.now + maxTickInterval
	if at, ok := m.timers.Next(); ok {
		next = min(next, at)
	}
	return min(next, m.lease.nextAt(), m.election.NextAt(m.now), m.link.nextAt(), m.demand.nextAt(m), m.fleet.nextAt(m), m.subscriber.NextAt(), m.placement.nextAt(m), m.crashes.nextAt(m), m.catchUp.nextAt(), m.originsNextAt(), m.quotas.nextAt(m), m.stop.NextAt(m.now))
}

func (m *Machine) apply(event Event) {
	switch e := event.(type) {
	case RequestArrived:
		m.requestArrived(e)
	case CallerLeft:
		m.callerLeft(e)
	case AttemptStarted:
		m.attemptStarted(e)
	case AttemptSilent:
		m.attemptSilent(e)
	case AttemptProgressed:
		m.attemptProgressed(e)
	case AttemptEnded:
		m.attemptEnded(e)
	case ServerAdvised:
		m.serverAdvised(e)
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
		m.configurationChanged(e.Configuration)
	case OrderEnded:
		m.orderEnded(e)
	case ServerReported:
		m.serverReported(e)
	case ServerChecked:
		m.serverChecked(e)
	case PeerReceived:
		m.peerReceived(e.Message)
	case UpdatesReceived:
		m.updatesReceived(e)
	case Subscribed:
		m.subscriber.Subscribed(m.now, slices.Contains(m.followerNames(), e.From))
	case StoreListed:
		m.subscriber.StoreListed()
	case ServersProved:
		if e.Proof.At > m.view.servers.At {
			m.view.servers = e.Proof
		}
	case QuarantineChanged, StoreQuarantineEnded, VersionsRecorded, VersionsRecordRemoved, HistoryChanged, OriginsRecorded, OriginsRead, OriginsListed:
		m.applyRecord(event)
	case StopRequested, ConnectionsClosed:
		m.applyStop(event)
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
		m.electionChanged(m.election.CampaignEnded(m.now, e.FencingToken))
	}
}

// applyRecord applies an event about records in the store that outlive the daemons.
func (m *Machine) applyRecord(event Event) {
	switch e := event.(type) {
	case QuarantineChanged:
		m.quarantineStored(e.Quarantine)
	case StoreQuarantineEnded:
		m.storeQuarantineEnded(e)
	case VersionsRecorded:
		m.versionsRecorded(e.Service)
	case VersionsRecordRemoved:
		m.versions.RecordRemoved(m.now, e.Service)
	case HistoryChanged:
		m.historyChanged(e)
	case OriginsRecorded:
		m.origins.Recorded(m.now, e.Record, e.OK)
	case OriginsListed:
		if old := m.sweeper.Listed(m.now, e.Records, e.OK); len(old) > 0 {
			m.emit(DeleteOrigins{Records: old})
		}
	case OriginsRead:
		for _, h := range e.Histories {
			m.historyChanged(HistoryChanged{History: h})
		}
		for _, service := range e.MixedServices {
			m.versionsRecorded(service)
		}
		m.origins.ReadEnded(m.now, e.Origins, e.OK)
	}
}

func (m *Machine) applyMembership(event Event) {
	m.noteRevision(event)
	switch e := event.(type) {
	case DaemonsListed:
		m.daemonsListed(e)
	case DaemonChanged:
		m.daemonChanged(e)
	case DaemonRemoved:
		m.daemonRemoved(e.Name, e.Revision)
	case LeaderChanged:
		m.leaderChanged(e.Leader)
	case LeaderRemoved:
		m.leaderRemoved(e.Revision)
	}
}

// tick does the work that is due.
func (m *Machine) tick() {
	m.expireRequests()
	m.expireServers()
	m.tickLink()
	m.tickLease()
	m.tickElection()
	m.tickRelay()
	m.tickPlacement()
	m.tickDemand()
	m.tickFleet()
	m.tickCrashes()
	m.tickCatchUp()
	m.tickVersions()
	m.tickOrigins()
	m.tickQuotas()
	m.tickRateShares()
	m.tickStop()
	m.publish()
	m.tickGauges()
}

func (m *Machine) configurationChanged(c *matcher.Configuration) {
	if m.configuration != nil && c.Version <= m.configuration.Version {
		return
	}
	m.placement.earlier.Configured(m.now, m.configuration, c)
	m.configuration, m.configuredAt = c, m.now
	m.addEngines()
	m.emit(LogStateChange{Subject: "Configuration", Change: "InForce", Version: c.Version, Reason: m.viewSource()})
	m.routeQueued(func(r *request) bool { return !c.Offers(r.Service, r.Model) })
	m.dispatchQueues()
}

func (m *Machine) emit(e Effect) { m.effects = append(m.effects, e) }

// service returns the state of a service and creates it on first use.
func (m *Machine) service(service string) *serviceState {
	state, ok := m.services[service]
	if !ok {
		state = &serviceState{name: service, budget: allotter.RetryBudget{
			Window: m.settings.RetryWindow, Ratio: m.settings.RetryRatio, Slack: m.settings.RetrySlack,
			FreshUntil: m.startedAt + m.settings.RetryWindow,
		}}
		m.services[service] = state
	}
	return state
}

// serviceNames returns the names of the services that have had requests, sorted.
func (m *Machine) serviceNames() []string {
	return slices.Sorted(maps.Keys(m.services))
}

// engineSettings returns the engine settings of a service, or nil if it has none.
func (m *Machine) engineSettings(service string) *matcher.Engine {
	if m.configuration == nil {
		return nil
	}
	return m.configuration.Services[service].Engine
}

// registeredCount returns the number of registered daemons, including this one.
func (m *Machine) registeredCount() int {
	n := len(m.daemons)
	if _, ok := m.daemons[m.settings.Self.Name]; !ok {
		n++
	}
	return n
}

// hasShare reports whether a daemon that was removed at the given time keeps its share of budgets and rates.
func (m *Machine) hasShare(removedAt time.Duration) bool { return m.now < removedAt+daemonShareTTL }

// daemonCount returns the number of daemons among which budgets and rates are shared: those that are registered, were so a
// short time ago, and this one.
func (m *Machine) daemonCount() int {
	n := m.registeredCount()
	for name, removedAt := range m.departed {
		if name != m.settings.Self.Name && m.hasShare(removedAt) {
			n++
		}
	}
	return n
}

// sharers returns the names of the daemons that daemonCount counts, sorted.
func (m *Machine) sharers() []string {
	names := append(m.daemonNames(), m.settings.Self.Name)
	for name, removedAt := range m.departed {
		if m.hasShare(removedAt) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// publish emits the published daemons if they have changed.
func (m *Machine) publish() {
	ready := m.configuration != nil && m.serversLoaded && m.catchUp.done && !m.stop.Requested()
	if m.publishedOnce && ready == m.published.Ready && !m.daemonsChanged {
		return
	}
	m.daemonsChanged = false
	p := PublishDaemons{Ready: ready}
	if p.Ready {
		p.Daemons = append(p.Daemons, m.settings.Self)
	}
	for _, d := range m.registeredDaemons() {
		if d.Name != m.settings.Self.Name && !d.Stopping {
			p.Daemons = append(p.Daemons, d)
		}
	}
	m.published, m.publishedOnce = p, true
	m.emit(p)
}

// newMessage returns an empty message from this daemon.
func (m *Machine) newMessage() messenger.Message {
	self := m.settings.Self
	return messenger.Message{From: self.Name, Instance: self.Instance, Address: self.PeerAddress, Zone: self.Zone}
}

// serversOf returns the servers of a service, sorted by ID. Callers must not change the slice.
func (m *Machine) serversOf(service string) []*server {
	if m.serversByService == nil {
		m.serversByService = make(map[string][]*server)
		for _, id := range m.serverIDs() {
			s := m.servers[id]
			m.serversByService[s.entry.Service] = append(m.serversByService[s.entry.Service], s)
		}
	}
	return m.serversByService[service]
}

// serverSetChanged invalidates serversByService after a server was added, removed or moved to another service.
func (m *Machine) serverSetChanged() {
	m.serversByService = nil
	m.forgetBrittleSlots()
}

// serverIDs returns the IDs of all servers, sorted.
func (m *Machine) serverIDs() []string {
	return slices.Sorted(maps.Keys(m.servers))
}

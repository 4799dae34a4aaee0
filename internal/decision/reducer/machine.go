package reducer

import (
	"math/rand/v2"
	"time"

	"samphirewharf/internal/config/cataloger"
	"samphirewharf/internal/decision/isolator"
	"samphirewharf/internal/decision/limiter"
	"samphirewharf/internal/decision/observer"
	"samphirewharf/internal/decision/router"
	"samphirewharf/internal/decision/tracker"
	"samphirewharf/internal/decision/waker"
	"samphirewharf/internal/decision/warmer"
)

// Intervals, timeouts and limits of the reducer.
const (
	// pollInterval is how often a server is polled by the daemon that it is assigned to.
	pollInterval = time.Second
	// pollCheckInterval is how often the reducer checks which servers are due for a poll.
	pollCheckInterval = 100 * time.Millisecond
	// hostsInterval is how often the host list of a cell is read.
	hostsInterval = time.Second
	// needsInterval is how often needs are sent again to a cell's placer while requests wait.
	needsInterval = 250 * time.Millisecond
	// usesInterval is how often the used deployments are reported to a cell's placer while no request waits.
	usesInterval = time.Second
	// planInterval is how often a placer plans while it has pending work.
	planInterval = 20 * time.Millisecond
	// verifyTimeout bounds how long a request whose connection broke waits to learn whether its server died.
	verifyTimeout = 300 * time.Millisecond
	// defaultDrainTime is how long a stopping daemon accepts new requests by default.
	defaultDrainTime = 6 * time.Second
	// maxRequests is the default limit of requests at a daemon.
	maxRequests = 20000
	// maxAttempts limits the attempts of one request, whatever the retry budget allows.
	maxAttempts = 6
)

// Settings are the settings of one daemon process.
type Settings struct {
	Daemon string
	// Instance identifies the process and is never reused.
	Instance string
	// Address is where callers and other daemons reach the daemon.
	Address string
	Zone    string
	Region  string
	// Seed seeds the daemon's random choices.
	Seed uint64
	// DrainTime is how long a stopping daemon accepts new requests. It should be at least the TTL of address
	// answers.
	DrainTime time.Duration
	// MaxRequests limits the requests at the daemon; zero means the default.
	MaxRequests int
}

// A Machine is the state machine of one daemon's decisions, created by New. It is not safe for concurrent
// use.
type Machine struct {
	settings Settings
	rng      *rand.Rand
	now      Moment
	effects  []Effect

	catalog *cataloger.Catalog
	loading bool
	// loadingFrom is the peer that the current or last read goes to, empty for the key-value service.
	loadingFrom  string
	nextLoadAt   time.Duration
	headRevision int64
	// collectUntil is when a daemon without a configuration stops collecting its peers' versions, 0 before
	// the first version.
	collectUntil time.Duration

	fleet        observer.Fleet
	self         tracker.Daemon
	members      *tracker.Tracker
	lease        *tracker.Lease
	registration registration
	backoffs     storeBackoffs
	isolator     isolator.Isolator
	budget       limiter.RetryBudget
	warmer       warmer.Warmer
	router       router.Router

	// candidates, candidateReplicas and candidateServers are reused between decisions to save allocations.
	candidates        []router.Candidate
	candidateReplicas []*observer.Replica
	candidateServers  []*observer.Server
	candidateAt       func(int) router.Candidate

	// cells are the cells that this daemon serves, by name; cellNames are their names, sorted.
	cells     map[string]*cell
	cellNames []string
	// retiredCells are the cells that this daemon no longer serves, by name. What their claimers and planners have sent may be answered
	// after they are served again, so they are kept.
	retiredCells map[string]*cell

	requests    map[RequestID]*request
	timers      waker.Queue[*request]
	modelQueues map[string]*requestQueue
	plainQueues map[string]*requestQueue

	nextOp OpID
	ops    map[OpID]operation

	polls map[string]*poll
	// verifying holds the requests that wait to learn whether their server died, by server.
	verifying map[string][]*request

	stop   stopState
	resume resumeBuffer
	next   schedule
}

// A schedule is when each kind of the machine's periodic work is due.
type schedule struct {
	hosts     time.Duration
	heartbeat time.Duration
	uses      time.Duration
	plan      time.Duration
	polls     time.Duration
	needs     time.Duration
	claims    time.Duration
}

// New returns a machine for one daemon process. The first event should follow immediately.
func New(settings Settings) *Machine {
	m := &Machine{
		settings:     settings,
		rng:          rand.New(rand.NewPCG(settings.Seed, 0x5a3)),
		cells:        make(map[string]*cell),
		retiredCells: make(map[string]*cell),
		requests:     make(map[RequestID]*request),
		modelQueues:  make(map[string]*requestQueue),
		plainQueues:  make(map[string]*requestQueue),
		ops:          make(map[OpID]operation),
		backoffs:     newStoreBackoffs(),
		polls:        make(map[string]*poll),
		verifying:    make(map[string][]*request),
	}
	m.isolator.Owns = m.ownsServer
	m.candidateAt = func(i int) router.Candidate { return m.candidates[i] }
	m.startMembership()
	return m
}

// NextWake returns the latest Moment.Monotonic at which Step must be called with Ticked.
func (m *Machine) NextWake() time.Duration {
	if m.resume.until > 0 {
		return m.resume.until
	}
	wake := min(m.next.hosts, m.next.heartbeat, m.next.uses, m.next.plan, m.next.polls)
	wake = min(wake, m.next.needs, m.next.claims)
	wake = min(wake, m.members.NextWake(), m.lease.NextRenewal())
	if m.nextLoadAt > 0 {
		wake = min(wake, m.nextLoadAt)
	}
	if m.catalog == nil && m.collectUntil > 0 && !m.loading {
		wake = min(wake, m.collectUntil)
	}
	if m.stop.requested {
		wake = min(wake, m.now.Monotonic+planInterval)
	}
	if at, ok := m.timers.Next(); ok {
		wake = min(wake, at)
	}
	return wake
}

// Step handles one event and returns the effects to carry out, in order. The slice is valid until the next
// Step.
func (m *Machine) Step(now Moment, event Event) []Effect {
	last := m.now.Monotonic
	m.now = now
	m.effects = m.effects[:0]
	m.startBuffering(last)
	if m.bufferEvent(event) {
		return m.effects
	}
	m.handle(event)
	m.expireRequests()
	m.tick()
	return m.effects
}

func (m *Machine) emit(e Effect) { m.effects = append(m.effects, e) }

func (m *Machine) handle(event Event) {
	switch e := event.(type) {
	case RequestArrived:
		m.handleRequest(e)
	case AddressesAsked:
		m.handleAddressLookup(e)
	case CallerLeft:
		m.handleCallerLeft(e)
	case AttemptStarted:
		m.handleAttemptStarted(e)
	case AttemptEnded:
		m.handleAttemptEnded(e)
	case StoreGot, StoreSwapped, StoreListed:
		m.handleStoreAnswer(event)
	case StoreChanged:
		m.handleStoreChanged(e)
	case LeaseRenewed:
		m.handleLeaseRenewed(e)
	case HostsListed:
		m.handleHostsListed(e)
	case ServerPolled:
		m.handleServerPolled(e)
	case OrderEnded:
		m.handleOrderEnded(e)
	case PeerReceived:
		m.handlePeerMessage(e.Message)
	case ConfigurationLoaded:
		m.handleConfigurationLoaded(e)
	case StopRequested:
		m.handleStopRequested()
	case Ticked:
	}
}

// tick does the periodic work that is due.
func (m *Machine) tick() {
	now := m.now.Monotonic
	m.tickMembership()
	m.tickConfiguration()
	if now >= m.next.hosts {
		m.next.hosts = now + hostsInterval
		m.listHosts()
	}
	if now >= m.next.polls {
		m.next.polls = now + pollCheckInterval
		m.pollServers()
	}
	if now >= m.next.needs || now >= m.next.uses {
		m.tickNeeds()
	}
	if now >= m.next.plan {
		m.planCells()
	}
	if now >= m.next.claims {
		m.tickClaims()
	}
	m.tickStop()
}

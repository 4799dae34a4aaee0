package conductor

import (
	"maps"
	"slices"
	"time"

	"samphirewharf/internal/fleet/matcher"
	"samphirewharf/internal/fleet/registrar"
	"samphirewharf/internal/peer/messenger"
)

// A fleetState is the view of the servers that the leader has sent, and the state of sending it if this daemon is the leader.
//
// The leader sends what has changed to the followers, which relay it. A daemon that has missed a message asks the one from which it got
// the next for its whole view. Messages that were sent on different ways may arrive in any order, so each fact has the sequence number of
// the message that brought it, and an older message doesn't replace it.
type fleetState struct {
	// fencingToken and sequence identify the newest message.
	fencingToken int64
	sequence     int64
	receivedAt   time.Duration
	// ignoredToken is the fencing token of the last leader whose messages were ignored as outdated.
	ignoredToken int64
	servers      map[string]reportedServer
	loading      map[modelKey]reportedLoading
	limits       map[string]reportedLimit
	// complete reports whether the view lacks no message up to sequence. If not, one that lacks none up to needed is awaited.
	complete bool
	needed   int64
	// wholeSequence is that of the newest whole view, 0 for none of this leader's.
	wholeSequence int64
	// completeAt is when the last message arrived while the view was complete.
	completeAt time.Duration
	// requestedAt is when a whole view was last asked for, requests how often since the view was last complete.
	requestedAt time.Duration
	requests    int
	sending     fleetSender
}

// A reportedServer is what the leader reported of one server.
type reportedServer struct {
	sequence   int64
	receivedAt time.Duration
	startedAt  int64
	weights    registrar.Weights
	// inFlight is the number of requests of all daemons at the server.
	inFlight int
	// gone reports whether the server is no longer in the leader's view.
	gone bool
}

// A reportedLoading is when a model or adapter is expected to be loaded.
type reportedLoading struct {
	sequence int64
	at       time.Duration
}

// A reportedLimit is the rate limit that the leader knows of a server.
type reportedLimit struct {
	sequence int64
	limit    messenger.RateLimit
}

func newFleetState() fleetState {
	return fleetState{servers: make(map[string]reportedServer), loading: make(map[modelKey]reportedLoading), limits: make(map[string]reportedLimit)}
}

// age returns the age of the leader's last message.
func (f *fleetState) age(now time.Duration) time.Duration { return now - f.receivedAt }

// weights returns the models and adapters that a server is assumed to have loaded: from the leader's state or report,
// or else from the server's own entry.
func (m *Machine) weights(s *server) registrar.Weights {
	if m.isLeader() {
		if engine, ok := m.placement.engines[s.entry.ID]; ok && engine.startedAt == s.entry.StartedAt {
			return engine.available(m.now)
		}
		return s.entry.Weights
	}
	if reported, ok := m.fleet.servers[s.entry.ID]; ok && !reported.gone && reported.startedAt == s.entry.StartedAt && m.now < max(reported.receivedAt, m.fleet.completeAt)+fleetTTL {
		return reported.weights
	}
	return s.entry.Weights
}

func (m *Machine) daemonNames() []string {
	return slices.Sorted(maps.Keys(m.daemons))
}

func (m *Machine) peerReceived(message messenger.Message) {
	if message.Demand != nil && m.isLeader() {
		m.demandReceived(message.From, *message.Demand)
	}
	if message.Fleet != nil {
		m.fleetReceived(message.From, message.Fleet)
	}
	if message.FleetRequested {
		m.replyWithFleet(message.Address)
	}
	if message.Origins != nil {
		m.originsReceived(message.Address, message.Origins)
	}
	m.quotaReceived(message)
	if message.Evidence != nil {
		if message.Evidence.Requested {
			m.replyWithEvidence(message.Address)
		}
		m.evidenceReceived(message.Evidence, false)
		if message.Evidence.Reply {
			m.evidenceReplied(message.From)
		}
	}
	if message.Feed != nil && message.Feed.Evidence != nil {
		m.evidenceReceived(message.Feed.Evidence, true)
	}
}

// logOutdatedLeader logs once per fencing token that the messages of a leader are ignored.
func (m *Machine) logOutdatedLeader(fleet *messenger.Fleet) {
	if fleet.Fence == m.fleet.ignoredToken {
		return
	}
	m.fleet.ignoredToken = fleet.Fence
	m.emit(LogStateChange{Subject: "Role", Change: "Ignored", Reason: "a leader with a higher fencing token has sent messages", Version: fleet.Fence, Detail: fleet.Holder})
}

// readyIn predicts when the model and adapter of a request are loaded on some server.
func (m *Machine) readyIn(r *request) time.Duration {
	for _, key := range keyAndModel(m.keyOf(r)) {
		if at, ok := m.loadingUntil(key); ok {
			return max(0, at-m.now) + adapterLoadTime
		}
	}
	takeover := m.takeoverTime()
	model, known := m.modelOf(r)
	if !known {
		return takeover + noServerRetryDelay
	}
	if r.Adapter != "" && m.loadedAnywhere(r) {
		return takeover + 4*adapterLoadTime
	}
	return takeover + m.shortestLoad(r, model) + loadTimeMargin
}

func (m *Machine) loadingUntil(k modelKey) (time.Duration, bool) {
	if m.isLeader() {
		return m.loadingUntilByOrders(k)
	}
	reported, ok := m.fleet.loading[k]
	if !ok || m.now > reported.at+loadTimeMargin+demandInterval {
		return 0, false
	}
	return reported.at, true
}

// takeoverTime returns how long it takes until the next order can be given, 0 if a leader may give orders now.
func (m *Machine) takeoverTime() time.Duration {
	switch {
	case m.election.Leader() == nil:
		return m.settings.TakeoverDelay + electionTime
	case !m.isLeader() && m.now > m.fleet.receivedAt+fleetTTL:
		return m.settings.TakeoverDelay
	default:
		return max(0, m.election.OrdersFrom()-m.now)
	}
}

func (m *Machine) modelOf(r *request) (matcher.Model, bool) {
	return m.engineModel(r.Service, r.Model)
}

// engineModel returns a model of a service's engines. The configuration may no longer have the service or the model, also while an engine
// loads it.
func (m *Machine) engineModel(service, name string) (model matcher.Model, ok bool) {
	if engine := m.engineSettings(service); engine != nil {
		model, ok = engine.Models[name]
	}
	return model, ok
}

func (m *Machine) loadedAnywhere(r *request) bool {
	for _, s := range m.serversOf(r.Service) {
		if m.maySend(r, s) && s.downUntil <= m.now && m.hasModel(s, r.Model, "") {
			return true
		}
	}
	return false
}

// shortestLoad returns the shortest load time of a model over all servers.
func (m *Machine) shortestLoad(r *request, model matcher.Model) time.Duration {
	best := model.StoreLoadTime
	for _, s := range m.serversOf(r.Service) {
		if !m.maySend(r, s) {
			continue
		}
		if slices.Contains(s.entry.Weights.InMemory, model.Name) {
			best = min(best, model.MemoryLoadTime)
		}
		if slices.Contains(s.entry.Weights.OnDisk, model.Name) {
			best = min(best, model.DiskLoadTime)
		}
	}
	return best
}

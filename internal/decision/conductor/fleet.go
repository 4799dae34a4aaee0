package conductor

import (
	"maps"
	"slices"
	"time"

	"samphirewharf/internal/fleet/matcher"
	"samphirewharf/internal/fleet/registrar"
	"samphirewharf/internal/peer/messenger"
)

// A fleetState is the latest view of the servers that the leader sent, and the state of sending it if this daemon is
// the leader.
type fleetState struct {
	// fencingToken and sequence identify the newest message.
	fencingToken int64
	sequence     int64
	receivedAt   time.Duration
	// ignoredToken is the fencing token of the last leader whose messages were ignored as outdated.
	ignoredToken int64
	servers      map[string]reportedServer
	loading      map[modelKey]time.Duration

	// sent counts the messages that this daemon sent as the leader. pendingSince is when the first change that hasn't
	// been sent occurred, 0 if there is none.
	sent         int64
	sentAt       time.Duration
	fullSentAt   time.Duration
	pendingSince time.Duration
}

// A reportedServer is what the leader reported of one server.
type reportedServer struct {
	receivedAt time.Duration
	startedAt  int64
	weights    registrar.Weights
}

func newFleetState() fleetState {
	return fleetState{servers: make(map[string]reportedServer), loading: make(map[modelKey]time.Duration)}
}

func (f *fleetState) nextAt(m *Machine) time.Duration {
	if !m.isLeader() {
		return never
	}
	next := f.sentAt + fleetInterval
	if f.pendingSince > 0 {
		next = min(next, f.pendingSince+fleetDelay)
	}
	return next
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
	if reported, ok := m.fleet.servers[s.entry.ID]; ok && reported.startedAt == s.entry.StartedAt && m.now < reported.receivedAt+fleetTTL {
		return reported.weights
	}
	return s.entry.Weights
}

// tickFleet sends the leader's view to the followers, which relay it. The whole view is sent at intervals, and changes
// in between.
func (m *Machine) tickFleet() {
	f := &m.fleet
	if !m.isLeader() || m.now < f.nextAt(m) || m.lacksEngines() {
		return
	}
	full := m.now >= f.fullSentAt+fleetInterval
	if full {
		f.fullSentAt = m.now
	}
	f.sentAt, f.pendingSince = m.now, 0
	f.sent++
	message := m.newMessage()
	message.Fleet = m.fleetMessage(full)
	for _, name := range m.followerNames() {
		if name != m.settings.Self.Name {
			m.emit(SendPeer{Address: m.daemons[name].PeerAddress, Message: message})
		}
	}
	m.emit(Forward{Fleet: message.Fleet})
}

func (m *Machine) fleetMessage(full bool) *messenger.Fleet {
	fleet := &messenger.Fleet{Holder: m.settings.Self.Name, Fence: m.election.leader.FencingToken, Sequence: m.fleet.sent, Loading: m.loadings(), RateLimits: m.rateLimits()}
	if m.configuration != nil {
		fleet.ConfigurationVersion = m.configuration.Version
	}
	inFlight := m.sumInFlight()
	for _, id := range m.placement.engineIDs() {
		engine := m.placement.engines[id]
		if !full && !engine.unreported {
			continue
		}
		engine.unreported = false
		fleet.Servers = append(fleet.Servers, messenger.FleetServer{
			Server: id, StartedAt: engine.startedAt, Models: engine.available(m.now).Models, InFlight: inFlight[id],
		})
	}
	for _, s := range m.servers {
		s.updateOtherRequests(inFlight[s.entry.ID])
	}
	return fleet
}

func (m *Machine) daemonNames() []string {
	return slices.Sorted(maps.Keys(m.daemons))
}

func (m *Machine) peerReceived(message messenger.Message) {
	if message.Demand != nil && m.isLeader() {
		m.demandReceived(message.From, *message.Demand)
	}
	if message.Fleet != nil {
		m.fleetReceived(message.Fleet)
	}
	if message.Origins != nil {
		m.originsReceived(message.Address, message.Origins)
	}
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

// fleetReceived handles a message of the leader, directly or relayed, unless it is older than the last one.
func (m *Machine) fleetReceived(fleet *messenger.Fleet) {
	f := &m.fleet
	if fleet.Fence < f.fencingToken {
		m.logOutdatedLeader(fleet)
		return
	}
	if fleet.Fence == f.fencingToken && fleet.Sequence <= f.sequence {
		return
	}
	if m.isLeader() && fleet.Fence > m.election.leader.FencingToken {
		m.stopLeading("another leader, " + fleet.Holder + ", has a higher fencing token")
	}
	f.fencingToken, f.sequence, f.receivedAt = fleet.Fence, fleet.Sequence, m.now
	m.emit(Forward{Fleet: fleet})
	if m.election.leader == nil && m.store.unavailable {
		// The leader's record can't be read, but the message shows which daemon it is.
		m.leaderChanged(Leader{Name: fleet.Holder, FencingToken: fleet.Fence})
	}
	for _, s := range fleet.Servers {
		m.fleet.servers[s.Server] = reportedServer{receivedAt: m.now, startedAt: s.StartedAt, weights: registrar.Weights{Models: s.Models}}
		if known, ok := m.servers[s.Server]; ok {
			known.updateOtherRequests(s.InFlight)
		}
	}
	clear(f.loading)
	for _, l := range fleet.Loading {
		k := modelKey{service: l.Service, model: l.Model, adapter: l.Adapter}
		f.loading[k] = m.now + l.ReadyIn
		if l.SoftwareVersion != "" {
			k.softwareVersion, k.pinned = l.SoftwareVersion, true
			f.loading[k] = m.now + l.ReadyIn
		}
	}
	m.mergeSuspects(fleet.Suspects)
	m.rateLimitsReceived(fleet.RateLimits)
	m.dispatchQueues()
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
	for _, key := range keyAndModel(keyOf(r)) {
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
	at, ok := m.fleet.loading[k]
	if !ok || m.now > at+loadTimeMargin+demandInterval {
		return 0, false
	}
	return at, true
}

// takeoverTime returns how long it takes until the next order can be given, 0 if a leader may give orders now.
func (m *Machine) takeoverTime() time.Duration {
	switch {
	case m.election.leader == nil:
		return m.settings.TakeoverDelay + electionTime
	case !m.isLeader() && m.now > m.fleet.receivedAt+fleetTTL:
		return m.settings.TakeoverDelay
	default:
		return max(0, m.election.ordersFrom-m.now)
	}
}

func (m *Machine) modelOf(r *request) (matcher.Model, bool) {
	engine := m.engineSettings(r.Service)
	if engine == nil {
		return matcher.Model{}, false
	}
	model, ok := engine.Models[r.Model]
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

package conductor

import (
	"maps"
	"slices"
	"time"

	"samphirewharf/internal/fleet/matcher"
	"samphirewharf/internal/fleet/registrar"
	"samphirewharf/internal/peer/messenger"
)

// A fleetState is what the holder of the role said of the servers, and when it was told by this daemon as the holder.
type fleetState struct {
	// fence and sequence are those of the newest message.
	fencingToken int64
	sequence     int64
	receivedAt   time.Duration
	servers      map[string]reportedServer
	loading      map[modelKey]time.Duration

	// sent counts this daemon's own messages as the holder. changedAt is when there was something new, 0 if there
	// is nothing.
	sent         int64
	sentAt       time.Duration
	fullSentAt   time.Duration
	pendingSince time.Duration
}

// A reportedServer is what the holder reported of one server.
type reportedServer struct {
	at        time.Duration
	startedAt int64
	weights   registrar.Weights
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

// age returns how old the holder's last message is.
func (f *fleetState) age(now time.Duration) time.Duration { return now - f.receivedAt }

// weights returns what a server is believed to have: what the holder knows, or else what the server said itself.
func (m *Machine) weights(s *server) registrar.Weights {
	if m.isLeader() {
		if c, ok := m.placement.engines[s.entry.ID]; ok && c.startedAt == s.entry.StartedAt {
			return c.available(m.now)
		}
		return s.entry.Weights
	}
	if st, ok := m.fleet.servers[s.entry.ID]; ok && st.startedAt == s.entry.StartedAt && m.now < st.at+fleetTTL {
		return st.weights
	}
	return s.entry.Weights
}

// tickFleet tells what the holder believes to the followers, who pass it on. All of it is told from time to time, and
// between that what has changed.
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
	fleet := &messenger.Fleet{Holder: m.settings.Self.Name, Fence: m.election.leader.FencingToken, Sequence: m.fleet.sent, Suspects: m.crashCounts(!full), Loading: m.loadings()}
	if m.configuration != nil {
		fleet.ConfigurationVersion = m.configuration.Version
	}
	inFlight := m.sumInFlight()
	for _, id := range m.placement.engineIDs() {
		c := m.placement.engines[id]
		if !full && !c.unreported {
			continue
		}
		c.unreported = false
		fleet.Servers = append(fleet.Servers, messenger.FleetServer{
			Server: id, StartedAt: c.startedAt, Models: c.available(m.now).Models, InFlight: inFlight[id],
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
}

// fleetReceived takes a message of the holder, whoever passed it on, unless it is older than what is known.
func (m *Machine) fleetReceived(fleet *messenger.Fleet) {
	f := &m.fleet
	if fleet.Fence < f.fencingToken || fleet.Fence == f.fencingToken && fleet.Sequence <= f.sequence {
		return
	}
	if m.isLeader() && fleet.Fence > m.election.leader.FencingToken {
		m.stopLeading("another holder, " + fleet.Holder + ", has a higher fencing number")
	}
	f.fencingToken, f.sequence, f.receivedAt = fleet.Fence, fleet.Sequence, m.now
	m.emit(Forward{Fleet: fleet})
	if m.election.leader == nil && m.store.unavailable {
		// The role's record can't be read, but its holder speaks.
		m.leaderChanged(Leader{Name: fleet.Holder, FencingToken: fleet.Fence})
	}
	for _, s := range fleet.Servers {
		m.fleet.servers[s.Server] = reportedServer{at: m.now, startedAt: s.StartedAt, weights: registrar.Weights{Models: s.Models}}
		if known, ok := m.servers[s.Server]; ok {
			known.updateOtherRequests(s.InFlight)
		}
	}
	clear(f.loading)
	for _, l := range fleet.Loading {
		f.loading[modelKey{service: l.Service, model: l.Model, adapter: l.Adapter}] = m.now + l.ReadyIn
	}
	m.mergeCrashCounts(fleet.Suspects)
	m.dispatchQueues()
}

// readyIn predicts when what the request needs is loaded somewhere.
func (m *Machine) readyIn(r *request) time.Duration {
	k := keyOf(r)
	for _, key := range keyAndModel(k) {
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
		at, ok := m.placement.loadingUntil(k)
		return at, ok
	}
	at, ok := m.fleet.loading[k]
	if !ok || m.now > at+loadTimeMargin+demandInterval {
		return 0, false
	}
	return at, true
}

// takeoverTime returns how long it takes until orders are given, if nobody gives any now.
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
	engine := m.engine(r.Service)
	if engine == nil {
		return matcher.Model{}, false
	}
	model, ok := engine.Models[r.Model]
	return model, ok
}

func (m *Machine) loadedAnywhere(r *request) bool {
	for _, s := range m.serversOf(r.Service) {
		if s.usable() && s.downUntil <= m.now && m.hasModel(s, r.Model, "") {
			return true
		}
	}
	return false
}

// shortestLoad returns the shortest load time of a model over the servers.
func (m *Machine) shortestLoad(r *request, model matcher.Model) time.Duration {
	best := model.StoreLoadTime
	for _, s := range m.serversOf(r.Service) {
		if !s.usable() {
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

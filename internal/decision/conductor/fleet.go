package conductor

import (
	"maps"
	"slices"
	"time"

	"samphirewharf/internal/fleet/matcher"
	"samphirewharf/internal/fleet/registrar"
	"samphirewharf/internal/peer/messenger"
)

// A fleetBelief is what the holder of the role said of the servers, and when it was told by this daemon as the holder.
type fleetBelief struct {
	// fence and sequence are those of the newest message.
	fence    int64
	sequence int64
	heardAt  time.Duration
	servers  map[string]statement
	loading  map[modelKey]time.Duration

	// sent counts this daemon's own messages as the holder. changedAt is when there was something new, 0 if there
	// is nothing.
	sent      int64
	sentAt    time.Duration
	wholeAt   time.Duration
	changedAt time.Duration
}

// A statement is what the holder reported of one server.
type statement struct {
	at        time.Duration
	startedAt int64
	holdings  registrar.Weights
}

func newFleetBelief() fleetBelief {
	return fleetBelief{servers: make(map[string]statement), loading: make(map[modelKey]time.Duration)}
}

func (f *fleetBelief) nextAt(m *Machine) time.Duration {
	if !m.holdsRole() {
		return never
	}
	next := f.sentAt + fleetInterval
	if f.changedAt > 0 {
		next = min(next, f.changedAt+fleetSoon)
	}
	return next
}

// age returns how old the holder's last message is.
func (f *fleetBelief) age(now time.Duration) time.Duration { return now - f.heardAt }

// holdings returns what a server is believed to have: what the holder knows, or else what the server said itself.
func (m *Machine) holdings(s *server) registrar.Weights {
	if m.holdsRole() {
		if c, ok := m.placing.controls[s.entry.ID]; ok && c.startedAt == s.entry.StartedAt {
			return c.serving(m.now)
		}
		return s.entry.Weights
	}
	if st, ok := m.fleet.servers[s.entry.ID]; ok && st.startedAt == s.entry.StartedAt && m.now < st.at+fleetTrust {
		return st.holdings
	}
	return s.entry.Weights
}

// passFleet tells what the holder believes to the followers, who pass it on. All of it is told from time to time, and
// between that what has changed.
func (m *Machine) passFleet() {
	f := &m.fleet
	if !m.holdsRole() || m.now < f.nextAt(m) || m.engineless() {
		return
	}
	whole := m.now >= f.wholeAt+fleetInterval
	if whole {
		f.wholeAt = m.now
	}
	f.sentAt, f.changedAt = m.now, 0
	f.sent++
	message := m.message()
	message.Fleet = m.fleetMessage(whole)
	for _, name := range m.followerNames() {
		if name != m.settings.Self.Name {
			m.emit(SendPeer{Address: m.daemons[name].PeerAddress, Message: message})
		}
	}
	m.emit(Forward{Fleet: message.Fleet})
}

func (m *Machine) fleetMessage(whole bool) *messenger.Fleet {
	fleet := &messenger.Fleet{Holder: m.settings.Self.Name, Fence: m.role.holder.FencingToken, Sequence: m.fleet.sent, Suspects: m.suspects(!whole), Loading: m.loadings()}
	if m.configuration != nil {
		fleet.ConfigurationVersion = m.configuration.Version
	}
	inFlight := m.sumInFlight()
	for _, id := range m.placing.ids() {
		c := m.placing.controls[id]
		if !whole && !c.changed {
			continue
		}
		c.changed = false
		fleet.Servers = append(fleet.Servers, messenger.FleetServer{
			Server: id, StartedAt: c.startedAt, Models: c.serving(m.now).Models, InFlight: inFlight[id],
		})
	}
	for _, s := range m.servers {
		s.countOthers(inFlight[s.entry.ID])
	}
	return fleet
}

func (m *Machine) daemonNames() []string {
	return slices.Sorted(maps.Keys(m.daemons))
}

func (m *Machine) peerReceived(message messenger.Message) {
	if message.Demand != nil && m.holdsRole() {
		m.takeDemand(message.From, *message.Demand)
	}
	if message.Fleet != nil {
		m.fleetReceived(message.Fleet)
	}
}

// fleetReceived takes a message of the holder, whoever passed it on, unless it is older than what is known.
func (m *Machine) fleetReceived(fleet *messenger.Fleet) {
	f := &m.fleet
	if fleet.Fence < f.fence || fleet.Fence == f.fence && fleet.Sequence <= f.sequence {
		return
	}
	if m.holdsRole() && fleet.Fence > m.role.holder.FencingToken {
		m.depose("another holder, " + fleet.Holder + ", has a higher fencing number")
	}
	f.fence, f.sequence, f.heardAt = fleet.Fence, fleet.Sequence, m.now
	m.emit(Forward{Fleet: fleet})
	if m.role.holder == nil && m.store.lost {
		// The role's record can't be read, but its holder speaks.
		m.holderSeen(Leader{Name: fleet.Holder, FencingToken: fleet.Fence})
	}
	for _, s := range fleet.Servers {
		m.fleet.servers[s.Server] = statement{at: m.now, startedAt: s.StartedAt, holdings: registrar.Weights{Models: s.Models}}
		if known, ok := m.servers[s.Server]; ok {
			known.countOthers(s.InFlight)
		}
	}
	clear(f.loading)
	for _, l := range fleet.Loading {
		f.loading[modelKey{service: l.Service, model: l.Model, adapter: l.Adapter}] = m.now + l.ReadyIn
	}
	m.mergeSuspects(fleet.Suspects)
	m.pumpAll()
}

// readyIn predicts when what the request needs is loaded somewhere.
func (m *Machine) readyIn(r *request) time.Duration {
	k := keyOf(r)
	for _, each := range uniqueKeys(k) {
		if at, ok := m.loadingUntil(each); ok {
			return max(0, at-m.now) + adapterTime
		}
	}
	takeover := m.takeover()
	model, known := m.modelOf(r)
	if !known {
		return takeover + noServerRetry
	}
	if r.Adapter != "" && m.heldAnywhere(r) {
		return takeover + 4*adapterTime
	}
	return takeover + m.nearestLoad(r, model) + loadSlack
}

func (m *Machine) loadingUntil(k modelKey) (time.Duration, bool) {
	if m.holdsRole() {
		at, ok := m.placing.loadingUntil(k)
		return at, ok
	}
	at, ok := m.fleet.loading[k]
	if !ok || m.now > at+loadSlack+demandInterval {
		return 0, false
	}
	return at, true
}

// takeover returns how long it takes until orders are given, if nobody gives any now.
func (m *Machine) takeover() time.Duration {
	switch {
	case m.role.holder == nil:
		return m.settings.TakeoverDelay + takeoverSlack
	case !m.holdsRole() && m.now > m.fleet.heardAt+fleetTrust:
		return m.settings.TakeoverDelay
	default:
		return max(0, m.role.ordersFrom-m.now)
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

func (m *Machine) heldAnywhere(r *request) bool {
	for _, s := range m.serversOf(r.Service) {
		if s.usable() && s.downUntil <= m.now && m.holds(s, r.Model, "") {
			return true
		}
	}
	return false
}

// nearestLoad returns the shortest load time of a model over the servers.
func (m *Machine) nearestLoad(r *request, model matcher.Model) time.Duration {
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

package conductor

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"samphirewharf/internal/peer/messenger"
)

// A fleetSender is the state of sending the view of the servers as the leader.
type fleetSender struct {
	// sent counts the messages. pendingSince is when the first change that hasn't been sent occurred, 0 if there is none.
	sent         int64
	pendingSince time.Duration
	// countedAt is when the numbers of requests were last sent.
	countedAt time.Duration
	// changes reports whether the other daemons have the whole view, so that changes are enough. Then servers, inFlight, loading and
	// limits hold what they have.
	changes  bool
	servers  map[string]bool
	inFlight map[string]int
	loading  map[modelKey]time.Duration
	limits   map[string]messenger.RateLimit
}

func (f *fleetState) nextAt(m *Machine) time.Duration {
	if !m.isLeader() {
		return never
	}
	s := &f.sending
	next := s.countedAt + fleetInterval
	if s.pendingSince > 0 {
		next = min(next, s.pendingSince+fleetDelay)
	}
	return next
}

// tickFleet sends the leader's view to the followers, which relay it: changes shortly after they occur, numbers of requests at intervals.
func (m *Machine) tickFleet() {
	f := &m.fleet
	if !m.isLeader() || m.now < f.nextAt(m) || m.lacksEngines() {
		return
	}
	message := m.newMessage()
	message.Fleet = m.fleetMessage()
	for _, name := range m.followerNames() {
		if name != m.settings.Self.Name {
			m.emit(SendPeer{Address: m.daemons[name].PeerAddress, Message: message})
		}
	}
	m.emit(Forward{Fleet: message.Fleet})
}

// fleetMessage returns the next message of the leader and records it as sent.
func (m *Machine) fleetMessage() *messenger.Fleet {
	s := &m.fleet.sending
	counted := m.now >= s.countedAt+fleetInterval
	if counted {
		s.countedAt = m.now
	}
	s.sent++
	s.pendingSince = 0
	var fleet *messenger.Fleet
	switch {
	case !m.allTakeChanges():
		s.changes = false
		fleet = m.fleetForEarlierVersions(counted)
	case !s.changes:
		s.startChanges()
		fleet, counted = m.wholeFleet(), true
		m.fleetChanges(true)
	default:
		fleet = m.fleetChanges(counted)
	}
	fleet.Counted = counted
	if counted {
		m.averageOwnRequests()
	}
	return fleet
}

// allTakeChanges reports whether no daemon of an earlier version is registered, which needs the whole view each second.
func (m *Machine) allTakeChanges() bool {
	for _, d := range m.daemons {
		if !d.FleetChanges {
			return false
		}
	}
	return true
}

func (m *Machine) newFleetMessage() *messenger.Fleet {
	fleet := &messenger.Fleet{Holder: m.settings.Self.Name, Fence: m.election.Leader().FencingToken, Sequence: m.fleet.sending.sent}
	if m.configuration != nil {
		fleet.ConfigurationVersion = m.configuration.Version
	}
	return fleet
}

// wholeFleet returns the leader's whole view.
func (m *Machine) wholeFleet() *messenger.Fleet {
	fleet := m.newFleetMessage()
	fleet.Whole, fleet.RateLimits = true, m.rateLimits()
	for k, at := range m.expectedLoads() {
		fleet.Loading = append(fleet.Loading, loadingOf(k, at-m.now))
	}
	slices.SortFunc(fleet.Loading, compareLoadings)
	inFlight := m.sumInFlight()
	for _, id := range m.placement.engineIDs() {
		fleet.Servers = append(fleet.Servers, m.fleetServer(id, inFlight[id]))
	}
	return fleet
}

// fleetForEarlierVersions returns the view as earlier versions expect it. It may leave out servers that haven't changed unless all is set.
func (m *Machine) fleetForEarlierVersions(all bool) *messenger.Fleet {
	fleet := m.wholeFleet()
	fleet.Whole = all
	fleet.Servers = slices.DeleteFunc(fleet.Servers, func(s messenger.FleetServer) bool {
		engine := m.placement.engines[s.Server]
		unchanged := !engine.unreported
		engine.unreported = false
		return unchanged && !all
	})
	return fleet
}

func (m *Machine) fleetServer(id string, inFlight int) messenger.FleetServer {
	engine := m.placement.engines[id]
	return messenger.FleetServer{Server: id, StartedAt: engine.startedAt, Models: engine.available(m.now).Models, InFlight: inFlight}
}

// startChanges forgets what the other daemons have.
func (s *fleetSender) startChanges() {
	s.changes, s.servers, s.inFlight = true, make(map[string]bool), make(map[string]int)
	s.loading, s.limits = make(map[modelKey]time.Duration), make(map[string]messenger.RateLimit)
}

// fleetChanges returns what has changed since the last message, and records it as sent.
func (m *Machine) fleetChanges(counted bool) *messenger.Fleet {
	s := &m.fleet.sending
	fleet := m.newFleetMessage()
	fleet.Changes, fleet.Previous = true, s.sent-1
	for _, id := range m.placement.engineIDs() {
		engine := m.placement.engines[id]
		if engine.unreported || !s.servers[id] {
			fleet.Servers = append(fleet.Servers, m.fleetServer(id, 0))
		}
		engine.unreported, s.servers[id] = false, true
	}
	for _, id := range slices.Sorted(maps.Keys(s.servers)) {
		if _, ok := m.placement.engines[id]; !ok {
			fleet.Gone = append(fleet.Gone, id)
			delete(s.servers, id)
			delete(s.inFlight, id)
		}
	}
	if counted {
		fleet.InFlight = s.changedInFlight(m.sumInFlight())
	}
	fleet.Loading = m.changedLoading()
	fleet.RateLimits = s.changedLimits(m.rateLimits())
	return fleet
}

func (s *fleetSender) changedInFlight(inFlight map[string]int) map[string]int {
	changed := make(map[string]int)
	for id := range s.servers {
		if n := inFlight[id]; n != s.inFlight[id] {
			changed[id], s.inFlight[id] = n, n
		}
	}
	return changed
}

// changedLoading returns the models and adapters that are expected at another time than the other daemons know, or no longer.
func (m *Machine) changedLoading() []messenger.Loading {
	s, expected := &m.fleet.sending, m.expectedLoads()
	var changed []messenger.Loading
	for k, at := range expected {
		if known, ok := s.loading[k]; !ok || at > known+loadingTolerance || at < known-loadingTolerance {
			changed = append(changed, loadingOf(k, at-m.now))
			s.loading[k] = at
		}
	}
	maps.DeleteFunc(s.loading, func(k modelKey, _ time.Duration) bool {
		_, ok := expected[k]
		if !ok {
			ended := loadingOf(k, 0)
			ended.Ended = true
			changed = append(changed, ended)
		}
		return !ok
	})
	slices.SortFunc(changed, compareLoadings)
	return changed
}

// expectedLoads returns when models and adapters will be loaded, each at a server of one software version and of any.
func (m *Machine) expectedLoads() map[modelKey]time.Duration {
	expected := make(map[modelKey]time.Duration)
	for _, l := range m.loadings() {
		k := modelKey{service: l.Service, model: l.Model, adapter: l.Adapter}
		expected[k] = m.now + l.ReadyIn
		if l.SoftwareVersion != "" {
			k.softwareVersion, k.pinned = l.SoftwareVersion, true
			expected[k] = m.now + l.ReadyIn
		}
	}
	return expected
}

// compareLoadings orders those of one software version before those of any, since earlier versions take the former for both.
func compareLoadings(a, b messenger.Loading) int {
	return cmp.Or(
		cmp.Compare(b.SoftwareVersion, a.SoftwareVersion), cmp.Compare(a.Service, b.Service),
		cmp.Compare(a.Model, b.Model), cmp.Compare(a.Adapter, b.Adapter),
	)
}

func loadingOf(k modelKey, readyIn time.Duration) messenger.Loading {
	return messenger.Loading{Service: k.service, Model: k.model, Adapter: k.adapter, SoftwareVersion: k.softwareVersion, ReadyIn: readyIn}
}

func (s *fleetSender) changedLimits(limits []messenger.RateLimit) []messenger.RateLimit {
	var changed []messenger.RateLimit
	limited := make(map[string]bool, len(limits))
	for _, l := range limits {
		limited[l.Server] = true
		if s.limits[l.Server] != l {
			changed = append(changed, l)
			s.limits[l.Server] = l
		}
	}
	maps.DeleteFunc(s.limits, func(id string, l messenger.RateLimit) bool {
		if !limited[id] {
			changed = append(changed, messenger.RateLimit{Server: id, StartedAt: l.StartedAt})
		}
		return !limited[id]
	})
	slices.SortFunc(changed, compareLimits)
	return changed
}

func compareLimits(a, b messenger.RateLimit) int { return cmp.Compare(a.Server, b.Server) }

// averageOwnRequests updates the leader's averages of other daemons' requests.
func (m *Machine) averageOwnRequests() {
	inFlight := m.sumInFlight()
	for _, s := range m.servers {
		s.updateOtherRequests(inFlight[s.entry.ID])
	}
}

package conductor

import (
	"maps"
	"slices"
	"time"

	"samphirewharf/internal/fleet/registrar"
	"samphirewharf/internal/peer/messenger"
)

// fleetReceived handles a message of the leader, directly or relayed by a daemon, unless it brings nothing new.
func (m *Machine) fleetReceived(from string, fleet *messenger.Fleet) {
	f := &m.fleet
	if fleet.Fence < f.fencingToken {
		m.logOutdatedLeader(fleet)
		return
	}
	if fleet.Fence > f.fencingToken {
		f.startLeader(fleet.Fence)
	}
	isNewer := fleet.Sequence > f.sequence
	if !isNewer && (!fleet.Whole || f.complete) {
		return
	}
	if m.isLeader() && fleet.Fence > m.election.Leader().FencingToken {
		m.stopLeading("another leader, " + fleet.Holder + ", has a higher fencing token")
	}
	f.receivedAt = m.now
	f.noteSequence(fleet)
	if isNewer {
		m.emit(Forward{Fleet: fleet})
	}
	if m.election.Leader() == nil && m.store.unavailable {
		// The leader's record can't be read, but the message shows which daemon it is.
		m.leaderChanged(Leader{Name: fleet.Holder, FencingToken: fleet.Fence})
	}
	m.takeServers(fleet)
	f.takeLoading(m.now, fleet)
	m.mergeSuspects(fleet.Suspects)
	m.takeRateLimits(fleet)
	if f.complete {
		m.logCompleted()
		f.completeAt, f.requests = m.now, 0
	} else if fleet.Changes && !m.isLeader() {
		m.requestFleet(from, fleet.Holder)
	}
	m.dispatchQueues()
}

// startLeader prepares for the messages of another leader. What the one before has reported stays until the new one says otherwise.
func (f *fleetState) startLeader(fencingToken int64) {
	f.fencingToken, f.sequence, f.wholeSequence, f.needed, f.complete = fencingToken, 0, 0, 0, false
	for id, s := range f.servers {
		s.sequence = 0
		f.servers[id] = s
	}
	for k, l := range f.loading {
		l.sequence = 0
		f.loading[k] = l
	}
	for id, l := range f.limits {
		l.sequence = 0
		f.limits[id] = l
	}
}

// noteSequence records which messages have arrived, and whether any is missing.
func (f *fleetState) noteSequence(fleet *messenger.Fleet) {
	switch {
	case fleet.Whole:
		f.wholeSequence = max(f.wholeSequence, fleet.Sequence)
		f.complete = f.complete || f.wholeSequence >= f.needed
	case !fleet.Changes:
		// It may leave out servers.
		f.complete, f.needed = false, max(f.needed, fleet.Sequence)
	case fleet.Previous > max(f.sequence, f.wholeSequence):
		f.complete, f.needed = false, fleet.Previous
	}
	f.sequence = max(f.sequence, fleet.Sequence)
}

// takeServers applies what a message says of servers.
func (m *Machine) takeServers(fleet *messenger.Fleet) {
	f := &m.fleet
	listed := make(map[string]bool, len(fleet.Servers))
	for _, s := range fleet.Servers {
		listed[s.Server] = true
		known := f.servers[s.Server]
		if fleet.Sequence < known.sequence {
			continue
		}
		reported := reportedServer{sequence: fleet.Sequence, receivedAt: m.now, startedAt: s.StartedAt, weights: registrar.Weights{Models: s.Models}, inFlight: s.InFlight}
		if fleet.Changes {
			reported.inFlight = known.inFlight
		}
		f.servers[s.Server] = reported
		if s, ok := m.servers[s.Server]; ok && !fleet.Changes && !fleet.Whole {
			s.updateOtherRequests(reported.inFlight)
		}
	}
	if fleet.Whole {
		maps.DeleteFunc(f.servers, func(id string, s reportedServer) bool { return !listed[id] && s.sequence <= fleet.Sequence })
	}
	for _, id := range fleet.Gone {
		if fleet.Sequence >= f.servers[id].sequence {
			f.servers[id] = reportedServer{sequence: fleet.Sequence, receivedAt: m.now, gone: true}
		}
	}
	for id, n := range fleet.InFlight {
		if s, ok := f.servers[id]; ok && fleet.Sequence >= s.sequence {
			s.inFlight = n
			f.servers[id] = s
		}
	}
	if fleet.Counted {
		m.averageRequests()
	}
}

// averageRequests updates the averages of other daemons' requests, and forgets the servers that have been gone for long.
func (m *Machine) averageRequests() {
	for id, reported := range m.fleet.servers {
		if s, ok := m.servers[id]; ok && !reported.gone {
			s.updateOtherRequests(reported.inFlight)
		}
	}
	maps.DeleteFunc(m.fleet.servers, func(_ string, s reportedServer) bool { return s.gone && m.now > s.receivedAt+goneServerTTL })
}

// takeLoading applies what a message says of models and adapters that are being loaded.
func (f *fleetState) takeLoading(now time.Duration, fleet *messenger.Fleet) {
	if !fleet.Changes {
		maps.DeleteFunc(f.loading, func(_ modelKey, l reportedLoading) bool { return l.sequence <= fleet.Sequence })
	}
	for _, l := range fleet.Loading {
		k := modelKey{service: l.Service, model: l.Model, adapter: l.Adapter}
		reported := reportedLoading{sequence: fleet.Sequence, at: now + l.ReadyIn}
		if l.SoftwareVersion != "" {
			pinned := k
			pinned.softwareVersion, pinned.pinned = l.SoftwareVersion, true
			f.setLoading(pinned, reported, l.Ended)
			if fleet.Changes || fleet.Whole {
				continue
			}
		}
		f.setLoading(k, reported, l.Ended)
	}
}

func (f *fleetState) setLoading(k modelKey, reported reportedLoading, ended bool) {
	switch {
	case reported.sequence < f.loading[k].sequence:
	case ended:
		delete(f.loading, k)
	default:
		f.loading[k] = reported
	}
}

// takeRateLimits applies what a message says of rate limits.
func (m *Machine) takeRateLimits(fleet *messenger.Fleet) {
	f := &m.fleet
	if !fleet.Changes {
		maps.DeleteFunc(f.limits, func(_ string, l reportedLimit) bool { return l.sequence <= fleet.Sequence })
	}
	for _, l := range fleet.RateLimits {
		if fleet.Sequence >= f.limits[l.Server].sequence {
			f.limits[l.Server] = reportedLimit{sequence: fleet.Sequence, limit: l}
		}
	}
	if fleet.Counted || !fleet.Changes || len(fleet.RateLimits) > 0 {
		m.rateLimitsReceived(f.limits)
	}
}

// requestFleet asks for a whole view after a message was missed: the daemon from which the next one came and the leader in turn.
func (m *Machine) requestFleet(from, holder string) {
	f := &m.fleet
	if f.requests > 0 && m.now < f.requestedAt+fleetRequestInterval<<min(f.requests-1, fleetRequestDoublings) {
		return
	}
	name := from
	if f.requests%2 == 1 {
		name = holder
	}
	if f.requests == 0 {
		m.emit(LogStateChange{Subject: "LeaderView", Change: "Incomplete", Reason: "a message was missed", Version: f.needed, Age: m.now - f.completeAt, Detail: "asks " + name})
	}
	f.requestedAt = m.now
	f.requests++
	message := m.newMessage()
	message.FleetRequested = true
	if _, ok := m.daemons[name]; ok {
		m.sendTo([]string{name}, message)
	}
}

// logCompleted logs that a view that lacked messages lacks none any more.
func (m *Machine) logCompleted() {
	if f := &m.fleet; f.requests > 0 {
		m.emit(LogStateChange{Subject: "LeaderView", Change: "Completed", Version: f.sequence, Age: m.now - f.requestedAt, Detail: itoa(int64(f.requests)) + " requests"})
	}
}

// replyWithFleet sends a daemon this one's whole view, unless it lacks messages itself.
func (m *Machine) replyWithFleet(address string) {
	message := m.newMessage()
	switch f := &m.fleet; {
	case m.isLeader() && f.sending.sent > 0:
		message.Fleet = m.wholeFleet()
	case f.complete:
		message.Fleet = m.receivedFleet()
	default:
		return
	}
	m.emit(SendPeer{Address: address, Message: message})
}

// receivedFleet returns the whole view as the leader has sent it.
func (m *Machine) receivedFleet() *messenger.Fleet {
	f := &m.fleet
	fleet := &messenger.Fleet{Whole: true, Fence: f.fencingToken, Sequence: max(f.sequence, f.wholeSequence)}
	if m.election.Leader() != nil {
		fleet.Holder = m.election.Leader().Name
	}
	if m.configuration != nil {
		fleet.ConfigurationVersion = m.configuration.Version
	}
	for _, id := range slices.Sorted(maps.Keys(f.servers)) {
		if s := f.servers[id]; !s.gone {
			fleet.Servers = append(fleet.Servers, messenger.FleetServer{Server: id, StartedAt: s.startedAt, Models: s.weights.Models, InFlight: s.inFlight})
		}
	}
	for k, l := range f.loading {
		fleet.Loading = append(fleet.Loading, loadingOf(k, l.at-m.now))
	}
	for _, l := range f.limits {
		fleet.RateLimits = append(fleet.RateLimits, l.limit)
	}
	slices.SortFunc(fleet.Loading, compareLoadings)
	slices.SortFunc(fleet.RateLimits, compareLimits)
	return fleet
}

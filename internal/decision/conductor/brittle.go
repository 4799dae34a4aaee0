package conductor

import (
	"slices"
	"time"

	"samphirewharf/internal/decision/allotter"
	"samphirewharf/internal/fleet/registrar"
)

// A brittle server falls over if it rejects too many requests in a second for want of room. So each daemon uses only its part of
// the slots, and leaves a server alone for a while after its part of the rejections.

// A brittleState is what this daemon knows of the brittleness of a service's servers.
type brittleState struct {
	// active reports whether the servers say that they are brittle, rejectionsBorne how many rejections a second each bears from all
	// daemons together.
	active          bool
	rejectionsBorne float64
	// slots holds this daemon's part of the slots of each server, by ID; nil after daemons or servers have changed.
	slots map[string]int
}

// brittleAdvised handles whether a server says that the servers of its service are brittle.
func (m *Machine) brittleAdvised(s *server, advice Advice) {
	b := &m.service(s.entry.Service).brittle
	if b.active == advice.Brittle && b.rejectionsBorne == advice.RejectionsBorne {
		return
	}
	change := "Sturdy"
	if advice.Brittle {
		change = "Brittle"
	}
	*b = brittleState{active: advice.Brittle, rejectionsBorne: advice.RejectionsBorne}
	m.emit(LogStateChange{Subject: "Service " + s.entry.Service, Change: change, Detail: formatRate(advice.RejectionsBorne) + " rejections a second borne, said by " + s.entry.ID})
	m.dispatchQueue(s.entry.Service)
}

// brittleHoldsBack reports whether this daemon uses its part of the slots of a brittle server.
func (m *Machine) brittleHoldsBack(s *server) bool {
	b := &m.service(s.entry.Service).brittle
	if !b.active {
		return false
	}
	if b.slots == nil {
		b.slots = m.brittleSlots(s.entry.Service)
	}
	return len(s.requests) >= b.slots[s.entry.ID]
}

// brittleSlots returns this daemon's part of the slots of each server of a service.
func (m *Machine) brittleSlots(service string) map[string]int {
	var servers []allotter.SlotServer
	for _, s := range m.serversOf(service) {
		servers = append(servers, allotter.SlotServer{ID: s.entry.ID, Slots: s.entry.Slots, Ready: s.entry.State == registrar.StateReady})
	}
	return allotter.SlotParts(m.settings.Self.Name, m.sharers(), servers)
}

// rejected records that a server had no room for a request. A brittle one is left alone once this daemon has had its part of the
// rejections.
func (m *Machine) rejected(s *server) {
	s.fullUntil = m.now + fullBackoff
	b := &m.service(s.entry.Service).brittle
	if !b.active {
		return
	}
	s.rejections = slices.DeleteFunc(append(s.rejections, m.now), func(at time.Duration) bool { return at < m.now-brittleWindow })
	if float64(len(s.rejections)*m.daemonCount()) >= b.rejectionsBorne {
		s.fullUntil = m.now + brittleWindow
	}
}

// forgetBrittleSlots has the parts of slots computed again.
func (m *Machine) forgetBrittleSlots() {
	for _, state := range m.services {
		state.brittle.slots = nil
	}
}

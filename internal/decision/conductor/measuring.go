package conductor

import (
	"math"
	"time"
)

// measureInterval is how often the gauges are measured. Metrics are fetched every few seconds.
const measureInterval = time.Second

// A UpdateGauges effect brings the gauges of what the daemon has in hand and believes.
type UpdateGauges struct {
	// Services has an entry for each service that requests came for.
	Services map[string]ServiceGauges
	// HoldsRole tells that the daemon has the role of giving orders, MayOrder that it may give one now.
	IsLeader bool
	MayOrder bool
	// ViewAge is for how long the view of the key-value service may have been out of date, zero if it is not.
	ViewAge time.Duration
	// FleetAge is the age of the holder's last message; zero at the holder.
	FleetAge time.Duration
	// ConfigurationAge is for how long the configuration has been in force, zero if there is none.
	ConfigurationAge time.Duration
	// Daemons is how many daemons take requests, this one included.
	Daemons int
}

// ServiceGauges are those of one service. Running requests are this daemon's, slots and tokens those of all servers
// that take requests.
type ServiceGauges struct {
	Queued  int
	Running int
	// Taken are the slots that requests of all daemons take, as far as is known.
	SlotsTaken int
	Slots      int
	// TokensRunning are the tokens that this daemon's running requests may take up, TokenCapacity what engines hold.
	TokensRunning int64
	TokenCapacity int64
	// RetriesLeft is how many repeated sends this daemon's share of the budget still allows.
	RetriesLeft float64
	// StoreLoads is how many loads from the weight store run, as the holder knows.
	StoreLoads int
}

func (UpdateGauges) effect() {}

func (m *Machine) tickGauges() {
	if m.now < m.updateGaugesAt {
		return
	}
	m.updateGaugesAt = m.now + measureInterval
	e := UpdateGauges{Services: make(map[string]ServiceGauges, len(m.services)), IsLeader: m.isLeader(), MayOrder: m.mayOrder(), Daemons: m.daemonCount()}
	switch {
	case m.relay.following && m.store.unavailable:
		e.ViewAge = m.now - m.store.lostAt
	case !m.relay.following && !m.relay.upToDate(m.now):
		e.ViewAge = m.now - m.relay.receivedAt
	}
	if !e.IsLeader {
		e.FleetAge = m.fleet.age(m.now)
	}
	if m.configuration != nil {
		e.ConfigurationAge = m.now - m.configuredAt
	}
	for _, name := range m.serviceNames() {
		e.Services[name] = m.measureService(name)
	}
	m.emit(e)
}

func (m *Machine) measureService(name string) ServiceGauges {
	p := m.service(name)
	taken := 0.0
	g := ServiceGauges{Queued: len(p.queue), RetriesLeft: max(0, p.budget.Remaining(m.now, m.daemonCount()))}
	engine := m.engine(name)
	for _, s := range m.serversOf(name) {
		g.Running += len(s.runs)
		if s.usable() {
			taken += float64(len(s.runs)) + s.otherRequests
			g.Slots += s.entry.Slots
			if engine != nil {
				g.TokenCapacity += int64(engine.TokenCapacity)
			}
		}
		for _, r := range s.runs {
			g.TokensRunning += int64(r.InputTokens + r.OutputTokens)
		}
		if c, ok := m.placement.engines[s.entry.ID]; ok && c.loadsFromStore() {
			g.StoreLoads++
		}
	}
	g.SlotsTaken = int(math.Round(taken))
	return g
}

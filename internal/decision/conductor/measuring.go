package conductor

import (
	"math"
	"time"

	"samphirewharf/internal/decision/attributor"
)

// measureInterval is the interval between updates of the gauges. Metrics are scraped every few seconds.
const measureInterval = time.Second

// An UpdateGauges effect carries the gauges of the daemon's current load and state.
type UpdateGauges struct {
	// Services has an entry for each service that has had requests.
	Services map[string]ServiceGauges
	// IsLeader reports whether the daemon is the leader, MayOrder whether it may give an order now.
	IsLeader bool
	MayOrder bool
	// ViewAge is how long the view of the store may have been out of date, zero if it is up to date.
	ViewAge time.Duration
	// FleetAge is the age of the leader's last message, zero on the leader.
	FleetAge time.Duration
	// ConfigurationAge is how long the configuration has been in force, zero if there is none.
	ConfigurationAge time.Duration
	// Quarantines is the number of requests and parts of prompts that are held back, by kind.
	Quarantines map[attributor.Kind]int
	// Daemons is the number of registered daemons, including this one.
	Daemons int
	// LinkDown reports whether the daemon reaches no server.
	LinkDown bool
	// Quotas are the gauges of workspaces' quotas.
	Quotas QuotaGauges
}

// ServiceGauges are the gauges of one service. Running requests are this daemon's; slots and tokens are those of all
// servers that accept requests.
type ServiceGauges struct {
	Queued  int
	Running int
	// SlotsTaken estimates the slots that requests of all daemons take.
	SlotsTaken int
	Slots      int
	// TokensRunning is the maximum number of tokens of this daemon's running requests, TokenCapacity the capacity of
	// all engines.
	TokensRunning int64
	TokenCapacity int64
	// RetriesLeft is how many retries this daemon's share of the budget still allows.
	RetriesLeft float64
	// RateLimitedServers is the number of servers that name a rate limit.
	RateLimitedServers int
	// StoreLoads is the number of running loads from the weight store, known only on the leader.
	StoreLoads int
}

func (UpdateGauges) effect() {}

func (m *Machine) tickGauges() {
	if m.now < m.updateGaugesAt {
		return
	}
	m.updateGaugesAt = m.now + measureInterval
	e := UpdateGauges{Services: make(map[string]ServiceGauges, len(m.services)), LinkDown: m.link.down, IsLeader: m.isLeader(), MayOrder: m.mayOrder(), Daemons: m.registeredCount(), Quotas: m.measureQuotas()}
	switch {
	case m.subscriber.Following() && m.store.unavailable:
		e.ViewAge = m.now - m.store.lostAt
	case !m.subscriber.Following() && !m.subscriber.UpToDate(m.now):
		e.ViewAge = m.now - m.subscriber.ReceivedAt()
	}
	if !e.IsLeader {
		e.FleetAge = m.fleet.age(m.now)
	}
	if m.configuration != nil {
		e.ConfigurationAge = m.now - m.configuredAt
	}
	e.Quarantines = make(map[attributor.Kind]int)
	for t := range m.crashes.quarantines.quarantined {
		e.Quarantines[t.Kind]++
	}
	for _, name := range m.serviceNames() {
		e.Services[name] = m.measureService(name)
	}
	m.emit(e)
}

func (m *Machine) measureService(name string) ServiceGauges {
	state := m.service(name)
	taken := 0.0
	g := ServiceGauges{Queued: len(state.queue), RetriesLeft: max(0, state.budget.Remaining(m.now, m.daemonCount()))}
	settings := m.engineSettings(name)
	for _, s := range m.serversOf(name) {
		g.Running += len(s.requests)
		g.RateLimitedServers += boolToInt(s.rateLimited)
		if s.usable() {
			taken += float64(len(s.requests)) + s.otherRequests
			g.Slots += s.entry.Slots
			if settings != nil {
				g.TokenCapacity += int64(settings.TokenCapacity)
			}
		}
		for _, r := range s.requests {
			g.TokensRunning += int64(r.InputTokens + r.OutputTokens)
		}
		if engine, ok := m.placement.engines[s.entry.ID]; ok && engine.loadsFromWeightStore(m.now) {
			g.StoreLoads++
		}
	}
	g.SlotsTaken = int(math.Round(taken))
	return g
}

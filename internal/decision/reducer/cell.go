package reducer

import (
	"maps"
	"slices"
	"time"

	"samphirewharf/internal/config/cataloger"
	"samphirewharf/internal/decision/claimer"
	"samphirewharf/internal/decision/limiter"
	"samphirewharf/internal/decision/planner"
	"samphirewharf/internal/decision/tracker"
)

// A cell is what a daemon keeps of one service whose requests it serves. Today a service is one cell.
type cell struct {
	name string
	kind cataloger.ServiceKind
	// daemons are the IDs of the daemons that serve the cell, ordered by name.
	daemons []string
	// servers are the owners of the cell's servers: the daemons that poll them and may run suspects at them.
	servers map[string]string
	// partitions are the owners of the claim partitions.
	partitions map[string]string

	planner *planner.Machine
	loads   limiter.LoadLimiter
	claims  *claimer.Machine
	// repeats are the requests that wait for another with their idempotency key to end, by key.
	repeats map[string][]*request
	// owned are the claim partitions that this daemon owns.
	owned map[int]bool

	// needy are the queues with waiting requests.
	needy map[string]*deployment
	// needsAt is when needs are sent next; needsSequence numbers the messages.
	needsAt       time.Duration
	needsSequence int64
	// told tells that the last message had needs.
	told bool
	// forecasts are the forecasts last sent, by deployment.
	forecasts map[string]forecast
}

type forecast struct {
	at    time.Duration
	ready time.Duration
}

// updateCells takes up the cells that this daemon now serves and gives up the others.
func (m *Machine) updateCells() {
	if m.catalog == nil {
		return
	}
	for i := range m.catalog.Configuration.Services {
		service := &m.catalog.Configuration.Services[i]
		c := m.cells[service.Name]
		if !m.servesCell(service.Name) && (c == nil || !m.stop.requested) {
			m.dropCell(service.Name)
			continue
		}
		daemons := m.activeDaemons(service.Name)
		if c == nil {
			c = m.addCell(service)
		}
		c.loads.Configure(service.Store, m.now.Since)
		c.planner.KeepPreloaded = m.catalog.Configuration.Weighting == cataloger.WeightColdStart
		if !slices.Equal(c.daemons, daemons) {
			c.daemons = daemons
			c.spreadPartitions()
			m.assignPolls(c)
			m.shareAll(c)
			m.assignClaims(c)
		}
	}
	for _, name := range slices.Clone(m.cellNames) {
		if _, ok := m.catalog.Service(name); !ok {
			m.dropCell(name)
		}
	}
}

// servesCell reports whether this daemon serves the cell.
func (m *Machine) servesCell(name string) bool {
	return slices.ContainsFunc(m.members.Daemons(name), func(d tracker.Daemon) bool {
		return d.ID == m.settings.Daemon
	})
}

// setCells tells the tracker the cells of a new configuration.
func (m *Machine) setCells() {
	c := m.catalog.Configuration
	cells := make([]tracker.Cell, 0, len(c.Services))
	for _, s := range c.Services {
		cells = append(cells, tracker.Cell{Name: s.Name, Region: s.Region})
	}
	regions := make(map[string]string, len(c.Zones))
	for _, z := range c.Zones {
		regions[z.Name] = z.Region
	}
	m.members.SetCells(cells, regions)
}

func (m *Machine) addCell(service *cataloger.Service) *cell {
	c := &cell{
		name:      service.Name,
		kind:      service.Kind,
		owned:     make(map[int]bool),
		repeats:   make(map[string][]*request),
		needy:     make(map[string]*deployment),
		forecasts: make(map[string]forecast),
	}
	c.planner = &planner.Machine{
		Cell:          service.Name,
		Daemon:        m.settings.Daemon,
		Instance:      m.settings.Instance,
		Random:        m.rng,
		KeepAlive:     m.keepAlive,
		EvictionScore: m.evictionScore,
		Preload:       true,
		LoadLimits:    m.loadsOf(c),
	}
	c.claims = claimer.New(claimer.Settings{
		Cell:      service.Name,
		Daemon:    m.settings.Daemon,
		Instance:  m.settings.Instance,
		Random:    m.rng,
		Retention: service.ClaimRetention.D(),

		ResultDelay: resultDelay,
	})
	m.cells[service.Name] = c
	at, _ := slices.BinarySearch(m.cellNames, service.Name)
	m.cellNames = slices.Insert(m.cellNames, at, service.Name)
	m.emit(StoreWatch{Prefix: placementKey(c.name)})
	m.next.hosts = m.now.Since
	m.next.plan = m.now.Since
	return c
}

// dropCell gives a cell up. Requests in hand go on with what is known of its servers.
func (m *Machine) dropCell(name string) {
	c := m.cells[name]
	if c == nil {
		return
	}
	delete(m.cells, name)
	at, found := slices.BinarySearch(m.cellNames, name)
	if found {
		m.cellNames = slices.Delete(m.cellNames, at, at+1)
	}
	m.emit(StoreUnwatch{Prefix: placementKey(name)})
	for _, q := range c.needyQueues() {
		for _, r := range q.sorted() {
			q.remove(r)
			m.forwardToCell(r)
		}
	}
}

// needyQueues returns the queues with waiting requests, by name.
func (c *cell) needyQueues() []*deployment {
	queues := make([]*deployment, 0, len(c.needy))
	for _, name := range slices.Sorted(maps.Keys(c.needy)) {
		queues = append(queues, c.needy[name])
	}
	return queues
}

func (m *Machine) loadsOf(c *cell) planner.LoadLimits {
	return planner.LoadLimits{
		Predict: func(now, full time.Duration, remote bool) time.Duration {
			if !remote {
				return full
			}
			return c.loads.Predict(limiter.PendingLoad{Duration: full}, 0, now) - now
		},
		Start: func(now time.Duration, id string, full time.Duration, remote, urgent bool) bool {
			if !remote {
				return true
			}
			pending := limiter.PendingLoad{Key: id, Urgent: urgent, Deadline: now + patience, Duration: full}
			return c.loads.TryStart(pending, now) == limiter.DecisionStart
		},
		Finish:  func(now time.Duration, id string) { c.loads.Finish(id, now) },
		Abandon: func(id string) { c.loads.Abandon(id) },
		StartAdapter: func(now time.Duration, id string, full time.Duration) bool {
			return c.loads.TryStart(limiter.PendingLoad{Key: id, Deadline: now + patience, Duration: full, Adapter: true}, now) == limiter.DecisionStart
		},
		FinishAdapter: func(now time.Duration, id string) { c.loads.Finish(id, now) },
	}
}

func (m *Machine) keepAlive(d *cataloger.Deployment) time.Duration {
	return m.warmer.KeepAlive(d.Name)
}

func (m *Machine) evictionScore(now time.Duration, d *cataloger.Deployment) float64 {
	return m.warmer.EvictionScore(d.Name, d.Load.D(), d.ReplicaBytes(), now)
}

// resultDelay is how long results wait to be written together with others. A crash in that time turns
// the answer to a repeat into "may have run".
const resultDelay = 250 * time.Millisecond

// patience is how long a load may take at the weight store. Requests that can't wait that long are
// refused by their own daemons, which the forecast tells.
const patience = time.Hour

func placementKey(cell string) string { return "cells/" + cell + "/placement" }

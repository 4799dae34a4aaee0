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

// A cell is a daemon's state of one service whose requests it serves. Each service is one cell.
type cell struct {
	name string
	kind cataloger.ServiceKind
	// daemons are the IDs of the daemons that serve the cell, sorted.
	daemons []string
	// serverOwners are the daemons that poll the cell's servers and may run suspects at them, by server.
	serverOwners map[string]string
	// partitionOwners are the daemons that own the claim partitions, by key.
	partitionOwners map[string]string

	planner     *planner.Machine
	loadLimiter limiter.LoadLimiter
	claims      *claimer.Machine
	// waitingRepeats are the requests that wait for another request with their idempotency key to end, by
	// key.
	waitingRepeats map[string][]*request
	// ownedPartitions are the claim partitions that this daemon owns.
	ownedPartitions map[int]bool

	// waitingQueues are the queues with waiting requests or demand for a replica, by name.
	waitingQueues map[string]*requestQueue
	// nextNeedsAt is when needs are sent next; needsSequence numbers the messages.
	nextNeedsAt   time.Duration
	needsSequence int64
	// lastHadNeeds reports whether the last message had needs.
	lastHadNeeds bool
	// sentForecasts are the forecasts last sent, by deployment.
	sentForecasts map[string]forecast
}

type forecast struct {
	at    time.Duration
	ready time.Duration
}

// updateCells adds the cells that this daemon now serves and removes the others.
func (m *Machine) updateCells() {
	if m.catalog == nil {
		return
	}
	for i := range m.catalog.Configuration.Services {
		service := &m.catalog.Configuration.Services[i]
		c := m.cells[service.Name]
		if !m.servesCell(service.Name) && (c == nil || !m.stop.requested) {
			m.removeCell(service.Name)
			continue
		}
		daemons := m.activeDaemons(service.Name)
		if c == nil {
			c = m.addCell(service)
		}
		c.loadLimiter.Configure(service.Store, m.now.Monotonic)
		c.planner.KeepPreloaded = m.catalog.Configuration.Weighting == cataloger.WeightColdStart
		if !slices.Equal(c.daemons, daemons) {
			c.daemons = daemons
			c.assignPartitions()
			m.assignPolls(c)
			m.scheduleAllReports(c)
			m.updateOwnedPartitions(c)
		}
	}
	for _, name := range slices.Clone(m.cellNames) {
		if _, ok := m.catalog.Service(name); !ok {
			m.removeCell(name)
		}
	}
}

// servesCell reports whether this daemon serves the cell.
func (m *Machine) servesCell(name string) bool {
	return slices.ContainsFunc(m.members.Daemons(name), func(d tracker.Daemon) bool {
		return d.ID == m.settings.Daemon
	})
}

// setCells passes the cells of the configuration to the tracker.
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
		name:            service.Name,
		kind:            service.Kind,
		ownedPartitions: make(map[int]bool),
		waitingRepeats:  make(map[string][]*request),
		waitingQueues:   make(map[string]*requestQueue),
		sentForecasts:   make(map[string]forecast),
	}
	c.planner = &planner.Machine{
		Cell:          service.Name,
		Daemon:        m.settings.Daemon,
		Instance:      m.settings.Instance,
		Random:        m.rng,
		KeepAlive:     m.keepAlive,
		EvictionScore: m.evictionScore,
		Preload:       true,
		LoadLimits:    m.loadLimits(c),
	}
	c.claims = claimer.New(claimer.Settings{
		Cell:      service.Name,
		Daemon:    m.settings.Daemon,
		Instance:  m.settings.Instance,
		Random:    m.rng,
		Retention: service.ClaimRetention.D(),

		ResultDelay: resultBatchDelay,
	})
	if former := m.retiredCells[service.Name]; former != nil {
		// New ones would take answers to these for their own, and give their numbers to other claims and orders.
		c.claims, c.planner, c.loadLimiter, c.needsSequence = former.claims, former.planner, former.loadLimiter, former.needsSequence
		c.planner.LoadLimits = m.loadLimits(c)
		c.planner.Resume()
		delete(m.retiredCells, service.Name)
	}
	m.cells[service.Name] = c
	index, _ := slices.BinarySearch(m.cellNames, service.Name)
	m.cellNames = slices.Insert(m.cellNames, index, service.Name)
	m.emit(StoreWatch{Prefix: placementKey(c.name)})
	m.next.hosts = m.now.Monotonic
	m.next.plan = m.now.Monotonic
	return c
}

// removeCell removes a cell. Running requests go on with the state of its servers as last seen; waiting ones
// are forwarded, those whose claim is being written after the store's answer.
func (m *Machine) removeCell(name string) {
	c := m.cells[name]
	if c == nil {
		return
	}
	delete(m.cells, name)
	index, found := slices.BinarySearch(m.cellNames, name)
	if found {
		m.cellNames = slices.Delete(m.cellNames, index, index+1)
	}
	m.emit(StoreUnwatch{Prefix: placementKey(name)})
	m.retire(c)
	for _, q := range c.sortedWaitingQueues() {
		for _, r := range q.byArrival() {
			q.remove(r)
			m.forwardToCell(r)
		}
	}
}

// sortedWaitingQueues returns the waiting queues, sorted by name.
func (c *cell) sortedWaitingQueues() []*requestQueue {
	queues := make([]*requestQueue, 0, len(c.waitingQueues))
	for _, name := range slices.Sorted(maps.Keys(c.waitingQueues)) {
		queues = append(queues, c.waitingQueues[name])
	}
	return queues
}

func (m *Machine) loadLimits(c *cell) planner.LoadLimits {
	return planner.LoadLimits{
		Predict: func(now, full time.Duration, remote bool) time.Duration {
			if !remote {
				return full
			}
			return c.loadLimiter.Predict(limiter.PendingLoad{Duration: full}, 0, now) - now
		},
		Start: func(now time.Duration, id string, full time.Duration, remote, urgent bool) bool {
			if !remote {
				return true
			}
			pending := limiter.PendingLoad{Key: id, Urgent: urgent, Deadline: now + maxLoadTime, Duration: full}
			return c.loadLimiter.TryStart(pending, now) == limiter.DecisionStart
		},
		Finish:  func(now time.Duration, id string) { c.loadLimiter.Finish(id, now) },
		Abandon: func(id string) { c.loadLimiter.Abandon(id) },
		StartAdapter: func(now time.Duration, id string, full time.Duration) bool {
			return c.loadLimiter.TryStart(limiter.PendingLoad{Key: id, Deadline: now + maxLoadTime, Duration: full, Adapter: true}, now) == limiter.DecisionStart
		},
		FinishAdapter: func(now time.Duration, id string) { c.loadLimiter.Finish(id, now) },
	}
}

func (m *Machine) keepAlive(d *cataloger.Deployment) time.Duration {
	return m.warmer.KeepAlive(d.Name)
}

func (m *Machine) evictionScore(now time.Duration, d *cataloger.Deployment) float64 {
	return m.warmer.EvictionScore(d.Name, d.Load.D(), d.ReplicaBytes(), now)
}

// resultBatchDelay is how long results wait to be written in a batch. After a crash in that time, a repeat is
// answered with "may have run".
const resultBatchDelay = 250 * time.Millisecond

// maxLoadTime bounds how long a load from the weight store may take. Requests that can't wait that long are
// refused by their own daemons, based on the placer's forecast.
const maxLoadTime = time.Hour

func placementKey(cell string) string { return "cells/" + cell + "/placement" }

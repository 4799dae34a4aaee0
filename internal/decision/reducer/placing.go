package reducer

import (
	"time"

	"samphirewharf/internal/backend/orderer"
	"samphirewharf/internal/config/cataloger"
	"samphirewharf/internal/decision/planner"
	"samphirewharf/internal/peer/messenger"
)

// forecastInterval is how often an unchanged forecast is sent again.
const forecastInterval = 500 * time.Millisecond

// view returns the view of a cell's planner.
func (m *Machine) view(c *cell) planner.View {
	return planner.View{
		Now:        m.now.Monotonic,
		Catalog:    m.catalog,
		Fleet:      &m.fleet,
		ShouldLead: m.shouldLead(c),
		LeaseValid: m.lease.Valid(m.now.Monotonic),
		Alive:      m.placerAlive,
		DeadSince:  m.deadSince,
		Paused:     m.cells[c.name] != c,
	}
}

// planCells runs the planners of the model cells.
func (m *Machine) planCells() {
	pending := false
	for _, name := range m.cellNames {
		c := m.cells[name]
		if c.kind != cataloger.KindModel {
			continue
		}
		m.applyPlannerActions(c, c.planner.Step(m.view(c)))
		pending = pending || c.planner.HasPendingWork()
	}
	m.next.plan = m.now.Monotonic + 10*planInterval
	if pending {
		m.next.plan = m.now.Monotonic + planInterval
	}
}

// applyPlannerActions carries out the actions of a cell's planner.
func (m *Machine) applyPlannerActions(c *cell, actions []planner.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case planner.Get:
			op := m.newOp(operation{kind: operationPlacementGet, cell: c.name})
			m.emit(StoreGet{Op: op, Key: placementKey(c.name)})
		case planner.Swap:
			op := m.newOp(operation{kind: operationPlacementSwap, cell: c.name, token: a.Token})
			m.emit(StoreSwap{Op: op, Key: placementKey(c.name), Value: a.Value, Revision: a.Revision})
		case planner.Send:
			m.emit(SendOrder{
				Server: a.Server.Host.Server, Address: a.Server.Host.Address, Order: withInstance(a), Expires: a.Expires,
			})
		case planner.Poll:
			m.pollNow(a.Server.Host.Server)
		case planner.RecordChanged:
			m.markDraining(c)
		case planner.Forecast:
			m.sendForecast(c, a)
		case planner.Decision:
			m.emit(PlacementDecided{Cell: c.name, Decision: a})
		}
	}
}

// withInstance returns the order to send, addressed to the engine process that it is meant for. An order that
// raises the fencing token is for any process of the server.
func withInstance(s planner.Send) orderer.Order {
	order := s.Order
	if s.Server.HasReport && order.Kind != orderer.KindRaiseFence {
		order.Instance = s.Server.Report.Instance
	}
	return order
}

// markDraining stops new requests to replicas that the placement record marks as unloading.
func (m *Machine) markDraining(c *cell) {
	record, _ := c.planner.Record()
	for _, r := range record.Replicas {
		if r.State != planner.StateUnloading {
			continue
		}
		if replica, ok := m.fleet.Replica(r.ID); ok {
			replica.Draining = true
		}
	}
}

// sendForecast sends the cell's daemons the time at which a deployment will be ready, unless a similar
// forecast was sent recently.
func (m *Machine) sendForecast(c *cell, a planner.Forecast) {
	ready := m.now.Monotonic + a.ReadyIn
	last, known := c.sentForecasts[a.Deployment]
	if known && m.now.Monotonic-last.at < forecastInterval && (ready-last.ready).Abs() < forecastInterval {
		return
	}
	c.sentForecasts[a.Deployment] = forecast{at: m.now.Monotonic, ready: ready}
	f := messenger.Forecast{Deployment: a.Deployment, ReadyIn: a.ReadyIn, Impossible: a.Impossible}
	m.handleForecast(f)
	m.sendToCell(c.name, messenger.Message{Forecasts: []messenger.Forecast{f}})
}

// handleForecast stores a placer's forecast and refuses the waiting requests that can't be served in time.
func (m *Machine) handleForecast(f messenger.Forecast) {
	q, ok := m.modelQueues[f.Deployment]
	if !ok {
		return
	}
	q.readyAt = m.now.Monotonic + f.ReadyIn
	q.noCapacity = f.Impossible
	m.refuseUnservable(q)
}

// refuseUnservable refuses the waiting requests that can't be served in time according to the forecast.
func (m *Machine) refuseUnservable(q *requestQueue) {
	if slots, _ := m.slots(q); slots > 0 {
		return
	}
	for _, r := range q.byArrival() {
		code, after := m.deadlineRefusal(r)
		if code == 0 {
			continue
		}
		q.remove(r)
		m.refuse(r, code, r.ran(), after, q.name)
	}
}

// handleOrderEnded passes the outcome of an order to the planner of the server's cell.
func (m *Machine) handleOrderEnded(e OrderEnded) {
	s, ok := m.fleet.Server(e.Server)
	if !ok {
		return
	}
	c := m.cellOf(s.Host.Service)
	if c == nil {
		return
	}
	m.applyPlannerActions(c, c.planner.HandleOrder(m.view(c), e.OrderID, e.Server, e.Outcome, e.Fence))
}

// scheduleNeeds schedules a message to the placer, because requests of a queue wait.
func (m *Machine) scheduleNeeds(q *requestQueue) {
	if q.plain {
		return
	}
	c := m.cells[q.service]
	if c == nil {
		return
	}
	if _, known := c.waitingQueues[q.name]; !known {
		c.waitingQueues[q.name] = q
		c.nextNeedsAt = m.now.Monotonic
		m.next.needs = m.now.Monotonic
	}
}

// tickNeeds reports to the placers of all cells which requests wait and which deployments are used, if that
// is due.
func (m *Machine) tickNeeds() {
	usesDue := m.now.Monotonic >= m.next.uses
	if usesDue {
		m.next.uses = m.now.Monotonic + usesInterval
	}
	m.next.needs = never
	for _, name := range m.cellNames {
		c := m.cells[name]
		if c.kind != cataloger.KindModel {
			continue
		}
		if len(c.waitingQueues) > 0 && m.now.Monotonic >= c.nextNeedsAt || usesDue {
			m.sendNeeds(c)
		}
		if len(c.waitingQueues) > 0 {
			m.next.needs = min(m.next.needs, c.nextNeedsAt)
		}
	}
}

// sendNeeds sends a cell's placer all needs of this daemon.
func (m *Machine) sendNeeds(c *cell) {
	needs := m.collectNeeds(c)
	renounced := c.planner.Renounced(m.now.Monotonic)
	c.nextNeedsAt = m.now.Monotonic + needsInterval
	if len(needs) == 0 && len(renounced) == 0 && c.needsSequence > 0 && len(c.waitingQueues) == 0 && !c.lastHadNeeds {
		return
	}
	c.lastHadNeeds = len(needs) > 0
	c.needsSequence++
	if c.planner.IsPlacer() {
		c.planner.SetDemand(m.now.Monotonic, m.settings.Daemon, m.settings.Instance, c.needsSequence, needs)
		m.applyPlannerActions(c, c.planner.Step(m.view(c)))
		return
	}
	record, _ := c.planner.Record()
	message := &messenger.Needs{Cell: c.name, Sequence: c.needsSequence, Waiting: needs, Renounced: renounced}
	m.sendToDaemon(record.Placer, messenger.Message{Needs: message})
}

// collectNeeds returns the needs of a cell's queues, sorted by deployment, and removes the waiting queues
// that have become empty.
func (m *Machine) collectNeeds(c *cell) []planner.Need {
	var needs []planner.Need
	for _, q := range m.usedQueues(c) {
		needs = append(needs, m.queueNeeds(q)...)
		q.recentlyUsed = false
		if q.waiting.Len() == 0 && m.now.Monotonic >= q.coldDemandUntil {
			delete(c.waitingQueues, q.name)
		}
	}
	return needs
}

// handleNeeds passes another daemon's needs to the cell's planner.
func (m *Machine) handleNeeds(from, instance string, needs *messenger.Needs) {
	c := m.cells[needs.Cell]
	if c == nil {
		return
	}
	c.planner.MarkRenounced(m.now.Monotonic, needs.Renounced)
	c.planner.SetDemand(m.now.Monotonic, from, instance, needs.Sequence, needs.Waiting)
	if c.planner.IsPlacer() {
		m.applyPlannerActions(c, c.planner.Step(m.view(c)))
	}
}

package conductor

import (
	"time"

	"samphirewharf/internal/decision/placer"
	"samphirewharf/internal/fleet/registrar"
	"samphirewharf/internal/peer/messenger"
)

// A engineState is what the holder knows of one engine.
type engineState struct {
	startedAt int64
	// holdings is what takes the engine's memory. It loses only what the engine says is gone.
	weights registrar.Weights
	// changed tells that the other daemons have not been told of the latest.
	unreported bool
	// hidden are models and adapters that requests found missing, until when they are doubted.
	missing map[string]time.Duration
	// accepted is the engine's count of accepted orders, if countKnown.
	ordersAccepted int64
	countKnown     bool
	// changedAt is when an order may have changed the engine last.
	orderedAt time.Duration
	// saidAt is when the engine's entry changed last. Reports lag behind it.
	entryAt time.Duration
	pollAt  time.Duration
	polling bool

	// busy tells that the engine said that it works on an order, whoever gave it.
	busy bool
	// order is on its way; doubtful tells that an order's outcome is not known.
	pendingOrder   *registrar.Order
	outcomeUnknown bool
	// loading and unloading are models that the engine is busy with.
	loading    string
	loadTier   placer.Tier
	loadEndsAt time.Duration
	// loadBegan is when the engine took the order for the load, loadsBeside the most loads from the weight store that ran
	// at once meanwhile, this one included.
	loadStartedAt   time.Duration
	concurrentLoads int
	unloading       string
	adapterLoads    []adapterLoad
	// added and dropped are what own orders changed lately, by name.
	added   map[string]time.Duration
	removed map[string]time.Duration

	loadedAt map[string]time.Duration
	usedAt   map[string]time.Duration
	goal     string
	goalAt   time.Duration
}

// A adapterLoad is an adapter that is on its way to an engine.
type adapterLoad struct {
	model   string
	adapter string
	readyAt time.Duration
}

func newEngineState(s *server) *engineState {
	return &engineState{
		startedAt: s.entry.StartedAt, weights: s.entry.Weights, missing: make(map[string]time.Duration),
		added: make(map[string]time.Duration), removed: make(map[string]time.Duration),
		loadedAt: make(map[string]time.Duration), usedAt: make(map[string]time.Duration),
	}
}

// loadsFromStore tells that the engine loads a model from the weight store.
func (c *engineState) loadsFromStore() bool { return c.loading != "" && c.loadTier == placer.TierStore }

// available returns what requests find at the engine.
func (c *engineState) available(now time.Duration) registrar.Weights {
	h := c.weights
	for name, until := range c.missing {
		if now > until {
			delete(c.missing, name)
			continue
		}
		model, adapter := splitName(name)
		h = h.WithoutModel(model, adapter)
	}
	return h
}

// freeIn returns how long the engine is expected to be busy with orders, but for one that is about to be answered.
func (c *engineState) freeIn(now time.Duration) time.Duration {
	switch {
	case c.loading != "":
		return max(0, c.loadEndsAt-now) + reportLag
	case c.unloading != "" || c.busy || c.outcomeUnknown || !c.countKnown:
		return reportLag
	default:
		return 0
	}
}

// engineChanged takes a server's entry at the holder.
func (m *Machine) engineChanged(s *server) {
	if !m.placement.running || m.engine(s.entry.Service) == nil {
		return
	}
	c, ok := m.placement.engines[s.entry.ID]
	if !ok || c.startedAt != s.entry.StartedAt {
		c = newEngineState(s)
		c.pollAt = m.now
		m.placement.engines[s.entry.ID] = c
	}
	c.entryAt = s.seenAt
	m.updateWeights(s, c, s.entry.Weights, true)
	m.placement.dirty = true
	m.markUnreported(c)
}

// updateWeights takes what an engine says that it has. What own orders changed lately may be missing from an entry.
func (m *Machine) updateWeights(s *server, c *engineState, reported registrar.Weights, mayBeStale bool) {
	h := reported
	if mayBeStale {
		h = m.withOwnOrders(c, reported)
	}
	if c.loading != "" && reported.HasLoaded(c.loading, "") {
		m.emit(LogStateChange{Subject: "Server " + s.entry.ID, Change: "Loaded", Reason: c.loading, Age: m.now - c.orderedAt})
		if c.loadsFromStore() {
			m.storeConcurrency(s.entry.Service).ObserveCompleted(m.now-c.loadStartedAt, m.engine(s.entry.Service).Models[c.loading].StoreLoadTime, c.concurrentLoads)
		}
		c.loadedAt[c.loading] = m.now
		delete(c.missing, c.loading)
		c.loading = ""
	}
	if c.unloading != "" && !reported.HasLoaded(c.unloading, "") {
		m.emit(LogStateChange{Subject: "Server " + s.entry.ID, Change: "Unloaded", Reason: c.unloading, Age: m.now - c.orderedAt})
		c.unloading = ""
	}
	if c.unloading != "" {
		h = h.WithoutModel(c.unloading, "")
	}
	c.weights = h
}

// withOwnOrders adds to an entry what own orders loaded lately, and leaves out what they dropped: the entry may have been
// written before, and held up on its way.
func (m *Machine) withOwnOrders(c *engineState, h registrar.Weights) registrar.Weights {
	for name, at := range c.added {
		if m.now > at+ownOrderTTL {
			delete(c.added, name)
			continue
		}
		if model, adapter := splitName(name); h.HasLoaded(model, "") {
			h = h.WithModel(model, adapter)
		}
	}
	for name, at := range c.loadedAt {
		if m.now <= at+ownOrderTTL {
			h = h.WithModel(name, "")
		}
	}
	for name, at := range c.removed {
		if m.now > at+ownOrderTTL {
			delete(c.removed, name)
			continue
		}
		model, adapter := splitName(name)
		h = h.WithoutModel(model, adapter)
	}
	return h
}

// serverReported takes an engine's report. Its values may be older than the answer, so those of a report that was asked
// for too soon after an order don't count.
func (m *Machine) serverReported(e ServerReported) {
	c, ok := m.placement.engines[e.Server]
	s := m.servers[e.Server]
	if !ok || s == nil {
		return
	}
	c.polling = false
	if !e.OK || e.StartedAt != 0 && e.StartedAt != c.startedAt {
		c.pollAt = m.now + reportInterval
		return
	}
	if c.pendingOrder != nil || c.orderedAt > 0 && e.SentAt < c.orderedAt+reportLag {
		c.pollAt = max(m.now, c.orderedAt) + reportLag
		if c.countKnown && !c.outcomeUnknown && !c.busy && c.loading == "" && c.unloading == "" {
			c.pollAt = m.now + idleReportInterval
		}
		return
	}
	if e.SentAt < c.entryAt+reportLag {
		// The entry is newer than the report may be.
		c.pollAt = c.entryAt + reportLag
		return
	}
	// The report is younger than all orders, so that what they were to drop is there if it says so.
	clear(c.removed)
	c.ordersAccepted, c.countKnown, c.outcomeUnknown, c.busy = e.Report.OrdersAccepted, true, false, e.Report.Busy
	m.updateWeights(s, c, e.Report.Weights, len(c.adapterLoads) > 0)
	c.pollAt = m.now + reportInterval
	if !e.Report.Busy {
		m.workEnded(s, c, e.Report)
		c.pollAt = m.now + idleReportInterval
	}
	m.placement.dirty = true
	m.markUnreported(c)
	m.dispatchQueue(s.entry.Service)
}

// workEnded settles what an engine that isn't busy was believed to be doing.
func (m *Machine) workEnded(s *server, c *engineState, report registrar.Report) {
	if c.loading != "" && !report.HasLoaded(c.loading, "") {
		m.emit(LogStateChange{Subject: "Server " + s.entry.ID, Change: "LoadLost", Reason: c.loading, Warning: true})
		c.loading = ""
	}
	if c.unloading != "" && report.HasLoaded(c.unloading, "") {
		c.unloading = ""
		c.weights = report.Weights
	}
}

// absenceReported takes a daemon's report that an engine lacks what it was believed to have.
func (m *Machine) absenceReported(a messenger.Absence) {
	c, ok := m.placement.engines[a.Server]
	if ok && c.startedAt == a.StartedAt && a.Model == "" {
		m.serverDown(m.servers[a.Server])
		return
	}
	if !ok || c.startedAt != a.StartedAt || !c.weights.HasLoaded(a.Model, a.Adapter) {
		return
	}
	if at, added := c.added[modelName(a.Model, a.Adapter)]; added && m.now < at+reportLag {
		return
	}
	c.missing[modelName(a.Model, a.Adapter)] = m.now + absentTTL
	c.pollAt = min(c.pollAt, max(m.now, c.orderedAt+reportLag))
	m.placement.dirty = true
	m.markUnreported(c)
}

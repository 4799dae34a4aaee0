package conductor

import (
	"time"

	"samphirewharf/internal/decision/placer"
	"samphirewharf/internal/fleet/registrar"
	"samphirewharf/internal/peer/messenger"
)

// A control is what the holder knows of one engine.
type control struct {
	startedAt int64
	// holdings is what takes the engine's memory. It loses only what the engine says is gone.
	holdings registrar.Weights
	// changed tells that the other daemons have not been told of the latest.
	changed bool
	// hidden are models and adapters that requests found missing, until when they are doubted.
	hidden map[string]time.Duration
	// accepted is the engine's count of accepted orders, if countKnown.
	accepted   int64
	countKnown bool
	// changedAt is when an order may have changed the engine last.
	changedAt time.Duration
	// saidAt is when the engine's entry changed last. Reports lag behind it.
	saidAt   time.Duration
	reportAt time.Duration
	polling  bool

	// busy tells that the engine said that it works on an order, whoever gave it.
	busy bool
	// order is on its way; doubtful tells that an order's outcome is not known.
	order    *registrar.Order
	doubtful bool
	// loading and unloading are models that the engine is busy with.
	loading  string
	tier     placer.Tier
	loadEnds time.Duration
	// loadBegan is when the engine took the order for the load, loadsBeside the most loads from the weight store that ran
	// at once meanwhile, this one included.
	loadBegan   time.Duration
	loadsBeside int
	unloading   string
	coming      []comingAdapter
	// added and dropped are what own orders changed lately, by name.
	added   map[string]time.Duration
	dropped map[string]time.Duration

	loadedAt map[string]time.Duration
	usedAt   map[string]time.Duration
	goal     string
	goalAt   time.Duration
}

// A comingAdapter is an adapter that is on its way to an engine.
type comingAdapter struct {
	model   string
	adapter string
	at      time.Duration
}

func newControl(s *server) *control {
	return &control{
		startedAt: s.entry.StartedAt, holdings: s.entry.Weights, hidden: make(map[string]time.Duration),
		added: make(map[string]time.Duration), dropped: make(map[string]time.Duration),
		loadedAt: make(map[string]time.Duration), usedAt: make(map[string]time.Duration),
	}
}

// loadsFromStore tells that the engine loads a model from the weight store.
func (c *control) loadsFromStore() bool { return c.loading != "" && c.tier == placer.TierStore }

// serving returns what requests find at the engine.
func (c *control) serving(now time.Duration) registrar.Weights {
	h := c.holdings
	for name, until := range c.hidden {
		if now > until {
			delete(c.hidden, name)
			continue
		}
		model, adapter := splitName(name)
		h = h.WithoutModel(model, adapter)
	}
	return h
}

// freeIn returns how long the engine is expected to be busy with orders, but for one that is about to be answered.
func (c *control) freeIn(now time.Duration) time.Duration {
	switch {
	case c.loading != "":
		return max(0, c.loadEnds-now) + reportLag
	case c.unloading != "" || c.busy || c.doubtful || !c.countKnown:
		return reportLag
	default:
		return 0
	}
}

// engineChanged takes a server's entry at the holder.
func (m *Machine) engineChanged(s *server) {
	if !m.placing.running || m.engine(s.entry.Service) == nil {
		return
	}
	c, ok := m.placing.controls[s.entry.ID]
	if !ok || c.startedAt != s.entry.StartedAt {
		c = newControl(s)
		c.reportAt = m.now
		m.placing.controls[s.entry.ID] = c
	}
	c.saidAt = s.seenAt
	m.takeHoldings(s, c, s.entry.Weights, true)
	m.placing.dirty = true
	m.changed(c)
}

// takeHoldings takes what an engine says that it has. What own orders changed lately may be missing from an entry.
func (m *Machine) takeHoldings(s *server, c *control, said registrar.Weights, mayLag bool) {
	h := said
	if mayLag {
		h = m.withOwnOrders(c, said)
	}
	if c.loading != "" && said.HasLoaded(c.loading, "") {
		m.emit(LogStateChange{Subject: "Server " + s.entry.ID, Change: "Loaded", Reason: c.loading, Age: m.now - c.changedAt})
		if c.loadsFromStore() {
			m.lanes(s.entry.Service).ObserveCompleted(m.now-c.loadBegan, m.engine(s.entry.Service).Models[c.loading].StoreLoadTime, c.loadsBeside)
		}
		c.loadedAt[c.loading] = m.now
		delete(c.hidden, c.loading)
		c.loading = ""
	}
	if c.unloading != "" && !said.HasLoaded(c.unloading, "") {
		m.emit(LogStateChange{Subject: "Server " + s.entry.ID, Change: "Unloaded", Reason: c.unloading, Age: m.now - c.changedAt})
		c.unloading = ""
	}
	if c.unloading != "" {
		h = h.WithoutModel(c.unloading, "")
	}
	c.holdings = h
}

// withOwnOrders adds to an entry what own orders loaded lately, and leaves out what they dropped: the entry may have been
// written before, and held up on its way.
func (m *Machine) withOwnOrders(c *control, h registrar.Weights) registrar.Weights {
	for name, at := range c.added {
		if m.now > at+ownOrderTrust {
			delete(c.added, name)
			continue
		}
		if model, adapter := splitName(name); h.HasLoaded(model, "") {
			h = h.WithModel(model, adapter)
		}
	}
	for name, at := range c.loadedAt {
		if m.now <= at+ownOrderTrust {
			h = h.WithModel(name, "")
		}
	}
	for name, at := range c.dropped {
		if m.now > at+ownOrderTrust {
			delete(c.dropped, name)
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
	c, ok := m.placing.controls[e.Server]
	s := m.servers[e.Server]
	if !ok || s == nil {
		return
	}
	c.polling = false
	if !e.OK || e.StartedAt != 0 && e.StartedAt != c.startedAt {
		c.reportAt = m.now + reportInterval
		return
	}
	if c.order != nil || c.changedAt > 0 && e.SentAt < c.changedAt+reportLag {
		c.reportAt = max(m.now, c.changedAt) + reportLag
		if c.countKnown && !c.doubtful && !c.busy && c.loading == "" && c.unloading == "" {
			c.reportAt = m.now + idleReportInterval
		}
		return
	}
	if e.SentAt < c.saidAt+reportLag {
		// The entry is newer than the report may be.
		c.reportAt = c.saidAt + reportLag
		return
	}
	// The report is younger than all orders, so that what they were to drop is there if it says so.
	clear(c.dropped)
	c.accepted, c.countKnown, c.doubtful, c.busy = e.Report.OrdersAccepted, true, false, e.Report.Busy
	m.takeHoldings(s, c, e.Report.Weights, len(c.coming) > 0)
	c.reportAt = m.now + reportInterval
	if !e.Report.Busy {
		m.endWork(s, c, e.Report)
		c.reportAt = m.now + idleReportInterval
	}
	m.placing.dirty = true
	m.changed(c)
	m.pump(s.entry.Service)
}

// endWork settles what an engine that isn't busy was believed to be doing.
func (m *Machine) endWork(s *server, c *control, report registrar.Report) {
	if c.loading != "" && !report.HasLoaded(c.loading, "") {
		m.emit(LogStateChange{Subject: "Server " + s.entry.ID, Change: "LoadLost", Reason: c.loading, Warning: true})
		c.loading = ""
	}
	if c.unloading != "" && report.HasLoaded(c.unloading, "") {
		c.unloading = ""
		c.holdings = report.Weights
	}
}

// absenceReported takes a daemon's report that an engine lacks what it was believed to have.
func (m *Machine) absenceReported(a messenger.Absence) {
	c, ok := m.placing.controls[a.Server]
	if ok && c.startedAt == a.StartedAt && a.Model == "" {
		m.serverDown(m.servers[a.Server])
		return
	}
	if !ok || c.startedAt != a.StartedAt || !c.holdings.HasLoaded(a.Model, a.Adapter) {
		return
	}
	if at, added := c.added[modelName(a.Model, a.Adapter)]; added && m.now < at+reportLag {
		return
	}
	c.hidden[modelName(a.Model, a.Adapter)] = m.now + absentPause
	c.reportAt = min(c.reportAt, max(m.now, c.changedAt+reportLag))
	m.placing.dirty = true
	m.changed(c)
}

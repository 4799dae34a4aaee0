package conductor

import (
	"maps"
	"slices"
	"strings"
	"time"

	"samphirewharf/internal/decision/placer"
	"samphirewharf/internal/fleet/registrar"
	"samphirewharf/internal/peer/messenger"
)

// An engineState is the leader's state of one engine.
type engineState struct {
	startedAt int64
	// weights are the models and adapters that take up the engine's memory. One that requests find absent is kept until
	// the engine reports it as gone.
	weights registrar.Weights
	// unreported reports whether there are changes that haven't been sent to the other daemons.
	unreported bool
	// absentUntil holds the models and adapters that requests found absent, and until when they count as such.
	absentUntil map[string]time.Duration
	// ordersAccepted is the engine's count of accepted orders, valid if countKnown.
	ordersAccepted int64
	countKnown     bool
	// orderedAt is when an order may last have changed the engine.
	orderedAt time.Duration
	// entryAt is when the engine's entry last changed. Reports lag behind it.
	entryAt time.Duration
	pollAt  time.Duration
	polling bool
	// polledAt is when the engine was last polled.
	polledAt time.Duration
	// reportedDown reports whether a daemon couldn't reach the engine, silentPolls counts the polls in a row without an answer.
	reportedDown bool
	silentPolls  int

	// busy reports whether the engine has reported that it is carrying out an order, from whichever leader.
	busy bool
	// inheritedUntil is until when the engine, which was busy with an order of another leader when this one first heard of it, may be
	// loading from the weight store by that; zero if it wasn't or has ended.
	inheritedUntil time.Duration
	// pendingOrder is an order whose answer is awaited; outcomeUnknown reports whether an order had no clear outcome.
	pendingOrder   *registrar.Order
	outcomeUnknown bool
	// loading and unloading are the models that the engine is loading and unloading.
	loading    string
	loadTier   placer.Tier
	loadEndsAt time.Duration
	// loadStartedAt is when the engine accepted the load order, concurrentLoads the maximum number of loads from the
	// weight store that have run at once since then, including this one.
	loadStartedAt   time.Duration
	concurrentLoads int
	unloading       string
	adapterLoads    []adapterLoad
	// pendingAdapters are the adapters that the engine has reported as being loaded, by whichever leader's order.
	pendingAdapters []string
	// unloadingAdapters holds the adapters whose unload the engine has accepted, by name, until a report lacks them.
	unloadingAdapters map[string]bool
	// unconfirmed holds when the leader's orders to load adapters were accepted, by name, until the engine has reported them as
	// loaded.
	unconfirmed map[string]time.Duration
	// added holds when adapters that the leader recently ordered were loaded, and removed when it recently ordered
	// unloads, by name.
	added   map[string]time.Duration
	removed map[string]time.Duration

	// acceptedAt holds when the leader's orders of models were accepted, loadedAt when these were loaded, usedAt when ordered adapters were.
	acceptedAt map[string]time.Duration
	loadedAt   map[string]time.Duration
	usedAt     map[string]time.Duration
	// goal is the model that the engine makes room for, goalAt when that began.
	goal   string
	goalAt time.Duration
}

// An adapterLoad is an adapter that an engine is loading.
type adapterLoad struct {
	model   string
	adapter string
	readyAt time.Duration
}

func newEngineState(s *server) *engineState {
	return &engineState{
		startedAt: s.entry.StartedAt, weights: s.entry.Weights, absentUntil: make(map[string]time.Duration),
		unloadingAdapters: make(map[string]bool), unconfirmed: make(map[string]time.Duration), added: make(map[string]time.Duration), removed: make(map[string]time.Duration),
		acceptedAt: make(map[string]time.Duration), loadedAt: make(map[string]time.Duration), usedAt: make(map[string]time.Duration),
	}
}

// loadsFromWeightStore reports whether the engine is loading a model from the weight store.
func (e *engineState) loadsFromWeightStore(now time.Duration) bool {
	return e.loading != "" && e.loadTier == placer.TierStore || now < e.inheritedUntil
}

// available returns the models and adapters that requests are expected to find on the engine.
func (e *engineState) available(now time.Duration) registrar.Weights {
	weights := e.weights
	for name, until := range e.absentUntil {
		if now > until {
			delete(e.absentUntil, name)
			continue
		}
		model, adapter := splitName(name)
		weights = weights.WithoutModel(model, adapter)
	}
	return weights
}

// freeIn returns the expected time until the engine is free for another order. It disregards a pending order, which
// will be answered shortly.
func (e *engineState) freeIn(now time.Duration) time.Duration {
	switch {
	case e.loading != "":
		return max(0, e.loadEndsAt-now) + reportLag
	case e.unloading != "" || e.busy || e.outcomeUnknown || !e.countKnown:
		return reportLag
	default:
		return 0
	}
}

// engineChanged handles a server's changed entry on the leader.
func (m *Machine) engineChanged(s *server) {
	if !m.placement.running || m.engineSettings(s.entry.Service) == nil {
		return
	}
	engine, ok := m.placement.engines[s.entry.ID]
	if !ok || engine.startedAt != s.entry.StartedAt {
		engine = newEngineState(s)
		engine.pollAt = m.now
		m.placement.engines[s.entry.ID] = engine
	}
	engine.entryAt = s.seenAt
	switch {
	case !engine.countKnown:
		m.updateWeights(s, engine, m.withOwnOrders(engine, s.entry.Weights), s.entry.Weights)
	case !m.viewRecentlyStale():
		// The entry may be older than reports and orders, so what it lacks may be loaded.
		m.updateWeights(s, engine, m.withOwnOrders(engine, s.entry.Weights).With(engine.weights), s.entry.Weights)
	}
	if engine.countKnown && !engine.weights.Equal(s.entry.Weights) {
		engine.pollAt = min(engine.pollAt, max(engine.orderedAt, engine.entryAt)+reportLag)
	}
	m.placement.dirty = true
	m.markUnreported(engine)
}

// updateWeights sets what takes up an engine's memory, after the engine has reported in its entry or a report what it has
// loaded.
func (m *Machine) updateWeights(s *server, engine *engineState, weights, reported registrar.Weights) {
	if engine.loading != "" && reported.HasLoaded(engine.loading, "") {
		m.emit(LogStateChange{Subject: "Server " + s.entry.ID, Change: "Loaded", Reason: engine.loading, Age: m.now - engine.orderedAt})
		if model, ok := m.engineModel(s.entry.Service, engine.loading); ok && engine.loadTier == placer.TierStore {
			m.weightStoreConcurrency(s.entry.Service).ObserveCompleted(m.now-engine.loadStartedAt, model.StoreLoadTime, engine.concurrentLoads)
		}
		engine.loadedAt[engine.loading] = m.now
		delete(engine.absentUntil, engine.loading)
		engine.loading = ""
	}
	if engine.unloading != "" && !reported.HasLoaded(engine.unloading, "") {
		m.emit(LogStateChange{Subject: "Server " + s.entry.ID, Change: "Unloaded", Reason: engine.unloading, Age: m.now - engine.orderedAt})
		engine.unloading = ""
	}
	if engine.unloading != "" {
		weights = weights.WithoutModel(engine.unloading, "")
	}
	for name := range engine.unloadingAdapters {
		model, adapter := splitName(name)
		weights = weights.WithoutModel(model, adapter)
	}
	engine.weights = weights
}

// withOwnOrders adds to reported weights what the leader's own orders loaded recently, and removes what they unloaded.
// An entry may have been written earlier and delayed on its way.
func (m *Machine) withOwnOrders(engine *engineState, weights registrar.Weights) registrar.Weights {
	for name, at := range engine.added {
		if m.now > at+ownOrderTTL {
			delete(engine.added, name)
			continue
		}
		if model, adapter := splitName(name); weights.HasLoaded(model, "") {
			weights = weights.WithModel(model, adapter)
		}
	}
	for name, at := range engine.loadedAt {
		if m.now <= at+ownOrderTTL {
			weights = weights.WithModel(name, "")
		}
	}
	for name, at := range engine.removed {
		if m.now > at+ownOrderTTL {
			delete(engine.removed, name)
			continue
		}
		model, adapter := splitName(name)
		weights = weights.WithoutModel(model, adapter)
	}
	return weights
}

// serverReported handles an engine's report. Its values may be older than the answer, so a report that was requested
// too shortly after an order is ignored.
func (m *Machine) serverReported(e ServerReported) {
	m.crashPollAnswered(e)
	if known, ok := m.servers[e.Server]; ok && e.OK && (e.StartedAt == 0 || e.StartedAt == known.entry.StartedAt) {
		m.serverAlive(known, e.SentAt)
	}
	if known, ok := m.servers[e.Server]; ok && e.Refused {
		m.serverUnreachable(known, false)
	}
	engine, ok := m.placement.engines[e.Server]
	s := m.servers[e.Server]
	if !ok || s == nil {
		return
	}
	engine.polling = false
	if !e.OK || e.StartedAt != 0 && e.StartedAt != engine.startedAt {
		engine.silentPolls++
		if engine.reportedDown && engine.silentPolls >= silentPollsOfDown {
			m.serverUnreachable(s, true)
		}
		engine.pollAt = m.now + reportInterval
		return
	}
	engine.reportedDown, engine.silentPolls = false, 0
	engine.confirmAdapters(e.SentAt, e.Report)
	if engine.pendingOrder != nil || engine.orderedAt > 0 && e.SentAt < engine.orderedAt+reportLag {
		engine.pollAt = max(m.now, engine.orderedAt) + reportLag
		if engine.countKnown && !engine.outcomeUnknown && !engine.busy && engine.loading == "" && engine.unloading == "" && !engine.hasAdapterWork() {
			engine.pollAt = m.now + idleReportInterval
		}
		return
	}
	if e.SentAt < engine.entryAt+reportLag {
		// The report's values may be older than the entry.
		engine.pollAt = engine.entryAt + reportLag
		return
	}
	if !engine.countKnown && e.Report.Busy && engine.loading == "" && engine.orderedAt == 0 {
		engine.inheritedUntil = m.now + placer.LongestLoadTime(m.engineSettings(s.entry.Service))
		m.countWeightStoreLoad(s.entry.Service)
	}
	if !e.Report.Busy {
		engine.inheritedUntil = 0
	}
	// The report is newer than all orders: what it contains is loaded, even if an order was to unload it.
	clear(engine.removed)
	engine.ordersAccepted, engine.countKnown, engine.outcomeUnknown, engine.busy = e.Report.OrdersAccepted, true, false, e.Report.Busy
	weights := e.Report.Weights
	if len(engine.adapterLoads) > 0 {
		weights = m.withOwnOrders(engine, weights)
	}
	m.updateWeights(s, engine, weights, e.Report.Weights)
	maps.DeleteFunc(engine.unloadingAdapters, func(name string, _ bool) bool {
		model, adapter := splitName(name)
		return !e.Report.HasLoaded(model, adapter)
	})
	m.updatePending(s, engine, e.Report.PendingAdapters)
	engine.pollAt = m.now + reportInterval
	if !e.Report.Busy || m.loadOverdue(s, engine) {
		m.workEnded(s, engine, e.Report)
	}
	if !e.Report.Busy && !engine.hasAdapterWork() {
		engine.pollAt = m.now + idleReportInterval
	}
	m.placement.dirty = true
	m.markUnreported(engine)
	m.dispatchQueue(s.entry.Service)
}

// loadOverdue reports whether a load takes longer than any does. How long that is isn't known of a service that the configuration no
// longer has; its loads end when the engine reports it.
func (m *Machine) loadOverdue(s *server, engine *engineState) bool {
	settings := m.engineSettings(s.entry.Service)
	return engine.loading != "" && settings != nil && m.now > engine.loadStartedAt+placer.LongestLoadTime(settings)
}

// updatePending handles the adapters that an engine has reported as being loaded.
func (m *Machine) updatePending(s *server, engine *engineState, pending []string) {
	if len(pending) > len(engine.pendingAdapters) {
		m.emit(LogStateChange{Subject: "Server " + s.entry.ID, Change: "AdaptersPending", Age: m.now - engine.orderedAt, Detail: strings.Join(pending, " ")})
	}
	engine.pendingAdapters = pending
	maps.DeleteFunc(engine.unconfirmed, func(name string, _ time.Duration) bool { return !slices.Contains(pending, name) })
}

// confirmAdapters confirms the adapters that a report lists as loaded and that is newer than their orders, though it may be
// older than other orders.
func (e *engineState) confirmAdapters(sentAt time.Duration, report registrar.Report) {
	maps.DeleteFunc(e.unconfirmed, func(name string, acceptedAt time.Duration) bool {
		model, adapter := splitName(name)
		return sentAt >= acceptedAt+reportLag && report.HasLoaded(model, adapter)
	})
}

// confirmAt returns when a poll can confirm the engine's adapters, and false if all are confirmed.
func (e *engineState) confirmAt() (time.Duration, bool) {
	if len(e.unconfirmed) == 0 {
		return 0, false
	}
	return slices.Min(slices.Collect(maps.Values(e.unconfirmed))) + reportLag, true
}

// hasAdapterWork reports whether the engine loads or unloads adapters as far as is known. It doesn't count as busy meanwhile.
func (e *engineState) hasAdapterWork() bool {
	return len(e.pendingAdapters)+len(e.unloadingAdapters) > 0
}

// workEnded clears the load and the unload that an engine was assumed to be carrying out, but is idle or has taken too long for. A busy
// one gets no orders, so nothing else is loaded in its place.
func (m *Machine) workEnded(s *server, engine *engineState, report registrar.Report) {
	if engine.loading != "" && !report.HasLoaded(engine.loading, "") {
		m.emit(LogStateChange{Subject: "Server " + s.entry.ID, Change: "LoadLost", Reason: engine.loading, Warning: true})
		engine.loading = ""
	}
	if engine.unloading != "" && report.HasLoaded(engine.unloading, "") {
		engine.unloading = ""
		engine.weights = report.Weights
	}
}

// absenceReported handles a daemon's report that an engine is down or lacks a model or adapter that it was assumed to
// have.
func (m *Machine) absenceReported(a messenger.Absence) {
	engine, ok := m.placement.engines[a.Server]
	if ok && engine.startedAt == a.StartedAt && a.Model == "" {
		// The daemon may have lost its own link, so the engine is polled before it counts as down.
		engine.reportedDown = true
		engine.pollAt = min(engine.pollAt, m.now)
		return
	}
	if !ok || engine.startedAt != a.StartedAt || !engine.weights.HasLoaded(a.Model, a.Adapter) {
		return
	}
	if at, added := engine.added[modelName(a.Model, a.Adapter)]; added && m.now < at+reportLag {
		return
	}
	engine.absentUntil[modelName(a.Model, a.Adapter)] = m.now + absentTTL
	engine.pollAt = min(engine.pollAt, max(m.now, engine.orderedAt+reportLag))
	m.placement.dirty = true
	m.markUnreported(engine)
}

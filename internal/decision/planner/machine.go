package planner

import (
	"fmt"
	"math/rand/v2"
	"time"

	"samphirewharf/internal/backend/orderer"
	"samphirewharf/internal/config/cataloger"
	"samphirewharf/internal/decision/observer"
	"samphirewharf/internal/decision/pacer"
	"samphirewharf/internal/external/storer"
)

// Times of the planner.
const (
	// orderTTL is how long after its creation an order may be sent.
	orderTTL = 2 * time.Second
	// maxOrderDelay is how long an order whose answer was lost may still be in transit to an engine.
	maxOrderDelay = 30 * time.Second
	// drainDelay is how long other daemons may still send requests to a replica after the record's write.
	drainDelay = time.Second
	// pendingPollInterval is the time between polls of a server with a pending order.
	pendingPollInterval = 50 * time.Millisecond
	// unloadRetryInterval is the time between unload orders for a replica that is still loaded.
	unloadRetryInterval = 2 * time.Second
	// storeRetryInterval is the initial backoff, before jitter, after a failed call to the key-value service,
	// and the minimum time between the end of an order to raise an engine's fencing token and the next one.
	storeRetryInterval = 200 * time.Millisecond
	// maxStoreRetryInterval bounds that backoff, before jitter.
	maxStoreRetryInterval = 8 * time.Second
	// absenceTimeout is how long a server must be missing from the host list before its replicas are released.
	absenceTimeout = 10 * time.Second
	// minIdleTime is how long a replica must be idle before it may be evicted for another.
	minIdleTime = time.Second
	// evictionTTL is how long memory freed for a deployment is kept for it.
	evictionTTL = 30 * time.Second
	// impossibleRetryDelay is how long requests are refused for lack of memory before placement is tried again.
	impossibleRetryDelay = 2 * time.Second
)

// A Machine plans the placement of one cell. It is driven by one reducer and not safe for concurrent use.
type Machine struct {
	// Cell is the service whose servers the Machine plans.
	Cell string
	// Daemon and Instance identify this daemon and its process.
	Daemon   string
	Instance string
	// Random is the source of retry jitter. Nil means no jitter.
	Random *rand.Rand
	// KeepAlive returns how long an idle replica of the deployment stays loaded.
	KeepAlive func(d *cataloger.Deployment) time.Duration
	// EvictionScore returns the cost of unloading an idle replica; the replica with the lowest is evicted first.
	EvictionScore func(now time.Duration, d *cataloger.Deployment) float64
	// Rank returns the rank of a server with free memory from its predicted load time with penalties. The
	// server with the lowest rank is chosen. Nil ranks servers by the prediction.
	Rank func(server string, predicted time.Duration) time.Duration
	// Preload reports whether checkpoints are loaded into servers' memory before requests need them.
	Preload bool
	// KeepPreloaded reports whether preloaded replicas stay loaded for their keep-alive, as used ones do,
	// instead of being unloaded at once.
	KeepPreloaded bool
	// LoadLimits limits the loads from the weight store.
	LoadLimits LoadLimits

	record   Record
	revision int64
	// recordKnown reports whether the newest record has been read or is known not to exist.
	recordKnown bool

	pendingWrite *pendingWrite
	getInFlight  bool
	getRetryAt   time.Duration
	// backoff delays retries of calls to the key-value service.
	backoff         pacer.Backoff
	lastTokenNumber int64

	demand     demand
	loadOrders map[string]*sentLoadOrder
	// seen are the replicas that a poll by this process has shown, so that their load order can't take effect
	// again.
	seen map[string]bool
	// startedLoads are the replicas whose loads have reserved capacity of the weight store.
	startedLoads map[string]bool
	// renounced are the replicas whose sender has guaranteed that their load order can't take effect any
	// more, with the time at which this process received the guarantee.
	renounced map[string]time.Duration
	// idleSince is when a replica was last seen busy, or first seen, by replica.
	idleSince map[string]time.Duration
	// lastUsed is when the demand last showed use of a deployment or adapter, by name.
	lastUsed map[string]time.Duration
	// unloads are the replicas being unloaded, by ID.
	unloads map[string]unloadState
	// evictions are the evictions whose freed memory is kept, by the deployment that needs it.
	evictions map[string]eviction
	// absentSince is when a server was first missing from the host list, by server.
	absentSince   map[string]time.Duration
	servers       map[string]*serverState
	adapterOrders map[string]*adapterOrder
	preloadState  preloadState

	// raiseFence reports whether the next write must raise the fencing token, so that engines refuse an order
	// whose outcome is unknown.
	raiseFence      bool
	lastOrderNumber int64
	actions         []Action
}

// SetDemand sets the needs of one daemon of the cell.
func (m *Machine) SetDemand(now time.Duration, daemon, instance string, sequence int64, needs []Need) {
	m.ensureInitialized()
	if !m.demand.set(now, daemon, instance, sequence, needs) {
		return
	}
	for _, need := range needs {
		if need.Used || need.Running > 0 || need.Urgent+need.CanWait > 0 {
			m.lastUsed[need.Deployment] = now
			m.lastUsed[need.Adapter] = now
		}
	}
}

// Resume has the record read again before anything is planned, since it may have changed while this daemon didn't serve the cell.
func (m *Machine) Resume() { m.recordKnown = false }

// HandleGet handles the answer to a Get.
func (m *Machine) HandleGet(v View, result storer.Result, entry storer.Entry) []Action {
	m.ensureInitialized()
	m.actions = nil
	m.getInFlight = false
	switch result {
	case storer.ResultOK:
		m.backoff.Reset()
		m.applyRecord(entry.Value, entry.Revision)
		m.recordKnown = true
	case storer.ResultNotFound:
		m.backoff.Reset()
		m.handleMissingRecord()
		m.recordKnown = true
	default:
		m.getRetryAt = v.Now + m.backoff.Next(m.Random)
	}
	m.advance(v)
	return m.actions
}

// UpdateRecord applies a record from a watch or another daemon.
func (m *Machine) UpdateRecord(v View, value []byte, revision int64) []Action {
	m.ensureInitialized()
	if revision <= m.revision {
		return nil
	}
	m.actions = nil
	m.applyRecord(value, revision)
	m.recordKnown = true
	m.advance(v)
	return m.actions
}

// HandleOrder handles the end of an order.
func (m *Machine) HandleOrder(v View, id, server string, outcome orderer.Outcome, fence int64) []Action {
	m.ensureInitialized()
	if s := m.servers[server]; s != nil && s.raiseOrderID == id {
		s.raiseOrderID = ""
		s.raiseRetryAt = v.Now + storeRetryInterval
	}
	for key, order := range m.adapterOrders {
		if order.id == id {
			order.ended = true
			order.endedAt = v.Now
			order.outcome = outcome
			m.adapterOrders[key] = order
		}
	}
	for _, o := range m.loadOrders {
		if o.id != id {
			continue
		}
		o.ended = true
		o.outcome = outcome
		o.endedAt = v.Now
	}
	if outcome == orderer.OutcomeStaleFence && fence > m.record.Fence {
		m.recordKnown = false
	}
	m.schedulePoll(v.Now, server)
	return m.Step(v)
}

// HandlePoll handles the end of a poll by this process. The fleet must have applied the report already.
func (m *Machine) HandlePoll(v View, server string, ok bool, sentAt time.Duration, report orderer.Report) []Action {
	m.ensureInitialized()
	s := m.stateOf(server)
	s.polling = false
	s.nextPollAt = v.Now + pendingPollInterval
	changed := !ok
	stale := s.engineInstance == report.Instance && report.Sequence <= s.sequence
	if ok && sentAt >= s.lastPollSentAt && !stale {
		changed = !s.polled || s.engineInstance != report.Instance || s.fence != report.Fence || m.replicasDiffer(s, report)
		s.lastPollSentAt = sentAt
		s.sequence = report.Sequence
		s.polled = true
		s.engineInstance = report.Instance
		s.fence = report.Fence
		m.applyPoll(v, s, report)
	}
	if !changed && !m.HasPendingWork() {
		return nil
	}
	return m.Step(v)
}

// replicasDiffer reports whether a report shows other replicas than the last poll by this process.
func (m *Machine) replicasDiffer(s *serverState, report orderer.Report) bool {
	if len(report.Replicas) != len(s.present) {
		return true
	}
	for _, r := range report.Replicas {
		if !s.present[r.Replica] {
			return true
		}
	}
	return false
}

// Record returns the newest known record and its revision, which is 0 if none exists.
func (m *Machine) Record() (Record, int64) { return m.record, m.revision }

// HasPendingWork reports whether something is pending on which another Step may make progress.
func (m *Machine) HasPendingWork() bool {
	if m.pendingWrite != nil || m.getInFlight || len(m.adapterOrders) > 0 || len(m.evictions) > 0 || len(m.unloads) > 0 {
		return true
	}
	if !m.IsPlacer() {
		return false
	}
	for _, r := range m.record.Replicas {
		if !m.seen[r.ID] || r.State == StateUnloading {
			return true
		}
	}
	return m.demand.hasWaiting()
}

// IsPlacer reports whether this process is the cell's placer according to the newest known record.
func (m *Machine) IsPlacer() bool {
	return m.recordKnown && m.record.Placer == m.Daemon && m.record.Instance == m.Instance
}

// Refresh reads the record. It is called when a newer one is known to exist.
func (m *Machine) Refresh(v View) []Action {
	m.ensureInitialized()
	m.actions = nil
	m.readRecord(v)
	return m.actions
}

// MarkRenounced records a daemon's guarantee that the load orders of the replicas can't take effect any more.
func (m *Machine) MarkRenounced(now time.Duration, ids []string) {
	m.ensureInitialized()
	for _, id := range ids {
		_, decided := m.record.Replica(id)
		if _, known := m.renounced[id]; decided && !known {
			m.renounced[id] = now
		}
	}
}

// Renounced returns the replicas that this process decided as a former placer and whose load order can't
// take effect any more: the order was not sent and never will be, has taken effect, or has failed or
// expired.
func (m *Machine) Renounced(now time.Duration) []string {
	if m.IsPlacer() || m.pendingWrite != nil {
		return nil
	}
	var ids []string
	for _, r := range m.record.Replicas {
		if r.Instance != m.Instance || !m.loadOrders[r.ID].resolved(now) {
			continue
		}
		if _, known := m.renounced[r.ID]; !known {
			m.renounced[r.ID] = now
		}
		ids = append(ids, r.ID)
	}
	return ids
}

// Step plans what can be planned now and returns the actions to carry out.
func (m *Machine) Step(v View) []Action {
	m.ensureInitialized()
	m.actions = nil
	m.advance(v)
	return m.actions
}

// HandleSwap handles the answer to the Swap with the write token.
func (m *Machine) HandleSwap(v View, token string, result storer.Result, revision int64) []Action {
	m.ensureInitialized()
	m.actions = nil
	if m.pendingWrite == nil || m.pendingWrite.next.Token != token {
		return nil
	}
	m.pendingWrite.inFlight = false
	switch result {
	case storer.ResultOK:
		m.backoff.Reset()
		m.adoptRecord(m.pendingWrite.next, revision)
	case storer.ResultConflict:
		m.backoff.Reset()
		m.recordKnown = false
		m.getRetryAt = 0
	default:
		m.pendingWrite.retryAt = v.Now + m.backoff.Next(m.Random)
	}
	m.advance(v)
	return m.actions
}

// adoptRecord makes a record the newest known one. It resolves the pending write: a write with the record's
// token took effect, and any other can't take effect any more because the revision has changed.
func (m *Machine) adoptRecord(record Record, revision int64) {
	if !m.IsPlacer() && record.Placer == m.Daemon && record.Instance == m.Instance {
		clear(m.servers)
		m.preloadState.delayStarted = false
	}
	m.record = record
	m.revision = revision
	defer m.prune()
	if m.pendingWrite == nil {
		return
	}
	if m.pendingWrite.next.Token == record.Token {
		m.actions = append(m.actions, m.pendingWrite.decisions...)
		m.emit(RecordChanged{})
	}
	m.pendingWrite = nil
}

func (m *Machine) emit(a Action) { m.actions = append(m.actions, a) }

// advance reads the record if it is not known, sends the pending write, and plans.
func (m *Machine) advance(v View) {
	if v.Paused {
		return
	}
	if !m.recordKnown {
		m.readRecord(v)
		return
	}
	if m.pendingWrite != nil {
		m.sendWrite(v)
	}
	if v.Catalog == nil {
		return
	}
	if !m.IsPlacer() {
		m.takeOver(v)
		return
	}
	m.plan(v)
}

// handleMissingRecord records that the key-value service has no record. The known record is kept, and the
// placer writes it again to a service that lost it.
func (m *Machine) handleMissingRecord() {
	m.revision = 0
	m.pendingWrite = nil
	if m.IsPlacer() {
		m.pendingWrite = &pendingWrite{next: m.record.WithToken(m.nextToken())}
	}
}

// applyRecord adopts an encoded record if it is newer than the known one.
func (m *Machine) applyRecord(value []byte, revision int64) {
	if revision <= m.revision {
		return
	}
	record, err := DecodeRecord(value)
	if err != nil {
		return
	}
	m.adoptRecord(record, revision)
}

func (m *Machine) nextOrderID() string {
	m.lastOrderNumber++
	return fmt.Sprintf("%s.%s.%d", m.Cell, m.Instance, m.lastOrderNumber)
}

func (m *Machine) nextToken() string {
	m.lastTokenNumber++
	return fmt.Sprintf("%s.%d", m.Instance, m.lastTokenNumber)
}

func (m *Machine) schedulePoll(now time.Duration, server string) {
	m.stateOf(server).nextPollAt = now
}

func (m *Machine) ensureInitialized() {
	if m.loadOrders != nil {
		return
	}
	m.backoff = pacer.Backoff{Initial: storeRetryInterval, Max: maxStoreRetryInterval}
	m.loadOrders = make(map[string]*sentLoadOrder)
	m.seen = make(map[string]bool)
	m.renounced = make(map[string]time.Duration)
	m.startedLoads = make(map[string]bool)
	m.idleSince = make(map[string]time.Duration)
	m.lastUsed = make(map[string]time.Duration)
	m.unloads = make(map[string]unloadState)
	m.evictions = make(map[string]eviction)
	m.absentSince = make(map[string]time.Duration)
	m.servers = make(map[string]*serverState)
	m.adapterOrders = make(map[string]*adapterOrder)
	m.preloadState.lastPreload = make(map[string]time.Duration)
	m.preloadState.unusedReplicas = make(map[string]time.Duration)
}

func (m *Machine) readRecord(v View) {
	if m.getInFlight || v.Now < m.getRetryAt {
		return
	}
	m.getInFlight = true
	m.emit(Get{})
}

// sendWrite sends the pending write. It is repeated with the same content and revision until its outcome is
// known.
func (m *Machine) sendWrite(v View) {
	if m.pendingWrite.inFlight || v.Now < m.pendingWrite.retryAt {
		return
	}
	m.pendingWrite.inFlight = true
	m.emit(Swap{Token: m.pendingWrite.next.Token, Value: m.pendingWrite.next.Encode(), Revision: m.revision})
}

func (m *Machine) applyPoll(v View, s *serverState, report orderer.Report) {
	s.present = make(map[string]bool, len(report.Replicas))
	for _, r := range report.Replicas {
		s.present[r.Replica] = true
		m.seen[r.Replica] = true
		if r.State == orderer.StateReady {
			m.LoadLimits.finish(v.Now, r.Replica)
		}
		if _, ok := m.idleSince[r.Replica]; !ok || r.Running+r.Waiting > 0 {
			m.idleSince[r.Replica] = v.Now
		}
	}
}

func (m *Machine) stateOf(name string) *serverState {
	s, ok := m.servers[name]
	if !ok {
		s = &serverState{}
		m.servers[name] = s
	}
	return s
}

func (m *Machine) startWrite(v View, next Record, decisions []Action) {
	m.pendingWrite = &pendingWrite{next: next.WithToken(m.nextToken()), decisions: decisions}
	m.sendWrite(v)
}

func (m *Machine) takeOver(v View) {
	if !v.ShouldLead || m.pendingWrite != nil {
		return
	}
	if m.record.Placer != "" && v.Alive(m.record.Placer, m.record.Instance) {
		return
	}
	next := m.record.WithPlacer(m.Daemon, m.Instance).WithFence(m.record.Fence + 1)
	next.Cell = m.Cell
	reason := "placer " + m.record.Placer + " is not live"
	m.startWrite(v, next, []Action{Decision{Action: "TakeOver", Server: m.Daemon, Reason: reason}})
}

// polledState returns the placer's own view of a server, and false before its first poll of the server.
func (m *Machine) polledState(s *observer.Server) (*serverState, bool) {
	state := m.stateOf(s.Host.Server)
	return state, state.polled
}

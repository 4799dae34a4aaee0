package claimer

import (
	"container/heap"
	"time"

	"samphirewharf/internal/caller/refuser"
	"samphirewharf/internal/external/storer"
)

// A Moment is the time of a call.
type Moment struct {
	// Monotonic is the monotonic time, which also passes while the process is frozen.
	Monotonic time.Duration
	// Wall is the wall-clock time, from which the retention is measured.
	Wall time.Time
}

// An Answer is the answer to a Read, Swap or Delete. Each of them must be answered, with
// storer.ResultUnknown if its outcome does not become known in time.
type Answer struct {
	Op     uint64
	Result storer.Result
	// Value is the value that was read. Revision is the revision that was read or written.
	Value    []byte
	Revision int64
}

// A Machine claims the non-idempotent requests of one cell for one process. It is deterministic and
// does no I/O: each method returns the actions that its caller must carry out. It is not safe for
// concurrent use.
type Machine struct {
	settings Settings
	owner    string
	now      Moment
	actions  []Action

	nextOp     uint64
	nextClaim  uint64
	partitions map[int]*partition
	operations map[uint64]operation
	// requests holds every request that is undecided or running.
	requests  map[uint64]*claim
	deadlines deadlineQueue

	hooks hooks
}

// hooks are rules of the Machine that mutation tests replace, to show that tests detect a broken rule.
type hooks struct {
	// committed reports whether the result of a swap proves that it took effect.
	committed func(storer.Result) bool
	// writeRevision returns the revision at which an active segment is written.
	writeRevision func(int64) int64
	// sealedToRead returns the names of the sealed segments to read.
	sealedToRead func([]string) []string
	// mayAbandon reports whether a claim may be abandoned at its deadline.
	mayAbandon func(*claim) bool
	// abandoned reports whether a committed claim must not be granted.
	abandoned func(*claim) bool
	// fail ends a claim whose request was dispatched and has an unknown outcome.
	fail func(*claim)
}

// New returns a Machine that owns no partition.
func New(settings Settings) *Machine {
	m := &Machine{
		settings:   settings.withDefaults(),
		owner:      settings.Daemon + "/" + settings.Instance + "/",
		partitions: make(map[int]*partition),
		operations: make(map[uint64]operation),
		requests:   make(map[uint64]*claim),
		hooks: hooks{
			committed:     func(r storer.Result) bool { return r == storer.ResultOK },
			writeRevision: func(r int64) int64 { return r },
			sealedToRead:  func(names []string) []string { return names },
			mayAbandon:    (*claim).undecided,
			abandoned:     func(c *claim) bool { return c.abandoned },
		},
	}
	m.hooks.fail = m.removeClaim
	return m
}

// Claim starts to claim a request. Each request gets exactly one Granted, Denied or Replayed action.
func (m *Machine) Claim(now Moment, r Request) []Action {
	m.begin(now)
	number := Partition(r.Key, m.settings.Partitions)
	p := m.partitions[number]
	// A claim must not be granted after it has been deleted from the store.
	r.Deadline = min(r.Deadline, now.Monotonic+m.settings.Retention)
	c := &claim{request: r, state: StateWaiting, partition: p}
	switch {
	case m.keyExpired(r.Key):
		m.deny(c, refuser.CodeIdempotencyKeyExpired, refuser.MayHaveRun, 0)
	case p == nil || !p.owned:
		m.deny(c, refuser.CodeClaimUnavailable, refuser.NotRun, m.settings.RetryInterval)
	case r.Deadline <= now.Monotonic:
		m.deny(c, refuser.CodeDeadlineExpired, refuser.NotRun, 0)
	case len(p.waiting)+len(p.pending) >= m.settings.MaxQueued:
		m.deny(c, refuser.CodeOverloaded, refuser.NotRun, m.settings.RetryInterval)
	default:
		m.requests[r.ID] = c
		heap.Push(&m.deadlines, c)
		m.decide(c)
		m.advance(p)
	}
	return m.end()
}

// Complete records the result of a granted request.
func (m *Machine) Complete(now Moment, request uint64, result Result) []Action {
	m.begin(now)
	c, ok := m.requests[request]
	if !ok || c.state != StateRunning {
		return m.end()
	}
	if len(result.Body) > m.settings.MaxAnswerBytes {
		result.Body = nil
		result.TooLarge = true
	}
	delete(m.requests, request)
	c.state = StateFinished
	c.result = result
	m.enqueue(c, entryResult)
	m.advance(c.partition)
	return m.end()
}

// RevokePartition ends the ownership of the partition by this process. Granted requests continue, and
// their results are still written.
func (m *Machine) RevokePartition(now Moment, number int) []Action {
	m.begin(now)
	if p := m.partitions[number]; p != nil && p.owned {
		p.owned = false
		m.denyUnsent(p)
		m.advance(p)
	}
	return m.end()
}

// Fail records that a granted request was dispatched and that its outcome will never be known.
func (m *Machine) Fail(now Moment, request uint64) []Action {
	m.begin(now)
	if c, ok := m.requests[request]; ok && c.state == StateRunning {
		delete(m.requests, request)
		m.hooks.fail(c)
		m.advance(c.partition)
	}
	return m.end()
}

// Idle reports whether no request is undecided or running and all entries are written, so that the
// process may exit.
func (m *Machine) Idle() bool {
	if len(m.requests) > 0 {
		return false
	}
	for _, p := range m.partitions {
		if len(p.pending) > 0 {
			return false
		}
	}
	return true
}

// NextWake returns the monotonic time by which Tick must be called, and false if there is none.
func (m *Machine) NextWake() (time.Duration, bool) {
	var wake time.Duration
	found := false
	earliest := func(t time.Duration) {
		if !found || t < wake {
			wake, found = t, true
		}
	}
	m.trimDeadlines()
	if len(m.deadlines) > 0 {
		earliest(m.deadlines[0].request.Deadline)
	}
	for _, p := range m.partitions {
		if !p.callInFlight && m.hasWork(p) {
			earliest(m.wakeAt(p))
		}
	}
	return wake, found
}

// AssignPartition makes this process an owner of the partition. Its segments are read before any request
// is claimed.
func (m *Machine) AssignPartition(now Moment, number int) []Action {
	m.begin(now)
	p := m.partitions[number]
	if p == nil {
		p = newPartition(m.settings.Cell, number, m.settings.RetryInterval)
		m.partitions[number] = p
	}
	p.owned = true
	m.advance(p)
	return m.end()
}

// Release records that the request was not dispatched and never will be: its caller disconnected before
// it was granted, or no byte of it was sent after it was granted. The key can then be claimed again.
func (m *Machine) Release(now Moment, request uint64) []Action {
	m.begin(now)
	c, ok := m.requests[request]
	if !ok {
		return m.end()
	}
	if c.undecided() {
		m.abandon(c, refuser.CodeCallerLeft)
	} else if c.state == StateRunning {
		delete(m.requests, request)
		m.release(c)
	}
	m.advance(c.partition)
	return m.end()
}

// State returns the state of a key's claim.
func (m *Machine) State(key string) State {
	p := m.partitions[Partition(key, m.settings.Partitions)]
	if p == nil {
		return StateUnclaimed
	}
	if c, ok := p.localClaims[key]; ok {
		return c.state
	}
	r, ok := p.index.lookup(key)
	switch {
	case !ok || r.claimable():
		return StateUnclaimed
	case r.kind == entryResult:
		return StateFinished
	default:
		return StateUnknown
	}
}

// Tick carries out what has become due.
func (m *Machine) Tick(now Moment) []Action {
	m.begin(now)
	for number := range m.settings.Partitions {
		if p := m.partitions[number]; p != nil {
			m.advance(p)
		}
	}
	return m.end()
}

func (m *Machine) begin(now Moment) {
	m.now = now
	m.actions = nil
	for len(m.deadlines) > 0 && m.deadlines[0].request.Deadline <= now.Monotonic {
		c := heap.Pop(&m.deadlines).(*claim)
		if m.requests[c.request.ID] == c && m.hooks.mayAbandon(c) {
			m.abandon(c, refuser.CodeDeadlineExpired)
		}
	}
}

func (m *Machine) emit(a Action) { m.actions = append(m.actions, a) }

func (m *Machine) end() []Action {
	actions := m.actions
	m.actions = nil
	return actions
}

// trimDeadlines removes decided requests from the head of the deadline queue.
func (m *Machine) trimDeadlines() {
	for len(m.deadlines) > 0 {
		c := m.deadlines[0]
		if m.requests[c.request.ID] == c && c.undecided() {
			return
		}
		heap.Pop(&m.deadlines)
	}
}

// wakeAt returns the earliest time of the next store call of a partition that has work.
func (m *Machine) wakeAt(p *partition) time.Duration {
	if !p.loaded || p.stale {
		return p.retryAt
	}
	return max(p.retryAt, m.writeDueAt(p))
}

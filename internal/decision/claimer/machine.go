package claimer

import (
	"container/heap"
	"time"

	"samphirewharf/internal/caller/refuser"
	"samphirewharf/internal/external/storer"
)

// A Moment is when a call is made.
type Moment struct {
	// Since is monotonic time, which goes on while the process is frozen.
	Monotonic time.Duration
	// Wall is the wall clock, for the retention.
	Wall time.Time
}

// An Answer is the answer to a Read, Swap or Delete. Every one is answered, with
// storer.ResultUnknown if nothing better is known in time.
type Answer struct {
	Op     uint64
	Result storer.Result
	// Value and Revision are the value that was read and its revision, or the revision written.
	Value    []byte
	Revision int64
}

// A Machine claims the non-idempotent requests of one cell for one process. It is deterministic and
// does no I/O. Each method returns what is to be done because of it. It is not safe for concurrent use.
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

// hooks replace rules of the Machine, to show that tests notice when one is broken.
type hooks struct {
	// landed tells whether a swap's result proves that it took effect.
	committed func(storer.Result) bool
	// revision returns the revision that an active segment is written at.
	writeRevision func(int64) int64
	// sealed returns the names of the sealed segments that are read.
	sealedToRead func([]string) []string
	// mayAbandon tells whether a claim may be given up at its deadline.
	mayAbandon func(*claim) bool
	// abandoned tells that a claim that has landed must not be granted.
	abandoned func(*claim) bool
	// fail ends a claim whose request was dispatched and has no known outcome.
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

// Claim asks for the claim of a request. The request ends in one Granted, Denied or Replayed.
func (m *Machine) Claim(now Moment, r Request) []Action {
	m.begin(now)
	number := Partition(r.Key, m.settings.Partitions)
	p := m.partitions[number]
	// A claim must not be granted after the store has forgotten it.
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

// RevokePartition tells that the partition has another owner. Requests that were granted go on, and their
// results are still written.
func (m *Machine) RevokePartition(now Moment, number int) []Action {
	m.begin(now)
	if p := m.partitions[number]; p != nil && p.owned {
		p.owned = false
		m.denyUnsent(p)
		m.advance(p)
	}
	return m.end()
}

// Fail tells that a granted request was dispatched and that its outcome will never be known.
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
// process may end.
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

// NextWake returns the monotonic time at which Tick must be called at the latest.
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

// AssignPartition tells that this process owns the partition. Its segments are read before anything is claimed.
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

// Release tells that the request was never dispatched and never will be: its caller left before it
// was granted, or no byte of it was sent after it was granted. The key can then be claimed again.
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

// State returns how far the claim of a key is.
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

// Tick lets time pass.
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

// trimDeadlines drops requests that are decided from the head of the queue.
func (m *Machine) trimDeadlines() {
	for len(m.deadlines) > 0 {
		c := m.deadlines[0]
		if m.requests[c.request.ID] == c && c.undecided() {
			return
		}
		heap.Pop(&m.deadlines)
	}
}

// wakeAt returns when the next call of a partition that has work may be made.
func (m *Machine) wakeAt(p *partition) time.Duration {
	if !p.loaded || p.stale {
		return p.retryAt
	}
	return max(p.retryAt, m.writeDueAt(p))
}

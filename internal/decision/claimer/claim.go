package claimer

import "time"

// A State is the state of a key's claim in the view of one Machine.
type State uint8

// The states of a key.
const (
	// StateUnclaimed means that no claim is known.
	StateUnclaimed State = iota
	// StateWaiting means that the request waits for the partition to be read.
	StateWaiting
	// StateClaiming means that the claim is being written.
	StateClaiming
	// StateRunning means that the request was granted and has no result yet.
	StateRunning
	// StateFinished means that the result is known.
	StateFinished
	// StateReleasing means that the request will never be dispatched and the claim is being released.
	StateReleasing
	// StateUnknown means that the request may have run.
	StateUnknown
)

// A Request asks for a claim.
type Request struct {
	// ID identifies the request within the process and is not reused.
	ID  uint64
	Key string
	// BodyHash is a hash of method, path and body.
	BodyHash uint64
	// Deadline is the monotonic time after which the request is not granted.
	Deadline time.Duration
}

// A Result is the outcome of a request that ran.
type Result struct {
	Status      int
	ContentType string
	// Body is the answer. It is nil, and TooLarge is set, if the answer is too large to record.
	Body     []byte
	TooLarge bool
}

// A claim is a request whose handling by the Machine has not ended.
type claim struct {
	request Request
	id      string
	state   State
	// abandoned reports whether the claim is never granted, although its write may have been committed.
	abandoned bool
	// readSinceArrival reports whether the active segment was read after the request arrived.
	readSinceArrival bool
	// result is set once the state is StateFinished.
	result    Result
	partition *partition
}

// undecided reports whether the request still waits for its answer.
func (c *claim) undecided() bool {
	return !c.abandoned && (c.state == StateWaiting || c.state == StateClaiming)
}

// A pendingEntry is an entry that is not known to be in the store.
type pendingEntry struct {
	claim *claim
	entry entry
	line  []byte
	// sent reports whether a write of the entry at baseRevision may have been committed or may still be.
	sent         bool
	baseRevision int64
}

// A deadlineQueue is a heap of claims by deadline.
type deadlineQueue []*claim

func (q deadlineQueue) Len() int           { return len(q) }
func (q deadlineQueue) Less(i, j int) bool { return q[i].request.Deadline < q[j].request.Deadline }

// Pop removes the last element, as container/heap requires.
func (q *deadlineQueue) Pop() any {
	last := len(*q) - 1
	c := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	return c
}

// Push appends an element, as container/heap requires.
func (q *deadlineQueue) Push(x any) { *q = append(*q, x.(*claim)) }

func (q deadlineQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

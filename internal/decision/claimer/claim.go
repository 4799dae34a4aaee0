package claimer

import "time"

// A State tells how far the claim of a key is, as one Machine knows it.
type State uint8

// The states of a key.
const (
	// StateUnclaimed means that no claim is known.
	StateUnclaimed State = iota
	// StateWaiting means that the partition is being read.
	StateWaiting
	// StateClaiming means that the claim is being written.
	StateClaiming
	// StateRunning means that the request was granted and its result is awaited.
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
	// ID numbers the request within the process and is not reused.
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
	// Body is the answer. Nil with TooLarge set if it is not kept.
	Body     []byte
	TooLarge bool
}

// A claim is a request that the Machine has not finished with.
type claim struct {
	request Request
	id      string
	state   State
	// abandoned tells that the claim will never be granted though its write may have landed.
	abandoned bool
	// fresh tells that the active segment was read after the request came.
	readSinceArrival bool
	// result is set from StateFinished on.
	result    Result
	partition *partition
}

// undecided reports whether the request still waits for its answer.
func (c *claim) undecided() bool {
	return !c.abandoned && (c.state == StateWaiting || c.state == StateClaiming)
}

// An pendingEntry is an entry that is to be written.
type pendingEntry struct {
	claim *claim
	entry entry
	line  []byte
	// sent tells that a write with the entry at the revision base may have landed or may still land.
	sent         bool
	baseRevision int64
}

// A deadlineQueue is a heap of claims by deadline.
type deadlineQueue []*claim

func (q deadlineQueue) Len() int           { return len(q) }
func (q deadlineQueue) Less(i, j int) bool { return q[i].request.Deadline < q[j].request.Deadline }

// Pop removes the last element, as container/heap asks.
func (q *deadlineQueue) Pop() any {
	last := len(*q) - 1
	c := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	return c
}

// Push appends an element, as container/heap asks.
func (q *deadlineQueue) Push(x any) { *q = append(*q, x.(*claim)) }

func (q deadlineQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

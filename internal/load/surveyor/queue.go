package surveyor

import (
	"container/heap"
	"time"

	"samphirewharf/internal/decision/tracker"
)

// A peerTick is the event in which another daemon sends its messages.
type peerTick struct{ peer tracker.Daemon }

// A requestTick is the event in which a request arrives.
type requestTick struct{ number int }

// A scheduledEvent is an event with its time.
type scheduledEvent struct {
	at time.Duration
	// sequence keeps events of the same time in the order in which they were added.
	sequence int
	event    any
}

// An eventQueue holds events by time, earliest first. The zero value is empty.
type eventQueue struct {
	heap         eventHeap
	lastSequence int
}

func (q *eventQueue) add(at time.Duration, event any) {
	q.lastSequence++
	heap.Push(&q.heap, scheduledEvent{at, q.lastSequence, event})
}

// next removes and returns the earliest event, if it is not later than until.
func (q *eventQueue) next(until time.Duration) (at time.Duration, event any, ok bool) {
	if len(q.heap) == 0 || q.heap[0].at > until {
		return 0, nil, false
	}
	first := heap.Pop(&q.heap).(scheduledEvent)
	return first.at, first.event, true
}

// An eventHeap implements heap.Interface.
type eventHeap []scheduledEvent

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].sequence < h[j].sequence
}

// Pop removes the last element. It implements heap.Interface.
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	item := (*h)[last]
	*h = (*h)[:last]
	return item
}

// Push appends an element. It implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(scheduledEvent)) }

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

package surveyor

import (
	"container/heap"
	"time"

	"samphirewharf/internal/decision/tracker"
)

// A peerTurn is when another daemon sends its messages.
type peerTurn struct{ peer tracker.Daemon }

// A requestTurn is when a request comes.
type requestTurn struct{ number int }

// A due is something that happens at a time.
type due struct {
	at time.Duration
	// order keeps what is due at the same time in the order it was added.
	order int
	what  any
}

// A queue holds what is due, the earliest first. The zero value is empty.
type queue struct {
	items dueHeap
	added int
}

func (q *queue) add(at time.Duration, what any) {
	q.added++
	heap.Push(&q.items, due{at, q.added, what})
}

// next takes what is due first if that is not after a time.
func (q *queue) next(until time.Duration) (at time.Duration, what any, ok bool) {
	if len(q.items) == 0 || q.items[0].at > until {
		return 0, nil, false
	}
	first := heap.Pop(&q.items).(due)
	return first.at, first.what, true
}

// A dueHeap implements heap.Interface.
type dueHeap []due

func (h dueHeap) Len() int { return len(h) }

func (h dueHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].order < h[j].order
}

// Pop removes the last element, as container/heap asks.
func (h *dueHeap) Pop() any {
	last := len(*h) - 1
	item := (*h)[last]
	*h = (*h)[:last]
	return item
}

// Push appends an element, as container/heap asks.
func (h *dueHeap) Push(x any) { *h = append(*h, x.(due)) }

func (h dueHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

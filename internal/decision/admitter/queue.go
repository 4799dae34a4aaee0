// Package admitter queues the requests that wait for one deployment and predicts when they finish.
package admitter

import (
	"container/heap"
	"time"
)

// DefaultMax bounds a queue whose Max is not set.
const DefaultMax = 1024

// An Item is a waiting request.
type Item struct {
	// ID is unique among the items of a queue.
	ID     uint64
	Urgent bool
	// Deadline is when the caller must have its answer.
	Deadline  time.Duration
	ArrivedAt time.Duration
}

// Counts has the numbers of waiting items and their earliest deadline.
type Counts struct {
	Urgent  int
	CanWait int
	// EarliestDeadline is zero if the queue is empty.
	EarliestDeadline time.Duration
}

// A Queue is the bounded queue of one deployment at one daemon. Urgent items come before items that can wait, and items
// of each class are ordered by deadline. Items close to their deadline are removed by PopExpired and never promoted.
// The zero value is empty and ready to use. Methods cost O(log n) unless they say otherwise.
type Queue struct {
	// Max bounds the number of items; zero means DefaultMax.
	Max int
	// Margin is how long before its deadline an item expires, so that it can be refused in time.
	Margin time.Duration

	nodes   map[uint64]*node
	urgent  deadlineHeap
	canWait deadlineHeap
	// latest holds the items of canWait with the latest deadline first.
	latest deadlineHeap
}

// Ahead returns the maximum number of items that come before a new item of the class.
func (q *Queue) Ahead(urgent bool) int {
	if urgent {
		return q.urgent.Len()
	}
	return q.Len()
}

// Counts returns the counts of waiting items.
func (q *Queue) Counts() Counts {
	counts := Counts{Urgent: q.urgent.Len(), CanWait: q.canWait.Len()}
	counts.EarliestDeadline, _ = q.earliest()
	return counts
}

// PopExpired removes and returns the items that are within Margin of their deadline, urgent ones first.
func (q *Queue) PopExpired(now time.Duration) []Item {
	var items []Item
	for _, h := range []*deadlineHeap{&q.urgent, &q.canWait} {
		for h.Len() > 0 && h.nodes[0].item.Deadline-q.Margin <= now {
			items = append(items, q.remove(h.nodes[0]))
		}
	}
	return items
}

// Len returns the number of waiting items.
func (q *Queue) Len() int { return len(q.nodes) }

// NextDeadline returns when the next item expires, and whether there is one.
func (q *Queue) NextDeadline() (time.Duration, bool) {
	deadline, ok := q.earliest()
	return deadline - q.Margin, ok
}

// Pop removes and returns the first item.
func (q *Queue) Pop() (Item, bool) {
	for _, h := range []*deadlineHeap{&q.urgent, &q.canWait} {
		if h.Len() > 0 {
			return q.remove(h.nodes[0]), true
		}
	}
	return Item{}, false
}

// PopMatching removes and returns the first item that matches. It costs O(k log k) for k items that are visited.
func (q *Queue) PopMatching(matches func(Item) bool) (Item, bool) {
	for _, h := range []*deadlineHeap{&q.urgent, &q.canWait} {
		if n := h.firstMatching(matches); n != nil {
			return q.remove(n), true
		}
	}
	return Item{}, false
}

// Push adds an item unless its ID is in the queue or the queue is full. If the queue is full, an urgent item displaces
// the item that can wait with the latest deadline, which is returned.
func (q *Queue) Push(item Item) (displaced *Item, ok bool) {
	if _, known := q.nodes[item.ID]; known {
		return nil, false
	}
	if q.Len() >= q.max() {
		if !item.Urgent || q.latest.Len() == 0 {
			return nil, false
		}
		last := q.remove(q.latest.nodes[0])
		displaced = &last
	}
	q.add(&node{item: item})
	return displaced, true
}

// Remove removes the item with the ID and reports whether it was there.
func (q *Queue) Remove(id uint64) bool {
	n, ok := q.nodes[id]
	if ok {
		q.remove(n)
	}
	return ok
}

func (q *Queue) add(n *node) {
	if q.nodes == nil {
		q.nodes = make(map[uint64]*node)
		q.latest.latestFirst = true
	}
	q.nodes[n.item.ID] = n
	if n.item.Urgent {
		heap.Push(&q.urgent, n)
		return
	}
	heap.Push(&q.canWait, n)
	heap.Push(&q.latest, n)
}

func (q *Queue) earliest() (time.Duration, bool) {
	switch {
	case q.Len() == 0:
		return 0, false
	case q.canWait.Len() == 0:
		return q.urgent.nodes[0].item.Deadline, true
	case q.urgent.Len() == 0:
		return q.canWait.nodes[0].item.Deadline, true
	default:
		return min(q.urgent.nodes[0].item.Deadline, q.canWait.nodes[0].item.Deadline), true
	}
}

func (q *Queue) max() int {
	if q.Max > 0 {
		return q.Max
	}
	return DefaultMax
}

func (q *Queue) remove(n *node) Item {
	delete(q.nodes, n.item.ID)
	if n.item.Urgent {
		heap.Remove(&q.urgent, n.index)
		return n.item
	}
	heap.Remove(&q.canWait, n.index)
	heap.Remove(&q.latest, n.latestIndex)
	return n.item
}

// Package admitter keeps the requests that wait for one deployment and predicts when they finish.
package admitter

import (
	"container/heap"
	"time"
)

// DefaultMax bounds a queue whose Max is not set.
const DefaultMax = 1024

// An Item is one waiting request.
type Item struct {
	// ID is unique among the items of a queue.
	ID     uint64
	Urgent bool
	// Deadline is when the caller must have its answer.
	Deadline  time.Duration
	ArrivedAt time.Duration
}

// Counts tell how many items wait and how long the first of them has.
type Counts struct {
	Urgent  int
	CanWait int
	// EarliestDeadline is zero if nothing waits.
	EarliestDeadline time.Duration
}

// A Queue is the bounded queue of one deployment at one daemon: urgent items before items that can
// wait, and by deadline among each. Items whose deadline is near are given up by Expired, never
// promoted. The zero value is empty and ready to use. Methods cost O(log n) unless they say otherwise.
type Queue struct {
	// Max bounds the items; zero means DefaultMax.
	Max int
	// Margin is how long before its deadline an item is given up, so that it is refused in time.
	Margin time.Duration

	nodes   map[uint64]*node
	urgent  order
	canWait order
	// latest holds the items of canWait with the latest deadline first.
	latest order
}

// Ahead returns how many items a new item of the class finds before it at most.
func (q *Queue) Ahead(urgent bool) int {
	if urgent {
		return q.urgent.Len()
	}
	return q.Len()
}

// Counts returns how many items wait.
func (q *Queue) Counts() Counts {
	counts := Counts{Urgent: q.urgent.Len(), CanWait: q.canWait.Len()}
	counts.EarliestDeadline, _ = q.earliest()
	return counts
}

// PopExpired removes and returns the items whose deadline less Margin has come, urgent ones first.
func (q *Queue) PopExpired(now time.Duration) []Item {
	var items []Item
	for _, o := range []*order{&q.urgent, &q.canWait} {
		for o.Len() > 0 && o.nodes[0].item.Deadline-q.Margin <= now {
			items = append(items, q.remove(o.nodes[0]))
		}
	}
	return items
}

// Len returns how many items wait.
func (q *Queue) Len() int { return len(q.nodes) }

// NextDeadline returns when Expired has an item to give up next.
func (q *Queue) NextDeadline() (time.Duration, bool) {
	deadline, ok := q.earliest()
	return deadline - q.Margin, ok
}

// Pop removes and returns the first item.
func (q *Queue) Pop() (Item, bool) {
	for _, o := range []*order{&q.urgent, &q.canWait} {
		if o.Len() > 0 {
			return q.remove(o.nodes[0]), true
		}
	}
	return Item{}, false
}

// PopMatching removes and returns the first item that the filter takes. It costs O(k log k) for k items
// that are looked at.
func (q *Queue) PopMatching(takes func(Item) bool) (Item, bool) {
	for _, o := range []*order{&q.urgent, &q.canWait} {
		if n := o.first(takes); n != nil {
			return q.remove(n), true
		}
	}
	return Item{}, false
}

// Push adds an item unless its ID is known or the queue is full. In a full queue an urgent item
// displaces the item that can wait and has the latest deadline; it is returned.
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

// Remove removes the item with the ID and returns whether it was there.
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
		q.latest.latest = true
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
		heap.Remove(&q.urgent, n.at)
		return n.item
	}
	heap.Remove(&q.canWait, n.at)
	heap.Remove(&q.latest, n.atLatest)
	return n.item
}

// Package waker implements a queue of timers, ordered by due time.
package waker

import (
	"container/heap"
	"time"
)

// A Timer is an item of a Queue. The zero value is not set.
type Timer[T any] struct {
	// Owner is what the timer is for. Number orders timers with equal times.
	Owner  T
	Number uint64

	at time.Duration
	// position is the timer's index in the heap plus one, 0 if it is not set.
	position int
}

// A Queue holds the timers that are set. The zero value is empty.
type Queue[T any] struct{ timers timerHeap[T] }

// Remove removes a timer if it is set.
func (q *Queue[T]) Remove(t *Timer[T]) {
	if t.position > 0 {
		heap.Remove(&q.timers, t.position-1)
	}
}

// PopDue removes the first timer if it is due, and returns its owner.
func (q *Queue[T]) PopDue(now time.Duration) (T, bool) {
	if len(q.timers) == 0 || q.timers[0].at > now {
		var none T
		return none, false
	}
	first := q.timers[0]
	q.Remove(first)
	return first.Owner, true
}

// Next returns the time of the first timer, if there is one.
func (q *Queue[T]) Next() (time.Duration, bool) {
	if len(q.timers) == 0 {
		return 0, false
	}
	return q.timers[0].at, true
}

// Set sets a timer, or changes its time if it is already set.
func (q *Queue[T]) Set(t *Timer[T], at time.Duration) {
	t.at = at
	if t.position == 0 {
		heap.Push(&q.timers, t)
		return
	}
	heap.Fix(&q.timers, t.position-1)
}

// A timerHeap implements heap.Interface.
type timerHeap[T any] []*Timer[T]

// Len returns the number of timers.
func (h timerHeap[T]) Len() int { return len(h) }

// Less reports whether timer i is due before timer j.
func (h timerHeap[T]) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].Number < h[j].Number
}

// Pop removes the last timer.
func (h *timerHeap[T]) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	t.position = 0
	return t
}

// Push adds a timer.
func (h *timerHeap[T]) Push(x any) {
	t, ok := x.(*Timer[T])
	if !ok {
		return
	}
	*h = append(*h, t)
	t.position = len(*h)
}

// Swap swaps two timers.
func (h timerHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].position, h[j].position = i+1, j+1
}

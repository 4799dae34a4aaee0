// Package waker orders what has to be looked at by the time at which that is due.
package waker

import (
	"container/heap"
	"time"
)

// An Timer is one thing's time in a Queue. The zero value is not set.
type Timer[T any] struct {
	// Owner is what the alarm is for, Number what decides among equal times.
	Owner  T
	Number uint64

	at time.Duration
	// place is the alarm's place in the queue plus one, 0 if it is not in it.
	position int
}

// A Queue holds the alarms that are set. The zero value is empty.
type Queue[T any] struct{ timers timerHeap[T] }

// Remove takes an alarm out, if it is set.
func (q *Queue[T]) Remove(t *Timer[T]) {
	if t.position > 0 {
		heap.Remove(&q.timers, t.position-1)
	}
}

// PopDue takes the first alarm out if its time has come.
func (q *Queue[T]) PopDue(now time.Duration) (T, bool) {
	if len(q.timers) == 0 || q.timers[0].at > now {
		var none T
		return none, false
	}
	first := q.timers[0]
	q.Remove(first)
	return first.Owner, true
}

// Next returns the time of the first alarm, if there is one.
func (q *Queue[T]) Next() (time.Duration, bool) {
	if len(q.timers) == 0 {
		return 0, false
	}
	return q.timers[0].at, true
}

// Set sets an alarm, or sets it anew.
func (q *Queue[T]) Set(t *Timer[T], at time.Duration) {
	t.at = at
	if t.position == 0 {
		heap.Push(&q.timers, t)
		return
	}
	heap.Fix(&q.timers, t.position-1)
}

// alarms is a heap.
type timerHeap[T any] []*Timer[T]

// Len returns the number of alarms.
func (h timerHeap[T]) Len() int { return len(h) }

// Less reports whether alarm i is due before alarm j.
func (h timerHeap[T]) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].Number < h[j].Number
}

// Pop removes the last alarm.
func (h *timerHeap[T]) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	t.position = 0
	return t
}

// Push adds an alarm.
func (h *timerHeap[T]) Push(x any) {
	t, ok := x.(*Timer[T])
	if !ok {
		return
	}
	*h = append(*h, t)
	t.position = len(*h)
}

// Swap swaps two alarms.
func (h timerHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].position, h[j].position = i+1, j+1
}

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
	place int
}

// A Queue holds the alarms that are set. The zero value is empty.
type Queue[T any] struct{ alarms alarms[T] }

// Remove takes an alarm out, if it is set.
func (q *Queue[T]) Remove(a *Timer[T]) {
	if a.place > 0 {
		heap.Remove(&q.alarms, a.place-1)
	}
}

// PopDue takes the first alarm out if its time has come.
func (q *Queue[T]) PopDue(now time.Duration) (T, bool) {
	if len(q.alarms) == 0 || q.alarms[0].at > now {
		var none T
		return none, false
	}
	first := q.alarms[0]
	q.Remove(first)
	return first.Owner, true
}

// Next returns the time of the first alarm, if there is one.
func (q *Queue[T]) Next() (time.Duration, bool) {
	if len(q.alarms) == 0 {
		return 0, false
	}
	return q.alarms[0].at, true
}

// Set sets an alarm, or sets it anew.
func (q *Queue[T]) Set(a *Timer[T], at time.Duration) {
	a.at = at
	if a.place == 0 {
		heap.Push(&q.alarms, a)
		return
	}
	heap.Fix(&q.alarms, a.place-1)
}

// alarms is a heap.
type alarms[T any] []*Timer[T]

// Len returns the number of alarms.
func (h alarms[T]) Len() int { return len(h) }

// Less reports whether alarm i is due before alarm j.
func (h alarms[T]) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].Number < h[j].Number
}

// Pop removes the last alarm.
func (h *alarms[T]) Pop() any {
	old := *h
	a := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	a.place = 0
	return a
}

// Push adds an alarm.
func (h *alarms[T]) Push(x any) {
	a, ok := x.(*Timer[T])
	if !ok {
		return
	}
	*h = append(*h, a)
	a.place = len(*h)
}

// Swap swaps two alarms.
func (h alarms[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].place, h[j].place = i+1, j+1
}

package emulator

import (
	"container/heap"
	"time"
)

// A clock is virtual time and the calls that are due in it. Calls at the same time run in the order in
// which they were added.
type clock struct {
	now   time.Duration
	calls calls
	added uint64
}

type call struct {
	at    time.Duration
	order uint64
	run   func()
}

// calls is a heap by time.
type calls []call

// after makes a call in some time.
func (c *clock) after(d time.Duration, run func()) { c.at(c.now+d, run) }

// at makes a call at a time, at once if that is past.
func (c *clock) at(at time.Duration, run func()) {
	c.added++
	heap.Push(&c.calls, call{at: max(at, c.now), order: c.added, run: run})
}

// run makes the calls until the end.
func (c *clock) runUntil(end time.Duration) {
	for len(c.calls) > 0 && c.calls[0].at <= end {
		next := heap.Pop(&c.calls).(call)
		c.now = next.at
		next.run()
	}
	c.now = end
}

// Len returns the number of calls.
func (c calls) Len() int { return len(c) }

// Less reports whether call i comes before call j.
func (c calls) Less(i, j int) bool {
	if c[i].at != c[j].at {
		return c[i].at < c[j].at
	}
	return c[i].order < c[j].order
}

// Pop removes the last call of the heap's slice.
func (c *calls) Pop() any {
	last := len(*c) - 1
	x := (*c)[last]
	(*c)[last] = call{}
	*c = (*c)[:last]
	return x
}

// Push appends a call to the heap's slice.
func (c *calls) Push(x any) { *c = append(*c, x.(call)) }

// Swap swaps two calls.
func (c calls) Swap(i, j int) { c[i], c[j] = c[j], c[i] }

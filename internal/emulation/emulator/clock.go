package emulator

import (
	"container/heap"
	"time"
)

// A clock is a virtual clock with scheduled calls. Calls of the same time run in the order in which they were
// added.
type clock struct {
	now          time.Duration
	calls        callHeap
	lastSequence uint64
}

type call struct {
	at       time.Duration
	sequence uint64
	run      func()
}

// A callHeap is a heap of calls by time. It implements heap.Interface.
type callHeap []call

// callAfter schedules a call after a delay.
func (c *clock) callAfter(d time.Duration, run func()) { c.callAt(c.now+d, run) }

// callAt schedules a call at a time, or now if the time has passed.
func (c *clock) callAt(at time.Duration, run func()) {
	c.lastSequence++
	heap.Push(&c.calls, call{at: max(at, c.now), sequence: c.lastSequence, run: run})
}

// runUntil runs the scheduled calls and advances the clock to the end.
func (c *clock) runUntil(end time.Duration) {
	for len(c.calls) > 0 && c.calls[0].at <= end {
		next := heap.Pop(&c.calls).(call)
		c.now = next.at
		next.run()
	}
	c.now = end
}

// Len returns the number of calls.
func (c callHeap) Len() int { return len(c) }

// Less reports whether call i runs before call j.
func (c callHeap) Less(i, j int) bool {
	if c[i].at != c[j].at {
		return c[i].at < c[j].at
	}
	return c[i].sequence < c[j].sequence
}

// Pop removes and returns the last call of the slice.
func (c *callHeap) Pop() any {
	last := len(*c) - 1
	x := (*c)[last]
	(*c)[last] = call{}
	*c = (*c)[:last]
	return x
}

// Push appends a call to the slice.
func (c *callHeap) Push(x any) { *c = append(*c, x.(call)) }

// Swap swaps two calls.
func (c callHeap) Swap(i, j int) { c[i], c[j] = c[j], c[i] }

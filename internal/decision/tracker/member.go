package tracker

import "time"

// A member is what a Tracker knows of one daemon ID.
type member struct {
	daemon Daemon
	// keyed tells that the daemon's key was in the store when it was last read, at revision.
	keyed    bool
	revision int64
	// heard tells that a heartbeat came from the instance, the last one at lastHeard.
	heard     bool
	lastHeard time.Duration
	live      bool
	// checking tells that the member is in the queue of checks.
	checking bool
	checkAt  time.Duration
}

// silent reports whether no heartbeat came lately.
func (m *member) silent(now time.Duration) bool {
	return !m.heard || now-m.lastHeard >= SuspectAfter
}

// A checkQueue is a heap of members by the time of their next check.
type checkQueue []*member

func (q checkQueue) Len() int           { return len(q) }
func (q checkQueue) Less(i, j int) bool { return q[i].checkAt < q[j].checkAt }

// Pop removes the last element, as container/heap asks.
func (q *checkQueue) Pop() any {
	last := len(*q) - 1
	m := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	return m
}

// Push appends an element, as container/heap asks.
func (q *checkQueue) Push(x any) { *q = append(*q, x.(*member)) }

func (q checkQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

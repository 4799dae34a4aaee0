package tracker

import "time"

// A member is the known state of one daemon ID.
type member struct {
	daemon Daemon
	// registered reports whether the daemon's key was in the store when it was last read, at revision.
	registered bool
	revision   int64
	// heartbeatReceived reports whether the instance has sent a heartbeat. The last one came at lastHeartbeat.
	heartbeatReceived bool
	lastHeartbeat     time.Duration
	live              bool
	// checkQueued reports whether the member is in the check queue.
	checkQueued bool
	checkAt     time.Duration
}

// heartbeatOverdue reports whether no heartbeat came within HeartbeatTimeout.
func (m *member) heartbeatOverdue(now time.Duration) bool {
	return !m.heartbeatReceived || now-m.lastHeartbeat >= HeartbeatTimeout
}

// A checkQueue is a heap of members, ordered by the time of their next check.
type checkQueue []*member

func (q checkQueue) Len() int           { return len(q) }
func (q checkQueue) Less(i, j int) bool { return q[i].checkAt < q[j].checkAt }

// Pop implements heap.Interface. It removes the last element.
func (q *checkQueue) Pop() any {
	last := len(*q) - 1
	m := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	return m
}

// Push implements heap.Interface. It appends an element.
func (q *checkQueue) Push(x any) { *q = append(*q, x.(*member)) }

func (q checkQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

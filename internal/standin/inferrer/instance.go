package inferrer

import (
	"context"
	"fmt"
	"time"

	"samphirewharf/internal/backend/orderer"
)

// An instance is one simulated process of the engine, from a start to a crash or stop.
// The engine's mutex guards its fields.
type instance struct {
	engine *Engine
	id     string
	// ctx is cancelled when the instance ends.
	ctx    context.Context
	cancel context.CancelFunc

	sequence int64
	fence    int64
	// usedBytes is the sum of the replicas' bytes.
	usedBytes int64
	replicas  []*replica
	// events are the cache events that have not been reported yet, oldest first.
	events []cacheEvent
}

// A cacheEvent is an event that is reported once it is older than Engine.EventDelay.
type cacheEvent struct {
	at    time.Time
	event orderer.CacheEvent
}

func newInstance(e *Engine) *instance {
	ctx, cancel := context.WithCancel(context.Background())
	return &instance{
		engine: e,
		id:     fmt.Sprintf("%s-%d-%016x", e.Server, e.counts.Starts, e.random.Uint64()),
		ctx:    ctx,
		cancel: cancel,
	}
}

// crash ends the instance and starts the engine's restart in the background.
func (i *instance) crash() {
	e := i.engine
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.current != i {
		return
	}
	e.counts.Crashes++
	e.endInstance()
	go e.loop(e.stopped)
}

// find returns a ready replica with the ID.
func (i *instance) find(id string) (*replica, bool) {
	for _, r := range i.replicas {
		if r.order.Replica == id && r.state == orderer.StateReady {
			return r, true
		}
	}
	return nil, false
}

// waitForFaults waits for the delay of the faults and while the engine is frozen.
// It returns false if done is closed or the instance ends first.
func (i *instance) waitForFaults(done <-chan struct{}, delay func(Faults) time.Duration) bool {
	delayOver := false
	for {
		faults, replaced := i.engine.currentFaults()
		d := delay(faults)
		if !faults.Freeze && (delayOver || d <= 0) {
			return i.ctx.Err() == nil
		}
		var elapsed <-chan time.Time
		if !faults.Freeze {
			elapsed = time.After(d)
		}
		select {
		case <-elapsed:
			delayOver = true
		case <-replaced:
		case <-done:
			return false
		case <-i.ctx.Done():
			return false
		}
	}
}

func (e *Engine) currentFaults() (Faults, <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults, e.faultsReplaced
}

// sleep waits for the duration and while the engine is frozen. It returns false if done is closed or the instance ends
// first.
func (i *instance) sleep(done <-chan struct{}, d time.Duration) bool {
	if d > 0 {
		timer := time.NewTimer(d)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-done:
			return false
		case <-i.ctx.Done():
			return false
		}
	}
	return i.waitForFaults(done, noDelay)
}

func noDelay(Faults) time.Duration { return 0 }

func callDelay(f Faults) time.Duration { return f.Delay.D() }

func orderDelay(f Faults) time.Duration { return f.Delay.D() + f.DelayOrders.D() }

// removeReplica removes a replica and frees its memory.
func (i *instance) removeReplica(r *replica) {
	for n, other := range i.replicas {
		if other == r {
			i.replicas = append(i.replicas[:n:n], i.replicas[n+1:]...)
			i.usedBytes -= r.order.Bytes
			return
		}
	}
}

// report returns the state, without checkpoints if knownVersion is their current version.
func (i *instance) report(knownVersion int64, now time.Time) orderer.Report {
	e := i.engine
	i.sequence++
	report := orderer.Report{
		Instance:           i.id,
		Sequence:           i.sequence,
		Fence:              i.fence,
		MemoryBytes:        e.MemoryBytes,
		UsedBytes:          i.usedBytes,
		Replicas:           make([]orderer.ReplicaReport, 0, len(i.replicas)),
		CheckpointsVersion: e.checkpoints.version,
	}
	for _, r := range i.replicas {
		report.Replicas = append(report.Replicas, r.report(now.Add(-e.ReportLag)))
	}
	if knownVersion != e.checkpoints.version {
		report.Checkpoints = e.checkpoints.report()
	}
	for len(i.events) > 0 && now.Sub(i.events[0].at) >= e.EventDelay {
		report.CacheEvents = append(report.CacheEvents, i.events[0].event)
		i.events = i.events[1:]
	}
	return report
}

package reducer

import (
	"testing"
	"time"

	"samphirewharf/internal/backend/orderer"
)

// TestSlotFreedByOthers checks that a request that waits because other daemons use all slots of a replica is
// dispatched when a report shows a free slot. No request of this daemon ends there, so nothing else triggers
// the dispatch.
func TestSlotFreedByOthers(t *testing.T) {
	f := newFixture(1, 1, 1, 0, 0)
	d, _ := f.machine.catalog.Deployment(f.deploymentNames[0])
	report := func(sequence int64, running int) []Effect {
		f.now.Monotonic += time.Second
		return f.step(ServerPolled{
			Server: serverName(0, 0), OK: true, SentAt: f.now.Monotonic,
			Report: orderer.Report{Instance: "e1", Sequence: sequence, Replicas: []orderer.ReplicaReport{{
				Replica: "r1", Deployment: d.Name, State: orderer.StateReady, Running: running,
			}}},
		})
	}
	report(1, d.MaxInFlight*4)
	got := dispatched(f.step(RequestArrived{Request: 7, Target: d.Name, Urgent: true}), 7)
	assertDispatched(t, got, false)
	got = dispatched(report(2, 0), 7)
	assertDispatched(t, got, true)
}

func assertDispatched(t *testing.T, got, want bool) {
	t.Helper()
	if got != want {
		t.Fatalf("got dispatched %t, want %t", got, want)
	}
}

func dispatched(effects []Effect, id RequestID) bool {
	for _, e := range effects {
		if d, ok := e.(Dispatch); ok && d.Request == id {
			return true
		}
	}
	return false
}

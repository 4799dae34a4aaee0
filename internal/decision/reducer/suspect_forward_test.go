package reducer

import (
	"testing"
	"time"

	"samphirewharf/internal/caller/refuser"
	"samphirewharf/internal/decision/tracker"
	"samphirewharf/internal/external/storer"
)

// Daemons may differ for a moment on which of them runs the suspects of a server, so that each forwards them to the other.
func TestSuspectsAreNotForwardedBackAndForth(t *testing.T) {
	const request, bodyHash = 2, 7
	f := newFixture(1, 1, 1, 0, 1)
	d2 := tracker.Daemon{ID: "d2", Instance: "i2", Address: "127.0.0.1:3", Zone: "z1"}
	value, err := d2.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if err := f.machine.members.ApplyChange(f.now.Monotonic, storer.Entry{Key: d2.Key(), Value: value, Revision: 1}, false); err != nil {
		t.Fatal(err)
	}
	arrive := func(id RequestID) []Effect {
		return f.step(RequestArrived{Request: id, Target: f.deploymentNames[0], Urgent: true, BodyHash: bodyHash})
	}
	arrive(1)
	hash := f.machine.requests[1].hash
	f.step(AttemptEnded{Request: 1, Attempt: 1, Outcome: AttemptDone, Status: 200})
	f.machine.isolator.Merge(nil, []uint64{hash}, f.now.Monotonic+time.Minute, f.now.Monotonic)
	owners := f.machine.cells[serviceName(0)].serverOwners
	owners[serverName(0, 0)] = d2.ID

	effects, forwards := arrive(request), 0
	for {
		attempt := 0
		for _, e := range effects {
			if forward, ok := e.(Forward); ok {
				attempt = forward.Attempt
			}
		}
		if attempt == 0 {
			break
		}
		forwards++
		effects = f.step(AttemptEnded{
			Request: request, Attempt: attempt, Outcome: AttemptRefused, Refusal: refuser.Refusal{Code: refuser.CodeForwardFailed, Ran: refuser.NotRun},
		})
	}
	if forwards != 1 {
		t.Errorf("got %d forwards at once, want 1", forwards)
	}
	owners[serverName(0, 0)] = "d1"
	f.now.Monotonic += suspectForwardDelay
	got := dispatched(f.step(Ticked{}), request)
	assertDispatched(t, got, true)
}

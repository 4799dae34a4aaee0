package conductor

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"samphirewharf/internal/decision/reducer"
)

const (
	// crashingFingerprint is the fingerprint of a virtualFleet's request that crashes engines.
	crashingFingerprint = 77
	// crashesOfRequest is the number of crashes after which a request must be known.
	crashesOfRequest = 3
)

// A crashingRequest is a request that crashes the engines that begin it, after the attempt may have ended.
type crashingRequest struct {
	// crashAfter is the time from the begin of the run to the end of the engine.
	crashAfter time.Duration
	// answerAfter is the time from the begin of the run to a whole answer, zero for none.
	answerAfter time.Duration
	// leaveAfter is the time from the request's arrival until the caller leaves, zero for never.
	leaveAfter time.Duration
	// timeLimit is how long the caller waits, zero for as long as the route allows.
	timeLimit time.Duration
	// part is a part that the request shares with others, zero for none.
	part uint64
}

// arriveCrashing sends the crashing request to a random daemon.
func (f *virtualFleet) arriveCrashing(c crashingRequest) {
	d := f.daemons[f.rng.IntN(len(f.daemons))]
	if d.machine == nil || d.down {
		return
	}
	f.attempts++
	id := reducer.RequestID(f.attempts)
	f.requests[id] = &virtualRequest{poison: true, crashing: &c, arrivedAt: f.now}
	limit := quick.Timeout
	if c.timeLimit > 0 {
		limit = c.timeLimit
	}
	parts := []PromptPart{{ID: firstPart, Tokens: 100}}
	if c.part > 0 {
		parts = append(parts, PromptPart{ID: c.part, Tokens: 100})
	}
	f.step(d, RequestArrived{
		Request: id, ID: attemptName(id), Route: quick, Version: 1, Service: engineService, Model: "m1", TimeLimit: limit,
		Fingerprint: crashingFingerprint, Parts: append(parts, PromptPart{ID: crashingFingerprint, Tokens: 100}),
	})
	if c.leaveAfter > 0 {
		f.after(c.leaveAfter, func() { f.step(d, CallerLeft{Request: id}) })
	}
}

// beginCrashing plays the run of a crashing request.
func (f *virtualFleet) beginCrashing(d *virtualDaemon, e Send, s *virtualServer, c crashingRequest) {
	if c.answerAfter > 0 {
		f.after(c.answerAfter, func() {
			if _, ok := s.running[e.Request]; ok {
				delete(s.running, e.Request)
				f.step(d, AttemptEnded{Request: e.Request, Attempt: e.Attempt, Outcome: reducer.AttemptDone, Latency: fleetFirstEvent, Status: 200})
			}
		})
	}
	f.after(c.crashAfter, func() {
		if s.up {
			f.crash(s)
		}
	})
}

func TestRequestWhoseServerEndsAfterItsAttempt(t *testing.T) {
	for _, c := range []struct {
		name     string
		crashing crashingRequest
		sound    float64
	}{
		{"while the attempt runs", crashingRequest{crashAfter: 60 * time.Millisecond}, 40},
		{"after its answer", crashingRequest{crashAfter: 60 * time.Millisecond, answerAfter: 15 * time.Millisecond}, 40},
		{"after its answer, with little other load", crashingRequest{crashAfter: 60 * time.Millisecond, answerAfter: 15 * time.Millisecond}, 4},
		{"after its caller left", crashingRequest{crashAfter: 60 * time.Millisecond, leaveAfter: fleetFirstEvent + 30*time.Millisecond}, 40},
		{"after its deadline", crashingRequest{crashAfter: 60 * time.Millisecond, timeLimit: fleetFirstEvent + 60*time.Millisecond}, 40},
	} {
		t.Run(c.name, func(t *testing.T) {
			sound, refused := 0, 0
			for seed := range uint64(6) {
				f := newVirtualFleet(t, 7, 18, seed)
				f.press(4*time.Second, c.sound, 0)
				for at := time.Duration(0); at < 30*time.Second; at += 700 * time.Millisecond {
					f.after(at, func() { f.arriveCrashing(c.crashing) })
				}
				f.press(34*time.Second, c.sound, 0)
				f.assertRequestHeldBack(t, fmt.Sprintf("seed %d", seed))
				for _, r := range f.requests {
					sound += boolToInt(!r.poison)
					refused += boolToInt(!r.poison && r.refused == RefusedPoison)
				}
			}
			if got, want := float64(refused), mostSoundRefused*float64(sound); got > want {
				t.Errorf("got %v of %d sound requests refused, want at most %v", got, sound, want)
			}
		})
	}
}

// assertRequestHeldBack checks that a crashing request reaches few engines once it has crashed three.
func (f *virtualFleet) assertRequestHeldBack(t *testing.T, seed string) {
	t.Helper()
	if len(f.crashes) < crashesOfRequest {
		t.Fatalf("%s: got %d crashes, want %d at least", seed, len(f.crashes), crashesOfRequest)
	}
	known := f.crashes[crashesOfRequest-1] + crashContact
	if late := len(slices.DeleteFunc(slices.Clone(f.poisonSends), func(at time.Duration) bool { return at <= known })); late > latePoisonSends {
		t.Errorf("%s: got the request at %d engines later than %v after crash %d (%d crashes), want at most %d", seed, late, crashContact, crashesOfRequest, len(f.crashes), latePoisonSends)
	}
}

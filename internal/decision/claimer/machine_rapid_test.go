package claimer

import (
	"testing"

	"pgregory.net/rapid"

	"samphirewharf/internal/external/storer"
)

// historySteps generates the steps of one history.
var historySteps = rapid.SliceOfN(rapid.Uint64(), 200, 800)

func TestMachineHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := runHistory(historySteps.Draw(t, "choices"), nil); err != nil {
			t.Fatal(err)
		}
	})
}

// mutations each break one rule of the Machine.
var mutations = []struct {
	name   string
	mutate func(*Machine)
}{
	{"grants when the outcome is unknown", func(m *Machine) {
		m.hooks.committed = func(r storer.Result) bool { return r == storer.ResultOK || r == storer.ResultUnknown }
	}},
	{"skips sealed segments", func(m *Machine) {
		m.hooks.sealedToRead = func([]string) []string { return nil }
	}},
	{"releases after dispatch", func(m *Machine) {
		m.hooks.mayAbandon = func(c *claim) bool { return c.undecided() || c.state == StateRunning }
	}},
	{"releases when the outcome is unknown", func(m *Machine) {
		m.hooks.fail = m.release
	}},
	{"grants what it denied as not run", func(m *Machine) {
		m.hooks.abandoned = func(*claim) bool { return false }
	}},
	{"ignores the revision", func(m *Machine) {
		m.hooks.writeRevision = func(int64) int64 { return anyRevision }
	}},
}

func TestMutationsAreFound(t *testing.T) {
	const seeds = 400
	for _, mutation := range mutations {
		t.Run(mutation.name, func(t *testing.T) {
			for seed := range seeds {
				if err := runHistory(historySteps.Example(seed), mutation.mutate); err != nil {
					t.Logf("seed %d: %v", seed, err)
					return
				}
			}
			t.Errorf("got no rule violation in %d histories, want one", seeds)
		})
	}
}

func TestHistoriesReachEveryOutcome(t *testing.T) {
	reached := make(map[string]bool)
	sealed := false
	for seed := range 100 {
		h := newHistory(nil)
		for i, c := range historySteps.Example(seed) {
			h.step(mix(c + uint64(i)<<32))
		}
		for _, r := range h.requests {
			reached[outcome(r.outcome)] = true
		}
		for key := range h.store.entries {
			sealed = sealed || len(key) > len("claims/cell/0")
		}
	}
	for _, want := range []string{
		"Granted", "Replayed", "AlreadyInProgress", "AlreadyRan", "ClaimUnavailable",
		"DeadlineExpired", "IdempotencyKeyReused", "OutcomeUnknown",
	} {
		if !reached[want] {
			t.Errorf("got no request that ends in %s, want one", want)
		}
	}
	if !sealed {
		t.Error("got no sealed segment, want one")
	}
}

// outcome returns the name of the answer to a request.
func outcome(a Action) string {
	switch a := a.(type) {
	case Granted:
		return "Granted"
	case Replayed:
		return "Replayed"
	case Denied:
		return a.Code.String()
	}
	return ""
}

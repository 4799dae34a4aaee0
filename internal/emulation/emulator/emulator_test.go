package emulator

import (
	"fmt"
	"testing"
	"time"

	"samphirewharf/internal/config/questioner"
	"samphirewharf/internal/emulation/tracer"
)

// testLength covers the batches of a night and the first hours of a working day.
const testLength = 10 * time.Hour

func TestRunKeepsInvariants(t *testing.T) {
	tests := []struct {
		example string
		servers int
		policy  string
	}{
		{"birlik", 0, "cold-start"},
		{"birlik", 3, "cold-start"},
		{"birlik", 3, "on-demand-lru"},
		{"birlik", 3, "random-10m"},
		{"bellmouth", 0, "idle-hours"},
		{"bellmouth", 3, "idle-hours"},
		{"bellmouth", 3, "on-demand-lru"},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprintf("%s %s on %d", tt.example, tt.policy, tt.servers), func(t *testing.T) {
			f, err := newEmulator(t, tt.example, tt.servers).Run(mustFindPolicy(t, tt.policy), 7)
			if err != nil {
				t.Fatal(err)
			}
			assertInvariants(t, f)
		})
	}
}

func TestRunIsDeterministic(t *testing.T) {
	e := newEmulator(t, "bellmouth", 4)
	e.Tracer.SessionsPerDay = 50
	first, err := e.Run(mustFindPolicy(t, "idle-hours"), 3)
	if err != nil {
		t.Fatal(err)
	}
	again, _ := e.Run(mustFindPolicy(t, "idle-hours"), 3)
	if first != again {
		t.Errorf("second run: got %+v, want %+v", again, first)
	}
	other, _ := e.Run(mustFindPolicy(t, "idle-hours"), 4)
	other.Seed = first.Seed
	if first == other {
		t.Errorf("run of another seed: got the same metrics %+v", other)
	}
}

func TestLeastRecentlyUsedNeverUnloadsWhileMemoryIsFree(t *testing.T) {
	e := newEmulator(t, "birlik", 0)
	f, err := e.Run(mustFindPolicy(t, "on-demand-lru"), 1)
	if err != nil {
		t.Fatal(err)
	}
	short, _ := e.Run(Policy{Name: "brief", KeepAlive: fixedKeepAlive(time.Second), EvictionScore: scoreLastUse}, 1)
	if got, want := loadsOf(f), loadsOf(short); got >= want {
		t.Errorf("loads: got %d, want fewer than the %d with a short keep-alive", got, want)
	}
	if got, want := f.IdleHours, short.IdleHours; got <= want {
		t.Errorf("idle hours: got %g, want more than the %g with a short keep-alive", got, want)
	}
}

func TestMeasurement(t *testing.T) {
	e := newEmulator(t, "bellmouth", 4)
	e.Tracer.SessionsPerDay = 20
	m := Experiment{Emulator: e, Policies: []Policy{mustFindPolicy(t, "keep-20m"), mustFindPolicy(t, "idle-hours")}, Seeds: []uint64{1, 2}, Workers: 3}
	report, err := m.Run()
	if err != nil {
		t.Fatal(err)
	}
	assertCount(t, "runs", len(report.Runs), 4)
	want, _ := e.Run(m.Policies[1], 1)
	if got := report.Runs[2]; got != want {
		t.Errorf("run: got %+v, want %+v", got, want)
	}
	both := report.Runs[2].IdleHours + report.Runs[3].IdleHours
	if got, want := report.Means[1].IdleHours, both/2; got-want > 1e-9 || want-got > 1e-9 {
		t.Errorf("mean of idle hours: got %g, want %g", got, want)
	}
}

func TestParsePolicies(t *testing.T) {
	for _, name := range []string{"keep-", "keep-soon", "none"} {
		if _, err := ParsePolicies([]string{name}); err == nil {
			t.Errorf("policy %q: got no error, want one", name)
		}
	}
	all, err := ParsePolicies(nil)
	if err != nil || len(all) != len(Policies()) {
		t.Errorf("policies: got %d and %v, want %d", len(all), err, len(Policies()))
	}
}

func assertCount(t *testing.T, name string, got, want int) {
	t.Helper()
	if got != want {
		t.Errorf("%s: got %d, want %d", name, got, want)
	}
}

// assertInvariants checks the invariants of all policies.
func assertInvariants(t *testing.T, f Metrics) {
	t.Helper()
	assertCount(t, "missed deadlines", f.Missed, 0)
	assertCount(t, "requests refused or served", f.Refused+f.Served+f.Waiting, f.Requests)
	assertCount(t, "requests cut", f.Cut, 0)
	assertCount(t, "loads that did not fit", f.Overcommitted, 0)
	assertCount(t, "starts beyond the weight store's rate", f.Delayed, 0)
	if got, want := f.MostLoads, 4; got > want {
		t.Errorf("concurrent loads: got %d, want at most %d", got, want)
	}
	if f.Requests == 0 || f.Cold == 0 || loadsOf(f) == 0 {
		t.Errorf("requests, cold starts and loads: got %d, %d and %d, want some", f.Requests, f.Cold, loadsOf(f))
	}
}

func loadsOf(f Metrics) int { return f.RemoteLoads + f.DiskLoads + f.MemoryLoads }

func mustFindPolicy(t *testing.T, name string) Policy {
	t.Helper()
	p, ok := findPolicy(Policies(), name)
	if !ok {
		t.Fatalf("policy %s: got none, want one", name)
	}
	return p
}

// newEmulator returns an emulator of the first hours of one day. If servers is 0, it uses the example's number of
// servers.
func newEmulator(t *testing.T, example string, servers int) Emulator {
	t.Helper()
	data, err := questioner.Example(example)
	if err != nil {
		t.Fatal(err)
	}
	q, err := questioner.Parse(data)
	if err != nil {
		t.Fatal(err)
	}
	if servers > 0 {
		q.Services[0].Servers = servers
	}
	e := Emulator{Questionnaire: q, Tracer: tracer.Default()}
	e.Tracer.Days = 1
	e.Duration = testLength
	return e
}

func TestPreloadBringsCheckpointsNear(t *testing.T) {
	e := newEmulator(t, "bellmouth", 0)
	with, err := e.Run(mustFindPolicy(t, "idle-hours"), 1)
	if err != nil {
		t.Fatal(err)
	}
	policy := mustFindPolicy(t, "idle-hours")
	policy.Preload = false
	without, _ := e.Run(policy, 1)
	if got, want := with.Waited.P95, without.Waited.P95; got >= want {
		t.Errorf("cold-start time at p95: got %g s, want less than the %g s without preloading", got, want)
	}
	if got, want := with.IdleHours, 1.1*without.IdleHours; got > want {
		t.Errorf("idle hours: got %g, want at most %g", got, want)
	}
}

package router

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"samphirewharf/internal/backend/orderer"
)

func TestChoose(t *testing.T) {
	prompt := []uint64{1, 2, 3, 4}
	tests := []struct {
		name       string
		candidates []Candidate
		want       string
		reason     Reason
	}{
		{"none", nil, "", ReasonNone},
		{"all full", []Candidate{full("a"), full("b")}, "", ReasonNone},
		{"one free", []Candidate{full("a"), idle("b"), full("c")}, "b", ReasonOnly},
		{"less loaded", []Candidate{busy("a", 3), idle("b")}, "b", ReasonLoad},
		{"own zone", []Candidate{{Replica: "a", Zone: "far", AdapterReady: true}, idle("b")}, "b", ReasonLoad},
		{"adapter ready", []Candidate{{Replica: "a", Zone: "here"}, busy("b", 1)}, "b", ReasonLoad},
		{"prefix", []Candidate{busy("cached", 3), idle("b")}, "cached", ReasonPrefix},
		{"prefix of a loaded replica", []Candidate{busy("cached", 9), idle("b")}, "b", ReasonLoad},
		{"suspect", []Candidate{{Replica: "a", Suspect: true}, busy("b", 7)}, "b", ReasonOnly},
		{"only suspects", []Candidate{{Replica: "a", Suspect: true}, full("b")}, "a", ReasonSuspect},
		{
			"newer report", []Candidate{
				{Replica: "a", Zone: "here", ReportedLoad: 6, ReportAge: 0, AdapterReady: true},
				{Replica: "b", Zone: "here", ReportedLoad: 6, ReportAge: 4 * time.Second, AdapterReady: true},
			}, "b", ReasonLoad,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var r Router
			r.Prefixes.RecordSent("cached", prompt)
			for seed := range uint64(20) {
				got := r.Choose(candidatesOf(tt.candidates), prompt, "here", rand.New(rand.NewPCG(seed, 0)))
				assertChoice(t, tt.candidates, got, tt.want, tt.reason)
			}
		})
	}
}

func TestChooseAmongMany(t *testing.T) {
	var r Router
	r.Prefixes.RecordSent("replica-33", []uint64{1, 2})
	candidates := replicas(50)
	rng := rand.New(rand.NewPCG(1, 2))
	for range 100 {
		got := r.Choose(candidatesOf(candidates), []uint64{1, 2, 3}, "here", rng)
		assertChoice(t, candidates, got, "replica-33", got.Reason)
	}
	for i := range candidates {
		candidates[i].OwnInFlight = candidates[i].MaxInFlight
	}
	candidates[17] = idle("only")
	for range 100 {
		got := r.Choose(candidatesOf(candidates), []uint64{1, 2, 3}, "here", rng)
		assertChoice(t, candidates, got, "only", ReasonOnly)
	}
}

func TestChooseDoesNotAllocate(t *testing.T) {
	r, candidates, prompts := benchmarkInput()
	rng := rand.New(rand.NewPCG(1, 2))
	if got := testing.AllocsPerRun(1000, func() { r.Choose(candidates, prompts[0], "here", rng) }); got != 0 {
		t.Errorf("allocations: got %g, want 0", got)
	}
}

func BenchmarkChoose(b *testing.B) {
	r, candidates, prompts := benchmarkInput()
	indexed := candidates
	indexes := make(map[string]int)
	for i := range candidates.Len {
		indexes[candidates.At(i).Replica] = i
	}
	indexed.Find = func(replica string) (int, bool) {
		i, ok := indexes[replica]
		return i, ok
	}
	for name, c := range map[string]Candidates{
		"Free": candidates, "Indexed": indexed, "Full": {Len: 50, At: func(int) Candidate { return full("r") }},
	} {
		b.Run(name, func(b *testing.B) {
			rng := rand.New(rand.NewPCG(1, 2))
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				r.Choose(c, prompts[i%len(prompts)], "here", rng)
			}
		})
	}
}

func assertChoice(t *testing.T, candidates []Candidate, choice Choice, want string, reason Reason) {
	t.Helper()
	got := ""
	if choice.Index >= 0 {
		got = candidates[choice.Index].Replica
	}
	if got != want || choice.Reason != reason {
		t.Fatalf("choice: got %q (%s), want %q (%s)", got, choice.Reason, want, reason)
	}
	if choice.Other >= 0 && (choice.Other == choice.Index || choice.OtherScore < choice.Score) {
		t.Fatalf("alternative: got %+v, want another one with a higher score", choice)
	}
}

// benchmarkInput returns 50 replicas that have cached 2000 prompts of 8 prefixes, half of each prompt shared.
func benchmarkInput() (*Router, Candidates, [][]uint64) {
	r := new(Router)
	candidates := replicas(50)
	prompts := make([][]uint64, 2000)
	for i := range prompts {
		prompts[i] = make([]uint64, 8)
		for j := range prompts[i] {
			prompts[i][j] = uint64(i*100 + j)
			if j < 4 {
				prompts[i][j] = uint64(i%20*100 + 10 + j)
			}
		}
		r.Prefixes.ApplyEvent(orderer.CacheEvent{Replica: candidates[i%50].Replica, Sequence: int64(i/50 + 1), Prefix: 7, Stored: true})
		r.Prefixes.RecordSent(candidates[i%50].Replica, prompts[i])
	}
	return r, candidatesOf(candidates), prompts
}

func busy(replica string, inFlight int) Candidate {
	c := idle(replica)
	c.OwnInFlight = inFlight
	return c
}

func full(replica string) Candidate { return busy(replica, 16) }

func idle(replica string) Candidate {
	return Candidate{Replica: replica, Server: replica, Zone: "here", MaxInFlight: 16, AdapterReady: true}
}

func candidatesOf(candidates []Candidate) Candidates {
	return Candidates{Len: len(candidates), At: func(i int) Candidate { return candidates[i] }}
}

func replicas(n int) []Candidate {
	candidates := make([]Candidate, n)
	for i := range candidates {
		candidates[i] = idle(fmt.Sprintf("replica-%d", i))
	}
	return candidates
}

package router

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const (
	herdRouters   = 7
	herdReplicas  = 50
	herdMean      = 10 // Requests at a replica.
	herdTick      = 10 * time.Millisecond
	herdStaleness = 200 // Ticks that reports are old.
	herdTicks     = 6000
)

func TestChooseDoesNotHerd(t *testing.T) {
	for _, service := range []time.Duration{500 * time.Millisecond, time.Second, 10 * time.Second} {
		t.Run(fmt.Sprint(service), func(t *testing.T) {
			var r Router
			got := newHerdSimulation(service).peak(func(c []Candidate, rng *rand.Rand) int {
				candidates := candidatesOf(c)
				candidates.ServiceTime = service
				return r.Choose(candidates, nil, "here", rng).Index
			})
			random := newHerdSimulation(service).peak(func(c []Candidate, rng *rand.Rand) int { return rng.IntN(len(c)) })
			leastReported := newHerdSimulation(service).peak(func(c []Candidate, _ *rand.Rand) int {
				best := slices.MinFunc(c, func(a, b Candidate) int { return a.ReportedLoad - b.ReportedLoad })
				return slices.Index(c, best)
			})
			t.Logf("peak load at mean %d: two choices %d, random %d, least reported load %d",
				herdMean, got, random, leastReported)
			if want := random; got > want {
				t.Errorf("peak load: got %d, want at most that of random choice, %d", got, want)
			}
			if want := leastReported / 2; got > want {
				t.Errorf("peak load: got %d, want at most half of that of least reported load, %d", got, want)
			}
		})
	}
}

// A herdSimulation is a set of routers that share replicas and see each other's load with a delay.
type herdSimulation struct {
	rng     *rand.Rand
	service int
	now     loads
	// history has the values of now in the last herdStaleness ticks.
	history [herdStaleness]loads
	// ends has the requests that end in each tick, as pairs of router and replica.
	ends [herdTicks][][2]int
}

// loads has the requests in flight of each router at each replica, and the sums over the routers.
type loads struct {
	own   [herdRouters][herdReplicas]int
	total [herdReplicas]int
}

func newHerdSimulation(service time.Duration) *herdSimulation {
	return &herdSimulation{rng: rand.New(rand.NewPCG(3, 4)), service: int(service / herdTick)}
}

func (h *herdSimulation) arrive(router, tick int, choose func([]Candidate, *rand.Rand) int) {
	replica := choose(h.candidates(router, tick), h.rng)
	h.now.own[router][replica]++
	h.now.total[replica]++
	end := tick + h.service/2 + h.rng.IntN(h.service)
	if end < herdTicks {
		h.ends[end] = append(h.ends[end], [2]int{router, replica})
	}
}

func (h *herdSimulation) candidates(router, tick int) []Candidate {
	candidates := make([]Candidate, herdReplicas)
	reported := &h.history[tick%herdStaleness]
	for i := range candidates {
		candidates[i] = Candidate{
			Zone: "here", AdapterReady: true, OwnInFlight: h.now.own[router][i],
			ReportedLoad: reported.total[i] - reported.own[router][i], ReportAge: herdStaleness * herdTick,
		}
	}
	return candidates
}

// peak returns the highest load of any replica after the warm-up.
func (h *herdSimulation) peak(choose func([]Candidate, *rand.Rand) int) int {
	highest := 0
	due := 0
	for tick := range herdTicks {
		for _, end := range h.ends[tick] {
			h.now.own[end[0]][end[1]]--
			h.now.total[end[1]]--
		}
		due += herdMean * herdReplicas
		for ; due >= h.service; due -= h.service {
			h.arrive(h.rng.IntN(herdRouters), tick, choose)
		}
		h.history[tick%herdStaleness] = h.now
		if tick > 2*herdStaleness+2*h.service {
			highest = max(highest, slices.Max(h.now.total[:]))
		}
	}
	return highest
}

package sharer

import (
	"maps"
	"slices"
	"time"
)

// count adds tokens to what a workspace has asked for.
func (s *Sharer) count(workspace string, tokens float64) {
	if s.demands == nil {
		s.demands = make(map[string]float64)
	}
	if _, known := s.demands[workspace]; !known {
		s.weight += s.quotaWeight(workspace)
	}
	s.demands[workspace] += tokens
	s.demand += tokens
}

// decay halves the demands for each half-life that has passed, and forgets small ones and tags that have no effect any more.
func (s *Sharer) decay(now time.Duration) {
	halvings := int((now - s.halvedAt) / demandHalfLife)
	if halvings < 1 {
		return
	}
	s.halvedAt += time.Duration(halvings) * demandHalfLife
	scale := 1 / float64(uint64(1)<<min(halvings, 63))
	for workspace, demand := range s.demands {
		s.demands[workspace] = demand * scale
	}
	maps.DeleteFunc(s.demands, func(_ string, demand float64) bool { return demand < minDemand })
	for _, l := range s.lines {
		maps.DeleteFunc(l.finishes, func(_ string, finish float64) bool { return finish <= l.virtual })
	}
	s.sumUp()
}

// sumUp sets the sums over the workspaces in demands, in the order of their names, since sums of floating-point numbers depend on
// it.
func (s *Sharer) sumUp() {
	s.demand, s.weight = 0, 0
	for _, workspace := range slices.Sorted(maps.Keys(s.demands)) {
		s.demand += s.demands[workspace]
		s.weight += s.quotaWeight(workspace)
	}
}

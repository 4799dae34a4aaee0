package feeder

import (
	"cmp"
	"maps"
	"slices"

	"samphirewharf/internal/peer/messenger"
)

// mergeFleet merges a later message of the leader with one that has not been relayed yet.
func mergeFleet(earlier, later *messenger.Fleet) *messenger.Fleet {
	switch {
	case later == nil:
		return earlier
	case earlier == nil || earlier.Fence != later.Fence || later.Whole:
		return later
	case later.Changes && !earlier.Changes && !earlier.Whole:
		// The receivers ask for what the earlier message leaves out.
		return later
	}
	merged := *later
	merged.Servers = mergeLists(earlier.Servers, later.Servers, func(s messenger.FleetServer) string { return s.Server })
	if !later.Changes {
		return &merged
	}
	merged.Whole, merged.Changes, merged.Previous = earlier.Whole, earlier.Changes, earlier.Previous
	merged.Counted = earlier.Counted || later.Counted
	merged.Servers = slices.DeleteFunc(merged.Servers, func(s messenger.FleetServer) bool { return slices.Contains(later.Gone, s.Server) })
	merged.Gone = slices.Clone(later.Gone)
	for _, id := range earlier.Gone {
		if !slices.ContainsFunc(merged.Servers, func(s messenger.FleetServer) bool { return s.Server == id }) && !slices.Contains(merged.Gone, id) {
			merged.Gone = append(merged.Gone, id)
		}
	}
	type loadingKey struct{ service, model, adapter, softwareVersion string }
	merged.Loading = mergeLists(earlier.Loading, later.Loading, func(l messenger.Loading) loadingKey {
		return loadingKey{l.Service, l.Model, l.Adapter, l.SoftwareVersion}
	})
	merged.RateLimits = mergeLists(earlier.RateLimits, later.RateLimits, func(l messenger.RateLimit) string { return l.Server })
	if len(earlier.InFlight) > 0 {
		merged.InFlight = maps.Clone(earlier.InFlight)
		maps.Copy(merged.InFlight, later.InFlight)
	}
	return &merged
}

// mergeLists returns the later elements, and the earlier ones whose key isn't among them.
func mergeLists[T any, K comparable](earlier, later []T, key func(T) K) []T {
	inLater := make(map[K]bool, len(later))
	for _, e := range later {
		inLater[key(e)] = true
	}
	merged := slices.Clone(later)
	for _, e := range earlier {
		if !inLater[key(e)] {
			merged = append(merged, e)
		}
	}
	return merged
}

// mergeEvidence merges later evidence with some that has not been relayed yet.
func mergeEvidence(earlier, later *messenger.Evidence) *messenger.Evidence {
	if earlier == nil || later == nil {
		return cmp.Or(later, earlier)
	}
	merged := *later
	for _, s := range earlier.Suspects {
		if !slices.ContainsFunc(later.Suspects, func(l messenger.Suspect) bool { return l.Part == s.Part && l.Fingerprint == s.Fingerprint }) {
			merged.Suspects = append(merged.Suspects[:len(merged.Suspects):len(merged.Suspects)], s)
		}
	}
	return &merged
}

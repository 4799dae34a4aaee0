package conductor

import (
	"maps"
	"slices"

	"samphirewharf/internal/decision/placer"
)

// Streams that have begun wait for servers of one software version. A model that servers of other versions have loaded isn't
// there for them, so what they lack is planned among the servers of their version, before the plan for all.

// pinnedDemands returns the demands of requests that are bound to a version, by version.
func (m *Machine) pinnedDemands(service string) map[string][]placer.Demand {
	byKey := make(map[modelKey]*placer.Demand)
	demandFor := func(k modelKey) *placer.Demand {
		d, ok := byKey[k]
		if !ok {
			d = &placer.Demand{Model: k.model, Adapter: k.adapter}
			byKey[k] = d
		}
		return d
	}
	for _, reported := range m.demand.byDaemon {
		if m.now > reported.receivedAt+demandTTL {
			continue
		}
		for _, d := range reported.demand.Models {
			k := modelKey{service: d.Service, model: d.Model, adapter: d.Adapter, softwareVersion: d.SoftwareVersion, pinned: true}
			if !d.Pinned || d.Service != service || d.Waiting == 0 {
				continue
			}
			for _, key := range keyAndModel(k) {
				demandFor(key).Waiting += d.Waiting
			}
		}
	}
	for k, history := range m.demand.history {
		if refused := history.RecentRefusals(m.now); k.pinned && k.service == service && refused > 0 {
			for _, key := range keyAndModel(k) {
				demandFor(key).Refused += refused
			}
		}
	}
	byVersion := make(map[string][]placer.Demand)
	for k, d := range byKey {
		byVersion[k.softwareVersion] = append(byVersion[k.softwareVersion], *d)
	}
	for _, list := range byVersion {
		slices.SortFunc(list, placer.Demand.Compare)
	}
	return byVersion
}

// planPinned orders what streams need at servers of their versions. It marks the servers that get orders as not free.
func (m *Machine) planPinned(service string, in *placer.Input) {
	byVersion := m.pinnedDemands(service)
	for _, version := range slices.Sorted(maps.Keys(byVersion)) {
		servers := slices.DeleteFunc(slices.Clone(in.Servers), func(s placer.Server) bool {
			return m.servers[s.ID].entry.SoftwareVersion != version
		})
		if len(servers) == 0 {
			continue
		}
		for _, step := range placer.PlanLacking(*in, servers, byVersion[version]) {
			m.giveOrder(service, step)
			in.MarkOrdered(step)
		}
	}
}

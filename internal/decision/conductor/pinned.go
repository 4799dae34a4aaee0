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
		if refused := history.recentRefusals(m.now); k.pinned && k.service == service && refused > 0 {
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
		slices.SortFunc(list, compareDemands)
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
		lacking := slices.DeleteFunc(byVersion[version], func(d placer.Demand) bool { return hasLoaded(servers, d) })
		if len(servers) == 0 || len(lacking) == 0 {
			continue
		}
		restricted := *in
		restricted.Servers = servers
		// The other demands of models that these servers have weigh against evicting them.
		restricted.Demands = append(slices.Clone(lacking), slices.DeleteFunc(slices.Clone(in.Demands), func(d placer.Demand) bool {
			return !hasLoaded(servers, d)
		})...)
		slices.SortFunc(restricted.Demands, compareDemands)
		for _, step := range placer.Plan(restricted).Steps {
			if isFor(lacking, step) {
				m.giveOrder(service, step)
				in.MarkOrdered(step)
			}
		}
	}
}

// hasLoaded reports whether one of the servers has a model or adapter, or is loading it.
func hasLoaded(servers []placer.Server, d placer.Demand) bool {
	return slices.ContainsFunc(servers, func(s placer.Server) bool {
		if d.Adapter == "" && s.Loading == d.Model || slices.Contains(s.PendingAdapters, modelName(d.Model, d.Adapter)) {
			return true
		}
		return slices.ContainsFunc(s.Models, func(loaded placer.Model) bool {
			return loaded.Name == d.Model && (d.Adapter == "" || slices.ContainsFunc(loaded.Adapters, func(a placer.Adapter) bool { return a.Name == d.Adapter }))
		})
	})
}

// isFor reports whether a step serves one of the demands.
func isFor(demands []placer.Demand, step placer.Step) bool {
	return slices.ContainsFunc(demands, func(d placer.Demand) bool {
		return step.Goal == d.Model || step.Model == d.Model && (step.Adapter == "" || step.Adapter == d.Adapter)
	})
}

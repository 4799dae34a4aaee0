package placer

import (
	"cmp"
	"slices"
)

// Compare orders demands by model and adapter.
func (d Demand) Compare(other Demand) int {
	return cmp.Or(cmp.Compare(d.Model, other.Model), cmp.Compare(d.Adapter, other.Adapter))
}

// PlanLacking returns the orders for what none of some servers has or loads, among just these servers. The other demands of models that they
// have weigh against evicting those.
func PlanLacking(in Input, servers []Server, demands []Demand) []Step {
	lacking := slices.DeleteFunc(slices.Clone(demands), func(d Demand) bool { return isPlaced(servers, d) })
	if len(lacking) == 0 {
		return nil
	}
	in.Servers = servers
	in.Demands = append(slices.Clone(lacking), slices.DeleteFunc(slices.Clone(in.Demands), func(d Demand) bool { return !isPlaced(servers, d) })...)
	slices.SortFunc(in.Demands, Demand.Compare)
	return slices.DeleteFunc(Plan(in).Steps, func(s Step) bool { return !s.serves(lacking) })
}

// isPlaced reports whether one of the servers has a model or adapter, or is loading it.
func isPlaced(servers []Server, d Demand) bool {
	return slices.ContainsFunc(servers, func(s Server) bool {
		if d.Adapter == "" && s.Loading == d.Model || slices.Contains(s.PendingAdapters, d.Model+"/"+d.Adapter) {
			return true
		}
		return slices.ContainsFunc(s.Models, func(m Model) bool {
			return m.Name == d.Model && (d.Adapter == "" || slices.ContainsFunc(m.Adapters, func(a Adapter) bool { return a.Name == d.Adapter }))
		})
	})
}

// serves reports whether a step serves one of the demands.
func (s Step) serves(demands []Demand) bool {
	return slices.ContainsFunc(demands, func(d Demand) bool {
		return s.Goal == d.Model || s.Model == d.Model && (s.Adapter == "" || s.Adapter == d.Adapter)
	})
}

package placer

import (
	"cmp"
	"slices"
	"time"

	"samphirewharf/internal/fleet/registrar"
)

// minAdapterResidence is how long an adapter stays loaded at least after its load or last use, about ten times its load
// time.
const minAdapterResidence = 100 * time.Millisecond

// placeAdapters orders the load of each adapter with waiting requests at a server that has its model.
func (p *planner) placeAdapters() {
	usedServers := make(map[string]bool)
	for _, s := range p.steps {
		// An order contains the number of orders that the server has accepted before. An order for a model in the same
		// plan changes that number, so the server would refuse the adapter's order.
		if s.Model != "" {
			usedServers[s.Server] = true
		}
	}
	for _, d := range p.missingAdapters() {
		if server := p.placeAtBestServer(d, usedServers); server != "" {
			usedServers[server] = true
		} else {
			p.forecastAdapter(d)
		}
	}
}

// placeAtBestServer adds the step for an adapter at the best server that has its model, and returns the server's ID, or
// "" if no server can take it.
func (p *planner) placeAtBestServer(d Demand, usedServers map[string]bool) string {
	var candidates []*Server
	for _, s := range p.serversByModel[d.Model] {
		isUnloading := slices.Contains(s.UnloadingAdapters, d.Model+"/"+d.Adapter)
		if s.FreeForAdapter && !isUnloading && !usedServers[s.ID] && s.Goal == "" {
			candidates = append(candidates, s)
		}
	}
	slices.SortFunc(candidates, func(a, b *Server) int {
		return cmp.Or(cmp.Compare(a.UsedAdapterSlots(), b.UsedAdapterSlots()), cmp.Compare(a.runningRequests(), b.runningRequests()), cmp.Compare(a.ID, b.ID))
	})
	for _, s := range candidates {
		if p.placeAdapter(*s, d) {
			return s.ID
		}
	}
	return ""
}

// forecastAdapter adds a forecast for an adapter that can't be loaded now, because its servers are loading a model or
// all adapters there are in use.
func (p *planner) forecastAdapter(d Demand) {
	if d.Waiting == 0 || p.replicaCounts[d.Model] == 0 || p.in.HasForecast[d.Model+"/"+d.Adapter] {
		return
	}
	f := Forecast{Model: d.Model, Adapter: d.Adapter, ReadyIn: maxForecast, Reason: reasonEnginesBusy}
	for _, s := range p.serversByModel[d.Model] {
		ready := s.FreeIn
		if _, _, idle := s.leastRecentlyUsedAdapter(p.in.Now); !idle && !p.hasRoomForAdapter(*s, d.Model) {
			ready += drainDelay
		}
		f.ReadyIn = min(f.ReadyIn, ready)
	}
	if f.ReadyIn > minAdapterResidence {
		p.adapterForecasts = append(p.adapterForecasts, f)
	}
}

func (p *planner) hasRoomForAdapter(s Server, model string) bool {
	return s.UsedAdapterSlots() < p.in.Engine.AdapterSlots && p.freeMegabytes(s) >= p.in.Engine.Models[model].AdapterMegabytes
}

// missingAdapters returns the demands for adapters that no server has or loads, the one with the most waiting requests
// first. Nothing is loaded for a model that the configuration no longer has.
func (p *planner) missingAdapters() []Demand {
	var list []Demand
	for _, d := range p.in.Demands {
		if _, ok := p.in.Engine.Models[d.Model]; !ok {
			continue
		}
		if d.Adapter != "" && d.Waiting+d.Refused > 0 && !p.isAdapterPlaced(d) {
			list = append(list, d)
		}
	}
	slices.SortFunc(list, func(a, b Demand) int {
		return cmp.Or(
			cmp.Compare(b.Waiting, a.Waiting), cmp.Compare(b.Refused, a.Refused),
			cmp.Compare(a.Model, b.Model), cmp.Compare(a.Adapter, b.Adapter),
		)
	})
	return list
}

func (p *planner) isAdapterPlaced(d Demand) bool { return p.placedAdapters[d.Model+"/"+d.Adapter] }

// placeAdapter adds a step that loads an adapter at a server, or evicts the least recently used one to make room. It
// returns false if neither is possible. No adapter is evicted for one without waiting requests.
func (p *planner) placeAdapter(s Server, d Demand) bool {
	step := Step{Server: s.ID, Goal: s.Goal, Operation: registrar.OperationLoad, Model: d.Model, Adapter: d.Adapter, Reason: "AdapterWanted"}
	if p.hasRoomForAdapter(s, d.Model) {
		p.steps = append(p.steps, step)
		return true
	}
	victim, victimModel, ok := s.leastRecentlyUsedAdapter(p.in.Now)
	if !ok || d.Waiting == 0 {
		return false
	}
	step.Operation = registrar.OperationUnload
	step.Model, step.Adapter, step.Reason = victimModel, victim.Name, "AdapterMakesWay"
	p.steps = append(p.steps, step)
	return true
}

// leastRecentlyUsedAdapter returns the idle and confirmed adapter that was used longest ago, its model, and whether there is one that
// has been unused for minAdapterResidence.
func (s Server) leastRecentlyUsedAdapter(now time.Duration) (Adapter, string, bool) {
	var best Adapter
	model, found := "", false
	for _, m := range s.Models {
		for _, a := range m.Adapters {
			if !a.Busy && !a.Unconfirmed && now >= a.UsedAt+minAdapterResidence && (!found || a.UsedAt < best.UsedAt) {
				best, model, found = a, m.Name, true
			}
		}
	}
	return best, model, found
}

func (s Server) adapterCount() int {
	n := 0
	for _, m := range s.Models {
		n += len(m.Adapters)
	}
	return n
}

// UsedAdapterSlots returns the number of adapters that are loaded, being loaded or being unloaded.
func (s Server) UsedAdapterSlots() int {
	return s.adapterCount() + len(s.PendingAdapters) + len(s.UnloadingAdapters)
}

func (s Server) runningRequests() int {
	n := 0
	for _, m := range s.Models {
		n += m.Running
	}
	return n
}

package placer

import (
	"cmp"
	"slices"
	"time"

	"samphirewharf/internal/fleet/registrar"
)

// adapterResidence is how long an adapter stays at least, about ten times as long as one takes to load.
const adapterResidence = 100 * time.Millisecond

// placeAdapters gives each adapter that requests wait for a place at a server that holds its model.
func (p *planner) placeAdapters() {
	taken := make(map[string]bool)
	for _, s := range p.steps {
		// An order for a model moves the count of orders, which an adapter's order names.
		if s.Model != "" {
			taken[s.Server] = true
		}
	}
	for _, d := range p.wantedAdapters() {
		if at := p.placeAtBest(d, taken); at != "" {
			taken[at] = true
		} else {
			p.foretellAdapter(d)
		}
	}
}

// placeAtBest gives the order for an adapter at the server of its model that suits best, and returns which that is, if
// there is one.
func (p *planner) placeAtBest(d Demand, taken map[string]bool) string {
	var candidates []*Server
	for _, s := range p.holders[d.Model] {
		if s.FreeForAdapter && !taken[s.ID] && s.Goal == "" {
			candidates = append(candidates, s)
		}
	}
	slices.SortFunc(candidates, func(a, b *Server) int {
		return cmp.Or(cmp.Compare(a.adapterCost(), b.adapterCost()), cmp.Compare(a.running(), b.running()), cmp.Compare(a.ID, b.ID))
	})
	for _, s := range candidates {
		if p.placeAdapter(*s, d) {
			return s.ID
		}
	}
	return ""
}

// foretellAdapter notes when an adapter can find a place, if that is not at once: its servers are busy with the load of a
// model, or all adapters there are in use.
func (p *planner) foretellAdapter(d Demand) {
	if d.Waiting == 0 || p.copies[d.Model] == 0 || p.in.HasForecast[d.Model+"/"+d.Adapter] {
		return
	}
	f := Forecast{Model: d.Model, Adapter: d.Adapter, ReadyIn: forecastMost, Reason: reasonBusy}
	for _, s := range p.holders[d.Model] {
		ready := s.FreeIn
		if _, _, idle := s.unusedAdapter(p.in.Now); !idle && !p.roomForAdapter(*s, d.Model) {
			ready += runningPause
		}
		f.ReadyIn = min(f.ReadyIn, ready)
	}
	if f.ReadyIn > adapterResidence {
		p.foretold = append(p.foretold, f)
	}
}

func (p *planner) roomForAdapter(s Server, model string) bool {
	return s.adapters()+len(s.PendingAdapters) < p.in.Engine.AdapterSlots && p.room(s) >= p.in.Engine.Models[model].AdapterMegabytes
}

// wantedAdapters returns the demands for adapters that no server has, the most waited for first.
func (p *planner) wantedAdapters() []Demand {
	var list []Demand
	for _, d := range p.in.Demands {
		if d.Adapter != "" && d.Waiting+d.Refused > 0 && !p.adapterHeld(d) {
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

func (p *planner) adapterHeld(d Demand) bool { return p.adapters[d.Model+"/"+d.Adapter] }

// placeAdapter loads an adapter at a server, or drops the one there that was unused for longest. It returns false if
// neither can be done. None makes way for one that nobody waits for any more.
func (p *planner) placeAdapter(s Server, d Demand) bool {
	step := Step{Server: s.ID, Goal: s.Goal, Operation: registrar.OperationLoad, Model: d.Model, Adapter: d.Adapter, Reason: "AdapterWanted"}
	if p.roomForAdapter(s, d.Model) {
		p.steps = append(p.steps, step)
		return true
	}
	victim, of, ok := s.unusedAdapter(p.in.Now)
	if !ok || d.Waiting == 0 {
		return false
	}
	step.Operation = registrar.OperationUnload
	step.Model, step.Adapter, step.Reason = of, victim.Name, "AdapterMakesWay"
	p.steps = append(p.steps, step)
	return true
}

// unusedAdapter returns the adapter without requests that was unused for longest.
func (s Server) unusedAdapter(now time.Duration) (Adapter, string, bool) {
	var best Adapter
	of, found := "", false
	for _, m := range s.Models {
		for _, a := range m.Adapters {
			if !a.Busy && now >= a.UsedAt+adapterResidence && (!found || a.UsedAt < best.UsedAt) {
				best, of, found = a, m.Name, true
			}
		}
	}
	return best, of, found
}

func (s Server) adapters() int {
	n := 0
	for _, m := range s.Models {
		n += len(m.Adapters)
	}
	return n
}

func (s Server) adapterCost() int { return s.adapters() + len(s.PendingAdapters) }

func (s Server) running() int {
	n := 0
	for _, m := range s.Models {
		n += m.Running
	}
	return n
}

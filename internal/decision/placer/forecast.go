package placer

import (
	"slices"
	"time"
)

const (
	// forecastMost is how far ahead a forecast looks: as long as the longest that a caller may be told to stay away.
	forecastMost = 15 * time.Second
	// leastRate is the rate, in requests a second, that a model without arrivals is taken to have.
	leastRate = 0.1
)

// A Forecast tells when a model or adapter that is asked for, and for which no order is given now, can be there.
type Forecast struct {
	Model   string
	Adapter string
	ReadyIn time.Duration
	// Reason is what it waits for most.
	Reason string
}

// The reasons of forecasts.
const (
	reasonBusy   = "EnginesBusy"
	reasonFresh  = "OthersJustLoaded"
	reasonWanted = "OthersMoreWanted"
	reasonStore  = "StoreBusy"
)

// forecasts returns the forecasts of models that this plan gives no order for.
func (p *planner) forecasts(unmet []need) []Forecast {
	var list []Forecast
	for _, n := range unmet {
		best := Forecast{Model: n.model.Name, ReadyIn: forecastMost, Reason: reasonWanted}
		for _, s := range p.in.Servers {
			if f := p.forecastAt(s, n); f.ReadyIn < best.ReadyIn {
				best = f
			}
		}
		list = append(list, best)
	}
	return list
}

// forecastAt returns when a server can have the model: once it is free, once the models that make way may go and are
// wanted little enough beside this one, and once the weight store has a load to spare.
func (p *planner) forecastAt(s Server, n need) Forecast {
	f := Forecast{Model: n.model.Name, Reason: reasonBusy}
	tier := s.tier(n.model.Name)
	f.ReadyIn = s.FreeIn
	if p.taken[s.ID] {
		f.ReadyIn += LoadTime(p.in.Engine.Models[s.Goal], s.tier(s.Goal)) + minResidence
	}
	if tier == TierStore && p.stores <= 0 && n.model.StoreLoadTime/2 > f.ReadyIn {
		// A load that runs is on average half done.
		f.ReadyIn, f.Reason = n.model.StoreLoadTime/2, reasonStore
	}
	missing := n.model.Megabytes - p.room(s)
	if missing > 0 {
		fresh, lost, ok := p.wayOut(s, missing)
		if !ok {
			f.ReadyIn = forecastMost
			return f
		}
		if fresh > f.ReadyIn {
			f.ReadyIn, f.Reason = fresh, reasonFresh
		}
		rate := max(p.demands[n.model.Name].Rate, leastRate)
		if wanted := seconds((lost*evictRatio(tier) - n.value) / rate); wanted > f.ReadyIn {
			f.ReadyIn, f.Reason = wanted, reasonWanted
		}
	}
	f.ReadyIn = min(f.ReadyIn+LoadTime(n.model, tier), forecastMost)
	return f
}

// wayOut returns when enough models of a server may make way, and what they are worth.
func (p *planner) wayOut(s Server, missing float64) (time.Duration, float64, bool) {
	list := slices.Clone(s.Models)
	slices.SortFunc(list, p.compareLoss)
	var fresh time.Duration
	lost := 0.0
	for _, v := range list {
		if missing <= 0 {
			break
		}
		if p.value(v.Name) > 0 {
			fresh = max(fresh, v.LoadedAt+minResidence-p.in.Now)
		}
		lost += p.loss(v) * rateSeconds
		missing -= p.megabytes(v)
	}
	return fresh, lost, missing <= 0
}

// seconds converts without overflow.
func seconds(s float64) time.Duration {
	return time.Duration(min(max(s, 0), forecastMost.Seconds()) * float64(time.Second))
}

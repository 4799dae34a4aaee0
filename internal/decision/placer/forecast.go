package placer

import (
	"slices"
	"time"
)

const (
	// maxForecast is how far ahead a forecast looks. It equals the longest retry delay that a caller may be given.
	maxForecast = 15 * time.Second
	// minRate is the lowest rate, in requests a second, that is assumed for a model.
	minRate = 0.1
)

// A Forecast predicts when a model or adapter that is in demand, but gets no order now, can be ready.
type Forecast struct {
	Model   string
	Adapter string
	ReadyIn time.Duration
	// Reason is the cause of the longest delay.
	Reason string
}

// The reasons of forecasts.
const (
	reasonEnginesBusy      = "EnginesBusy"
	reasonOthersJustLoaded = "OthersJustLoaded"
	reasonOthersMoreWanted = "OthersMoreWanted"
	reasonStoreBusy        = "StoreBusy"
)

// forecasts returns a forecast for each model that gets no order in this plan.
func (p *planner) forecasts(unmet []replicaNeed) []Forecast {
	var list []Forecast
	for _, n := range unmet {
		best := Forecast{Model: n.model.Name, ReadyIn: maxForecast, Reason: reasonOthersMoreWanted}
		for _, s := range p.in.Servers {
			if f := p.forecastAt(s, n); f.ReadyIn < best.ReadyIn {
				best = f
			}
		}
		list = append(list, best)
	}
	return list
}

// forecastAt predicts when a server can have the model: once the server is free, the models to evict have stayed for
// minResidence and are in little enough demand compared with this one, and the weight store has capacity for the load.
func (p *planner) forecastAt(s Server, n replicaNeed) Forecast {
	f := Forecast{Model: n.model.Name, Reason: reasonEnginesBusy}
	tier := s.tier(n.model.Name)
	f.ReadyIn = s.FreeIn
	if p.usedServers[s.ID] {
		f.ReadyIn += LoadTime(p.in.Engine.Models[s.Goal], s.tier(s.Goal)) + minResidence
	}
	if tier == TierStore && p.storeLoadsLeft <= 0 && n.model.StoreLoadTime/2 > f.ReadyIn {
		// On average, half of a running load is done.
		f.ReadyIn, f.Reason = n.model.StoreLoadTime/2, reasonStoreBusy
	}
	missing := n.model.Megabytes - p.freeMegabytes(s)
	if missing > 0 {
		evictableIn, lostValue, ok := p.evictionForecast(s, missing)
		if !ok {
			f.ReadyIn = maxForecast
			return f
		}
		if evictableIn > f.ReadyIn {
			f.ReadyIn, f.Reason = evictableIn, reasonOthersJustLoaded
		}
		rate := max(p.demands[n.model.Name].Rate, minRate)
		if overtakesIn := seconds((lostValue*evictRatio(tier) - n.value) / rate); overtakesIn > f.ReadyIn {
			f.ReadyIn, f.Reason = overtakesIn, reasonOthersMoreWanted
		}
	}
	f.ReadyIn = min(f.ReadyIn+LoadTime(n.model, tier), maxForecast)
	return f
}

// evictionForecast returns how long until enough models of a server may be evicted, their total demand value, and
// whether evicting all of its models would free enough memory.
func (p *planner) evictionForecast(s Server, missing float64) (time.Duration, float64, bool) {
	list := slices.Clone(s.Models)
	slices.SortFunc(list, p.compareEvictionLoss)
	var evictableIn time.Duration
	lostValue := 0.0
	for _, v := range list {
		if missing <= 0 {
			break
		}
		if p.demandValue(v.Name) > 0 {
			evictableIn = max(evictableIn, v.LoadedAt+minResidence-p.in.Now)
		}
		lostValue += p.evictionLoss(v) * arrivalHorizonSeconds
		missing -= p.megabytes(v)
	}
	return evictableIn, lostValue, missing <= 0
}

// seconds converts seconds to a duration from 0 to maxForecast, without overflow.
func seconds(s float64) time.Duration {
	return time.Duration(min(max(s, 0), maxForecast.Seconds()) * float64(time.Second))
}

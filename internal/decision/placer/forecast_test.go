package placer

import (
	"testing"
	"time"
)

// More models are in demand than fit into the engines' memory, so some requests wait for a model that can't be loaded
// in time. A forecast lets their callers be refused at once with a realistic retry delay.
func TestForecasts(t *testing.T) {
	forecast := func(t *testing.T, in Input) Forecast {
		t.Helper()
		list := Plan(in).Forecasts
		if len(list) != 1 {
			t.Fatalf("got forecasts %+v, want one", list)
		}
		return list[0]
	}
	assertForecast := func(t *testing.T, got Forecast, model, reason string, ready time.Duration) {
		t.Helper()
		want := Forecast{Model: model, Reason: reason, ReadyIn: ready}
		if got != want {
			t.Errorf("got %+v, want %+v", got, want)
		}
	}
	t.Run("no forecast for a model that is loaded now", func(t *testing.T) {
		in := input([]Demand{{Model: "mid", Waiting: 1}}, engine("e1"))
		if got := Plan(in); len(got.Steps) != 1 || len(got.Forecasts) != 0 {
			t.Errorf("got %+v, want an order and no forecast", got)
		}
	})
	t.Run("an engine is free when its load ends", func(t *testing.T) {
		s := engine("e1", "hot")
		s.Loading, s.Free, s.FreeIn, s.OnDisk = "rare", false, 2*time.Second, []string{"small"}
		assertForecast(t, forecast(t, input([]Demand{{Model: "small", Waiting: 1}}, s)), "small", reasonEnginesBusy, 3*time.Second)
	})
	t.Run("a recently loaded model is not evicted", func(t *testing.T) {
		s := engine("e1", "big", "rare")
		s.Models[1].LoadedAt, s.OnDisk = time.Minute-time.Second, []string{"hot"}
		demands := []Demand{{Model: "hot", Waiting: 9, Rate: 1}, {Model: "big", Rate: 9}, {Model: "rare", Rate: 1}}
		assertForecast(t, forecast(t, input(demands, s)), "hot", reasonOthersJustLoaded, minResidence-time.Second+time.Second)
	})
	t.Run("higher demand for other models is converted to the time until enough requests arrive", func(t *testing.T) {
		s := engine("e1", "big", "rare")
		s.OnDisk = []string{"hot"}
		demands := []Demand{{Model: "hot", Waiting: 1, Rate: 0.5}, {Model: "big", Rate: 9}, {Model: "rare", Rate: 1}}
		// The value of rare is 2 x 1, times 2.5; that of hot is 1 + 2 x 0.5. So 3 requests are missing, at 0.5 a
		// second.
		assertForecast(t, forecast(t, input(demands, s)), "hot", reasonOthersMoreWanted, 7*time.Second)
	})
	t.Run("a busy weight store adds half a load time", func(t *testing.T) {
		in := input([]Demand{{Model: "mid", Waiting: 9}}, engine("e1"))
		in.StoreLoads = testConcurrencyLimit
		assertForecast(t, forecast(t, in), "mid", reasonStoreBusy, 9*time.Second)
	})
	t.Run("no forecast for a model with a recent one", func(t *testing.T) {
		in := input([]Demand{{Model: "mid", Waiting: 9}})
		in.HasForecast = map[string]bool{"mid": true}
		if got := Plan(in).Forecasts; len(got) != 0 {
			t.Errorf("got %+v, want no forecast", got)
		}
	})
	t.Run("without engines the forecast is the maximum", func(t *testing.T) {
		assertForecast(t, forecast(t, input([]Demand{{Model: "mid", Waiting: 9}})), "mid", reasonOthersMoreWanted, maxForecast)
	})
}

package placer

import (
	"testing"
	"time"
)

// The load: more models are asked for than the engines have room for, so that some requests wait for one that does not
// come in time. Their callers are better off if they hear at once when to come back.
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
	t.Run("none for a model that is loaded now", func(t *testing.T) {
		in := input([]Demand{{Model: "mid", Waiting: 1}}, engine("e1"))
		if got := Plan(in); len(got.Steps) != 1 || len(got.Forecasts) != 0 {
			t.Errorf("got %+v, want an order and no forecast", got)
		}
	})
	t.Run("an engine that loads is free when that ends", func(t *testing.T) {
		s := engine("e1", "hot")
		s.Loading, s.Free, s.FreeIn, s.OnDisk = "rare", false, 2*time.Second, []string{"small"}
		assertForecast(t, forecast(t, input([]Demand{{Model: "small", Waiting: 1}}, s)), "small", reasonBusy, 3*time.Second)
	})
	t.Run("a model that was just loaded stays for a while", func(t *testing.T) {
		s := engine("e1", "big", "rare")
		s.Models[1].LoadedAt, s.OnDisk = time.Minute-time.Second, []string{"hot"}
		demands := []Demand{{Model: "hot", Waiting: 9, Rate: 1}, {Model: "big", Rate: 9}, {Model: "rare", Rate: 1}}
		assertForecast(t, forecast(t, input(demands, s)), "hot", reasonFresh, minResidence-time.Second+time.Second)
	})
	t.Run("what others are wanted more is counted as the time until enough requests have come", func(t *testing.T) {
		s := engine("e1", "big", "rare")
		s.OnDisk = []string{"hot"}
		demands := []Demand{{Model: "hot", Waiting: 1, Rate: 0.5}, {Model: "big", Rate: 9}, {Model: "rare", Rate: 1}}
		// The rare one counts 2 x 1, times 2.5; the wanted one 1 + 2 x 0.5: 3 requests are missing, at 0.5 a second.
		assertForecast(t, forecast(t, input(demands, s)), "hot", reasonWanted, 7*time.Second)
	})
	t.Run("a weight store with all loads running takes half a load more", func(t *testing.T) {
		in := input([]Demand{{Model: "mid", Waiting: 9}}, engine("e1"))
		in.StoreLoads = testLanes
		assertForecast(t, forecast(t, in), "mid", reasonStore, 9*time.Second)
	})
	t.Run("none for a model whose forecast is fresh", func(t *testing.T) {
		in := input([]Demand{{Model: "mid", Waiting: 9}})
		in.HasForecast = map[string]bool{"mid": true}
		if got := Plan(in).Forecasts; len(got) != 0 {
			t.Errorf("got %+v, want no forecast", got)
		}
	})
	t.Run("without engines it looks no further than callers wait", func(t *testing.T) {
		assertForecast(t, forecast(t, input([]Demand{{Model: "mid", Waiting: 9}})), "mid", reasonWanted, forecastMost)
	})
}

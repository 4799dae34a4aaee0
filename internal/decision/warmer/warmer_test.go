package warmer

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"samphirewharf/internal/config/cataloger"
)

const catalogueSize = 18560

func TestKeepAlive(t *testing.T) {
	tests := []struct {
		name      string
		weighting cataloger.Weighting
		gaps      []time.Duration
		want      time.Duration
	}{
		{"unknown, cold start", cataloger.WeightColdStart, nil, DefaultMaxKeepAlive},
		{"unknown, idle hours", cataloger.WeightIdleHours, nil, DefaultMinKeepAlive},
		{"frequent", cataloger.WeightColdStart, repeat(2*time.Second, 20), DefaultMinKeepAlive},
		{"bursts", cataloger.WeightColdStart, bursts(5*time.Minute, 20), bucketEdges[bucketOf(5*time.Minute)]},
		{"rare, cold start", cataloger.WeightColdStart, repeat(time.Hour, 20), DefaultMinKeepAlive},
		{"mostly rare, cold start", cataloger.WeightColdStart, mixed(5, 15), DefaultMaxKeepAlive},
		{"mostly rare, idle hours", cataloger.WeightIdleHours, mixed(5, 15), DefaultMinKeepAlive},
		{"rare, idle hours", cataloger.WeightIdleHours, repeat(time.Hour, 20), DefaultMinKeepAlive},
		{"minutes", cataloger.WeightIdleHours, repeat(100*time.Second, 20), bucketEdges[bucketOf(100*time.Second)]},
		{"mostly minutes, idle hours", cataloger.WeightIdleHours, mixed(16, 4), DefaultMaxKeepAlive},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := Warmer{Weighting: tt.weighting}
			recordArrivals(&w, "d", tt.gaps)
			if got := w.KeepAlive("d"); got != tt.want {
				t.Errorf("keep-alive: got %v, want %v", got, tt.want)
			}
		})
	}
}

func TestKeepAliveFollowsChange(t *testing.T) {
	var w Warmer
	recordArrivals(&w, "d", append(repeat(time.Hour, 500), repeat(2*time.Minute, 1000)...))
	if got, want := w.KeepAlive("d"), bucketEdges[bucketOf(2*time.Minute)]; got != want {
		t.Errorf("keep-alive: got %v, want %v", got, want)
	}
}

func TestKeepAliveKeepsConfiguredBounds(t *testing.T) {
	limits := cataloger.Limits{
		MinKeepAlive: cataloger.Duration(time.Minute), MaxKeepAlive: cataloger.Duration(2 * time.Minute), KeepAliveQuantile: 0.5,
	}
	for gap, want := range map[time.Duration]time.Duration{2 * time.Second: time.Minute, 2 * time.Minute: 2 * time.Minute, time.Hour: time.Minute} {
		w := Warmer{Limits: limits}
		recordArrivals(&w, "d", repeat(gap, 20))
		if got := w.KeepAlive("d"); got != want {
			t.Errorf("keep-alive for gaps of %v: got %v, want %v", gap, got, want)
		}
	}
}

func TestPrewarm(t *testing.T) {
	tests := []struct {
		name string
		gaps []time.Duration
		want bool
	}{
		{"regular and rare", repeat(time.Hour, 40), true},
		{"regular and rare after a night", append(repeat(time.Hour, 40), append(repeat(13*time.Hour, 1), repeat(time.Hour, 40)...)...), true},
		{"regular and frequent", repeat(time.Minute, 40), false},
		{"too few", repeat(time.Hour, 7), false},
		{"none", nil, false},
		{"irregular", append(repeat(time.Hour, 40), repeat(20*time.Minute, 6)...), false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var w Warmer
			last := recordArrivals(&w, "d", tt.gaps)
			window, got := w.Prewarm("d", time.Minute)
			if got != tt.want {
				t.Fatalf("prewarm: got %v, want %v", got, tt.want)
			}
			if got && (window.Start < last+50*time.Minute || window.Start > last+59*time.Minute) {
				t.Errorf("start after last use: got %v, want 50m to 59m", window.Start-last)
			}
			if got && (window.End < last+time.Hour || window.End > last+70*time.Minute) {
				t.Errorf("end after last use: got %v, want 1h to 1h10m", window.End-last)
			}
		})
	}
}

func TestEvictionScore(t *testing.T) {
	var w Warmer
	recordArrivals(&w, "frequent", repeat(time.Minute, 60))
	recordArrivals(&w, "rare", repeat(time.Hour, 1))
	now := time.Hour
	score := func(name string, reload time.Duration, bytes int64) float64 {
		return w.EvictionScore(name, reload, bytes, now)
	}
	base := score("rare", time.Minute, gibibyte)
	assertLess(t, "rare before frequent", base, score("frequent", time.Minute, gibibyte))
	assertLess(t, "large before small", score("rare", time.Minute, 4*gibibyte), base)
	assertLess(t, "cheap reload before expensive", base, score("rare", 2*time.Minute, gibibyte))
	assertLess(t, "unknown before known", score("unknown", time.Minute, gibibyte), base)
	assertLess(t, "long idle before short", w.EvictionScore("frequent", time.Minute, gibibyte, 9*time.Hour),
		score("frequent", time.Minute, gibibyte))
}

func TestRemoveReusesEntries(t *testing.T) {
	var w Warmer
	for round := range 100 {
		name := fmt.Sprint(round)
		recordArrivals(&w, name, repeat(time.Hour, 12))
		if got, want := w.entries[0].gaps.total, uint16(12); got != want {
			t.Fatalf("gaps of new deployment: got %d, want %d", got, want)
		}
		w.Remove(name)
	}
	if got, want := len(w.entries), 1; got != want {
		t.Errorf("entries: got %d, want %d", got, want)
	}
}

func BenchmarkWarmer(b *testing.B) {
	var before, after runtime.MemStats
	names := make([]string, catalogueSize)
	for i := range names {
		names[i] = fmt.Sprintf("deployment-%d", i)
	}
	runtime.GC()
	runtime.ReadMemStats(&before)
	var w Warmer
	for _, name := range names {
		recordArrivals(&w, name, repeat(3*time.Minute, 10))
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	bytes := float64(after.HeapAlloc) - float64(before.HeapAlloc)
	rng := rand.New(rand.NewPCG(1, 2))
	now := time.Hour
	b.Run("Arrived", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			now += time.Second
			w.RecordArrival(names[rng.IntN(catalogueSize)], now)
		}
		b.ReportMetric(bytes, "heap-bytes")
	})
	b.Run("KeepAlive", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			w.KeepAlive(names[rng.IntN(catalogueSize)])
		}
	})
	b.Run("EvictionScore", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			w.EvictionScore(names[rng.IntN(catalogueSize)], time.Minute, gibibyte, now)
		}
	})
}

func assertLess(t *testing.T, name string, got, want float64) {
	t.Helper()
	if got >= want {
		t.Errorf("%s: got %g, want less than %g", name, got, want)
	}
}

// bursts returns the gaps between the requests of n bursts of 50 requests.
func bursts(gap time.Duration, n int) []time.Duration {
	var gaps []time.Duration
	for range n {
		gaps = append(append(gaps, gap), repeat(100*time.Millisecond, 49)...)
	}
	return gaps
}

func mixed(minutes, hours int) []time.Duration {
	return append(repeat(time.Minute, minutes), repeat(time.Hour, hours)...)
}

// recordArrivals records arrivals with the gaps and returns the time of the last one.
func recordArrivals(w *Warmer, name string, gaps []time.Duration) time.Duration {
	now := time.Duration(1)
	w.RecordArrival(name, now)
	for _, gap := range gaps {
		now += gap
		w.RecordArrival(name, now)
	}
	return now
}

func repeat(gap time.Duration, n int) []time.Duration {
	gaps := make([]time.Duration, n)
	for i := range gaps {
		gaps[i] = gap
	}
	return gaps
}

package tracer

import (
	"cmp"
	"slices"
	"testing"
	"time"

	"samphirewharf/internal/config/cataloger"
)

func TestGenerate(t *testing.T) {
	requests := Default().Generate(testDeployments(), 1)
	t.Run("same seed, same trace", func(t *testing.T) {
		if again := Default().Generate(testDeployments(), 1); !slices.Equal(requests, again) {
			t.Error("second trace: got another, want the same")
		}
		if other := Default().Generate(testDeployments(), 2); slices.Equal(requests, other) {
			t.Error("trace of another seed: got the same, want another")
		}
	})
	t.Run("in order and within the days", func(t *testing.T) {
		if !slices.IsSortedFunc(requests, func(a, b Request) int { return cmp.Compare(a.ArrivesAt, b.ArrivesAt) }) {
			t.Error("order: got unsorted, want by arrival")
		}
		if got, want := requests[len(requests)-1].ArrivesAt, 48*time.Hour; got >= want {
			t.Errorf("last arrival: got %v, want before %v", got, want)
		}
	})
	t.Run("urgent by day, batches by night", func(t *testing.T) {
		assertShare(t, "urgent in the day", requests, func(r Request) bool { return r.Urgent }, byDay, 0.9)
		large := func(r Request) bool { return r.Deployment >= "large" }
		assertShare(t, "batches that can wait", requests, func(r Request) bool { return !r.Urgent }, large, 1)
		assertShare(t, "batches by night", requests, func(r Request) bool { return !byDay(r) }, large, 1)
	})
	t.Run("skewed", func(t *testing.T) {
		counts := make(map[string]int)
		for _, r := range requests {
			counts[r.Deployment]++
		}
		most, total := 0, 0
		for _, count := range counts {
			most = max(most, count)
			total += count
		}
		if got, want := float64(most)/float64(total), 0.15; got < want {
			t.Errorf("share of the most popular: got %g, want at least %g", got, want)
		}
	})
}

// assertShare checks that at least a share of the requests in a population match the filter.
func assertShare(t *testing.T, name string, requests []Request, filter, population func(Request) bool, want float64) {
	t.Helper()
	matching, all := 0, 0
	for _, r := range requests {
		if !population(r) {
			continue
		}
		all++
		if filter(r) {
			matching++
		}
	}
	if got := float64(matching) / float64(max(1, all)); got < want || all == 0 {
		t.Errorf("%s: got a share of %g of %d, want at least %g", name, got, all, want)
	}
}

func byDay(r Request) bool {
	hour := r.ArrivesAt % (24 * time.Hour) / time.Hour
	return hour >= 7 && hour < 24
}

func testDeployments() []cataloger.Deployment {
	deployments := []cataloger.Deployment{
		{Name: "large-1", Bytes: 36_000_000_000}, {Name: "large-2", Bytes: 36_000_000_000}, {Name: "large-3", Bytes: 36_000_000_000},
	}
	for i := range 20 {
		name := "a" + string(rune('a'+i))
		deployments = append(deployments, cataloger.Deployment{
			Name: name, Bytes: 6_000_000_000, Adapters: []cataloger.Adapter{{Name: name + "-1"}, {Name: name + "-2"}},
		})
	}
	return deployments
}

package launcher

import (
	"reflect"
	"testing"
	"time"
)

func TestPascalCase(t *testing.T) {
	for name, want := range map[string]string{"": "", "kv-keep": "KvKeep", "list": "List", "-a--b": "AB"} {
		if got := pascalCase(name); got != want {
			t.Errorf("got %q for %q, want %q", got, name, want)
		}
	}
}

func TestTrafficMeter(t *testing.T) {
	now := time.Unix(1000, 0)
	assertCounts := func(t *testing.T, got, want map[string]int) {
		t.Helper()
		if !reflect.DeepEqual(got, want) {
			t.Errorf("got %v, want %v", got, want)
		}
	}
	t.Run("the zero value has nothing to log", func(t *testing.T) {
		var m trafficMeter
		assertCounts(t, m.take(now), nil)
	})
	t.Run("counts are summed up by name and reset", func(t *testing.T) {
		var m trafficMeter
		m.add("a", 2)
		m.add("a", 3)
		m.add("b", 1)
		assertCounts(t, m.take(now), map[string]int{"a": 5, "b": 1})
		m.add("a", 1)
		assertCounts(t, m.take(now.Add(trafficInterval)), map[string]int{"a": 1})
	})
	t.Run("of durations the longest is kept", func(t *testing.T) {
		var m trafficMeter
		m.raise("a", 3)
		m.raise("a", 2)
		assertCounts(t, m.take(now), map[string]int{"a": 3})
	})
	t.Run("there is no line before the interval has passed", func(t *testing.T) {
		var m trafficMeter
		m.add("a", 1)
		m.take(now)
		m.add("a", 1)
		assertCounts(t, m.take(now.Add(trafficInterval-time.Second)), nil)
		assertCounts(t, m.take(now.Add(trafficInterval)), map[string]int{"a": 1})
	})
}

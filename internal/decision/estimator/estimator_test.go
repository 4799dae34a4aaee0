package estimator

import "testing"

func TestCachedShare(t *testing.T) {
	parts := []Part{{ID: 1, Tokens: 300}, {ID: 2, Tokens: 100}}
	for _, c := range []struct {
		name      string
		processed []Part
		want      float64
	}{
		{"nothing", nil, 0},
		{"a prefix", parts[:1], 0.75},
		{"all", parts, 1},
		{"a part without those before it", parts[1:], 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			var cached Parts
			cached.Add(c.processed)
			if got := cached.CachedShare(parts); got != c.want {
				t.Errorf("got a share of %v, want %v", got, c.want)
			}
		})
	}
	t.Run("of many parts the latest are remembered", func(t *testing.T) {
		var cached Parts
		for id := range uint64(maxParts + 1) {
			cached.Add([]Part{{ID: id, Tokens: 1}})
		}
		if got := cached.CachedShare([]Part{{ID: 0, Tokens: 1}}); got != 0 {
			t.Errorf("got a share of %v for the oldest part, want 0", got)
		}
		if got := cached.CachedShare([]Part{{ID: maxParts, Tokens: 1}}); got != 1 {
			t.Errorf("got a share of %v for the latest part, want 1", got)
		}
	})
}

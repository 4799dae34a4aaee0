package pacer

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

func TestPacer(t *testing.T) {
	for _, tt := range []struct {
		name    string
		backoff Backoff
		want    []time.Duration
	}{
		{"doubles up to the maximum", Backoff{Initial: time.Second, Max: 5 * time.Second}, []time.Duration{1e9, 2e9, 4e9, 5e9, 5e9}},
		{"initial above maximum", Backoff{Initial: time.Second}, []time.Duration{1e9, 1e9}},
		{"zero value does not wait", Backoff{}, []time.Duration{0, 0}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			b := tt.backoff
			assertDelays(t, &b, tt.want)
			b.Reset()
			assertDelays(t, &b, tt.want)
		})
	}
}

func TestPacerJitter(t *testing.T) {
	b := Backoff{Initial: 8 * time.Second, Max: 8 * time.Second}
	random := rand.New(rand.NewPCG(1, 2))
	var delays []time.Duration
	for range 1000 {
		delays = append(delays, b.Next(random))
	}
	if got, want := slices.Min(delays), 6*time.Second; got < want || got > want+time.Second/10 {
		t.Errorf("shortest delay: got %v, want just above %v", got, want)
	}
	if got, want := slices.Max(delays), 10*time.Second; got > want || got < want-time.Second/10 {
		t.Errorf("longest delay: got %v, want just below %v", got, want)
	}
}

func assertDelays(t *testing.T, b *Backoff, want []time.Duration) {
	t.Helper()
	var got []time.Duration
	for range want {
		got = append(got, b.Next(nil))
	}
	if !slices.Equal(got, want) {
		t.Errorf("delays: got %v, want %v", got, want)
	}
}

package emulator

import (
	"testing"
	"time"

	"samphirewharf/internal/config/cataloger"
)

func TestWeightStoreSharesItsSpeed(t *testing.T) {
	tests := []struct {
		name  string
		loads int
		want  time.Duration
	}{
		{"full speed", 4, time.Second},
		{"a quarter above the limit", 5, 1250 * time.Millisecond},
		{"twice the limit", 8, 2 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var c clock
			s := weightStore{clock: &c, fullSpeedLoads: 4}
			var ends []time.Duration
			for range tt.loads {
				s.load(time.Second, func() { ends = append(ends, c.now) })
			}
			c.runUntil(time.Minute)
			assertCount(t, "loads done", len(ends), tt.loads)
			if got := ends[len(ends)-1]; (got - tt.want).Abs() > time.Microsecond {
				t.Errorf("end: got %v, want %v", got, tt.want)
			}
		})
	}
}

func TestWeightStoreKeepsItsRate(t *testing.T) {
	var c clock
	s := weightStore{clock: &c, minStartInterval: time.Second}
	var last time.Duration
	for range 3 {
		s.load(time.Millisecond, func() { last = c.now })
	}
	c.runUntil(time.Minute)
	if got, want := last, 2001*time.Millisecond; (got - want).Abs() > time.Microsecond {
		t.Errorf("end of the third load: got %v, want %v", got, want)
	}
	assertCount(t, "delayed", s.delayedLoads, 2)
}

func TestTierDropsTheLeastRecentlyUsed(t *testing.T) {
	a, b, c := &cataloger.Deployment{Name: "a", Bytes: 4}, &cataloger.Deployment{Name: "b", Bytes: 4}, &cataloger.Deployment{Name: "c", Bytes: 4}
	s := tier{capacityBytes: 8}
	for _, d := range []*cataloger.Deployment{a, b, a, c} {
		s.touch(d)
	}
	for d, want := range map[*cataloger.Deployment]bool{a: true, b: false, c: true} {
		if got := s.contains(d); got != want {
			t.Errorf("contains %s: got %v, want %v", d.Name, got, want)
		}
	}
}

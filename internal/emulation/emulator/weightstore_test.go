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
		{"a quarter too many", 5, 1250 * time.Millisecond},
		{"twice as many", 8, 2 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var c clock
			s := weightStore{clock: &c, fullSpeed: 4}
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
	s := weightStore{clock: &c, spacing: time.Second}
	var last time.Duration
	for range 3 {
		s.load(time.Millisecond, func() { last = c.now })
	}
	c.runUntil(time.Minute)
	if got, want := last, 2001*time.Millisecond; (got - want).Abs() > time.Microsecond {
		t.Errorf("end of the third: got %v, want %v", got, want)
	}
	assertCount(t, "delayed", s.delayed, 2)
}

func TestTierDropsTheLeastRecentlyUsed(t *testing.T) {
	a, b, c := &cataloger.Deployment{Name: "a", Bytes: 4}, &cataloger.Deployment{Name: "b", Bytes: 4}, &cataloger.Deployment{Name: "c", Bytes: 4}
	s := tier{bytes: 8}
	for _, d := range []*cataloger.Deployment{a, b, a, c} {
		s.keep(d)
	}
	for d, want := range map[*cataloger.Deployment]bool{a: true, b: false, c: true} {
		if got := s.holds(d); got != want {
			t.Errorf("holds %s: got %v, want %v", d.Name, got, want)
		}
	}
}

package breaker

import (
	"testing"
	"time"
)

// answered returns a breaker after answers a second apart: v for valid, o for a valid one to an old request, i for invalid.
func answered(answers string) (b Breaker) {
	for n, a := range answers {
		at := time.Duration(n+1) * time.Second
		switch a {
		case 'v':
			b = b.WithValid(at, at)
		case 'o':
			b = b.WithValid(at, 0)
		default:
			b = b.WithInvalid(at, at)
		}
	}
	return b
}

// TestSuspect guards against servers that are left out for a stray answer, or trusted again for one.
func TestSuspect(t *testing.T) {
	for _, c := range []struct {
		name, answers    string
		suspect, failing bool
	}{
		{"one invalid answer among many", "vvvvvvvvvvvvvvviv", false, false},
		{"the first one", "i", true, false},
		{"two in a row among many", "vvvvvvvvvvvvvvvii", true, false},
		{"three in a row", "vvviii", true, true},
		{"each second for long", "ivivivivivivivivivivivivivivivivivivi", true, false},
		{"a valid one after many that weren't", "iiiiiiiiiiiiiiiiiiiiv", true, false},
		{"many valid ones after that", "iiiiiiiiiiiiiiiiiiiivvvvvvvv", false, false},
		{"many to requests sent before that", "vviiioooooooooooooooo", true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			if b := answered(c.answers); b.Suspect() != c.suspect || b.Failing() != c.failing {
				t.Errorf("got suspect %v, failing %v, want %v, %v", b.Suspect(), b.Failing(), c.suspect, c.failing)
			}
		})
	}
}

// TestProbesInVain guards against probes that use up the retry budget, and against requests that can't be repeated as probes.
func TestProbesInVain(t *testing.T) {
	var p Probes
	servers, probes, others := []Breaker{answered("vv"), answered("ii"), answered("ii")}, 0, 0
	for i := range 10_000 {
		p = p.WithRequest()
		now, r := time.Duration(i)*20*time.Millisecond, Request{Repeatable: i%2 == 0}
		if c := p.Choose(now, servers, r); c.Probe {
			s := c.Indexes[0]
			probes++
			others += map[bool]int{false: 1}[r.Repeatable]
			p, servers[s] = p.WithProbe(), servers[s].WithProbe(now).WithInvalid(now, now)
		}
	}
	if most := int(10_000 * probeShare); probes == 0 || probes > most || others > 0 {
		t.Errorf("got %d probes in vain and %d that can't be repeated, want 1 to %d and none", probes, others, most)
	}
}

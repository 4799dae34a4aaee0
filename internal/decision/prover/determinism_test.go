package prover_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
)

// TestDeterminism runs the same commands, with many faults, twice and compares the logs line by line.
func TestDeterminism(t *testing.T) {
	commands := []string{
		"configure op1", "burst a 12 m1", "send b d1 m2c urgent", "send c d2 desk/bookings key=A", "advance 300ms",
		"break e1", "burst d 12 m3 urgent", "advance 1s", "mend e1", "set loss 30", "crash d1", "send e d3 desk/bookings key=B",
		"burst f 6 m4", "advance 3s", "leave e2", "leave p1", "store down", "burst g 6 m1a", "advance 8s", "store up", "restart d1",
		"pause placer", "burst h 6 m2", "advance 20s", "resume d2", "reclaim e2", "reclaim p1", "advance 40s", "burst i 12 m1",
		"advance 20s",
	}
	for seed := range uint64(8) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			want := history(seed+1, commands)
			got := history(seed+1, commands)
			assertSameHistory(t, got, want)
		})
	}
}

func assertSameHistory(t *testing.T, got, want []string) {
	t.Helper()
	if slices.Equal(got, want) {
		return
	}
	for i := range min(len(got), len(want)) {
		if got[i] != want[i] {
			t.Fatalf("line %d of %d and %d: got %q, want %q", i, len(got), len(want), got[i], want[i])
		}
	}
	t.Fatalf("got %d lines, want %d", len(got), len(want))
}

// history runs the commands in a new world and returns its log.
func history(seed uint64, commands []string) []string {
	w := newWorld(seed, seed%2 == 0, 3, 3)
	w.advance(startupTime)
	for _, line := range commands {
		_ = w.do(strings.Fields(line))
	}
	return w.log
}

package assigner

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
)

func TestSpread(t *testing.T) {
	for _, tt := range []struct{ keys, members, n int }{
		{60, 420, 7},
		{60, 419, 7},
		{60, 421, 7},
		{60, 211, 7},
		{60, 100, 7},
		{60, 8, 7},
		{60, 9, 7},
		{60, 13, 7},
		{60, 7, 7},
		{60, 3, 7},
		{1, 8, 7},
		{2, 8, 7},
		{50, 7, 1},
		{16, 7, 1},
		{16, 5, 1},
		{1000, 3, 1},
		{5, 0, 7},
		{0, 5, 7},
		{3, 3, 0},
	} {
		t.Run(fmt.Sprintf("%d keys, %d members, %d each", tt.keys, tt.members, tt.n), func(t *testing.T) {
			keys, members := names("key", tt.keys), names("daemon", tt.members)
			table := Spread(keys, members, tt.n)
			assertEven(t, table, keys, members, tt.n)
			assertOrdered(t, table)
		})
	}
}

func TestSpreadOfAnySize(t *testing.T) {
	for keys := range 25 {
		for members := range 25 {
			for _, n := range []int{1, 3, 7} {
				table := Spread(names("key", keys), names("daemon", members), n)
				assertEven(t, table, names("key", keys), names("daemon", members), n)
			}
		}
	}
}

func TestSpreadIgnoresOrder(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for _, count := range []int{9, 100, 419} {
		keys, members := names("key", 60), names("daemon", count)
		want := Spread(keys, members, 7)
		random.Shuffle(len(keys), func(i, j int) { keys[i], keys[j] = keys[j], keys[i] })
		random.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
		if got := Spread(keys, members, 7); !reflect.DeepEqual(got, want) {
			t.Errorf("%d members: got a different table for a different order", count)
		}
	}
}

func TestSpreadMovesFewKeys(t *testing.T) {
	keys := names("key", 60)
	for _, count := range []int{100, 210, 211, 419, 420, 421} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			members := names("daemon", count)
			table := Spread(keys, members, 7)
			total, tries := 0, 0
			for left := 0; left < count; left += 9 {
				rest := slices.Delete(slices.Clone(members), left, left+1)
				total += movedPairs(table, Spread(keys, rest, 7))
				tries++
			}
			t.Logf("moved when one leaves: mean %.2f of %d", float64(total)/float64(tries), tries)
			if got, want := float64(total)/float64(tries), 10.0; got > want {
				t.Errorf("moved when one leaves: got a mean of %.1f, want at most %.0f", got, want)
			}
		})
	}
}

func BenchmarkSpread(b *testing.B) {
	for _, tt := range []struct{ keys, members, n int }{{60, 420, 7}, {60, 419, 7}, {50, 7, 1}, {1000, 3, 1}} {
		b.Run(fmt.Sprintf("%d-%d-%d", tt.keys, tt.members, tt.n), func(b *testing.B) {
			keys, members := names("key", tt.keys), names("daemon", tt.members)
			for b.Loop() {
				Spread(keys, members, tt.n)
			}
		})
	}
}

// assertEven checks that each key has the right number of distinct members and no member exceeds the bound.
func assertEven(t *testing.T, table map[string][]string, keys, members []string, n int) {
	t.Helper()
	load := map[string]int{}
	for _, key := range keys {
		if got, want := len(table[key]), max(0, min(n, len(members))); got != want {
			t.Errorf("members of %s: got %d, want %d", key, got, want)
		}
		if got := slices.Sorted(slices.Values(table[key])); len(slices.Compact(got)) != len(table[key]) {
			t.Errorf("members of %s: got %v, want each once", key, table[key])
		}
		for _, member := range table[key] {
			load[member]++
		}
	}
	for _, member := range members {
		want := (len(keys)*min(n, len(members)) + len(members) - 1) / len(members)
		if got := load[member]; got > want {
			t.Errorf("keys of %s: got %d, want at most %d", member, got, want)
		}
	}
}

// assertOrdered checks that the heaviest member of each key comes first.
func assertOrdered(t *testing.T, table map[string][]string) {
	t.Helper()
	for key, got := range table {
		if want := Pick(key, got, len(got)); !slices.Equal(got, want) {
			t.Errorf("members of %s: got %v, want %v", key, got, want)
		}
	}
}

// movedPairs returns the number of pairs in after that are not in before.
func movedPairs(before, after map[string][]string) int {
	moved := 0
	for key, members := range after {
		for _, member := range members {
			if !slices.Contains(before[key], member) {
				moved++
			}
		}
	}
	return moved
}

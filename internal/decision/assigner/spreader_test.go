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

func TestSpreadIgnoresOrder(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for _, count := range []int{9, 100, 419} {
		keys, members := names("key", 60), names("daemon", count)
		want := Spread(keys, members, 7)
		random.Shuffle(len(keys), func(i, j int) { keys[i], keys[j] = keys[j], keys[i] })
		random.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
		if got := Spread(keys, members, 7); !reflect.DeepEqual(got, want) {
			t.Errorf("%d members: got another table in another order", count)
		}
	}
}

func TestSpreadMovesFewKeys(t *testing.T) {
	keys := names("key", 60)
	for _, count := range []int{100, 210, 211, 419, 420, 421} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			members := names("daemon", count)
			table := Spread(keys, members, 7)
			total, most, plain := 0, 0, 0
			for left := range members {
				rest := slices.Delete(slices.Clone(members), left, left+1)
				moved := movedPairs(table, Spread(keys, rest, 7))
				total += moved
				most = max(most, moved)
				plain += movedPairs(plainTable(keys, members), plainTable(keys, rest))
			}
			t.Logf("moved when one leaves: mean %.2f, most %d, plain mean %.2f",
				float64(total)/float64(count), most, float64(plain)/float64(count))
			if got, want := float64(total)/float64(count), 0.05*420; got > want {
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

// assertEven checks that each key has its number of different members and no member more than the bound.
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

// movedPairs returns how many members keys have in after that they did not have in before.
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

func plainTable(keys, members []string) map[string][]string {
	table := map[string][]string{}
	for _, key := range keys {
		table[key] = Pick(key, members, 7)
	}
	return table
}

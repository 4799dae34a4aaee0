package assigner

import (
	"fmt"
	"slices"
	"testing"
)

const keyCount = 20000

func TestPickBalances(t *testing.T) {
	for _, count := range []int{2, 7, 50} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			members := names("daemon", count)
			assigned := map[string]int{}
			for _, key := range names("key", keyCount) {
				assigned[Pick(key, members, 1)[0]]++
			}
			mean := keyCount / count
			for _, member := range members {
				if got := assigned[member]; got < mean*3/4 || got > mean*5/4 {
					t.Errorf("keys of %s: got %d, want within a quarter of %d", member, got, mean)
				}
			}
		})
	}
}

func TestPickMovesOnlyKeysOfTheMemberThatLeft(t *testing.T) {
	members := names("daemon", 7)
	left := members[3]
	rest := slices.Delete(slices.Clone(members), 3, 4)
	for _, key := range names("key", keyCount) {
		before := Pick(key, members, 3)
		want := slices.DeleteFunc(slices.Clone(before), func(m string) bool { return m == left })
		got := Pick(key, rest, 3)
		if !slices.Equal(got[:len(want)], want) {
			t.Fatalf("members of %s: got %v, want them to start with %v", key, got, want)
		}
	}
}

func TestPickIgnoresOrderOfMembers(t *testing.T) {
	members := names("daemon", 7)
	reversed := slices.Clone(members)
	slices.Reverse(reversed)
	for _, key := range names("key", 100) {
		if got, want := Pick(key, reversed, 7), Pick(key, members, 7); !slices.Equal(got, want) {
			t.Fatalf("members of %s: got %v, want %v", key, got, want)
		}
	}
}

func TestPickCount(t *testing.T) {
	for _, tt := range []struct{ members, n, want int }{{0, 3, 0}, {2, 3, 2}, {5, 3, 3}, {5, 0, 0}, {5, -1, 0}} {
		if got := len(Pick("key", names("daemon", tt.members), tt.n)); got != tt.want {
			t.Errorf("%d of %d members: got %d, want %d", tt.n, tt.members, got, tt.want)
		}
	}
}

func names(prefix string, n int) []string {
	result := make([]string, n)
	for i := range result {
		result[i] = fmt.Sprintf("%s-%d", prefix, i)
	}
	return result
}

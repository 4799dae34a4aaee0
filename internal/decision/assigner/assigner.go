// Package assigner assigns keys to members by rendezvous hashing: each key on its own, or all keys evenly.
package assigner

import "github.com/cespare/xxhash/v2"

// Multipliers and shifts of the splitmix64 finalizer.
const (
	mixIncrement = 0x9e3779b97f4a7c15
	mixFirst     = 0xbf58476d1ce4e5b9
	mixSecond    = 0x94d049bb133111eb
)

// Pick returns the n members with the highest weights for the key, highest first, or all members if there are fewer.
// Members must be unique; their order does not matter. When a member joins or leaves, only keys that it gains or had
// move.
func Pick(key string, members []string, n int) []string {
	n = min(n, len(members))
	if n <= 0 {
		return nil
	}
	hash := xxhash.Sum64String(key)
	picked := make([]string, 0, n)
	weights := make([]uint64, 0, n)
	for _, member := range members {
		weight := weigh(hash, member)
		at := len(picked)
		for at > 0 && heavier(weight, member, weights[at-1], picked[at-1]) {
			at--
		}
		if at == n {
			continue
		}
		if len(picked) < n {
			picked = append(picked, "")
			weights = append(weights, 0)
		}
		copy(picked[at+1:], picked[at:])
		copy(weights[at+1:], weights[at:])
		picked[at] = member
		weights[at] = weight
	}
	return picked
}

func heavier(weight uint64, member string, otherWeight uint64, other string) bool {
	if weight != otherWeight {
		return weight > otherWeight
	}
	return member < other
}

func weigh(key uint64, member string) uint64 { return mix(key, xxhash.Sum64String(member)) }

// mix returns the weight of a member for a key, both given as hashes.
func mix(key, member uint64) uint64 {
	z := key + member*mixIncrement
	z = (z ^ z>>30) * mixFirst
	z = (z ^ z>>27) * mixSecond
	return z ^ z>>31
}

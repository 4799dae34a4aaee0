package allotter

import (
	"cmp"

	"github.com/cespare/xxhash/v2"
)

// A SlotServer is a server whose slots are divided among daemons.
type SlotServer struct {
	ID    string
	Slots int
	// Ready reports whether the server accepts requests.
	Ready bool
}

// SlotParts returns a daemon's part of the slots of each server, by ID. All daemons that know the same daemons come to parts whose sum is the
// slots, but for a daemon without any part, which may use one slot of one server.
func SlotParts(daemon string, daemons []string, servers []SlotServer) map[string]int {
	parts := make(map[string]int)
	best, bestRank, all := "", len(daemons), 0
	for _, s := range servers {
		rank := rankOf(daemon, s.ID, daemons)
		slots := max(s.Slots, 1)
		parts[s.ID] = slots / len(daemons)
		if rank < slots%len(daemons) {
			parts[s.ID]++
		}
		all += parts[s.ID]
		if rank < bestRank && s.Ready {
			best, bestRank = s.ID, rank
		}
	}
	if all == 0 && best != "" {
		parts[best] = 1
	}
	return parts
}

// rankOf returns the place of a daemon among the daemons in the order in which they get what is left of a server's slots.
func rankOf(daemon, server string, daemons []string) int {
	own := xxhash.Sum64String(server + " " + daemon)
	rank := 0
	for _, other := range daemons {
		if cmp.Or(cmp.Compare(xxhash.Sum64String(server+" "+other), own), cmp.Compare(other, daemon)) < 0 {
			rank++
		}
	}
	return rank
}

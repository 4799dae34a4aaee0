package assigner

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// A pair is a key and a member, with the weight of the member for the key.
type pair struct {
	weight uint64
	key    int
	member int
}

// A pairHeap is a binary heap of pairs, the heaviest first.
type pairHeap []pair

// A spreader computes one table by deferred acceptance: members propose to keys, and keys reject the lighter members.
// Keys and members are numbered by their sorted names.
type spreader struct {
	keys    []string
	members []string
	// perKey is how many members a key gets.
	perKey int
	// proposals has, for each member, the keys that it has not proposed to yet.
	proposals []pairHeap
	// assigned has the pairs of each key. The first settled[key] are from earlier rounds and are final.
	assigned [][]pair
	settled  []int
	// openKeys is how many keys lacked members when dropSettledKeys last ran.
	openKeys int
	// load is the number of keys that each member has.
	load []int
}

// Spread returns for each key n members, or all members if there are fewer, the heaviest first, such that no member has
// more than ceil(len(keys) * n / len(members)) keys. Keys and members must each be unique; their order does not matter.
//
// There are as many rounds as a member may have keys, and in each round a member gets at most one more key. The
// heaviest pairs go first, so a key that a member has no room for goes to its next choice, and few keys move when a
// member joins or leaves. The cost is O(keys * members) and a little sorting.
func Spread(keys, members []string, n int) map[string][]string {
	table := make(map[string][]string, len(keys))
	n = min(n, len(members))
	if n <= 0 || len(keys) == 0 {
		return table
	}
	s := newSpreader(keys, members, n)
	bound := (len(keys)*n + len(members) - 1) / len(members)
	for range bound {
		s.round()
	}
	s.assignMissing(bound)
	for k, key := range s.keys {
		slices.SortFunc(s.assigned[k], pair.compare)
		picked := make([]string, 0, n)
		for _, p := range s.assigned[k] {
			picked = append(picked, s.members[p.member])
		}
		table[key] = picked
	}
	return table
}

func newSpreader(keys, members []string, n int) *spreader {
	s := &spreader{
		keys:      slices.Sorted(slices.Values(keys)),
		members:   slices.Sorted(slices.Values(members)),
		perKey:    n,
		openKeys:  len(keys),
		proposals: make([]pairHeap, len(members)),
		assigned:  make([][]pair, len(keys)),
		settled:   make([]int, len(keys)),
		load:      make([]int, len(members)),
	}
	hashes := make([]uint64, len(s.keys))
	for k, key := range s.keys {
		hashes[k] = xxhash.Sum64String(key)
	}
	pairs := make([]pair, len(s.keys)*len(s.members))
	for m, member := range s.members {
		hash := xxhash.Sum64String(member)
		proposals := pairs[m*len(hashes) : (m+1)*len(hashes)]
		for k, key := range hashes {
			proposals[k] = pair{weight: mix(key, hash), key: k, member: m}
		}
		s.proposals[m] = proposals
		s.proposals[m].init()
	}
	return s
}

// assignMissing assigns the missing members of the keys that lack some after all rounds.
func (s *spreader) assignMissing(bound int) {
	for k := range s.keys {
		for len(s.assigned[k]) < s.perKey {
			s.assignMissingMember(k, bound)
		}
	}
}

// assignMissingMember assigns one more member to a key. The bound leaves room for all pairs, so some member has room.
// The key rejected no member with room, so it has all of those already. Hence each member that it lacks is full, and
// has some key that lacks the member with room. That key exchanges the full member for the one with room.
func (s *spreader) assignMissingMember(k, bound int) {
	free := slices.IndexFunc(s.load, func(load int) bool { return load < bound })
	for _, p := range s.ranked(k) {
		if s.isAssigned(k, p.member) {
			continue
		}
		donor, ok := s.donorKey(p.member, free)
		if !ok {
			continue
		}
		s.assigned[donor] = slices.DeleteFunc(s.assigned[donor], func(h pair) bool { return h.member == p.member })
		s.load[p.member]--
		s.assign(s.pair(donor, free))
		s.assign(p)
		return
	}
}

// dropSettledKeys removes the proposals to keys that have all their members from earlier rounds.
func (s *spreader) dropSettledKeys() {
	for m := range s.proposals {
		s.proposals[m] = slices.DeleteFunc(s.proposals[m], func(p pair) bool { return s.settled[p.key] >= s.perKey })
		s.proposals[m].init()
	}
}

// donorKey returns the key of the member that can exchange it for another member at the least loss: the key that lacks
// the other member and for which the other member is heaviest.
func (s *spreader) donorKey(member, other int) (int, bool) {
	best, found := pair{}, false
	for k := range s.keys {
		if !s.isAssigned(k, member) || s.isAssigned(k, other) {
			continue
		}
		if p := s.pair(k, other); !found || p.before(best) {
			best, found = p, true
		}
	}
	return best.key, found
}

func (s *spreader) assign(p pair) {
	s.assigned[p.key] = append(s.assigned[p.key], p)
	s.load[p.member]++
}

func (s *spreader) isAssigned(k, member int) bool {
	return slices.ContainsFunc(s.assigned[k], func(p pair) bool { return p.member == member })
}

// propose proposes a member to a key. It returns the member that the key rejects, if any.
func (s *spreader) propose(p pair) (rejected int, ok bool) {
	if len(s.assigned[p.key]) < s.perKey {
		s.assign(p)
		return 0, false
	}
	weakest := -1
	for i := s.settled[p.key]; i < len(s.assigned[p.key]); i++ {
		if weakest < 0 || s.assigned[p.key][weakest].before(s.assigned[p.key][i]) {
			weakest = i
		}
	}
	if weakest < 0 || !p.before(s.assigned[p.key][weakest]) {
		return p.member, true
	}
	rejected = s.assigned[p.key][weakest].member
	s.assigned[p.key][weakest] = p
	s.load[rejected]--
	s.load[p.member]++
	return rejected, true
}

func (s *spreader) pair(k, member int) pair {
	weight := mix(xxhash.Sum64String(s.keys[k]), xxhash.Sum64String(s.members[member]))
	return pair{weight: weight, key: k, member: member}
}

// ranked returns all pairs of a key, the heaviest first.
func (s *spreader) ranked(k int) []pair {
	pairs := make([]pair, 0, len(s.members))
	for m := range s.members {
		pairs = append(pairs, s.pair(k, m))
	}
	slices.SortFunc(pairs, pair.compare)
	return pairs
}

// round gives each member at most one more key, by the unique stable matching: no member and key prefer each other to
// what they have. A key that rejects a member rejects it in all later rounds.
func (s *spreader) round() {
	open := 0
	for k := range s.keys {
		s.settled[k] = len(s.assigned[k])
		if s.settled[k] < s.perKey {
			open++
		}
	}
	if 2*open < s.openKeys {
		s.openKeys = open
		s.dropSettledKeys()
	}
	for m := range s.members {
		proposer, proposing := m, true
		for proposing && len(s.proposals[proposer]) > 0 {
			p := s.proposals[proposer].pop()
			proposer, proposing = s.propose(p)
		}
	}
}

func (h pairHeap) init() {
	for i := len(h)/2 - 1; i >= 0; i-- {
		h.siftDown(i)
	}
}

// pop removes the heaviest pair.
func (h *pairHeap) pop() pair {
	first := (*h)[0]
	last := len(*h) - 1
	(*h)[0] = (*h)[last]
	*h = (*h)[:last]
	h.siftDown(0)
	return first
}

// siftDown moves the pair at i down to its place in the heap.
func (h pairHeap) siftDown(i int) {
	for {
		child := 2*i + 1
		if child >= len(h) {
			return
		}
		if child+1 < len(h) && h[child+1].before(h[child]) {
			child++
		}
		if !h[child].before(h[i]) {
			return
		}
		h[i], h[child] = h[child], h[i]
		i = child
	}
}

func (p pair) before(other pair) bool {
	if p.weight != other.weight {
		return p.weight > other.weight
	}
	return p.compare(other) < 0
}

func (p pair) compare(other pair) int {
	return cmp.Or(
		cmp.Compare(other.weight, p.weight),
		cmp.Compare(p.member, other.member),
		cmp.Compare(p.key, other.key),
	)
}

package assigner

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// A pair is a key and a member with the weight of the member for the key.
type pair struct {
	weight uint64
	key    int
	member int
}

// A pairHeap is a binary heap of pairs, the heaviest first.
type pairHeap []pair

// A spreader computes one table. Keys and members are numbered by their sorted names.
type spreader struct {
	keys    []string
	members []string
	// each is how many members a key gets.
	each int
	// wishes are the keys that a member has not yet asked for.
	wishes []pairHeap
	// held are the pairs of each key, those before settled[key] of earlier rounds, which stay.
	held    [][]pair
	settled []int
	// open is how many keys lacked members when the wishes for others were last dropped.
	open int
	// load is how many keys each member has.
	load []int
}

// Spread returns for each key n members, or all members if there are fewer, the heaviest first, such that
// no member has more than ceil(len(keys) * n / len(members)) keys. Keys and members must each be unique; their
// order does not matter. In each of as many rounds each member takes at most one more key: the heaviest
// pairs first, so that the next choice takes what a member can't, and a member that joins or leaves moves
// few keys. It costs O(keys * members) and a little sorting.
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
	s.complete(bound)
	for k, key := range s.keys {
		slices.SortFunc(s.held[k], pair.compare)
		picked := make([]string, 0, n)
		for _, p := range s.held[k] {
			picked = append(picked, s.members[p.member])
		}
		table[key] = picked
	}
	return table
}

func newSpreader(keys, members []string, n int) *spreader {
	s := &spreader{
		keys:    slices.Sorted(slices.Values(keys)),
		members: slices.Sorted(slices.Values(members)),
		each:    n,
		open:    len(keys),
		wishes:  make([]pairHeap, len(members)),
		held:    make([][]pair, len(keys)),
		settled: make([]int, len(keys)),
		load:    make([]int, len(members)),
	}
	hashes := make([]uint64, len(s.keys))
	for k, key := range s.keys {
		hashes[k] = xxhash.Sum64String(key)
	}
	pairs := make([]pair, len(s.keys)*len(s.members))
	for m, member := range s.members {
		hash := xxhash.Sum64String(member)
		wishes := pairs[m*len(hashes) : (m+1)*len(hashes)]
		for k, key := range hashes {
			wishes[k] = pair{weight: mix(key, hash), key: k, member: m}
		}
		s.wishes[m] = wishes
		s.wishes[m].init()
	}
	return s
}

// complete gives each key that lacks members after all rounds the rest.
func (s *spreader) complete(bound int) {
	for k := range s.keys {
		for len(s.held[k]) < s.each {
			s.completeOne(k, bound)
		}
	}
}

// completeOne gives a key one more member. A member with room exists, as the bound leaves room for all pairs, and
// the key has every such member, as it refused none. So every member that it lacks is full and has a key that
// lacks the one with room: that key gives its member up and takes the one with room instead.
func (s *spreader) completeOne(k, bound int) {
	room := slices.IndexFunc(s.load, func(load int) bool { return load < bound })
	for _, p := range s.ranked(k) {
		if s.holds(k, p.member) {
			continue
		}
		giver, ok := s.giver(p.member, room)
		if !ok {
			continue
		}
		s.held[giver] = slices.DeleteFunc(s.held[giver], func(h pair) bool { return h.member == p.member })
		s.load[p.member]--
		s.hold(s.pair(giver, room))
		s.hold(p)
		return
	}
}

// dropClosed leaves out the wishes for keys that have all their members from earlier rounds.
func (s *spreader) dropClosed() {
	for m := range s.wishes {
		s.wishes[m] = slices.DeleteFunc(s.wishes[m], func(p pair) bool { return s.settled[p.key] >= s.each })
		s.wishes[m].init()
	}
}

// giver returns the key of the member that loses least by the exchange of it for another, which it lacks.
func (s *spreader) giver(member, other int) (int, bool) {
	best, found := pair{}, false
	for k := range s.keys {
		if !s.holds(k, member) || s.holds(k, other) {
			continue
		}
		if p := s.pair(k, other); !found || p.before(best) {
			best, found = p, true
		}
	}
	return best.key, found
}

func (s *spreader) hold(p pair) {
	s.held[p.key] = append(s.held[p.key], p)
	s.load[p.member]++
}

func (s *spreader) holds(k, member int) bool {
	return slices.ContainsFunc(s.held[k], func(p pair) bool { return p.member == member })
}

// offer gives a key a member, and returns the member that it has no more place for, if any.
func (s *spreader) offer(p pair) (rejected int, ok bool) {
	if len(s.held[p.key]) < s.each {
		s.hold(p)
		return 0, false
	}
	weakest := -1
	for i := s.settled[p.key]; i < len(s.held[p.key]); i++ {
		if weakest < 0 || s.held[p.key][weakest].before(s.held[p.key][i]) {
			weakest = i
		}
	}
	if weakest < 0 || !p.before(s.held[p.key][weakest]) {
		return p.member, true
	}
	rejected = s.held[p.key][weakest].member
	s.held[p.key][weakest] = p
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

// round gives each member at most one more key: the one stable matching in which no member and key
// would both rather have each other. A key that refuses a member does so for good.
func (s *spreader) round() {
	open := 0
	for k := range s.keys {
		s.settled[k] = len(s.held[k])
		if s.settled[k] < s.each {
			open++
		}
	}
	if 2*open < s.open {
		s.open = open
		s.dropClosed()
	}
	for m := range s.members {
		asking, asks := m, true
		for asks && len(s.wishes[asking]) > 0 {
			p := s.wishes[asking].pop()
			asking, asks = s.offer(p)
		}
	}
}

func (h pairHeap) init() {
	for i := len(h)/2 - 1; i >= 0; i-- {
		h.sink(i)
	}
}

// pop removes the heaviest pair.
func (h *pairHeap) pop() pair {
	first := (*h)[0]
	last := len(*h) - 1
	(*h)[0] = (*h)[last]
	*h = (*h)[:last]
	h.sink(0)
	return first
}

// sink moves a pair down to its place.
func (h pairHeap) sink(i int) {
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

package router

import (
	"container/list"
	"math"

	"samphirewharf/internal/backend/orderer"
)

const (
	// DefaultMaxPrefixes bounds a table whose Max is not set.
	DefaultMaxPrefixes = 16384
	// maxHolders is how many replicas are remembered for one prefix; the one added first is forgotten.
	maxHolders = 4
)

// A PrefixTable remembers which replicas hold the cache of which prompt prefixes. It forgets the
// prefixes that were used longest ago. The zero value is empty and ready to use.
type PrefixTable struct {
	// Max bounds the prefixes; zero means DefaultMaxPrefixes.
	Max int

	entries  map[uint64]*entry
	replicas map[string]*holder
	// recent holds entries, the one used last in front.
	recent list.List
}

// An entry is a prefix and the replicas that hold it.
type entry struct {
	prefix  uint64
	element *list.Element
	count   int
	// holdings are the first count ones.
	holdings [maxHolders]holding
}

// A holding is a replica's hold of one prefix.
type holding struct {
	holder *holder
	// gaps is the holder's gaps when the holding was last confirmed.
	gaps int
}

// A holder is a replica that holds prefixes.
type holder struct {
	replica string
	entries map[*entry]struct{}
	// sequence is that of the newest event.
	sequence int64
	// gaps is how often events were lost.
	gaps int
}

// ApplyEvent takes a cache event of an engine. An event that is older than the newest known is ignored.
// After a gap all that was known of the replica's cache weighs half.
func (t *PrefixTable) ApplyEvent(event orderer.CacheEvent) {
	h := t.holder(event.Replica)
	if event.Sequence <= h.sequence {
		return
	}
	if event.Sequence > h.sequence+1 {
		h.gaps++
	}
	h.sequence = event.Sequence
	if event.Stored {
		t.add(event.Prefix, h)
		return
	}
	if e, ok := t.entries[event.Prefix]; ok {
		t.drop(e, h)
	}
}

// Len returns how many prefixes are known.
func (t *PrefixTable) Len() int { return len(t.entries) }

// RemoveReplica forgets a replica. It costs as much as the replica holds prefixes.
func (t *PrefixTable) RemoveReplica(replica string) {
	h, ok := t.replicas[replica]
	if !ok {
		return
	}
	for e := range h.entries {
		t.drop(e, h)
	}
	delete(t.replicas, replica)
}

// RecordSent notes that a request with the prefixes was sent to the replica, which will hold them.
func (t *PrefixTable) RecordSent(replica string, prefixes []uint64) {
	if len(prefixes) == 0 {
		return
	}
	h := t.holder(replica)
	for _, prefix := range prefixes {
		t.add(prefix, h)
	}
}

func (t *PrefixTable) add(prefix uint64, h *holder) {
	e, ok := t.entries[prefix]
	if !ok {
		e = &entry{prefix: prefix}
		e.element = t.recent.PushFront(e)
		t.entries[prefix] = e
	}
	t.recent.MoveToFront(e.element)
	e.put(h)
	h.entries[e] = struct{}{}
	for len(t.entries) > t.max() {
		t.forget(t.recent.Back().Value.(*entry))
	}
}

// drop removes one hold, and the entry when it was the last.
func (t *PrefixTable) drop(e *entry, h *holder) {
	if !e.cut(h) {
		return
	}
	delete(h.entries, e)
	if e.count == 0 {
		t.forget(e)
	}
}

func (t *PrefixTable) forget(e *entry) {
	for _, held := range e.holdings[:e.count] {
		delete(held.holder.entries, e)
	}
	t.recent.Remove(e.element)
	delete(t.entries, e.prefix)
}

func (t *PrefixTable) holder(replica string) *holder {
	if t.entries == nil {
		t.entries = make(map[uint64]*entry)
		t.replicas = make(map[string]*holder)
	}
	h, ok := t.replicas[replica]
	if !ok {
		h = &holder{replica: replica, entries: make(map[*entry]struct{})}
		t.replicas[replica] = h
	}
	return h
}

func (t *PrefixTable) max() int {
	if t.Max > 0 {
		return t.Max
	}
	return DefaultMaxPrefixes
}

// cut removes the holder and returns whether it was there.
func (e *entry) cut(h *holder) bool {
	for i, held := range e.holdings[:e.count] {
		if held.holder == h {
			copy(e.holdings[i:], e.holdings[i+1:e.count])
			e.count--
			e.holdings[e.count] = holding{}
			return true
		}
	}
	return false
}

// put adds the holder or confirms it, and forgets the one that was added or confirmed longest ago if there are too many.
func (e *entry) put(h *holder) {
	e.cut(h)
	if e.count == maxHolders {
		oldest := e.holdings[0].holder
		e.cut(oldest)
		delete(oldest.entries, e)
	}
	e.holdings[e.count] = holding{h, h.gaps}
	e.count++
}

// weight returns how much the replica's hold counts, from 1 down to 0.
func (e *entry) weight(replica string) float64 {
	for _, held := range e.holdings[:e.count] {
		if held.holder.replica == replica {
			return held.weight()
		}
	}
	return 0
}

// weight halves with each gap since the holding was confirmed.
func (h holding) weight() float64 { return math.Ldexp(1, h.gaps-h.holder.gaps) }

package router

import (
	"container/list"
	"math"

	"samphirewharf/internal/backend/orderer"
)

const (
	// DefaultMaxPrefixes bounds a table whose Max is not set.
	DefaultMaxPrefixes = 16384
	// maxReplicasPerPrefix bounds the replicas that are recorded for one prefix; the one confirmed longest ago is
	// dropped.
	maxReplicasPerPrefix = 4
)

// A PrefixTable records which replicas have cached which prompt prefixes. It evicts the least recently used prefixes.
// The zero value is empty and ready to use.
type PrefixTable struct {
	// Max bounds the number of prefixes; zero means DefaultMaxPrefixes.
	Max int

	entries  map[uint64]*entry
	replicas map[string]*replicaCache
	// recentlyUsed has the entries, the most recently used one first.
	recentlyUsed list.List
}

// An entry is a prefix and the replicas that have cached it.
type entry struct {
	prefix  uint64
	element *list.Element
	count   int
	// records has count elements in use.
	records [maxReplicasPerPrefix]cacheRecord
}

// A cacheRecord records that a replica has cached a prefix.
type cacheRecord struct {
	cache *replicaCache
	// gaps is the value of cache.gaps when the record was last confirmed.
	gaps int
}

// A replicaCache is the known state of one replica's prefix cache.
type replicaCache struct {
	replica string
	entries map[*entry]struct{}
	// sequence is the sequence number of the newest event.
	sequence int64
	// gaps is the number of gaps in the sequence of events.
	gaps int
}

// ApplyEvent applies a cache event of an engine. An event older than the newest one is ignored. A gap in the sequence
// halves the weight of all records of the replica.
func (t *PrefixTable) ApplyEvent(event orderer.CacheEvent) {
	cache := t.cacheOf(event.Replica)
	if event.Sequence <= cache.sequence {
		return
	}
	if event.Sequence > cache.sequence+1 {
		cache.gaps++
	}
	cache.sequence = event.Sequence
	if event.Stored {
		t.add(event.Prefix, cache)
		return
	}
	if e, ok := t.entries[event.Prefix]; ok {
		t.removeRecord(e, cache)
	}
}

// Len returns the number of prefixes in the table.
func (t *PrefixTable) Len() int { return len(t.entries) }

// RemoveReplica removes a replica's records. It costs O(n) for the n prefixes that the replica has cached.
func (t *PrefixTable) RemoveReplica(replica string) {
	cache, ok := t.replicas[replica]
	if !ok {
		return
	}
	for e := range cache.entries {
		t.removeRecord(e, cache)
	}
	delete(t.replicas, replica)
}

// RecordSent records that a request with the prefixes was sent to the replica, which will cache them.
func (t *PrefixTable) RecordSent(replica string, prefixes []uint64) {
	if len(prefixes) == 0 {
		return
	}
	cache := t.cacheOf(replica)
	for _, prefix := range prefixes {
		t.add(prefix, cache)
	}
}

func (t *PrefixTable) add(prefix uint64, cache *replicaCache) {
	e, ok := t.entries[prefix]
	if !ok {
		e = &entry{prefix: prefix}
		e.element = t.recentlyUsed.PushFront(e)
		t.entries[prefix] = e
	}
	t.recentlyUsed.MoveToFront(e.element)
	e.addReplica(cache)
	cache.entries[e] = struct{}{}
	for len(t.entries) > t.max() {
		t.evict(t.recentlyUsed.Back().Value.(*entry))
	}
}

// removeRecord removes a replica from an entry, and the entry if that was the last replica.
func (t *PrefixTable) removeRecord(e *entry, cache *replicaCache) {
	if !e.removeReplica(cache) {
		return
	}
	delete(cache.entries, e)
	if e.count == 0 {
		t.evict(e)
	}
}

func (t *PrefixTable) evict(e *entry) {
	for _, record := range e.records[:e.count] {
		delete(record.cache.entries, e)
	}
	t.recentlyUsed.Remove(e.element)
	delete(t.entries, e.prefix)
}

func (t *PrefixTable) cacheOf(replica string) *replicaCache {
	if t.entries == nil {
		t.entries = make(map[uint64]*entry)
		t.replicas = make(map[string]*replicaCache)
	}
	cache, ok := t.replicas[replica]
	if !ok {
		cache = &replicaCache{replica: replica, entries: make(map[*entry]struct{})}
		t.replicas[replica] = cache
	}
	return cache
}

func (t *PrefixTable) max() int {
	if t.Max > 0 {
		return t.Max
	}
	return DefaultMaxPrefixes
}

// removeReplica removes the replica and reports whether it was there.
func (e *entry) removeReplica(cache *replicaCache) bool {
	for i, record := range e.records[:e.count] {
		if record.cache == cache {
			copy(e.records[i:], e.records[i+1:e.count])
			e.count--
			e.records[e.count] = cacheRecord{}
			return true
		}
	}
	return false
}

// addReplica adds or confirms the replica. If there are too many, it drops the one that was confirmed longest ago.
func (e *entry) addReplica(cache *replicaCache) {
	e.removeReplica(cache)
	if e.count == maxReplicasPerPrefix {
		oldest := e.records[0].cache
		e.removeReplica(oldest)
		delete(oldest.entries, e)
	}
	e.records[e.count] = cacheRecord{cache, cache.gaps}
	e.count++
}

// weight returns the weight of the replica's record, which is at most 1, or 0 if there is no record.
func (e *entry) weight(replica string) float64 {
	for _, record := range e.records[:e.count] {
		if record.cache.replica == replica {
			return record.weight()
		}
	}
	return 0
}

// weight returns the weight of the record. It halves with each gap since the record was confirmed.
func (r cacheRecord) weight() float64 { return math.Ldexp(1, r.gaps-r.cache.gaps) }

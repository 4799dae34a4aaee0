package inferrer

import "slices"

// An lru is a small set that evicts the least recently used key when it is full.
type lru[K comparable] struct {
	// keys are ordered from the least to the most recently used.
	keys []K
}

func (l *lru[K]) contains(key K) bool { return slices.Contains(l.keys, key) }

// touch adds a key or marks it as the most recently used. It returns the evicted key, if the set was full.
func (l *lru[K]) touch(key K, capacity int) (evicted K, full bool) {
	if i := slices.Index(l.keys, key); i >= 0 {
		l.keys = slices.Delete(l.keys, i, i+1)
	}
	l.keys = append(l.keys, key)
	if len(l.keys) <= capacity {
		return evicted, false
	}
	evicted = l.keys[0]
	l.keys = slices.Delete(l.keys, 0, 1)
	return evicted, true
}

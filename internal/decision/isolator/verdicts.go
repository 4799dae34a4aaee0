package isolator

import (
	"container/list"
	"time"
)

// An expiringSet is a set of hashes with expiry times and a maximum size; the entry that was added longest
// ago is evicted first.
type expiringSet struct {
	byHash map[uint64]*list.Element
	order  list.List
}

type expiringHash struct {
	hash    uint64
	expires time.Duration
	// crash is the crash that the request is a suspect of, nil if it is poisonous.
	crash *crash
}

// A crash is the set of requests one of which crashed a server.
type crash struct{ hashes []uint64 }

func (s *expiringSet) add(hash uint64, c *crash, expires, now time.Duration, limit int) {
	if expires <= now {
		return
	}
	if s.byHash == nil {
		s.byHash = make(map[uint64]*list.Element)
	}
	if old, ok := s.byHash[hash]; ok {
		expires = max(expires, old.Value.(expiringHash).expires)
		s.order.Remove(old)
	}
	s.byHash[hash] = s.order.PushBack(expiringHash{hash, expires, c})
	for oldest := s.order.Front(); oldest != nil; oldest = s.order.Front() {
		if len(s.byHash) <= limit && oldest.Value.(expiringHash).expires > now {
			return
		}
		s.remove(oldest.Value.(expiringHash).hash)
	}
}

// crashOf returns the latest crash that the hash is a suspect of, or nil.
func (s *expiringSet) crashOf(hash uint64) *crash {
	element, ok := s.byHash[hash]
	if !ok {
		return nil
	}
	return element.Value.(expiringHash).crash
}

func (s *expiringSet) has(hash uint64, now time.Duration) bool {
	element, ok := s.byHash[hash]
	if !ok {
		return false
	}
	if element.Value.(expiringHash).expires > now {
		return true
	}
	s.remove(hash)
	return false
}

func (s *expiringSet) remove(hash uint64) {
	if element, ok := s.byHash[hash]; ok {
		s.order.Remove(element)
		delete(s.byHash, hash)
	}
}

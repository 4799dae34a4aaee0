package isolator

import (
	"container/list"
	"time"
)

// A expiringSet set holds hashes until they expire, at most max of them; the one that was added longest
// ago goes first.
type expiringSet struct {
	byHash map[uint64]*list.Element
	order  list.List
}

type expiringHash struct {
	hash    uint64
	expires time.Duration
	// crash is what the request is suspected for, nil if it is convicted.
	crash *crash
}

// A crash is the set of requests one of which is held to have crashed a server.
type crash struct{ hashes []uint64 }

func (v *expiringSet) add(hash uint64, c *crash, expires, now time.Duration, limit int) {
	if expires <= now {
		return
	}
	if v.byHash == nil {
		v.byHash = make(map[uint64]*list.Element)
	}
	if old, ok := v.byHash[hash]; ok {
		expires = max(expires, old.Value.(expiringHash).expires)
		v.order.Remove(old)
	}
	v.byHash[hash] = v.order.PushBack(expiringHash{hash, expires, c})
	for oldest := v.order.Front(); oldest != nil; oldest = v.order.Front() {
		if len(v.byHash) <= limit && oldest.Value.(expiringHash).expires > now {
			return
		}
		v.remove(oldest.Value.(expiringHash).hash)
	}
}

// crashOf returns the newest crash that the hash is suspected for, or nil.
func (v *expiringSet) crashOf(hash uint64) *crash {
	element, ok := v.byHash[hash]
	if !ok {
		return nil
	}
	return element.Value.(expiringHash).crash
}

func (v *expiringSet) has(hash uint64, now time.Duration) bool {
	element, ok := v.byHash[hash]
	if !ok {
		return false
	}
	if element.Value.(expiringHash).expires > now {
		return true
	}
	v.remove(hash)
	return false
}

func (v *expiringSet) remove(hash uint64) {
	if element, ok := v.byHash[hash]; ok {
		v.order.Remove(element)
		delete(v.byHash, hash)
	}
}

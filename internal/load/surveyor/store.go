package surveyor

import (
	"slices"
	"strings"

	"samphirewharf/internal/decision/reducer"
	"samphirewharf/internal/external/storer"
)

// A store is an in-memory key-value service without delay.
type store struct {
	entries  map[string]storer.Entry
	revision int64
}

// execute executes a call. It returns nil if the effect is not a call to the key-value service.
func (s *store) execute(effect reducer.Effect) reducer.Event {
	switch e := effect.(type) {
	case reducer.StoreGet:
		entry, ok := s.entries[e.Key]
		if !ok {
			return reducer.StoreGot{Op: e.Op, Result: storer.ResultNotFound}
		}
		return reducer.StoreGot{Op: e.Op, Result: storer.ResultOK, Entry: entry}
	case reducer.StoreList:
		return reducer.StoreListed{Op: e.Op, Result: storer.ResultOK, Entries: s.list(e.Prefix)}
	case reducer.StoreSwap:
		if s.entries[e.Key].Revision != e.Revision {
			return reducer.StoreSwapped{Op: e.Op, Result: storer.ResultConflict}
		}
		s.put(e.Key, e.Value)
		return reducer.StoreSwapped{Op: e.Op, Result: storer.ResultOK, Revision: s.revision}
	case reducer.StoreDelete:
		if s.entries[e.Key].Revision != e.Revision {
			return reducer.StoreSwapped{Op: e.Op, Result: storer.ResultConflict}
		}
		s.revision++
		delete(s.entries, e.Key)
		return reducer.StoreSwapped{Op: e.Op, Result: storer.ResultOK, Revision: s.revision}
	}
	return nil
}

// prefixBytes returns the total size of all keys with a prefix and their values, and the size of the largest value.
func (s *store) prefixBytes(prefix string) (all, largest int) {
	for key, e := range s.entries {
		if strings.HasPrefix(key, prefix) {
			all += len(key) + len(e.Value)
			largest = max(largest, len(e.Value))
		}
	}
	return all, largest
}

func (s *store) list(prefix string) []storer.Entry {
	var list []storer.Entry
	for key, e := range s.entries {
		if strings.HasPrefix(key, prefix) {
			list = append(list, e)
		}
	}
	slices.SortFunc(list, func(a, b storer.Entry) int { return strings.Compare(a.Key, b.Key) })
	return list
}

func (s *store) put(key string, value []byte) {
	if s.entries == nil {
		s.entries = make(map[string]storer.Entry)
	}
	s.revision++
	s.entries[key] = storer.Entry{Key: key, Value: slices.Clone(value), Revision: s.revision}
}

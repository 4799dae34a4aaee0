package versioner

import (
	"context"
	"sort"
	"strings"

	"samphirewharf/internal/external/storer"
)

// A fault is the failure mode of one call.
type fault string

const (
	faultNone fault = "None"
	// faultNotSent means that the call is not sent.
	faultNotSent fault = "Refused"
	// faultLostCall means that the call has no effect and is not answered.
	faultLostCall fault = "LostCall"
	// faultLostAnswer means that the call takes effect and is not answered.
	faultLostAnswer fault = "LostAnswer"
	// faultDelayed means that the call is not answered and takes effect when applyDelayed is called.
	faultDelayed fault = "Late"
)

// A fakeStore is an in-memory key-value service.
type fakeStore struct {
	entries  map[string]storer.Entry
	revision int64
	// delayed are the calls that have not taken effect yet.
	delayed []func()
	// onWrite is called after a key was written.
	onWrite func(storer.Entry)
	calls   int
}

func newFakeStore() *fakeStore {
	return &fakeStore{entries: make(map[string]storer.Entry), onWrite: func(storer.Entry) {}}
}

// store returns a Store that uses the fake. It calls next before each call for the fault to inject.
func (s *fakeStore) store(next func() fault) Store {
	return Store{
		Get: func(_ context.Context, key string) (storer.Entry, storer.Result) {
			var entry storer.Entry
			result := s.call(next(), func() storer.Result {
				known, found := s.entries[key]
				if !found {
					return storer.ResultNotFound
				}
				entry = known
				return storer.ResultOK
			})
			return entry, result
		},
		Swap: func(_ context.Context, key string, value []byte, revision, _ int64) (int64, storer.Result) {
			written := int64(0)
			result := s.call(next(), func() storer.Result {
				if s.entries[key].Revision != revision {
					return storer.ResultConflict
				}
				s.revision++
				written = s.revision
				s.entries[key] = storer.Entry{Key: key, Value: value, Revision: written}
				s.onWrite(s.entries[key])
				return storer.ResultOK
			})
			return written, result
		},
		Delete: func(_ context.Context, key string, revision int64) storer.Result {
			return s.call(next(), func() storer.Result {
				entry, found := s.entries[key]
				if !found {
					return storer.ResultNotFound
				}
				if entry.Revision != revision {
					return storer.ResultConflict
				}
				delete(s.entries, key)
				return storer.ResultOK
			})
		},
		List: func(_ context.Context, prefix string) ([]storer.Entry, storer.Result) {
			var entries []storer.Entry
			result := s.call(next(), func() storer.Result {
				entries = s.entriesWithPrefix(prefix)
				return storer.ResultOK
			})
			return entries, result
		},
	}
}

// entriesWithPrefix returns the entries with the prefix, sorted by key.
func (s *fakeStore) entriesWithPrefix(prefix string) []storer.Entry {
	var entries []storer.Entry
	for key, entry := range s.entries {
		if strings.HasPrefix(key, prefix) {
			entries = append(entries, entry)
		}
	}
	sort.Slice(entries, func(i, j int) bool { return entries[i].Key < entries[j].Key })
	return entries
}

// call runs a call with a fault and returns the result that its caller sees.
func (s *fakeStore) call(f fault, effect func() storer.Result) storer.Result {
	s.calls++
	switch f {
	case faultNotSent:
		return storer.ResultNotSent
	case faultLostCall:
		return storer.ResultUnknown
	case faultLostAnswer:
		effect()
		return storer.ResultUnknown
	case faultDelayed:
		s.delayed = append(s.delayed, func() { effect() })
		return storer.ResultUnknown
	}
	return effect()
}

// applyDelayed lets a delayed call take effect.
func (s *fakeStore) applyDelayed(i int) {
	effect := s.delayed[i]
	s.delayed = append(s.delayed[:i:i], s.delayed[i+1:]...)
	effect()
}

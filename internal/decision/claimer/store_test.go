package claimer

import "samphirewharf/internal/external/storer"

// A fakeStore is a key-value service with single-key compare-and-swap.
type fakeStore struct {
	revision int64
	entries  map[string]storer.Entry
}

// anyRevision makes a swap unconditional. Only mutated Machines use it.
const anyRevision = -1

func newFakeStore() *fakeStore { return &fakeStore{entries: make(map[string]storer.Entry)} }

// apply carries out a Read, Swap or Delete and returns the answer.
func (s *fakeStore) apply(a Action) Answer {
	switch a := a.(type) {
	case Read:
		e, ok := s.entries[a.Key]
		if !ok {
			return Answer{Op: a.Op, Result: storer.ResultNotFound}
		}
		return Answer{Op: a.Op, Result: storer.ResultOK, Value: e.Value, Revision: e.Revision}
	case Swap:
		if a.Revision != anyRevision && s.entries[a.Key].Revision != a.Revision {
			return Answer{Op: a.Op, Result: storer.ResultConflict}
		}
		s.revision++
		s.entries[a.Key] = storer.Entry{Key: a.Key, Value: a.Value, Revision: s.revision}
		return Answer{Op: a.Op, Result: storer.ResultOK, Revision: s.revision}
	case Delete:
		if s.entries[a.Key].Revision != a.Revision {
			return Answer{Op: a.Op, Result: storer.ResultConflict}
		}
		delete(s.entries, a.Key)
		return Answer{Op: a.Op, Result: storer.ResultOK}
	}
	return Answer{}
}

// operationID returns the operation ID of an action, and false if the action is no store call.
func operationID(a Action) (uint64, bool) {
	switch a := a.(type) {
	case Read:
		return a.Op, true
	case Swap:
		return a.Op, true
	case Delete:
		return a.Op, true
	}
	return 0, false
}

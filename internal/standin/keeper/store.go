package keeper

import (
	"bytes"
	"errors"
	"sort"
	"time"
)

const (
	// maxValueBytes is the largest size of a value.
	maxValueBytes = 1 << 20
	// maxHistory is how many events are kept at least, for watches that start at an earlier revision.
	maxHistory = 20000
)

var (
	errTooLarge      = errors.New("etcdserver: request is too large")
	errEmptyKey      = errors.New("etcdserver: key is not provided")
	errLeaseNotFound = errors.New("etcdserver: requested lease not found")
	errDuplicateKey  = errors.New("etcdserver: duplicate key given in txn request")
)

// A lease keeps its keys until it expires.
type lease struct {
	ttl       time.Duration
	expiresAt time.Time
}

// A store is the state of the service. It is not safe for concurrent use.
type store struct {
	// revision increases by one each time that changes are committed and is never reused.
	revision int64
	// keys are the keys of values, sorted.
	keys   []string
	values map[string]KeyValue
	leases map[int64]lease
	// history holds the last events, oldest first; all events after compacted are in it.
	history   []Event
	compacted int64
	nextLease int64
	// changed is closed and replaced by a new channel with each revision and when the faults are replaced.
	changed chan struct{}
}

func newStore() *store {
	return &store{
		revision:  1,
		values:    make(map[string]KeyValue),
		leases:    make(map[int64]lease),
		nextLease: 7000,
		changed:   make(chan struct{}),
	}
}

func (s *store) evaluate(c Compare) bool {
	kv := s.values[string(c.Key)]
	var order int
	switch c.Target {
	case "VALUE":
		if kv.ModRevision == 0 {
			return false
		}
		order = bytes.Compare(kv.Value, c.Value)
	case "MOD":
		order = compareInt(kv.ModRevision, c.ModRevision)
	case "CREATE":
		order = compareInt(kv.CreateRevision, c.CreateRevision)
	default:
		order = compareInt(kv.Version, c.Version)
	}
	switch c.Result {
	case "NOT_EQUAL":
		return order != 0
	case "GREATER":
		return order > 0
	case "LESS":
		return order < 0
	default:
		return order == 0
	}
}

func compareInt(a, b Int64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

func (s *store) deleteRange(r DeleteRangeRequest) Int64 {
	keys := append([]string(nil), s.selectKeys(r.Key, r.RangeEnd)...)
	if len(keys) == 0 {
		return 0
	}
	for _, key := range keys {
		i := sort.SearchStrings(s.keys, key)
		s.keys = append(s.keys[:i], s.keys[i+1:]...)
		delete(s.values, key)
		s.record(Event{Type: "DELETE", KV: KeyValue{Key: []byte(key), ModRevision: Int64(s.revision + 1)}})
	}
	return Int64(len(keys))
}

// expire removes the expired leases and their keys.
func (s *store) expire(now time.Time) {
	for id, l := range s.leases {
		if !now.Before(l.expiresAt) {
			s.revoke(id)
		}
	}
}

func (s *store) findRange(r RangeRequest) RangeResponse {
	keys := s.selectKeys(r.Key, r.RangeEnd)
	response := RangeResponse{Count: Int64(len(keys))}
	if r.CountOnly {
		return response
	}
	if r.Limit > 0 && len(keys) > int(r.Limit) {
		keys = keys[:r.Limit]
		response.More = true
	}
	for _, key := range keys {
		kv := s.values[key]
		if r.KeysOnly {
			kv.Value = nil
		}
		response.KVs = append(response.KVs, kv)
	}
	return response
}

func (s *store) grant(id int64, ttl time.Duration, now time.Time) int64 {
	if id == 0 {
		s.nextLease++
		id = s.nextLease
	}
	s.leases[id] = lease{ttl: ttl, expiresAt: now.Add(ttl)}
	return id
}

// keepAlive renews a lease and returns its time to live, or 0 if it does not exist.
func (s *store) keepAlive(id int64, now time.Time) time.Duration {
	l, ok := s.leases[id]
	if !ok {
		return 0
	}
	l.expiresAt = now.Add(l.ttl)
	s.leases[id] = l
	return l.ttl
}

// commitRevision commits the events recorded since the last call as a new revision, if there are any.
func (s *store) commitRevision() {
	if len(s.history) == 0 || int64(s.history[len(s.history)-1].KV.ModRevision) <= s.revision {
		return
	}
	s.revision++
	if len(s.history) > 2*maxHistory {
		drop := len(s.history) - maxHistory
		s.compacted = int64(s.history[drop-1].KV.ModRevision)
		s.history = append([]Event(nil), s.history[drop:]...)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) put(r PutRequest) {
	key := string(r.Key)
	kv, ok := s.values[key]
	if !ok {
		kv.CreateRevision = Int64(s.revision + 1)
		i := sort.SearchStrings(s.keys, key)
		s.keys = append(s.keys, "")
		copy(s.keys[i+1:], s.keys[i:])
		s.keys[i] = key
	}
	kv.Key = r.Key
	kv.Value = r.Value
	kv.Lease = r.Lease
	kv.ModRevision = Int64(s.revision + 1)
	kv.Version++
	s.values[key] = kv
	s.record(Event{KV: kv})
}

func (s *store) record(e Event) { s.history = append(s.history, e) }

// revoke removes a lease and its keys and reports whether the lease existed.
func (s *store) revoke(id int64) bool {
	if _, ok := s.leases[id]; !ok {
		return false
	}
	delete(s.leases, id)
	for _, key := range append([]string(nil), s.keys...) {
		if int64(s.values[key].Lease) == id {
			s.deleteRange(DeleteRangeRequest{Key: []byte(key)})
		}
	}
	s.commitRevision()
	return true
}

// selectKeys returns the keys of a range. The caller must not retain or modify the slice.
func (s *store) selectKeys(key, end []byte) []string {
	first := sort.SearchStrings(s.keys, string(key))
	last := len(s.keys)
	switch {
	case len(end) == 0:
		last = first
		if first < len(s.keys) && s.keys[first] == string(key) {
			last++
		}
	case len(end) != 1 || end[0] != 0:
		last = max(first, sort.SearchStrings(s.keys, string(end)))
	}
	return s.keys[first:last]
}

// eventsSince returns the events of a range, from a revision up to the current one.
func (s *store) eventsSince(key, end []byte, revision int64) []Event {
	first := sort.Search(len(s.history), func(i int) bool { return int64(s.history[i].KV.ModRevision) >= revision })
	var events []Event
	for _, e := range s.history[first:] {
		if inRange(e.KV.Key, key, end) {
			events = append(events, e)
		}
	}
	return events
}

func inRange(key, first, end []byte) bool {
	switch {
	case len(end) == 0:
		return bytes.Equal(key, first)
	case len(end) == 1 && end[0] == 0:
		return bytes.Compare(key, first) >= 0
	}
	return bytes.Compare(key, first) >= 0 && bytes.Compare(key, end) < 0
}

// executeTxn executes a transaction in one revision, or returns an error and changes nothing.
func (s *store) executeTxn(r TxnRequest) (TxnResponse, error) {
	response := TxnResponse{Succeeded: true}
	for _, c := range r.Compare {
		response.Succeeded = response.Succeeded && s.evaluate(c)
	}
	ops := r.Success
	if !response.Succeeded {
		ops = r.Failure
	}
	if err := s.validate(ops); err != nil {
		return TxnResponse{}, err
	}
	for _, op := range ops {
		response.Responses = append(response.Responses, s.apply(op))
	}
	s.commitRevision()
	return response, nil
}

func (s *store) apply(op RequestOp) ResponseOp {
	switch {
	case op.Put != nil:
		s.put(*op.Put)
		return ResponseOp{Put: &PutResponse{}}
	case op.DeleteRange != nil:
		return ResponseOp{DeleteRange: &DeleteRangeResponse{Deleted: s.deleteRange(*op.DeleteRange)}}
	case op.Range != nil:
		found := s.findRange(*op.Range)
		return ResponseOp{Range: &found}
	}
	return ResponseOp{}
}

func (s *store) validate(ops []RequestOp) error {
	seen := make(map[string]bool)
	for _, op := range ops {
		if op.Put == nil {
			continue
		}
		if seen[string(op.Put.Key)] {
			return errDuplicateKey
		}
		seen[string(op.Put.Key)] = true
		if err := s.validatePut(*op.Put); err != nil {
			return err
		}
	}
	return nil
}

func (s *store) validatePut(r PutRequest) error {
	if len(r.Key) == 0 {
		return errEmptyKey
	}
	if len(r.Value) > maxValueBytes {
		return errTooLarge
	}
	if _, ok := s.leases[int64(r.Lease)]; r.Lease != 0 && !ok {
		return errLeaseNotFound
	}
	return nil
}

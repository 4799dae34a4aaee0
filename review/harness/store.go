package main

import (
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// An item is an entry of the metadata store as it is on the wire.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease,omitempty"`
	Removed  bool   `json:"removed,omitempty"`
}

// A lease ends unless it is renewed in time.
type lease struct {
	ttl       time.Duration
	expiresAt time.Time
}

// A store is a stand-in for the platform's metadata store. It keeps its whole history.
type store struct {
	address string

	mu        sync.Mutex
	revision  int64
	items     map[string]item
	history   []item
	leases    map[int64]*lease
	lastLease int64
	// changed is closed and replaced on each change.
	changed chan struct{}
	// era rises with each restoration from a copy. away reports whether the store answers nobody.
	era  int64
	away bool
}

// A storeCopy is a copy of the store's state.
type storeCopy struct {
	revision  int64
	items     map[string]item
	leases    map[int64]*lease
	lastLease int64
}

// newStore starts a store on a free port of the loopback address.
func newStore() (*store, error) {
	s := &store{items: make(map[string]item), leases: make(map[int64]*lease), changed: make(chan struct{}), lastLease: 100}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.address = listener.Addr().String()
	server := &http.Server{Handler: s, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	go s.expire()
	return s, nil
}

func (s *store) expire() {
	for range time.Tick(20 * time.Millisecond) {
		s.mu.Lock()
		for id, l := range s.leases {
			if time.Now().After(l.expiresAt) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}

func (s *store) endLease(id int64) {
	delete(s.leases, id)
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if s.items[key].Lease == id {
			s.remove(key)
		}
	}
}

func (s *store) record(i item) {
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) put(key string, value []byte, leaseID int64) {
	s.revision++
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	i := item{Key: key, Value: value, Revision: s.revision, Created: created, Lease: leaseID}
	s.items[key] = i
	s.record(i)
}

func (s *store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.record(item{Key: key, Revision: s.revision, Removed: true})
}

// write writes an entry as the operator or a server does.
func (s *store) write(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(key, data, 0)
}

// delete removes a key.
func (s *store) delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
}

// get returns the value of a key, nil if it doesn't exist.
func (s *store) get(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Value
}

// copy returns a copy of the state.
func (s *store) copy() storeCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := storeCopy{revision: s.revision, items: maps.Clone(s.items), leases: make(map[int64]*lease), lastLease: s.lastLease}
	for id, l := range s.leases {
		copied := *l
		c.leases[id] = &copied
	}
	return c
}

// leave has the store answer nobody.
func (s *store) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
}

// restore brings the store back from a copy. Leases of the copy begin anew. What the operator and the servers wrote since is written
// again, and what the system wrote since is gone.
func (s *store) restore(c storeCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.away = false
	lost := s.items
	s.revision, s.items, s.leases, s.lastLease = c.revision, c.items, c.leases, c.lastLease
	for _, l := range s.leases {
		l.expiresAt = time.Now().Add(l.ttl)
	}
	s.history = slices.DeleteFunc(s.history, func(i item) bool { return i.Revision > c.revision })
	for _, key := range slices.Sorted(maps.Keys(lost)) {
		bySystem := !strings.HasPrefix(key, "op/") && !strings.HasPrefix(key, "servers/")
		if !bySystem && string(s.items[key].Value) != string(lost[key].Value) {
			s.put(key, lost[key].Value, 0)
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP answers a daemon's call.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	away := s.away
	w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
	s.mu.Unlock()
	if away {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch path := strings.TrimPrefix(r.URL.Path, "/samphirewharf/"); path {
	case "kv-watch":
		s.watch(w, r)
	case "kv-txn":
		status, answer := s.transact(body)
		reply(w, status, answer)
	default:
		status, answer := s.serve(path, r, body)
		reply(w, status, answer)
	}
}

func (s *store) serve(path string, r *http.Request, body []byte) (status int, answer any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	name, id, _ := strings.Cut(path, "/")
	number, _ := strconv.ParseInt(id, 10, 64)
	switch name {
	case "kv-range":
		items := []item{}
		for key, i := range s.items {
			if strings.HasPrefix(key, r.URL.Query().Get("prefix")) {
				items = append(items, i)
			}
		}
		sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
		return http.StatusOK, map[string]any{"items": items, "truncated": false, "current-rev": s.revision}
	case "kv-lease":
		var request struct {
			TTL float64 `json:"ttl-ms"`
		}
		if json.Unmarshal(body, &request) != nil || request.TTL < 1000 {
			return http.StatusBadRequest, nil
		}
		s.lastLease++
		ttl := time.Duration(request.TTL) * time.Millisecond
		s.leases[s.lastLease] = &lease{ttl: ttl, expiresAt: time.Now().Add(ttl)}
		return http.StatusOK, map[string]any{"lease": s.lastLease, "ttl-ms": request.TTL}
	case "kv-keep":
		l, ok := s.leases[number]
		if !ok {
			return http.StatusNotFound, nil
		}
		l.expiresAt = time.Now().Add(l.ttl)
		return http.StatusOK, map[string]any{"ttl-ms": l.ttl.Milliseconds()}
	case "kv-lease-end":
		s.endLease(number)
		return http.StatusOK, map[string]any{}
	}
	return http.StatusNotFound, nil
}

func (s *store) transact(body []byte) (status int, answer any) {
	var txn struct {
		Expected []item   `json:"expected"`
		Puts     []item   `json:"puts"`
		Remove   []string `json:"remove"`
	}
	if json.Unmarshal(body, &txn) != nil {
		return http.StatusBadRequest, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range txn.Expected {
		if s.items[e.Key].Revision != e.Revision {
			return http.StatusPreconditionFailed, map[string]any{"items": []item{}}
		}
	}
	for _, p := range txn.Puts {
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			return http.StatusNotFound, nil
		}
	}
	for _, p := range txn.Puts {
		s.put(p.Key, p.Value, p.Lease)
	}
	for _, key := range txn.Remove {
		s.remove(key)
	}
	return http.StatusOK, map[string]any{"revision": s.revision}
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait-ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		changed, current, era := s.changed, s.revision, s.era
		events := []item{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, query.Get("prefix")) {
				events = append(events, i)
			}
		}
		s.mu.Unlock()
		w.Header().Set("Store-Era", strconv.FormatInt(era, 10))
		if after > current {
			reply(w, http.StatusGone, nil)
			return
		}
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "current-rev": current})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			reply(w, http.StatusOK, map[string]any{"events": events, "current-rev": current})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func reply(w http.ResponseWriter, status int, answer any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if answer != nil {
		_ = json.NewEncoder(w).Encode(answer)
	}
}

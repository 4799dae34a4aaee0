package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// An item is an entry of the store.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created"`
	Lease    int64  `json:"lease"`
	Removed  bool   `json:"removed,omitempty"`
}

// A store is a stand-in of the platform's metadata store, as PROTOCOL.md describes it. It is sound; tests write entries with put.
type store struct {
	mu       sync.Mutex
	revision int64
	lastID   int64
	items    map[string]item
	events   []item
	leases   map[int64]*lease
	changed  chan struct{}
	address  string
	// down reports whether the store answers nothing.
	down bool
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

func startStore() (*store, error) {
	s := &store{items: make(map[string]item), leases: make(map[int64]*lease), changed: make(chan struct{}), revision: 100}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.address = listener.Addr().String()
	server := &http.Server{Handler: s, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = server.Serve(listener) }()
	go s.loop()
	return s, nil
}

// loop ends leases that were not renewed.
func (s *store) loop() {
	for range time.Tick(20 * time.Millisecond) {
		s.mu.Lock()
		for id, l := range s.leases {
			if time.Now().After(l.expires) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}

func (s *store) endLease(id int64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.remove(key)
		}
	}
}

func (s *store) record(i item) {
	s.events = append(s.events, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.record(item{Key: key, Revision: s.revision, Removed: true})
}

func (s *store) write(key string, value []byte, leaseID int64) {
	s.revision++
	created := s.revision
	if known, ok := s.items[key]; ok {
		created = known.Created
	}
	i := item{Key: key, Value: value, Revision: s.revision, Created: created, Lease: leaseID}
	s.items[key] = i
	s.record(i)
}

// put writes an entry on behalf of the operator, a server or another writer.
func (s *store) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(key, data, 0)
}

// ServeHTTP answers a call.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.isDown() {
		reset(w)
		return
	}
	call, id, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/samphirewharf/"), "/")
	switch call {
	case "kv-key":
		s.serveKey(w, r)
	case "kv-range":
		s.serveRange(w, r)
	case "kv-watch":
		s.serveWatch(w, r)
	case "kv-txn":
		s.serveTxn(w, r)
	case "kv-lease", "kv-keep", "kv-lease-end":
		number, _ := strconv.ParseInt(id, 10, 64)
		s.serveLease(w, r, call, number)
	default:
		http.NotFound(w, r)
	}
}

// reset ends the connection of a call without an answer.
func reset(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// setDown begins or ends an outage, in which all leases expire.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	for id := range s.leases {
		s.endLease(id)
	}
}

func (s *store) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

// delete removes an entry on behalf of a server.
func (s *store) delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		answer(w, http.StatusNotFound, map[string]any{"current-rev": s.revision})
		return
	}
	answer(w, http.StatusOK, struct {
		item
		Current int64 `json:"current-rev"`
	}{i, s.revision})
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	query := r.URL.Query()
	list := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, query.Get("prefix")) && key > query.Get("after") {
			list = append(list, i)
		}
	}
	slices.SortFunc(list, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	answer(w, http.StatusOK, map[string]any{"items": list, "truncated": false, "current-rev": s.revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(query.Get("wait-ms"), 10, 64)
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for waiting := true; ; {
		if s.isDown() {
			reset(w)
			return
		}
		s.mu.Lock()
		list := []item{}
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, query.Get("prefix")) {
				list = append(list, e)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(list) > 0 || !waiting {
			answer(w, http.StatusOK, map[string]any{"events": list, "current-rev": revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var txn struct {
		Expected []struct {
			Key      string `json:"key"`
			Revision int64  `json:"revision"`
		} `json:"expected"`
		Puts   []item   `json:"puts"`
		Remove []string `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&txn); err != nil {
		answer(w, http.StatusBadRequest, nil)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range txn.Expected {
		if s.items[e.Key].Revision != e.Revision {
			answer(w, http.StatusPreconditionFailed, map[string]any{"items": []item{s.items[e.Key]}})
			return
		}
	}
	for _, p := range txn.Puts {
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			answer(w, http.StatusNotFound, map[string]any{})
			return
		}
	}
	for _, p := range txn.Puts {
		s.write(p.Key, p.Value, p.Lease)
	}
	for _, key := range txn.Remove {
		s.remove(key)
	}
	answer(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *store) serveLease(w http.ResponseWriter, r *http.Request, call string, id int64) {
	var body struct {
		TTL float64 `json:"ttl-ms"`
	}
	if call == "kv-lease" {
		if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
			answer(w, http.StatusBadRequest, nil)
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if call == "kv-lease" {
		s.lastID++
		ttl := time.Duration(body.TTL) * time.Millisecond
		s.leases[s.lastID] = &lease{ttl: ttl, expires: time.Now().Add(ttl)}
		answer(w, http.StatusOK, map[string]any{"lease": s.lastID, "ttl-ms": body.TTL})
		return
	}
	l, ok := s.leases[id]
	switch {
	case !ok:
		answer(w, http.StatusNotFound, map[string]any{})
	case call == "kv-keep":
		l.expires = time.Now().Add(l.ttl)
		answer(w, http.StatusOK, map[string]any{"ttl-ms": l.ttl.Milliseconds()})
	default:
		s.endLease(id)
		answer(w, http.StatusOK, map[string]any{})
	}
}

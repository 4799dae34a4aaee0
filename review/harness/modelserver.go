package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

const (
	// modelLoadTime is load-s of the models, eventPause the time between two events of a stream and streamEvents their number.
	modelLoadTime = 6 * time.Second
	eventPause    = 100 * time.Millisecond
	streamEvents  = 60
	// entryLife is three heartbeat intervals, after which the store removes the entry of a server that is silent.
	entryLife = 3600 * time.Millisecond
)

// A modelServer is a stand-in for a model server whose memory holds one model.
type modelServer struct {
	id      string
	version string
	store   *store

	mu       sync.Mutex
	model    string
	busy     bool
	accepted int64
	crashed  bool
	// leavesAt is when the server is taken away, zero if it stays.
	leavesAt time.Time
	born     int64
	address  string
	beats    int
	server   *http.Server
}

// startModelServer starts a model server on a free port of the loopback address and registers it in the store, with a heartbeat.
func startModelServer(m *modelServer) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	m.born, m.address = time.Now().UnixMilli(), listener.Addr().String()
	m.server = &http.Server{Handler: m, ReadHeaderTimeout: time.Minute}
	go func() { _ = m.server.Serve(listener) }()
	m.register()
	go func() {
		for range time.Tick(1200 * time.Millisecond) {
			m.register()
		}
	}()
	return nil
}

// crash ends the server without a word. The store removes its entry when it has been silent for entryLife.
func (m *modelServer) crash() {
	m.mu.Lock()
	m.crashed = true
	m.mu.Unlock()
	_ = m.server.Close()
	time.AfterFunc(entryLife, func() { m.store.delete("servers/" + m.id) })
}

// takeAway has the server report that it will be gone after a time, and ends it then, whatever it runs.
func (m *modelServer) takeAway(notice time.Duration) {
	m.mu.Lock()
	m.leavesAt = time.Now().Add(notice)
	m.mu.Unlock()
	m.register()
	time.Sleep(notice)
	m.mu.Lock()
	m.crashed = true
	m.mu.Unlock()
	_ = m.server.Close()
	m.store.delete("servers/" + m.id)
}

func (m *modelServer) register() {
	m.mu.Lock()
	if m.crashed {
		m.mu.Unlock()
		return
	}
	m.beats++
	entry := map[string]any{
		"service": "ensemble", "address": m.address, "zone": "kgn-a", "version": m.version, "slots": 32, "state": "ready", "cold-ms": 0,
		"seq": m.beats, "born": m.born, "models": m.models(), "at-hand": map[string]any{"in-memory": m.names(), "on-disk": m.names()},
	}
	if !m.leavesAt.IsZero() {
		entry["state"], entry["remaining-ms"] = "draining", max(time.Until(m.leavesAt).Milliseconds(), 0)
	}
	m.mu.Unlock()
	m.store.write("servers/"+m.id, entry)
}

func (m *modelServer) names() []string {
	if m.model == "" {
		return []string{}
	}
	return []string{m.model}
}

func (m *modelServer) models() []any {
	list := []any{}
	for _, name := range m.names() {
		list = append(list, map[string]any{"name": name, "version": 1, "adapters": []string{}})
	}
	return list
}

// ServeHTTP answers a report, an order or a request.
func (m *modelServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Instance-Id", m.id)
	m.mu.Lock()
	if !m.leavesAt.IsZero() {
		w.Header().Set("Server-Leaving", "1")
	}
	m.mu.Unlock()
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != m.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/samphirewharf/report":
		m.mu.Lock()
		answer := map[string]any{
			"stage": "both", "models": m.models(), "busy": m.busy, "seq": m.accepted, "waiting": 0, "running": 0, "kv-used": 0,
			"kv-total": 90000, "handles": 0, "born": m.born, "at-hand": map[string]any{"in-memory": m.names(), "on-disk": m.names()},
		}
		m.mu.Unlock()
		reply(w, http.StatusOK, answer)
	case "/samphirewharf/order":
		m.serveOrder(w, r)
	default:
		m.serveRequest(w, r)
	}
}

func (m *modelServer) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Operation string `json:"operation"`
		Model     string `json:"model"`
		Expected  *int64 `json:"expected"`
	}
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	load := o.Operation == "model_load"
	switch {
	case m.busy || o.Expected != nil && *o.Expected != m.accepted:
		w.WriteHeader(http.StatusConflict)
		return
	case load == slices.Contains(m.names(), o.Model):
		w.WriteHeader(http.StatusOK)
		return
	}
	m.accepted++
	m.busy = true
	delay, model := modelLoadTime, o.Model
	if !load {
		delay, model = 50*time.Millisecond, ""
	}
	time.AfterFunc(delay, func() {
		m.mu.Lock()
		m.busy, m.model = false, model
		m.mu.Unlock()
		m.register()
	})
	w.WriteHeader(http.StatusAccepted)
}

// serveRequest sends the events after the last one that the caller has. Each names the version that wrote it.
func (m *modelServer) serveRequest(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	m.mu.Lock()
	loaded := slices.Contains(m.names(), r.Header.Get("Model"))
	m.mu.Unlock()
	if !loaded {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	last := streamEvents
	if r.URL.Path == "/short/x" {
		last = 3
	}
	w.Header().Set("Response-Seal", "seal."+m.id)
	w.Header().Set("Weight-Versions", "1")
	w.Header().Set("Content-Type", "text/event-stream")
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := from + 1; n <= last; n++ {
		_, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, m.version)
		if err != nil || http.NewResponseController(w).Flush() != nil {
			return
		}
		time.Sleep(eventPause)
	}
}

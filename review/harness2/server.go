package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// heartbeat is how often servers write their entries.
const heartbeat = 1200 * time.Millisecond

// A loadedModel is a model that an engine holds.
type loadedModel struct {
	Name     string   `json:"name"`
	Version  int      `json:"version"`
	Adapters []string `json:"adapters"`
}

// A server is a stand-in of a backend server, plain or with a model engine.
type server struct {
	id      string
	service string
	address string
	born    int64
	slots   int
	store   *store
	record  *record
	// loadTime is how long an engine takes to load a model.
	loadTime time.Duration
	// work answers a request that the server runs. It may be nil for a short answer at once.
	work func(w http.ResponseWriter, r *http.Request)

	mu     sync.Mutex
	beats  int
	state  string
	models []loadedModel
	orders int64
	busy   bool
	token  int64
	runs   map[string]int
	// loads counts the loads that have ended.
	loads int
	// version is that of the server's software, left whether it has ended.
	version string
	left    bool
	// beatAt is when the entry was written last.
	beatAt time.Time
}

func startServer(id, service string, s *store, r *record, models ...string) (*server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	v := &server{id: id, service: service, address: listener.Addr().String(), born: time.Now().UnixMilli(), slots: 32, store: s, record: r, state: "ready", version: "v1", runs: make(map[string]int), loadTime: 6 * time.Second}
	for _, name := range models {
		v.models = append(v.models, loadedModel{Name: name, Version: 1, Adapters: []string{}})
	}
	server := &http.Server{Handler: v, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = server.Serve(listener) }()
	v.beat()
	go v.loop()
	return v, nil
}

// loop writes the server's entry.
func (v *server) loop() {
	for range time.Tick(heartbeat) {
		v.beat()
	}
}

// entry returns the server's entry.
func (v *server) entry() map[string]any {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.beats++
	return map[string]any{
		"service": v.service, "address": v.address, "zone": "zone-a", "version": v.version, "slots": v.slots, "state": v.state,
		"cold-ms": 0, "stage": "both", "models": slices.Clone(v.models), "seq": v.beats, "born": v.born,
	}
}

// setState changes the state that the server reports.
func (v *server) setState(state string) {
	v.mu.Lock()
	v.state = state
	v.mu.Unlock()
	v.beat()
}

// leave ends the server, which writes its entry no more.
func (v *server) leave() {
	v.mu.Lock()
	v.left = true
	v.mu.Unlock()
	v.record.logf("%s has left", v.id)
	v.store.delete("servers/" + v.id)
}

func (v *server) hasLeft() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.left
}

func (v *server) beat() {
	if v.hasLeft() || v.store.isDown() {
		return
	}
	e := v.entry()
	v.mu.Lock()
	v.beatAt = time.Now()
	v.mu.Unlock()
	v.store.put("servers/"+v.id, e)
}

// ranCount returns how often a request has run.
func (v *server) ranCount(id string) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.runs[id]
}

// ServeHTTP answers a call or a request.
func (v *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != v.id {
		w.Header().Set("Instance-Id", v.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/health":
		w.Header().Set("Instance-Id", v.id)
		w.WriteHeader(http.StatusOK)
	case "/samphirewharf/report":
		v.report(w)
	case "/samphirewharf/order":
		v.order(w, r)
	default:
		v.run(w, r)
	}
}

func (v *server) report(w http.ResponseWriter) {
	v.mu.Lock()
	defer v.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{
		"stage": "both", "models": slices.Clone(v.models), "busy": v.busy, "seq": v.orders, "waiting": 0, "running": 0,
		"kv-used": 0, "kv-total": 90000, "handles": 0, "born": v.born,
	})
}

func (v *server) order(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Operation string `json:"operation"`
		Model     string `json:"model"`
		Adapter   string `json:"adapter"`
		Expected  *int64 `json:"expected"`
		Holder    string `json:"holder"`
		Token     int64  `json:"fencing-token"`
	}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.Holder == "" || o.Token == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.record.logf("order to %s: %s %s/%s by %s, token %d", v.id, o.Operation, o.Model, o.Adapter, o.Holder, o.Token)
	switch held := slices.ContainsFunc(v.models, func(m loadedModel) bool { return m.Name == o.Model }); {
	case o.Token < v.token:
		w.WriteHeader(http.StatusPreconditionFailed)
	case v.busy, o.Expected != nil && *o.Expected != v.orders:
		w.WriteHeader(http.StatusConflict)
	case o.Operation == "model_load" && held, o.Operation == "model_unload" && !held:
		w.WriteHeader(http.StatusOK)
	default:
		v.token, v.busy = o.Token, true
		v.orders++
		time.AfterFunc(v.loadTime, func() { v.orderDone(o.Operation, o.Model) })
		w.WriteHeader(http.StatusAccepted)
	}
}

// orderDone ends a load or an unload.
func (v *server) orderDone(operation, model string) {
	v.mu.Lock()
	v.busy = false
	v.loads++
	v.models = slices.DeleteFunc(v.models, func(m loadedModel) bool { return m.Name == model })
	if operation == "model_load" {
		v.models = append(v.models, loadedModel{Name: model, Version: 1, Adapters: []string{}})
	}
	v.mu.Unlock()
	v.record.logf("%s at %s done: %s", operation, v.id, model)
}

// run answers a request.
func (v *server) run(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	v.mu.Lock()
	held := r.Header.Get("Model") == "" || slices.ContainsFunc(v.models, func(m loadedModel) bool { return m.Name == r.Header.Get("Model") })
	if held && id != "" {
		v.runs[id]++
	}
	v.mu.Unlock()
	switch {
	case id == "":
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	case !held:
		w.Header().Set("Instance-Id", v.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	v.record.logf("run %s at %s: %s %s", id, v.id, r.Method, r.URL.RequestURI())
	w.Header().Set("Response-Seal", "seal."+v.id+"."+id)
	if v.work != nil {
		v.work(w, r)
		return
	}
	writeBody(w, http.StatusOK, "answer to "+id)
}

// writeBody writes a whole answer.
func writeBody(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Length", fmt.Sprint(len(text)))
	w.WriteHeader(status)
	_, _ = strings.NewReader(text).WriteTo(w)
}

// writeEvents writes a stream of events.
func writeEvents(w http.ResponseWriter, count int) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Weight-Versions", "1")
	w.WriteHeader(http.StatusOK)
	for n := range count {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", n+1, n+1)
	}
}

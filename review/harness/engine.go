package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// engineModel is the model that engines have loaded, engineAdapters the number of its adapters, engineSlots how many an engine can load.
	engineModel    = "daka510000"
	engineAdapters = 28
	engineSlots    = 2
	// adapterLoadTime is how long an adapter takes to load.
	adapterLoadTime = 6 * time.Millisecond
)

// An order is one that an engine has received.
type order struct {
	at     time.Time
	holder string
	token  int64
	what   string
	status int
}

// An engine is a stand-in for a model server that doesn't check fencing tokens.
type engine struct {
	id      string
	service string
	store   *store

	mu       sync.Mutex
	adapters []string
	pending  []string
	accepted int64
	orders   []order
	born     int64
	address  string
	beats    int
}

// startEngine starts an engine on a free port of the loopback address and registers it in the store, with a heartbeat.
func startEngine(e *engine) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	e.born, e.address = time.Now().UnixMilli(), listener.Addr().String()
	go func() { _ = (&http.Server{Handler: e, ReadHeaderTimeout: time.Minute}).Serve(listener) }()
	e.register()
	go func() {
		for range time.Tick(1200 * time.Millisecond) {
			e.register()
		}
	}()
	return nil
}

// register writes the engine's entry.
func (e *engine) register() {
	e.mu.Lock()
	e.beats++
	entry := map[string]any{
		"service": e.service, "address": e.address, "zone": "kgn-a", "version": "v1", "slots": 8, "state": "ready", "cold-ms": 0,
		"seq": e.beats, "born": e.born, "models": e.models(), "at-hand": map[string]any{"in-memory": []string{engineModel}, "on-disk": []string{engineModel}},
	}
	e.mu.Unlock()
	e.store.write("servers/"+e.id, entry)
}

func (e *engine) models() []any {
	return []any{map[string]any{"name": engineModel, "version": 1, "adapters": slices.Clone(e.adapters)}}
}

// ServeHTTP answers a report, an order or a request.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Instance-Id", e.id)
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/samphirewharf/report":
		e.mu.Lock()
		answer := map[string]any{
			"stage": "both", "models": e.models(), "busy": false, "seq": e.accepted, "waiting": 0, "running": 0, "kv-used": 0,
			"kv-total": 90000, "handles": 0, "born": e.born, "pending": slices.Clone(e.pending),
		}
		e.mu.Unlock()
		reply(w, http.StatusOK, answer)
	case "/samphirewharf/order":
		e.serveOrder(w, r)
	default:
		e.serveRequest(w, r)
	}
}

func (e *engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Operation string `json:"operation"`
		Model     string `json:"model"`
		Adapter   string `json:"adapter"`
		Expected  *int64 `json:"expected"`
		Holder    string `json:"holder"`
		Token     int64  `json:"fencing-token"`
	}
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	status := e.execute(o.Operation == "model_load", o.Model, o.Adapter, o.Expected)
	e.orders = append(e.orders, order{at: time.Now(), holder: o.Holder, token: o.Token, what: o.Operation + " " + o.Model + "/" + o.Adapter, status: status})
	e.mu.Unlock()
	w.WriteHeader(status)
}

// execute carries out an order and returns the status of the answer.
func (e *engine) execute(load bool, model, adapter string, expected *int64) int {
	switch {
	case expected != nil && *expected != e.accepted:
		return http.StatusConflict
	case model != engineModel || adapter == "":
		return http.StatusOK
	case load && (slices.Contains(e.adapters, adapter) || slices.Contains(e.pending, model+"/"+adapter+"@1")):
		return http.StatusOK
	}
	e.accepted++
	if !load {
		e.adapters = slices.DeleteFunc(e.adapters, func(a string) bool { return a == adapter })
		return http.StatusOK
	}
	pending := model + "/" + adapter + "@1"
	e.pending = append(e.pending, pending)
	time.AfterFunc(adapterLoadTime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.pending = slices.DeleteFunc(e.pending, func(p string) bool { return p == pending })
		e.adapters = append(e.adapters, adapter)
	})
	return http.StatusAccepted
}

func (e *engine) serveRequest(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	model, adapter, _ := strings.Cut(r.Header.Get("Model"), "/")
	e.mu.Lock()
	loaded := model == engineModel && (adapter == "" || slices.Contains(e.adapters, adapter))
	e.mu.Unlock()
	if !loaded {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.Header().Set("Response-Seal", "seal."+e.id)
	w.Header().Set("Weight-Versions", "1")
	w.Header().Set("Content-Type", "text/event-stream")
	for n := 1; n <= 3; n++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: part %d\n\n", n, n)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(10 * time.Millisecond)
	}
}

package main

import (
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// A run is one request that a server ran.
type run struct {
	service string
	server  string
}

// A ledger holds which requests servers ran, by request ID.
type ledger struct {
	mu   sync.Mutex
	runs map[string][]run
}

func (l *ledger) add(id string, r run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id] = append(l.runs[id], r)
}

func (l *ledger) of(id string) []run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[id]
}

// A server is a stand-in for a backend server without models.
type server struct {
	id      string
	service string
	ledger  *ledger
}

// startServer starts a server on a free port of the loopback address and registers it in the store, with a heartbeat.
func startServer(s *server, st *store, zone string) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	go func() { _ = (&http.Server{Handler: s, ReadHeaderTimeout: time.Minute}).Serve(listener) }()
	born := time.Now().UnixMilli()
	entry := func(seq int) map[string]any {
		return map[string]any{
			"service": s.service, "address": listener.Addr().String(), "zone": zone, "version": "v1", "slots": 6, "state": "ready",
			"cold-ms": 0, "seq": seq, "born": born,
		}
	}
	st.write("servers/"+s.id, entry(1))
	go func() {
		for seq := 2; ; seq++ {
			time.Sleep(1200 * time.Millisecond)
			st.write("servers/"+s.id, entry(seq))
		}
	}()
	return nil
}

// ServeHTTP runs a request.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	w.Header().Set("Instance-Id", s.id)
	if r.URL.Path == "/health" {
		return
	}
	w.Header().Set("Request-Id", id)
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != s.id {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	s.ledger.add(id, run{service: s.service, server: s.id})
	time.Sleep(15 * time.Millisecond)
	w.Header().Set("Response-Seal", "seal."+s.id+"."+id)
	_, _ = io.WriteString(w, "answer of "+s.service+" to "+id+"\n")
}

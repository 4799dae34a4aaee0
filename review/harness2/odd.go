package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// bookers is how many clients send bookings over kept connections.
	bookers = 16
	// maxLost is how many requests from kept connections may go without an answer.
	maxLost = 3
)

// odd has another writer write an entry that names an unknown service in place of that of an engine while the engine loads a model, and
// checks that the daemon's other requests are answered. With TROUBLE=config, the operator drops the engine's service instead.
func odd(e *environment) error {
	book := route{name: "book", prefix: "/book/", kind: "non_idempotent", service: "desk", timeout: 3 * time.Second, objective: 100 * time.Millisecond, attempts: 1}
	ask := route{name: "ask", prefix: "/ask/", kind: "streaming", service: "models", timeout: 12 * time.Second, objective: 3 * time.Second, attempts: 2, resumable: true}
	e.configure([]route{book, ask}, []string{"desk", "models"}, "models", "common", "rare")
	desk, err := startServer("i-desk", "desk", e.store, e.record)
	if err != nil {
		return err
	}
	desk.work = func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(800 * time.Millisecond)
		writeBody(w, http.StatusOK, "answer to "+r.Header.Get("Request-Id"))
	}
	engine, err := startServer("i-engine", "models", e.store, e.record, "common")
	if err != nil {
		return err
	}
	engine.work = func(w http.ResponseWriter, _ *http.Request) { writeEvents(w, 5) }
	m, err := newMachine(1)
	if err != nil {
		return err
	}
	d, err := e.start(m, true)
	if err != nil {
		return err
	}
	// The first order of a leader comes lease-ms after its election.
	time.Sleep(5 * time.Second)
	go e.askRare(m)
	if err := e.awaitLoad(engine); err != nil {
		return err
	}
	loadEnds := time.Now().Add(engine.loadTime)
	time.Sleep(time.Until(loadEnds.Add(-400 * time.Millisecond)))
	var done sync.WaitGroup
	var lost atomic.Int64
	for n := range bookers {
		done.Go(func() {
			time.Sleep(time.Duration(n) * 50 * time.Millisecond)
			if e.book(m, desk, loadEnds.Add(2*time.Second)) {
				lost.Add(1)
			}
		})
	}
	switch {
	case !e.trouble:
	case os.Getenv("TROUBLE") == "config":
		e.record.logf("the operator drops the route and the service of %s", engine.id)
		e.configure([]route{book}, []string{"desk"}, "")
	default:
		e.writeOdd(engine, loadEnds)
	}
	done.Wait()
	if d.hasEnded() {
		e.record.logf("%s has ended by itself: %v", d.name, d.endErr)
	}
	if n := lost.Load(); n > maxLost {
		e.record.breachf("LOST: %d requests from kept connections were passed on to a sound server and their connections ended without an answer; the daemon has ended by itself: %v", n, d.hasEnded())
	}
	return nil
}

// writeOdd writes an odd entry in place of the engine's, right after each one that the engine writes itself around the end of its load.
func (e *environment) writeOdd(engine *server, loadEnds time.Time) {
	var after time.Time
	for time.Now().Before(loadEnds.Add(1500 * time.Millisecond)) {
		engine.mu.Lock()
		beatAt := engine.beatAt
		engine.mu.Unlock()
		if beatAt.Equal(after) {
			time.Sleep(5 * time.Millisecond)
			continue
		}
		after = beatAt
		entry := engine.entry()
		entry["service"] = "elsewhere"
		e.record.logf("another writer writes servers/%s with service elsewhere", engine.id)
		e.store.put("servers/"+engine.id, entry)
	}
}

// askRare has clients ask for a model that no engine has.
func (e *environment) askRare(m machine) {
	for range 12 {
		go func() {
			r := newRequest("/ask/x", 12*time.Second)
			r.header = "Model: rare\r\nToken-Usage: 100,20\r\nPrompt-Prefix: 5c1e07a2:80,91bd3f06:20\r\n"
			got := sendOnce(m, r)
			e.record.logf("client %s got %s", r.id, got)
		}()
		time.Sleep(500 * time.Millisecond)
	}
}

func (e *environment) awaitLoad(engine *server) error {
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		engine.mu.Lock()
		busy := engine.busy
		engine.mu.Unlock()
		if busy {
			return nil
		}
	}
	return fmt.Errorf("no load was ordered")
}

// book sends bookings over a kept connection until a time. It returns true if one that was passed on to a server got no answer.
func (e *environment) book(m machine, desk *server, until time.Time) bool {
	c, err := connect(m)
	if err != nil {
		e.record.logf("client got no connection: %v", err)
		return false
	}
	defer func() { _ = c.Close() }()
	for time.Now().Before(until) {
		r := newRequest("/book/x", 3*time.Second)
		got := c.send(r)
		e.record.logf("client %s got %s", r.id, got)
		if got.err != nil {
			return !got.isTimeout() && desk.ranCount(r.id) > 0
		}
	}
	return false
}

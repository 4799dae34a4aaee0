package main

import (
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// keptConnections is how many connections the client keeps to the daemon.
	keptConnections = 6
	// lateRequest is when the client sends the next request on each of them, after the SIGTERM.
	lateRequest = 6650 * time.Millisecond
	// lateDeadline is how long the client waits for its answer, lateWork how long the server works on it.
	lateDeadline = 550 * time.Millisecond
	lateWork     = 400 * time.Millisecond
)

// stopping stops the only daemon of a quiet deployment as planned, and has clients that got no other address use connections that they
// have kept.
func stopping(e *environment) error {
	e.configure([]route{{name: "book", prefix: "/book/", kind: "non_idempotent", service: "desk", timeout: time.Second, objective: 100 * time.Millisecond, attempts: 1}}, []string{"desk"}, "")
	s, err := startServer("i-1", "desk", e.store, e.record)
	if err != nil {
		return err
	}
	s.work = func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/book/late" {
			time.Sleep(lateWork)
		}
		writeBody(w, http.StatusOK, "answer to "+r.Header.Get("Request-Id"))
		e.record.logf("answer of i-1 to %s", r.Header.Get("Request-Id"))
	}
	m, err := newMachine(1)
	if err != nil {
		return err
	}
	d, err := e.start(m, true)
	if err != nil {
		return err
	}
	time.Sleep(500 * time.Millisecond)
	var list []*connection
	for range keptConnections {
		c, err := connect(m)
		if err != nil {
			return err
		}
		r := newRequest("/book/early", time.Second)
		got := c.send(r)
		e.record.logf("client %s got %s", r.id, got)
		if got.err != nil {
			return got.err
		}
		list = append(list, c)
	}
	stoppedAt := time.Now()
	if e.trouble {
		e.record.logf("SIGTERM to %s", d.name)
		d.signal(syscall.SIGTERM)
		for range 3 {
			time.Sleep(2 * time.Second)
			e.record.logf("client asks for other addresses, the directory answers %d", e.resolve(m))
		}
	}
	time.Sleep(time.Until(stoppedAt.Add(lateRequest)))
	var done sync.WaitGroup
	for _, c := range list {
		done.Go(func() { e.sendLate(c, s, d) })
	}
	done.Wait()
	return nil
}

// sendLate sends a request on a kept connection and checks that one that a server got is answered.
func (e *environment) sendLate(c *connection, s *server, d *daemon) {
	r := newRequest("/book/late", lateDeadline)
	e.record.logf("client sends %s on a kept connection", r.id)
	got := c.send(r)
	e.record.logf("client %s got %s; the daemon has ended: %v", r.id, got, d.hasEnded())
	if got.err != nil && !got.isTimeout() && s.ranCount(r.id) > 0 {
		e.record.breachf("LOST: %s was passed on to i-1 and its connection ended without an answer", r.id)
	}
}

// resolve returns the status of the directory's answer.
func (e *environment) resolve(m machine) int {
	response, err := http.Get(m.url(m.directory, "/samphirewharf/resolve?name="+host+"&region=region-a&zone=zone-a"))
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

package main

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"time"
)

var (
	// promises are statuses by which a caller is told that its request has not run and never will.
	promises = []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout}
	// unregistered are statuses of servers that are overloaded or fail, which the registry of statuses doesn't have.
	unregistered = []int{529, 520, 499}
)

// bookings is how many bookings a case sends. Every second one fails.
const bookings = 40

// failAfterRun has a server run bookings and then answer a part of them with a status that is a promise, without Not-Executed.
func failAfterRun(e *environment) error {
	return e.failBookings(promises, func(r request, given int, got result, s *server) {
		for _, status := range promises {
			if got.status == status && s.ranCount(r.id) > 0 {
				e.record.breachf("REFUSED: booking %s was answered %d and has run at %s, which gave %d without Not-Executed", r.id, got.status, s.id, given)
			}
		}
	})
}

// failUnregistered has a server answer a part of the bookings with statuses that have no entry in the registry.
func failUnregistered(e *environment) error {
	return e.failBookings(unregistered, func(r request, given int, got result, s *server) {
		if got.header.Get("Response-Seal") != "" && got.status != given {
			e.record.breachf("MIXED: booking %s bears the seal of %s and status %d, the server gave %d", r.id, s.id, got.status, given)
		}
	})
}

// failBookings has the only server of a service answer every second booking with one of the statuses if there is trouble, and checks each
// booking's answer.
func (e *environment) failBookings(statuses []int, check func(r request, given int, got result, s *server)) error {
	e.configure([]route{{name: "book", prefix: "/book/", kind: "non_idempotent", service: "desk", timeout: time.Second, objective: 100 * time.Millisecond, attempts: 1}}, []string{"desk"}, "")
	s, err := startServer("i-1", "desk", e.store, e.record)
	if err != nil {
		return err
	}
	var count, given atomic.Int64
	s.work = func(w http.ResponseWriter, r *http.Request) {
		n := count.Add(1)
		status := http.StatusOK
		if e.trouble && n%2 == 0 {
			status = statuses[int(n/2)%len(statuses)]
		}
		given.Store(int64(status))
		e.record.logf("booking %s is made at i-1, which answers %d", r.Header.Get("Request-Id"), status)
		writeBody(w, status, "answer to "+r.Header.Get("Request-Id"))
	}
	m, err := newMachine(1)
	if err != nil {
		return err
	}
	if _, err := e.start(m, true); err != nil {
		return err
	}
	time.Sleep(500 * time.Millisecond)
	for range bookings {
		r := newRequest("/book/x", time.Second)
		got := sendOnce(m, r)
		e.record.logf("client %s got %s", r.id, got)
		if got.err != nil {
			return fmt.Errorf("booking %s had no answer: %w", r.id, got.err)
		}
		check(r, int(given.Load()), got, s)
		time.Sleep(20 * time.Millisecond)
	}
	return nil
}

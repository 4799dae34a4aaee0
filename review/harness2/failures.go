package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

var (
	// promises are statuses by which a caller is told that its request has not run and never will.
	promises = []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout}
	// unregistered are statuses of servers that are overloaded or fail, which the registry of statuses doesn't have.
	unregistered = []int{529, 520, 499}
)

const (
	// callers is how many clients send bookings, bookings how many each of them sends.
	callers  = 96
	bookings = 30
	// bookingTime is how long a server works on a booking.
	bookingTime = 30 * time.Millisecond
	// desks is how many servers the service has. One of them fails greyShare of its bookings in greyOf.
	desks     = 7
	greyShare = 2
	greyOf    = 5
)

// A desk is a service whose first server fails a part of its bookings.
type desk struct {
	*environment
	machine machine
	servers []*server
	count   atomic.Int64
	// given holds the statuses that the first server has given by the IDs of requests.
	given sync.Map
}

// failAfterRun has a server run bookings and then answer a part of them with a status that is a promise, without Not-Executed. The clients
// send those again, as the promise allows.
func failAfterRun(e *environment) error {
	d := &desk{environment: e}
	return d.play(promises, func(r request, given int, got result) {
		if !slices.Contains(promises, got.status) {
			return
		}
		d.record.breachf("REFUSED: booking %s was answered %d and has run at i-1, which gave %d without Not-Executed", r.id, got.status, given)
		again := newRequest(r.path, time.Second)
		d.record.logf("client sends %s again as %s and gets %s", r.id, again.id, sendOnce(d.machine, again))
		if slices.ContainsFunc(d.servers, func(s *server) bool { return s.ranCount(again.id) > 0 }) {
			d.record.logf("booking %s is made twice, as %s too", r.id, again.id)
		}
	})
}

// failUnregistered has a server answer a part of the bookings with statuses that have no entry in the registry.
func failUnregistered(e *environment) error {
	d := &desk{environment: e}
	return d.play(unregistered, func(r request, given int, got result) {
		if got.header.Get("Response-Seal") != "" && got.status != given {
			d.record.breachf("MIXED: booking %s bears the seal of i-1 and status %d, the server gave %d", r.id, got.status, given)
		}
	})
}

// play sends bookings. If there is trouble, the first server answers a part of its bookings with one of the statuses. The answers to all
// bookings that it has made are checked.
func (d *desk) play(statuses []int, check func(r request, given int, got result)) error {
	d.configure([]route{{name: "book", prefix: "/book/", kind: "non_idempotent", service: "desk", timeout: time.Second, objective: 100 * time.Millisecond, attempts: 1}}, []string{"desk"}, "")
	for n := range desks {
		s, err := startServer(fmt.Sprintf("i-%d", n+1), "desk", d.store, d.record)
		if err != nil {
			return err
		}
		s.work = func(w http.ResponseWriter, r *http.Request) { d.book(w, r, n, statuses) }
		d.servers = append(d.servers, s)
	}
	var err error
	if d.machine, err = newMachine(1); err != nil {
		return err
	}
	if _, err := d.start(d.machine, true); err != nil {
		return err
	}
	time.Sleep(500 * time.Millisecond)
	var done sync.WaitGroup
	for range callers {
		done.Go(func() { d.call(check) })
	}
	done.Wait()
	return nil
}

// book makes a booking at the server with a number.
func (d *desk) book(w http.ResponseWriter, r *http.Request, number int, statuses []int) {
	id := r.Header.Get("Request-Id")
	time.Sleep(bookingTime)
	status := http.StatusOK
	if number == 0 {
		if n := int(d.count.Add(1)); d.trouble && n%greyOf < greyShare {
			status = statuses[n/greyOf%len(statuses)]
		}
		d.given.Store(id, status)
		d.record.logf("booking %s is made at i-1, which answers %d", id, status)
	}
	writeBody(w, status, "answer to "+id)
}

// call sends bookings one after the other and checks the answers to those that the first server has made.
func (d *desk) call(check func(r request, given int, got result)) {
	for range bookings {
		r := newRequest("/book/x", time.Second)
		got := sendOnce(d.machine, r)
		d.record.logf("client %s got %s", r.id, got)
		if given, ok := d.given.Load(r.id); ok && got.err == nil {
			check(r, given.(int), got)
		}
		time.Sleep(bookingTime)
	}
}

// Package stopper decides how a planned stop of a daemon proceeds. The daemon is removed from the published addresses at once, serves
// the requests that still arrive and may end in time, and exits when callers' copies of its address have expired and its requests have
// ended.
//
// It alone decides when the daemon accepts no more requests. A request that is read before that is answered whole, or refused as not run.
// First the connections are closed, each once it is idle, while requests that still arrive on them are served if they may end in time;
// only when no connection is left, or time is up, does the process exit.
package stopper

import "time"

const (
	// streamWindow is how long a stopping daemon accepts new streams. Later ones could not end in time.
	streamWindow = 2500 * time.Millisecond
	// answerMargin is how long before the process exits the last answer has to be sent.
	answerMargin = 100 * time.Millisecond
	// ExitMargin is how long before the end of a planned stop the process exits.
	ExitMargin = 600 * time.Millisecond
	// idleTime is how long after the last request a stopping daemon exits, once callers' copies of its address have expired.
	idleTime = 500 * time.Millisecond
	// pollInterval is how often the progress of a planned stop is checked.
	pollInterval = 50 * time.Millisecond
	// addressTTLsKept is for how many TTLs of an address some callers keep using it.
	addressTTLsKept = 3
	// never is later than any time.
	never = time.Duration(1<<63 - 1)
)

// A Stopper is the progress of a planned stop. The zero value with Timeout and AddressTTL set is ready to use.
type Stopper struct {
	// Timeout bounds the stop, AddressTTL is how long callers keep the addresses that they resolve.
	Timeout    time.Duration
	AddressTTL time.Duration

	requested   bool
	requestedAt time.Duration
	// addressesExpireAt is when callers no longer use the address, exitBy when the process exits in any case.
	addressesExpireAt time.Duration
	exitBy            time.Duration
	// closing reports whether connections are closed once they are idle, closed whether none is left.
	closing bool
	closed  bool
	exited  bool
	// lastRequestEnd is when the last request ended.
	lastRequestEnd time.Duration
}

// Requested reports whether the daemon stops, or has stopped.
func (s *Stopper) Requested() bool { return s.requested }

// Begin begins the stop and returns how long it takes at most, or false if it has begun before.
func (s *Stopper) Begin(now time.Duration) (within time.Duration, ok bool) {
	if s.requested {
		return 0, false
	}
	s.requested, s.requestedAt = true, now
	s.addressesExpireAt = now + addressTTLsKept*s.AddressTTL + idleTime
	s.exitBy = now + s.Timeout - ExitMargin
	return s.exitBy - now, true
}

// RejectsStream reports whether a stream arrives too late because it might not end before the process exits.
func (s *Stopper) RejectsStream(now time.Duration) bool {
	return s.exited || s.requested && now > s.requestedAt+streamWindow
}

// RejectsRequest reports whether a request with a deadline arrives too late because it might not end before the process exits.
func (s *Stopper) RejectsRequest(deadline time.Duration) bool {
	return s.exited || s.requested && deadline+answerMargin > s.exitBy
}

// RequestEnded records that a request has ended.
func (s *Stopper) RequestEnded(now time.Duration) { s.lastRequestEnd = now }

// Proceeds reports whether the stop has begun and the process hasn't exited.
func (s *Stopper) Proceeds() bool { return s.requested && !s.exited }

// Closes reports once that connections have to be closed as they become idle: no request runs, and callers no longer use the address.
func (s *Stopper) Closes(now time.Duration, running int) bool {
	idle := now >= s.addressesExpireAt && running == 0 && now >= s.lastRequestEnd+idleTime
	if !s.Proceeds() || s.closing || !idle {
		return false
	}
	s.closing = true
	return true
}

// Closed records that no connection is left.
func (s *Stopper) Closed() { s.closed = s.closing }

// Exits reports once that the process exits now: all connections are closed and no request runs, or time is up. Requests are refused from
// then on.
func (s *Stopper) Exits(now time.Duration, running int) bool {
	if !s.Proceeds() || (!s.closed || running > 0) && now < s.exitBy {
		return false
	}
	s.exited = true
	return true
}

// NextAt returns when Exits is due.
func (s *Stopper) NextAt(now time.Duration) time.Duration {
	if !s.Proceeds() {
		return never
	}
	return now + pollInterval
}

// Package booker is a stand-in for the backend servers of a plain service whose calls may have to run at most once,
// such as bookings. It counts how often each call ran.
package booker

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/phuslu/log"

	"samphirewharf/internal/config/cataloger"
	"samphirewharf/internal/standin/responder"
)

const (
	defaultIdentityHeader = "Idempotency-Key"
	headerRequestID       = "X-Request-Id"
	headerServer          = "X-Server"
	restartRetryDelay     = 20 * time.Millisecond
)

// A PlainServer is a stand-in for one backend server. The zero value is ready to start; fields must not be changed
// afterwards.
type PlainServer struct {
	// Server is the name of the backend server.
	Server string
	// IdentityHeader is the header with the idempotency key; empty means Idempotency-Key.
	IdentityHeader string
	// RunTime is the duration of a call.
	RunTime time.Duration
	// RestartAfter is the delay between a crash and the restart.
	RestartAfter time.Duration

	server responder.Server

	mu sync.Mutex
	// ended is closed when the simulated process ends by a crash or stop, stopped by a stop only.
	ended          chan struct{}
	stopped        chan struct{}
	faults         Faults
	faultsReplaced chan struct{}
	counts         Counts
}

// Faults are the injected faults. They are the body of POST /stand-in/faults, which replaces all of them
// and ends the delays of the previous ones.
type Faults struct {
	// Delay is how long each call waits before it runs, even if its caller has given up.
	Delay cataloger.Duration
	// CrashBeforeRun is how many of the next calls make the server crash before they run.
	CrashBeforeRun int
	// CrashAfterRun is how many of the next calls make the server crash after they ran, before the answer.
	CrashAfterRun int
}

// Counts are the totals over all restarts. They are the answer to GET /stand-in/counts.
type Counts struct {
	Server  string
	Total   int64
	Crashes int64
	// Runs are the numbers of runs by idempotency key; calls without a key are left out.
	Runs map[string]int
	// Bodies are the numbers of runs by method, path and body.
	Bodies map[string]int
}

// A Receipt is the answer to a call that ran.
type Receipt struct {
	Server string
	// Number counts the runs of this server.
	Number int64
	Method string
	Path   string
	Key    string
	// Body is the body of the call, so that a caller can detect the answer to another call.
	Body string
}

// Address returns the IP and port.
func (s *PlainServer) Address() string { return s.server.Address() }

// Counts returns the totals over all restarts.
func (s *PlainServer) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := s.counts
	counts.Server = s.Server
	counts.Runs = maps.Clone(counts.Runs)
	counts.Bodies = maps.Clone(counts.Bodies)
	return counts
}

// Crash closes the listener and all connections. The server restarts after RestartAfter.
func (s *PlainServer) Crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.server.Serving() {
		return
	}
	s.counts.Crashes++
	s.server.Stop()
	close(s.ended)
	go s.loop(s.stopped)
}

// SetFaults replaces all faults.
func (s *PlainServer) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	if s.faultsReplaced != nil {
		close(s.faultsReplaced)
	}
	s.faultsReplaced = make(chan struct{})
}

// Start serves on an IP and port.
func (s *PlainServer) Start(address string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.server.Start(address, s.handler()); err != nil {
		return err
	}
	if s.faultsReplaced == nil {
		s.faultsReplaced = make(chan struct{})
	}
	if s.counts.Runs == nil {
		s.counts.Runs = make(map[string]int)
		s.counts.Bodies = make(map[string]int)
	}
	s.ended = make(chan struct{})
	s.stopped = make(chan struct{})
	return nil
}

// Stop closes the listener and all connections. The server does not restart by itself.
func (s *PlainServer) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.server.Serving() {
		s.server.Stop()
		close(s.ended)
	}
	if s.stopped != nil {
		close(s.stopped)
		s.stopped = nil
	}
}

func (s *PlainServer) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /stand-in/counts", responder.GetHandler(s.Counts))
	mux.HandleFunc("POST /stand-in/faults", responder.SetHandler(s.SetFaults))
	mux.HandleFunc("/", s.serveCall)
	return mux
}

// loop restarts the server at its address after a crash. It retries until it succeeds or the server is stopped.
func (s *PlainServer) loop(stopped <-chan struct{}) {
	wait := s.RestartAfter
	for responder.Sleep(wait, stopped) {
		if s.restart(stopped) {
			return
		}
		wait = restartRetryDelay
	}
}

func (s *PlainServer) restart(stopped <-chan struct{}) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-stopped:
		return true
	default:
	}
	if err := s.server.Start(s.server.Address(), s.handler()); err != nil {
		log.Warn().Err(err).Str("server", s.Server).Msg("could not restart stand-in server, retrying")
		return false
	}
	s.ended = make(chan struct{})
	return true
}

// serveCall runs a call, even if its caller has disconnected.
func (s *PlainServer) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, responder.MaxBodyBytes))
	if err != nil {
		http.Error(w, "incomplete body: "+err.Error(), http.StatusBadRequest)
		return
	}
	ended := s.processEnd()
	if !s.wait(ended) || s.crashIfDue(&s.faults.CrashBeforeRun) {
		responder.Drop(w)
		return
	}
	receipt, ok := s.record(r, body, ended)
	if !ok || s.crashIfDue(&s.faults.CrashAfterRun) {
		responder.Drop(w)
		return
	}
	w.Header().Set(headerServer, s.Server)
	w.Header().Set(headerRequestID, r.Header.Get(headerRequestID))
	responder.WriteJSON(w, http.StatusOK, receipt)
}

// processEnd returns the channel that is closed when the simulated process ends.
func (s *PlainServer) processEnd() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ended
}

// wait waits for the delay and the run time. It returns false if the process ended first.
func (s *PlainServer) wait(ended <-chan struct{}) bool {
	s.mu.Lock()
	delay := s.faults.Delay.D()
	replaced := s.faultsReplaced
	s.mu.Unlock()
	if delay > 0 {
		timer := time.NewTimer(delay)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-replaced:
		case <-ended:
			return false
		}
	}
	return responder.Sleep(s.RunTime, ended)
}

// crashIfDue decrements the number of remaining crashes and crashes the server. It returns false if none remain.
func (s *PlainServer) crashIfDue(remaining *int) bool {
	s.mu.Lock()
	if *remaining == 0 {
		s.mu.Unlock()
		return false
	}
	*remaining--
	s.mu.Unlock()
	s.Crash()
	return true
}

// record counts a run. It returns false if the process has ended, so that nothing ran.
func (s *PlainServer) record(r *http.Request, body []byte, ended <-chan struct{}) (Receipt, bool) {
	header := s.IdentityHeader
	if header == "" {
		header = defaultIdentityHeader
	}
	key := r.Header.Get(header)
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-ended:
		return Receipt{}, false
	default:
	}
	s.counts.Total++
	if key != "" {
		s.counts.Runs[key]++
	}
	s.counts.Bodies[fmt.Sprintf("%s %s %s", r.Method, r.URL.Path, body)]++
	return Receipt{
		Server: s.Server,
		Number: s.counts.Total,
		Method: r.Method,
		Path:   r.URL.Path,
		Key:    key,
		Body:   string(body),
	}, true
}

// Package booker is a stand-in for a plain service whose calls may have to run at most once,
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

// A PlainServer is the stand-in of one server. The zero value is ready to start; fields must not be changed afterwards.
type PlainServer struct {
	// Server is the name of the backend server.
	Server string
	// IdentityHeader is the header with the idempotency key; empty means Idempotency-Key.
	IdentityHeader string
	// RunTime is how long a call runs.
	RunTime time.Duration
	// RestartAfter is how long the service stays away after a crash.
	RestartAfter time.Duration

	server responder.Server

	mu sync.Mutex
	// ended is closed when the running process ends by a crash or stop, stopped by a stop only.
	ended          chan struct{}
	stopped        chan struct{}
	faults         Faults
	faultsReplaced chan struct{}
	counts         Counts
}

// Faults are what goes wrong. They are the body of POST /stand-in/faults, which replaces all
// and ends the waits of the ones before.
type Faults struct {
	// Delay is how long each call waits before it runs, also when its caller has given up.
	Delay cataloger.Duration
	// CrashBeforeRun is how many of the next calls make the service crash before they run.
	CrashBeforeRun int
	// CrashAfterRun is how many of the next calls make the service crash after they ran, before the answer.
	CrashAfterRun int
}

// Counts are what the service has done, over all restarts. They are the answer of GET /stand-in/counts.
type Counts struct {
	Server  string
	Total   int64
	Crashes int64
	// Runs are how often calls ran, by idempotency key; those without one are not in it.
	Runs map[string]int
	// Bodies are how often calls ran, by method, path and body.
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
	// Body is the body of the call, so that an answer to another call is noticed.
	Body string
}

// Address returns the IP and port.
func (b *PlainServer) Address() string { return b.server.Address() }

// Counts returns what the service has done.
func (b *PlainServer) Counts() Counts {
	b.mu.Lock()
	defer b.mu.Unlock()
	counts := b.counts
	counts.Server = b.Server
	counts.Runs = maps.Clone(counts.Runs)
	counts.Bodies = maps.Clone(counts.Bodies)
	return counts
}

// Crash closes the listener and all connections. The service restarts after RestartAfter.
func (b *PlainServer) Crash() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.server.Serving() {
		return
	}
	b.counts.Crashes++
	b.server.Stop()
	close(b.ended)
	go b.restartLoop(b.stopped)
}

// SetFaults replaces all faults.
func (b *PlainServer) SetFaults(f Faults) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faults = f
	if b.faultsReplaced != nil {
		close(b.faultsReplaced)
	}
	b.faultsReplaced = make(chan struct{})
}

// Start serves on an IP and port.
func (b *PlainServer) Start(address string) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if err := b.server.Start(address, b.handler()); err != nil {
		return err
	}
	if b.faultsReplaced == nil {
		b.faultsReplaced = make(chan struct{})
	}
	if b.counts.Runs == nil {
		b.counts.Runs = make(map[string]int)
		b.counts.Bodies = make(map[string]int)
	}
	b.ended = make(chan struct{})
	b.stopped = make(chan struct{})
	return nil
}

// Stop closes the listener and all connections. The service does not restart by itself.
func (b *PlainServer) Stop() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.server.Serving() {
		b.server.Stop()
		close(b.ended)
	}
	if b.stopped != nil {
		close(b.stopped)
		b.stopped = nil
	}
}

func (b *PlainServer) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /stand-in/counts", responder.GetHandler(b.Counts))
	mux.HandleFunc("POST /stand-in/faults", responder.SetHandler(b.SetFaults))
	mux.HandleFunc("/", b.serveCall)
	return mux
}

// restartLoop restarts the service at its address after a crash.
func (b *PlainServer) restartLoop(stopped <-chan struct{}) {
	wait := b.RestartAfter
	for responder.Sleep(wait, stopped) {
		if b.restart(stopped) {
			return
		}
		wait = restartRetryDelay
	}
}

func (b *PlainServer) restart(stopped <-chan struct{}) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	select {
	case <-stopped:
		return true
	default:
	}
	if err := b.server.Start(b.server.Address(), b.handler()); err != nil {
		log.Warn().Err(err).Str("server", b.Server).Msg("stand-in service could not restart yet")
		return false
	}
	b.ended = make(chan struct{})
	return true
}

// serveCall runs a call. It does not look whether its caller is still there.
func (b *PlainServer) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, responder.MaxBodyBytes))
	if err != nil {
		http.Error(w, "incomplete body: "+err.Error(), http.StatusBadRequest)
		return
	}
	ended := b.processEnd()
	if !b.wait(ended) || b.crashIfDue(&b.faults.CrashBeforeRun) {
		responder.Drop(w)
		return
	}
	receipt, ok := b.record(r, body, ended)
	if !ok || b.crashIfDue(&b.faults.CrashAfterRun) {
		responder.Drop(w)
		return
	}
	w.Header().Set(headerServer, b.Server)
	w.Header().Set(headerRequestID, r.Header.Get(headerRequestID))
	responder.WriteJSON(w, http.StatusOK, receipt)
}

// processEnd returns the channel that is closed when the running process ends.
func (b *PlainServer) processEnd() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ended
}

// wait waits for the delay and the run. It returns false if the process ended before.
func (b *PlainServer) wait(ended <-chan struct{}) bool {
	b.mu.Lock()
	delay := b.faults.Delay.D()
	replaced := b.faultsReplaced
	b.mu.Unlock()
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
	return responder.Sleep(b.RunTime, ended)
}

// crashIfDue uses up one of the crashes left, if there are any, and returns whether it crashed.
func (b *PlainServer) crashIfDue(remaining *int) bool {
	b.mu.Lock()
	if *remaining == 0 {
		b.mu.Unlock()
		return false
	}
	*remaining--
	b.mu.Unlock()
	b.Crash()
	return true
}

// record counts a run. It returns false if the process has ended, so that nothing ran.
func (b *PlainServer) record(r *http.Request, body []byte, ended <-chan struct{}) (Receipt, bool) {
	header := b.IdentityHeader
	if header == "" {
		header = defaultIdentityHeader
	}
	key := r.Header.Get(header)
	b.mu.Lock()
	defer b.mu.Unlock()
	select {
	case <-ended:
		return Receipt{}, false
	default:
	}
	b.counts.Total++
	if key != "" {
		b.counts.Runs[key]++
	}
	b.counts.Bodies[fmt.Sprintf("%s %s %s", r.Method, r.URL.Path, body)]++
	return Receipt{
		Server: b.Server,
		Number: b.counts.Total,
		Method: r.Method,
		Path:   r.URL.Path,
		Key:    key,
		Body:   string(body),
	}, true
}

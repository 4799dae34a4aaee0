// Package keeper is a stand-in for the platform's key-value service. It implements the JSON form of the
// published etcd v3 API for ranges, puts, deletions, transactions, leases and watches.
package keeper

import (
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"samphirewharf/internal/standin/responder"
)

const (
	expiryInterval = 20 * time.Millisecond
	randomStream   = 1
)

// gRPC status codes of error answers.
const (
	codeInvalidArgument   = 3
	codeNotFound          = 5
	codeResourceExhausted = 8
	codeUnavailable       = 14
)

var (
	errTooManyRequests = errors.New("etcdserver: too many requests")
	errNoLeader        = errors.New("etcdserver: no leader")
)

// A KeyValueService is a stand-in for the key-value service. The zero value is ready to start.
type KeyValueService struct {
	// WritesPerSecond and ReadsPerSecond are the rate limits; zero means none.
	WritesPerSecond float64
	ReadsPerSecond  float64
	// Seed seeds the choice of lost answers.
	Seed uint64
	// Now returns the time that decides when leases expire; nil means time.Now.
	Now func() time.Time

	server responder.Server
	stop   chan struct{}

	mu     sync.Mutex
	store  *store
	faults Faults
	// faultsReplaced is closed and replaced by a new channel when the faults are replaced.
	faultsReplaced chan struct{}
	counts         Counts
	random         *rand.Rand
	writes         *rate.Limiter
	reads          *rate.Limiter
}

// A callKind is one kind of call to the service.
type callKind struct {
	count *int64
	write bool
}

// Address returns the IP and port.
func (k *KeyValueService) Address() string { return k.server.Address() }

// Compact discards the changes up to and including a revision, so that watches can't start at or before it.
func (k *KeyValueService) Compact(revision int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.initialize()
	k.store.compacted = max(k.store.compacted, revision)
}

// Counts returns the numbers of calls and the current state.
func (k *KeyValueService) Counts() Counts {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.initialize()
	counts := k.counts
	counts.Keys = int64(len(k.store.keys))
	for key, kv := range k.store.values {
		counts.Bytes += int64(len(key) + len(kv.Value))
	}
	counts.Revision = k.store.revision
	return counts
}

// SetFaults replaces all faults.
func (k *KeyValueService) SetFaults(f Faults) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.initialize()
	k.faults = f
	close(k.faultsReplaced)
	k.faultsReplaced = make(chan struct{})
	close(k.store.changed)
	k.store.changed = make(chan struct{})
}

// Start serves on an IP and port. A service that is started again keeps its keys.
func (k *KeyValueService) Start(address string) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.initialize()
	if err := k.server.Start(address, k.handler()); err != nil {
		return err
	}
	k.stop = make(chan struct{})
	go k.loop(k.stop)
	return nil
}

// Stop closes the listener and all connections.
func (k *KeyValueService) Stop() {
	k.server.Stop()
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.stop != nil {
		close(k.stop)
		k.stop = nil
	}
}

func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond == 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond/10)))
}

func (k *KeyValueService) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v3/kv/range", k.serveRange)
	mux.HandleFunc("POST /v3/kv/put", k.servePut)
	mux.HandleFunc("POST /v3/kv/deleterange", k.serveDeleteRange)
	mux.HandleFunc("POST /v3/kv/txn", k.serveTxn)
	mux.HandleFunc("POST /v3/lease/grant", k.serveGrant)
	mux.HandleFunc("POST /v3/lease/keepalive", k.serveKeepAlive)
	mux.HandleFunc("POST /v3/lease/revoke", k.serveRevoke)
	mux.HandleFunc("POST /v3/watch", k.serveWatch)
	mux.HandleFunc("GET /stand-in/counts", responder.GetHandler(k.Counts))
	mux.HandleFunc("POST /stand-in/faults", responder.SetHandler(k.SetFaults))
	return mux
}

// admit counts a call and applies the rate limits and the faults that precede the call's effect. It returns false if it
// has answered the call or closed its connection.
func (k *KeyValueService) admit(w http.ResponseWriter, c callKind) bool {
	k.mu.Lock()
	stop, replaced := k.stop, k.faultsReplaced
	faults := k.faults
	*c.count++
	limit := k.reads
	if c.write {
		k.counts.Writes++
		limit = k.writes
	} else {
		k.counts.Reads++
	}
	var err error
	switch {
	case faults.Down:
	case !limit.Allow():
		err = errTooManyRequests
	case c.write && faults.RefuseWrites:
		err = errNoLeader
	}
	if err != nil {
		k.counts.Refused++
	}
	k.mu.Unlock()
	if err != nil {
		writeError(w, err)
		return false
	}
	if faults.Down || !waitDelay(faults.Delay.D(), replaced, stop) {
		responder.Drop(w)
		return false
	}
	return true
}

// waitDelay waits until the delay is over or the faults are replaced. It returns false if the service is stopped first.
func waitDelay(delay time.Duration, replaced, stop <-chan struct{}) bool {
	if delay <= 0 {
		return true
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-replaced:
		return true
	case <-stop:
		return false
	}
}

// answer writes an answer, unless the faults make it lose the answer.
func (k *KeyValueService) answer(w http.ResponseWriter, c callKind, value any, err error) {
	if k.losesAnswer(c) {
		responder.Drop(w)
		return
	}
	if err != nil {
		writeError(w, err)
		return
	}
	responder.WriteJSON(w, http.StatusOK, value)
}

func (k *KeyValueService) losesAnswer(c callKind) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	lost := k.faults.LoseAnswersShare > 0 && k.random.Float64() < k.faults.LoseAnswersShare
	if c.write && k.faults.LoseAnswersNext > 0 {
		k.faults.LoseAnswersNext--
		lost = true
	}
	if lost {
		k.counts.Lost++
	}
	return lost
}

func writeError(w http.ResponseWriter, err error) {
	status, code := http.StatusBadRequest, codeInvalidArgument
	switch {
	case errors.Is(err, errLeaseNotFound):
		status, code = http.StatusNotFound, codeNotFound
	case errors.Is(err, errTooManyRequests):
		status, code = http.StatusTooManyRequests, codeResourceExhausted
	case errors.Is(err, errNoLeader):
		status, code = http.StatusServiceUnavailable, codeUnavailable
	}
	responder.WriteJSON(w, status, ErrorResponse{Error: err.Error(), Message: err.Error(), Code: code})
}

func (k *KeyValueService) header() Header {
	return Header{ClusterID: 1, MemberID: 1, Revision: Int64(k.store.revision), RaftTerm: 1}
}

// loop removes expired leases periodically until stop is closed.
func (k *KeyValueService) loop(stop <-chan struct{}) {
	for responder.Sleep(expiryInterval, stop) {
		k.mu.Lock()
		k.store.expire(k.now())
		k.mu.Unlock()
	}
}

func (k *KeyValueService) now() time.Time {
	if k.Now == nil {
		return time.Now()
	}
	return k.Now()
}

func (k *KeyValueService) initialize() {
	if k.store != nil {
		return
	}
	k.store = newStore()
	k.faultsReplaced = make(chan struct{})
	k.random = rand.New(rand.NewPCG(k.Seed, randomStream))
	k.writes = newLimiter(k.WritesPerSecond)
	k.reads = newLimiter(k.ReadsPerSecond)
}

// serveWatch streams changes until the caller disconnects, the service stops or the faults take it down.
func (k *KeyValueService) serveWatch(w http.ResponseWriter, r *http.Request) {
	var request WatchRequest
	if !responder.ReadJSON(w, r, &request) || !k.admit(w, callKind{count: &k.counts.Watch}) {
		return
	}
	k.mu.Lock()
	k.counts.Watching++
	watch := &watcher{service: k, request: request.Create, nextRevision: int64(request.Create.StartRevision)}
	if watch.nextRevision == 0 {
		watch.nextRevision = k.store.revision + 1
	}
	k.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	watch.serve(json.NewEncoder(w), w, r)
	k.mu.Lock()
	k.counts.Watching--
	k.mu.Unlock()
}

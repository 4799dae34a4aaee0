// Package inferrer is a stand-in for the model engines of backend servers. An Engine executes orders to load
// models and adapters, reports its state and answers completion requests with text that depends only on
// the deployment, the adapter and the prompt, so that a caller can detect the answer to another request.
package inferrer

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"

	"samphirewharf/internal/backend/orderer"
	"samphirewharf/internal/standin/loader"
	"samphirewharf/internal/standin/responder"
)

const (
	defaultMemoryCheckpoints = 4
	defaultDiskCheckpoints   = 16
	defaultPrefixes          = 256
	defaultMaxInFlight       = 8
	restartRetryDelay        = 20 * time.Millisecond
)

// Sources of weights, as indexes of Order.LoadMilliseconds.
const (
	sourceStore = iota
	sourceDisk
	sourceMemory
)

// An Engine is a stand-in for one engine. The zero value is ready to start; fields must not be changed afterwards.
type Engine struct {
	// Server is the name of the backend server.
	Server string
	// MemoryBytes is the accelerator memory.
	MemoryBytes int64
	// ChecksFencing reports whether orders with a stale fencing token are refused. Otherwise the token is ignored.
	ChecksFencing bool
	// Store is the weight store that engines share; nil means one without limits.
	Store *loader.Store
	// TimeScale multiplies load times; zero means 1.
	TimeScale float64
	// AdapterLoad is how long the load of an adapter takes at full speed if its order doesn't specify it.
	AdapterLoad time.Duration
	// UnloadTime is how long a replica takes to unload after its last request.
	UnloadTime time.Duration
	// PromptTime is the time to process a prompt without cached prefix, TokenInterval the time per token of the answer.
	PromptTime    time.Duration
	TokenInterval time.Duration
	// ReportLag is the age of load figures in reports, EventDelay that of the newest cache events.
	ReportLag  time.Duration
	EventDelay time.Duration
	// EventLossShare is the share of cache events that are never reported.
	EventLossShare float64
	// RestartAfter is the delay between a crash and the restart.
	RestartAfter time.Duration
	// MemoryCheckpoints and DiskCheckpoints are how many checkpoints are cached in memory and on disk,
	// PrefixCacheSize how many prompt prefixes a replica caches. Zero means 4, 16 and 256.
	MemoryCheckpoints int
	DiskCheckpoints   int
	PrefixCacheSize   int
	// Seed seeds the loss of cache events and the IDs of instances.
	Seed uint64

	server responder.Server

	mu sync.Mutex
	// current is the running instance; nil before the start, after the stop and between a crash and the restart.
	current        *instance
	stopped        chan struct{}
	faults         Faults
	faultsReplaced chan struct{}
	counts         Counts
	checkpoints    checkpoints
	random         *rand.Rand
}

// Address returns the IP and port.
func (e *Engine) Address() string { return e.server.Address() }

// Counts returns the totals over all restarts.
func (e *Engine) Counts() Counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	counts := e.counts
	counts.Server = e.Server
	counts.Orders = maps.Clone(counts.Orders)
	counts.Runs = maps.Clone(counts.Runs)
	counts.LoadsOf = maps.Clone(counts.LoadsOf)
	counts.Violations = slices.Clone(counts.Violations)
	if e.current != nil {
		counts.Replicas = len(e.current.replicas)
		counts.UsedBytes = e.current.usedBytes
	}
	return counts
}

// Crash ends the running instance: it closes the listener and all connections and loses all replicas.
// The engine restarts after RestartAfter.
func (e *Engine) Crash() {
	e.mu.Lock()
	inst := e.current
	e.mu.Unlock()
	if inst != nil {
		inst.crash()
	}
}

// CacheCheckpoint caches a checkpoint on the server's disk and, if inMemory is set, in its memory.
func (e *Engine) CacheCheckpoint(deployment, version string, inMemory bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cacheCheckpoint(checkpoint{deployment, version}, inMemory)
}

// SetFaults replaces all faults.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
	if e.faultsReplaced != nil {
		close(e.faultsReplaced)
	}
	e.faultsReplaced = make(chan struct{})
}

// Start serves on an IP and port.
func (e *Engine) Start(address string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.server.Start(address, e.handler()); err != nil {
		return err
	}
	if e.faultsReplaced == nil {
		e.faultsReplaced = make(chan struct{})
	}
	if e.random == nil {
		e.random = rand.New(rand.NewPCG(e.Seed, uint64(len(e.Server))))
		e.counts.Orders = make(map[orderer.Kind]int64)
		e.counts.Runs = make(map[string]int)
		e.counts.LoadsOf = make(map[string]int64)
	}
	if e.Store == nil {
		e.Store = &loader.Store{}
	}
	e.stopped = make(chan struct{})
	e.startInstance()
	return nil
}

// Stop closes the listener and all connections. The engine does not restart by itself.
func (e *Engine) Stop() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stopped != nil {
		close(e.stopped)
		e.stopped = nil
	}
	e.endInstance()
}

// startInstance starts a new instance. The mutex must be held.
func (e *Engine) startInstance() {
	e.counts.Starts++
	e.checkpoints.clearMemory()
	e.current = newInstance(e)
}

// endInstance closes the listener and all connections and ends the current instance, if there is one.
// Connections are closed first, so that no handler that ends with the instance seems to have answered.
// The mutex must be held.
func (e *Engine) endInstance() {
	e.server.Stop()
	if e.current != nil {
		e.current.cancel()
		e.current = nil
	}
}

func (e *Engine) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /control/state", e.serveState)
	mux.HandleFunc("POST /control/orders", e.serveOrder)
	mux.HandleFunc("POST /v1/completions", e.serveCompletion)
	mux.HandleFunc("POST /v1/chat/completions", e.serveChatCompletion)
	mux.HandleFunc("GET /stand-in/counts", responder.GetHandler(e.Counts))
	mux.HandleFunc("POST /stand-in/faults", responder.SetHandler(e.SetFaults))
	return mux
}

// instance returns the running instance. If there is none, it closes the connection and returns nil.
func (e *Engine) instance(w http.ResponseWriter) *instance {
	e.mu.Lock()
	inst := e.current
	e.mu.Unlock()
	if inst == nil {
		responder.Drop(w)
	}
	return inst
}

func (e *Engine) cacheCheckpoint(cp checkpoint, inMemory bool) {
	e.checkpoints.add(cp, inMemory,
		cmp.Or(e.MemoryCheckpoints, defaultMemoryCheckpoints), cmp.Or(e.DiskCheckpoints, defaultDiskCheckpoints))
}

func (e *Engine) scaled(milliseconds int64) time.Duration {
	d := time.Duration(milliseconds) * time.Millisecond
	if e.TimeScale == 0 {
		return d
	}
	return time.Duration(float64(d) * e.TimeScale)
}

// loop restarts the engine at its address after a crash. It retries until it succeeds or the engine is stopped.
func (e *Engine) loop(stopped <-chan struct{}) {
	wait := e.RestartAfter
	for responder.Sleep(wait, stopped) {
		if e.restart(stopped) {
			return
		}
		wait = restartRetryDelay
	}
}

func (e *Engine) restart(stopped <-chan struct{}) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	select {
	case <-stopped:
		return true
	default:
	}
	if err := e.server.Start(e.server.Address(), e.handler()); err != nil {
		log.Warn().Err(err).Str("server", e.Server).Msg("could not restart stand-in engine, retrying")
		return false
	}
	e.startInstance()
	return true
}

// Package prover_test runs several reducers in virtual time against fakes of the platform, the backend
// servers, the network and the callers, and checks the guarantees to users after each event.
package prover_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"samphirewharf/internal/config/cataloger"
)

const (
	// networkDelay bounds the delay of one message while nothing is slowed.
	networkDelay = 3 * time.Millisecond
	// callTimeout bounds calls to the platform and to engines.
	callTimeout = 2 * time.Second
	// maxSteps bounds the events of one run, so that a livelock fails the test.
	maxSteps = 3_000_000
	// startupTime is the time that daemons need from their start until they serve.
	startupTime = 3 * time.Second
	gib         = int64(1) << 30
)

// epoch is the wall-clock time at which the simulation starts.
var epoch = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

// A World simulates daemons and their environment in virtual time. A run is determined by its seed and commands.
type World struct {
	now        time.Duration
	rng        *rand.Rand
	queue      eventQueue
	eventCount int
	steps      int

	store       *store
	servers     map[string]*server
	serverNames []string // names of the servers, sorted
	processes   map[string]*process
	daemons     []string
	calls       map[string]*call
	callOrder   []*call
	configs     map[string]*cataloger.Catalog
	accepted    []acceptedVersion
	oracle      oracle
	mutation    mutation

	// fencing is whether engines check fencing tokens.
	fencing  bool
	cutLinks map[[2]string]bool
	// hostLag is how far the host list lags behind, reportLag the running requests in the reports of engines.
	hostLag      time.Duration
	reportLag    time.Duration
	hostsDown    bool
	lastListTime time.Duration
	// orderDelay is the maximum extra delay of orders to engines; orderLoss is the percentage of their answers that are lost.
	orderDelay time.Duration
	orderLoss  int
	// peerLoss and peerDuplicates are percentages of the messages between daemons, peerDelay is their maximum extra delay.
	peerLoss, peerDuplicates int
	peerDelay                time.Duration
	// cutAnswers is the percentage of answers that break off. Requests run for 0.5 to 1.5 times serviceTime.
	cutAnswers  int
	serviceTime time.Duration
	// loadFactor multiplies the duration of loads from the weight store.
	loadFactor time.Duration
	// forgetFences makes engines lose their fencing token when they crash.
	forgetFences bool
	log          []string
}

// An event is a scheduled function. Events of the same time run in the order in which they were scheduled.
type event struct {
	at       time.Duration
	sequence int
	run      func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*q = old[:len(old)-1]
	return last
}

// newWorld returns a world whose servers and daemons run and whose store contains the first configuration.
func newWorld(seed uint64, fencing bool, daemons, engines int) *World {
	w := &World{
		rng:         rand.New(rand.NewPCG(seed, 1)),
		servers:     make(map[string]*server),
		processes:   make(map[string]*process),
		calls:       make(map[string]*call),
		configs:     make(map[string]*cataloger.Catalog),
		cutLinks:    make(map[[2]string]bool),
		fencing:     fencing,
		hostLag:     500 * time.Millisecond,
		reportLag:   200 * time.Millisecond,
		serviceTime: 300 * time.Millisecond,
		loadFactor:  1,
	}
	w.oracle = newOracle(w)
	w.store = newStore(w)
	for i := range engines {
		w.addServer(fmt.Sprintf("e%d", i+1), modelService, 10*gib)
	}
	for i := range 3 {
		w.addServer(fmt.Sprintf("p%d", i+1), plainService, 0)
	}
	w.storeFirstConfiguration()
	for i := range daemons {
		name := fmt.Sprintf("d%d", i+1)
		w.daemons = append(w.daemons, name)
		w.startDaemon(name)
	}
	w.oracle.watchConfiguration()
	return w
}

// after schedules a function.
func (w *World) after(delay time.Duration, run func()) {
	w.eventCount++
	heap.Push(&w.queue, event{w.now + max(0, delay), w.eventCount, run})
}

// advance runs the events of the next d and checks the guarantees after each.
func (w *World) advance(d time.Duration) {
	until := w.now + d
	for len(w.queue) > 0 && w.queue[0].at <= until && !w.oracle.failed() {
		w.step()
	}
	w.now = until
}

// until runs events until a condition holds, and reports whether it did within the limit.
func (w *World) until(limit time.Duration, holds func() bool) bool {
	last := w.now + limit
	for !holds() {
		if len(w.queue) == 0 || w.queue[0].at > last || w.oracle.failed() {
			return false
		}
		w.step()
	}
	return true
}

func (w *World) step() {
	e := heap.Pop(&w.queue).(event)
	w.now = e.at
	e.run()
	w.oracle.check()
	if w.steps++; w.steps > maxSteps {
		w.oracle.failf("livelock: %d events", w.steps)
	}
}

// chance returns true for a percentage of calls.
func (w *World) chance(percent int) bool { return percent > 0 && w.rng.IntN(100) < percent }

// delay returns a random network delay.
func (w *World) delay() time.Duration {
	return networkDelay/4 + time.Duration(w.rng.Int64N(int64(networkDelay)))
}

func (w *World) reaches(a, b string) bool { return !w.cutLinks[pair(a, b)] }

func pair(a, b string) [2]string { return [2]string{min(a, b), max(a, b)} }

func (w *World) logf(format string, args ...any) {
	w.log = append(w.log, fmt.Sprintf("%10v ", w.now.Round(time.Microsecond))+fmt.Sprintf(format, args...))
}

// tail returns the last lines of the log.
func (w *World) tail(lines int) []string { return w.log[max(0, len(w.log)-lines):] }

func (w *World) process(name string) *process { return w.processes[name] }

func (w *World) liveProcesses() []*process {
	var list []*process
	for _, name := range w.daemons {
		if p := w.processes[name]; p != nil && !p.dead {
			list = append(list, p)
		}
	}
	return list
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

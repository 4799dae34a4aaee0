// Package prover_test drives several reducers in virtual time against fakes of the platform, the backend
// servers, the network and the callers, and checks the users' promises after each step.
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
	// callTimeout is after how long clients of the platform and the engines give up.
	callTimeout = 2 * time.Second
	// maxSteps bounds the events of one run, so that a livelock ends in a failure.
	maxSteps = 3_000_000
	// startTime is how long a world runs until its daemons serve.
	startTime = 3 * time.Second
	gib       = int64(1) << 30
)

// epoch is the wall clock at the world's start.
var epoch = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

// A World is everything around and including the daemons, in virtual time. One seed gives one run.
type World struct {
	now     time.Duration
	rng     *rand.Rand
	queue   eventQueue
	counter int
	steps   int

	store     *store
	servers   map[string]*server
	names     []string // of servers, ordered
	processes map[string]*process
	daemons   []string
	calls     map[string]*call
	callOrder []*call
	configs   map[string]*cataloger.Catalog
	accepted  []accepted
	oracle    oracle
	mutation  mutation

	fencing   bool
	cut       map[[2]string]bool
	hostLag   time.Duration
	loadLag   time.Duration
	hostsDown bool
	listedAt  time.Duration
	// orderDelay is how late engines take orders; orderLoss is the percentage of lost answers to them.
	orderDelay time.Duration
	orderLoss  int
	// loss, duplicates and lateness disturb messages between daemons.
	loss, duplicates int
	lateness         time.Duration
	// cutAnswers is the percentage of answers that break off; serviceTime is how long requests run.
	cutAnswers  int
	serviceTime time.Duration
	loadFactor  time.Duration
	// forgetFences lets engines forget their fencing number when they restart.
	forgetFences bool
	log          []string
}

// An event is a function that is called at a moment.
type event struct {
	at    time.Duration
	order int
	run   func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].order < q[j].order
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

// newWorld returns a world with running servers and daemons and the first configuration in the store.
func newWorld(seed uint64, fencing bool, daemons, engines int) *World {
	w := &World{
		rng:         rand.New(rand.NewPCG(seed, 1)),
		servers:     make(map[string]*server),
		processes:   make(map[string]*process),
		calls:       make(map[string]*call),
		configs:     make(map[string]*cataloger.Catalog),
		cut:         make(map[[2]string]bool),
		fencing:     fencing,
		hostLag:     500 * time.Millisecond,
		loadLag:     200 * time.Millisecond,
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
	w.acceptFirst()
	for i := range daemons {
		name := fmt.Sprintf("d%d", i+1)
		w.daemons = append(w.daemons, name)
		w.startDaemon(name)
	}
	w.oracle.watchConfiguration()
	return w
}

// after calls a function after a delay.
func (w *World) after(delay time.Duration, run func()) {
	w.counter++
	heap.Push(&w.queue, event{w.now + max(0, delay), w.counter, run})
}

// advance lets time pass and checks the promises after each event.
func (w *World) advance(d time.Duration) {
	until := w.now + d
	for len(w.queue) > 0 && w.queue[0].at <= until && !w.oracle.failed() {
		w.step()
	}
	w.now = until
}

// until lets time pass until a condition holds, and reports whether it did.
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
		w.oracle.fail("livelock: %d events", w.steps)
	}
}

// chance reports true in a percentage of calls.
func (w *World) chance(percent int) bool { return percent > 0 && w.rng.IntN(100) < percent }

// delay returns a random network delay.
func (w *World) delay() time.Duration {
	return networkDelay/4 + time.Duration(w.rng.Int64N(int64(networkDelay)))
}

func (w *World) reaches(a, b string) bool { return !w.cut[pair(a, b)] }

func pair(a, b string) [2]string { return [2]string{min(a, b), max(a, b)} }

func (w *World) note(format string, args ...any) {
	w.log = append(w.log, fmt.Sprintf("%10v ", w.now.Round(time.Microsecond))+fmt.Sprintf(format, args...))
}

// tail returns the last lines of the log.
func (w *World) tail(lines int) []string { return w.log[max(0, len(w.log)-lines):] }

func (w *World) process(name string) *process { return w.processes[name] }

func (w *World) live() []*process {
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

package prover_test

import (
	"fmt"
	"slices"
	"time"

	"samphirewharf/internal/backend/orderer"
	"samphirewharf/internal/decision/reducer"
	"samphirewharf/internal/external/lister"
)

// A server is a backend server: a model engine, or a plain service.
type server struct {
	w        *World
	name     string
	service  string
	memory   int64
	dead     bool
	instance int
	fence    int64
	sequence int64
	replicas []*replica
	disk     map[string]bool
	changes  int64
	// states are the states of the host over time, oldest first.
	states []hostState
	// shownAt is since when the host list has shown the server as not live, -1 if it doesn't.
	shownAt time.Duration
	runs    []*attempt
}

type hostState struct {
	from  time.Duration
	state lister.HostState // empty once the host is reclaimed
}

// A replica is a model that is loaded, being loaded or being unloaded.
type replica struct {
	order    orderer.Order
	state    orderer.ReplicaState
	adapters map[string]bool
	running  int
	// peak is the maximum of running since the peak was last read.
	peak  int
	loads []loadSample
}

type loadSample struct {
	at      time.Duration
	running int
}

func (w *World) addServer(name, service string, memory int64) {
	s := &server{w: w, name: name, service: service, memory: memory, instance: 1, shownAt: -1, disk: make(map[string]bool)}
	s.states = []hostState{{0, lister.HostLive}}
	w.servers[name] = s
	w.names = sortedKeys(w.servers)
}

// listed returns the host list of a service, which lags behind the true states by hostLag.
func (w *World) listed(service string) []lister.Host {
	var hosts []lister.Host
	for _, name := range w.names {
		s := w.servers[name]
		if state := s.listedState(w.listTime()); s.service == service && state != "" {
			hosts = append(hosts, lister.Host{
				Server: name, Service: service, Address: name, Zone: zoneOf(name), MemoryBytes: s.memory, State: state,
			})
		}
	}
	return hosts
}

// listTime returns the time whose states the host list shows. It never goes back.
func (w *World) listTime() time.Duration {
	w.listedAt = max(w.listedAt, w.now-w.hostLag)
	return w.listedAt
}

// gone reports whether the host is reclaimed.
func (s *server) gone() bool { return s.states[len(s.states)-1].state == "" }

// show updates since when the host list has shown the server as leaving or not at all.
func (s *server) show() {
	switch {
	case s.w.hostsDown:
		s.shownAt = -1
	case s.listedState(s.w.listTime()) == lister.HostLive:
		s.shownAt = -1
	case s.shownAt < 0:
		s.shownAt = s.w.now
	}
}

// leftFor returns for how long the host list has shown the server as leaving or not at all.
func (s *server) leftFor() time.Duration {
	if s.shownAt < 0 {
		return 0
	}
	return s.w.now - s.shownAt
}

func (s *server) listedState(at time.Duration) lister.HostState {
	state := s.states[0].state
	for _, change := range s.states {
		if change.from <= at {
			state = change.state
		}
	}
	return state
}

func (s *server) setState(state lister.HostState) {
	s.states = append(s.states, hostState{s.w.now, state})
}

// crash ends the server process: its connections break and its replicas are lost.
func (s *server) crash() {
	if s.dead {
		return
	}
	s.dead = true
	s.w.logf("%s crashes", s.name)
	runs := s.runs
	s.runs, s.replicas = nil, nil
	if s.w.forgetFences {
		s.fence = 0
	}
	for _, a := range runs {
		a.finish(reducer.AttemptEnded{Outcome: reducer.AttemptFailed, ServerDied: true})
	}
}

// restart starts the crashed server process again, unless its host is reclaimed.
func (s *server) restart() {
	if !s.dead || s.gone() {
		return
	}
	s.dead = false
	s.instance++
	s.sequence = 0
	s.w.logf("%s restarts", s.name)
}

func (s *server) used() (bytes int64) {
	for _, r := range s.replicas {
		bytes += r.order.Bytes
	}
	return bytes
}

func (s *server) find(id string) *replica {
	for _, r := range s.replicas {
		if r.order.Replica == id {
			return r
		}
	}
	return nil
}

func (s *server) instanceName() string { return fmt.Sprintf("%s#%d", s.name, s.instance) }

func (s *server) report(known int64) orderer.Report {
	s.sequence++
	report := orderer.Report{
		Instance: s.instanceName(), Sequence: s.sequence, Fence: s.fence,
		MemoryBytes: s.memory, UsedBytes: s.used(), CheckpointsVersion: s.changes + 1,
	}
	if known != report.CheckpointsVersion {
		report.Checkpoints = &orderer.Checkpoints{Disk: sortedKeys(s.disk)}
	}
	for _, r := range s.replicas {
		report.Replicas = append(report.Replicas, orderer.ReplicaReport{
			Replica: r.order.Replica, Deployment: r.order.Deployment, ModelVersion: r.order.ModelVersion, State: r.state,
			Bytes: r.order.Bytes, Running: r.loadAt(s.w.now - s.w.loadLag), Adapters: sortedKeys(r.adapters),
		})
	}
	return report
}

func (r *replica) loadAt(at time.Duration) int {
	running := 0
	for _, sample := range r.loads {
		if sample.at <= at {
			running = sample.running
		}
	}
	return running
}

func (r *replica) change(now time.Duration, by int) {
	r.running += by
	r.peak = max(r.peak, r.running)
	r.loads = append(r.loads, loadSample{now, r.running})
	if len(r.loads) > 256 {
		r.loads = slices.Clone(r.loads[128:])
	}
}

// receive executes an order of a process after a delay and answers it, unless the server crashed or the answer is lost.
func (s *server) receive(p *process, order orderer.Order, ended func(orderer.Outcome, int64)) {
	w := s.w
	if s.dead || !w.reaches(p.name, s.name) {
		p.later(w.delay(), func() { ended(orderer.OutcomeNotSent, 0) })
		return
	}
	instance := s.instance
	delay := w.delay() + w.extra(w.orderDelay)
	lost := delay > callTimeout || w.chance(w.orderLoss)
	if lost {
		p.later(callTimeout, func() { ended(orderer.OutcomeUnknown, 0) })
	}
	w.after(delay, func() {
		outcome, fence := orderer.OutcomeUnknown, int64(0)
		if !s.dead && s.instance == instance {
			outcome, fence = s.obey(order)
			w.logf("%s executes order %s %s from %s: %s", s.name, order.Kind, order.Replica, p.name, outcome)
		}
		if !lost {
			p.later(w.delay(), func() { ended(outcome, fence) })
		}
	})
}

// obey executes an order and returns its outcome and, if the order's fencing token is stale, the server's token.
func (s *server) obey(order orderer.Order) (orderer.Outcome, int64) {
	if s.w.fencing {
		if order.Fence < s.fence {
			return orderer.OutcomeStaleFence, s.fence
		}
		s.fence = order.Fence
		if order.Instance != "" && order.Instance != s.instanceName() {
			return orderer.OutcomeRefused, 0
		}
	}
	r := s.find(order.Replica)
	switch order.Kind {
	case orderer.KindLoad:
		return s.load(order), 0
	case orderer.KindUnload:
		if r != nil {
			r.state = orderer.StateUnloading
			s.finishUnload(r)
		}
	case orderer.KindLoadAdapter:
		if r == nil || len(r.adapters) >= r.order.AdapterSlots {
			return orderer.OutcomeRefused, 0
		}
		s.w.after(10*time.Millisecond, func() {
			if s.find(order.Replica) == r && len(r.adapters) < r.order.AdapterSlots {
				r.adapters[order.Adapter] = true
			}
		})
	case orderer.KindUnloadAdapter:
		if r != nil {
			delete(r.adapters, order.Adapter)
		}
	}
	return orderer.OutcomeAccepted, 0
}

// load starts to load a replica. A repeated order loads a second replica of the same ID.
func (s *server) load(order orderer.Order) orderer.Outcome {
	w := s.w
	if s.used()+order.Bytes > s.memory {
		w.oracle.fail("memory: %s has no room for %s", s.name, order.Replica)
		return orderer.OutcomeRefused
	}
	r := &replica{order: order, state: orderer.StateLoading, adapters: make(map[string]bool)}
	s.replicas = append(s.replicas, r)
	w.oracle.loaded(s, order)
	took := time.Duration(order.LoadMilliseconds[0]) * time.Millisecond * w.loadFactor
	if s.disk[order.Deployment] {
		took = time.Duration(order.LoadMilliseconds[1]) * time.Millisecond
	}
	w.after(took, func() {
		if r.state == orderer.StateLoading && slices.Contains(s.replicas, r) {
			r.state = orderer.StateReady
			s.disk[order.Deployment] = true
			s.changes++
		}
	})
	return orderer.OutcomeAccepted
}

func (s *server) finishUnload(r *replica) {
	if r.state == orderer.StateUnloading && r.running == 0 {
		s.replicas = slices.DeleteFunc(s.replicas, func(other *replica) bool { return other == r })
	}
}

// run executes a request and answers it, unless the request crashes the server.
func (s *server) run(a *attempt) {
	w := s.w
	var r *replica
	if s.service == modelService {
		r = s.find(a.replica)
		if r == nil || r.state != orderer.StateReady {
			a.finish(reducer.AttemptEnded{Outcome: reducer.AttemptNotRun})
			return
		}
		r.change(w.now, 1)
	}
	a.run = r
	s.runs = append(s.runs, a)
	w.oracle.ran(s, a)
	took := w.serviceTime/2 + w.extra(w.serviceTime)
	if a.x.call.poison {
		w.after(took/4, func() {
			if slices.Contains(s.runs, a) {
				w.oracle.crashes++
				s.crash()
				w.after(3*time.Second, s.restart)
			}
		})
		return
	}
	cut := w.chance(w.cutAnswers)
	if a.x.call.stream {
		w.after(took/2, func() {
			if slices.Contains(s.runs, a) {
				a.start(answerTokens / 2)
			}
		})
	}
	w.after(took, func() {
		switch {
		case !s.end(a):
		case cut:
			// The connection breaks, or the answer belongs to another request or is incomplete.
			a.finish(reducer.AttemptEnded{Outcome: reducer.AttemptFailed, ServerDied: w.chance(50)})
		default:
			a.start(answerTokens)
			a.finish(reducer.AttemptEnded{Outcome: reducer.AttemptDone, Status: 200, Answer: []byte(a.x.call.name)})
		}
	})
}

// end removes a request from the server and reports whether it was still running.
func (s *server) end(a *attempt) bool {
	at := slices.Index(s.runs, a)
	if at < 0 {
		return false
	}
	s.runs = slices.Delete(s.runs, at, at+1)
	if a.run != nil {
		a.run.change(s.w.now, -1)
		s.finishUnload(a.run)
	}
	return true
}

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
	// notLiveSince is since when the host list has shown the server as not live, -1 if it doesn't.
	notLiveSince time.Duration
	// inFlight contains the requests that the server runs.
	inFlight []*attempt
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
	peak int
	// samples are the values of running over time.
	samples []runningSample
}

type runningSample struct {
	at      time.Duration
	running int
}

func (w *World) addServer(name, service string, memory int64) {
	s := &server{w: w, name: name, service: service, memory: memory, instance: 1, notLiveSince: -1, disk: make(map[string]bool)}
	s.states = []hostState{{0, lister.HostLive}}
	w.servers[name] = s
	w.serverNames = sortedKeys(w.servers)
}

// hostList returns the host list of a service, which lags behind the true states by hostLag.
func (w *World) hostList(service string) []lister.Host {
	var hosts []lister.Host
	for _, name := range w.serverNames {
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
	w.lastListTime = max(w.lastListTime, w.now-w.hostLag)
	return w.lastListTime
}

// reclaimed reports whether the host is reclaimed.
func (s *server) reclaimed() bool { return s.states[len(s.states)-1].state == "" }

// updateNotLive updates since when the host list has shown the server as leaving or not at all.
func (s *server) updateNotLive() {
	switch {
	case s.w.hostsDown:
		s.notLiveSince = -1
	case s.listedState(s.w.listTime()) == lister.HostLive:
		s.notLiveSince = -1
	case s.notLiveSince < 0:
		s.notLiveSince = s.w.now
	}
}

// notLiveFor returns for how long the host list has shown the server as leaving or not at all.
func (s *server) notLiveFor() time.Duration {
	if s.notLiveSince < 0 {
		return 0
	}
	return s.w.now - s.notLiveSince
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
	runs := s.inFlight
	s.inFlight, s.replicas = nil, nil
	if s.w.forgetFences {
		s.fence = 0
	}
	for _, a := range runs {
		a.finish(reducer.AttemptEnded{Outcome: reducer.AttemptFailed, ServerDied: true})
	}
}

// restart starts the crashed server process again, unless its host is reclaimed.
func (s *server) restart() {
	if !s.dead || s.reclaimed() {
		return
	}
	s.dead = false
	s.instance++
	s.sequence = 0
	s.w.logf("%s restarts", s.name)
}

func (s *server) usedBytes() (bytes int64) {
	for _, r := range s.replicas {
		bytes += r.order.Bytes
	}
	return bytes
}

func (s *server) findReplica(id string) *replica {
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
		MemoryBytes: s.memory, UsedBytes: s.usedBytes(), CheckpointsVersion: s.changes + 1,
	}
	if known != report.CheckpointsVersion {
		report.Checkpoints = &orderer.Checkpoints{Disk: sortedKeys(s.disk)}
	}
	for _, r := range s.replicas {
		report.Replicas = append(report.Replicas, orderer.ReplicaReport{
			Replica: r.order.Replica, Deployment: r.order.Deployment, ModelVersion: r.order.ModelVersion, State: r.state,
			Bytes: r.order.Bytes, Running: r.runningAt(s.w.now - s.w.reportLag), Adapters: sortedKeys(r.adapters),
		})
	}
	return report
}

func (r *replica) runningAt(at time.Duration) int {
	running := 0
	for _, sample := range r.samples {
		if sample.at <= at {
			running = sample.running
		}
	}
	return running
}

func (r *replica) addRunning(now time.Duration, by int) {
	r.running += by
	r.peak = max(r.peak, r.running)
	r.samples = append(r.samples, runningSample{now, r.running})
	if len(r.samples) > 256 {
		r.samples = slices.Clone(r.samples[128:])
	}
}

// receive executes an order of a process after a delay and answers it, unless the server crashed or the answer is lost.
func (s *server) receive(p *process, order orderer.Order, ended func(orderer.Outcome, int64)) {
	w := s.w
	if s.dead || !w.reaches(p.name, s.name) {
		p.after(w.delay(), func() { ended(orderer.OutcomeNotSent, 0) })
		return
	}
	instance := s.instance
	delay := w.delay() + w.randomDuration(w.orderDelay)
	lost := delay > callTimeout || w.chance(w.orderLoss)
	if lost {
		p.after(callTimeout, func() { ended(orderer.OutcomeUnknown, 0) })
	}
	w.after(delay, func() {
		outcome, fence := orderer.OutcomeUnknown, int64(0)
		if !s.dead && s.instance == instance {
			outcome, fence = s.executeOrder(order)
			w.logf("%s executes order %s %s from %s: %s", s.name, order.Kind, order.Replica, p.name, outcome)
		}
		if !lost {
			p.after(w.delay(), func() { ended(outcome, fence) })
		}
	})
}

// executeOrder executes an order and returns its outcome and, if the order's fencing token is stale, the server's token.
func (s *server) executeOrder(order orderer.Order) (orderer.Outcome, int64) {
	if s.w.fencing {
		if order.Fence < s.fence {
			return orderer.OutcomeStaleFence, s.fence
		}
		s.fence = order.Fence
		if order.Instance != "" && order.Instance != s.instanceName() {
			return orderer.OutcomeRefused, 0
		}
	}
	r := s.findReplica(order.Replica)
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
			if s.findReplica(order.Replica) == r && len(r.adapters) < r.order.AdapterSlots {
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
	if s.usedBytes()+order.Bytes > s.memory {
		w.oracle.failf("memory: %s has no room for %s", s.name, order.Replica)
		return orderer.OutcomeRefused
	}
	r := &replica{order: order, state: orderer.StateLoading, adapters: make(map[string]bool)}
	s.replicas = append(s.replicas, r)
	w.oracle.observeLoad(s, order)
	loadTime := time.Duration(order.LoadMilliseconds[0]) * time.Millisecond * w.loadFactor
	if s.disk[order.Deployment] {
		loadTime = time.Duration(order.LoadMilliseconds[1]) * time.Millisecond
	}
	w.after(loadTime, func() {
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
		r = s.findReplica(a.replicaID)
		if r == nil || r.state != orderer.StateReady {
			a.finish(reducer.AttemptEnded{Outcome: reducer.AttemptNotRun})
			return
		}
		r.addRunning(w.now, 1)
	}
	a.replica = r
	s.inFlight = append(s.inFlight, a)
	w.oracle.observeRun(s, a)
	runTime := w.serviceTime/2 + w.randomDuration(w.serviceTime)
	if a.x.call.poison {
		w.after(runTime/4, func() {
			if slices.Contains(s.inFlight, a) {
				w.oracle.crashes++
				s.crash()
				w.after(3*time.Second, s.restart)
			}
		})
		return
	}
	cut := w.chance(w.cutAnswers)
	if a.x.call.stream {
		w.after(runTime/2, func() {
			if slices.Contains(s.inFlight, a) {
				a.passTokens(answerTokens / 2)
			}
		})
	}
	w.after(runTime, func() {
		switch {
		case !s.end(a):
		case cut:
			// The connection breaks, or the answer belongs to another request or is incomplete.
			a.finish(reducer.AttemptEnded{Outcome: reducer.AttemptFailed, ServerDied: w.chance(50)})
		default:
			a.passTokens(answerTokens)
			a.finish(reducer.AttemptEnded{Outcome: reducer.AttemptDone, Status: 200, Answer: []byte(a.x.call.name)})
		}
	})
}

// end removes a request from the server and reports whether it was still running.
func (s *server) end(a *attempt) bool {
	at := slices.Index(s.inFlight, a)
	if at < 0 {
		return false
	}
	s.inFlight = slices.Delete(s.inFlight, at, at+1)
	if a.replica != nil {
		a.replica.addRunning(s.w.now, -1)
		s.finishUnload(a.replica)
	}
	return true
}

package prover_test

import (
	"fmt"
	"strings"
	"time"

	"samphirewharf/internal/backend/orderer"
	"samphirewharf/internal/caller/refuser"
	"samphirewharf/internal/decision/planner"
	"samphirewharf/internal/external/storer"
)

const (
	// answerSlack is how long after its deadline an answer may arrive; streamSlack applies to a stream that has begun.
	answerSlack = 100 * time.Millisecond
	streamSlack = time.Second
	// leavingGrace is how long a server may still get work after the host list shows that it leaves.
	leavingGrace = 3 * time.Second
	// configurationTimeout bounds the time from the acceptance of a configuration until it is in force.
	configurationTimeout = 5 * time.Second
)

// An oracle checks the guarantees to users. It relies only on what servers ran and have loaded, on the contents
// of the placement record, and on the answers that callers received.
type oracle struct {
	w          *World
	violations []string
	record     planner.Record
	// decided contains all replicas that were ever in the record; loads counts the loads of each deployment.
	decided map[string]planner.Replica
	loads   map[string]int
	// runs counts the runs of each call; keyRuns contains the runs for each idempotency key.
	runs    map[string]int
	keyRuns map[string][]keyRun
	// versions contains the version of the configuration in force at each daemon.
	versions map[string]int64
	crashes  int
	// takeOvers counts the changes of the placer.
	takeOvers int
	// lastFaultAt is when a fault could last keep daemons from receiving a configuration.
	lastFaultAt time.Duration
}

type keyRun struct {
	at   time.Duration
	call string
}

func newOracle(w *World) oracle {
	return oracle{
		w: w, decided: make(map[string]planner.Replica), loads: make(map[string]int), runs: make(map[string]int),
		keyRuns: make(map[string][]keyRun), versions: make(map[string]int64),
	}
}

func (o *oracle) failed() bool { return len(o.violations) > 0 }

func (o *oracle) failf(format string, args ...any) {
	problem := fmt.Sprintf(format, args...)
	o.violations = append(o.violations, fmt.Sprintf("%v: %s", o.w.now, problem))
	o.w.logf("VIOLATED %s", problem)
}

// check checks at all servers that each replica is decided and loaded only once, and that they fit into memory.
func (o *oracle) check() {
	for _, name := range o.w.serverNames {
		s := o.w.servers[name]
		s.updateNotLive()
		if len(s.replicas) == 0 {
			continue
		}
		if s.usedBytes() > s.memory {
			o.failf("memory: %s uses %d of %d bytes", name, s.usedBytes(), s.memory)
		}
		for i, r := range s.replicas {
			o.checkReplica(s, r)
			for _, other := range s.replicas[:i] {
				if other.order.Replica == r.order.Replica {
					o.failf("replicas: %s holds %s twice", name, r.order.Replica)
				}
			}
		}
	}
}

func (o *oracle) checkReplica(s *server, r *replica) {
	id := r.order.Replica
	if d, ok := o.decided[id]; !ok || d.Server != s.name || d.Deployment != r.order.Deployment || d.Bytes < r.order.Bytes {
		o.failf("replicas: %s holds %s, which was never decided for it", s.name, id)
		return
	}
	if _, ok := o.record.Replica(id); !ok && !s.reclaimed() {
		o.failf("replicas: %s holds %s, which is no longer decided", s.name, id)
	}
}

// observeWrite checks a write to the key-value service if it is the placement record of the model service.
func (o *oracle) observeWrite(e storer.Entry) {
	if !strings.HasPrefix(e.Key, "cells/"+modelService+"/") {
		return
	}
	record, err := planner.DecodeRecord(e.Value)
	if err != nil {
		o.failf("record: %v", err)
		return
	}
	if record.Instance != o.record.Instance {
		o.takeOvers++
	}
	o.record = record
	used := make(map[string]int64)
	for _, r := range record.Replicas {
		o.decided[r.ID] = r
		used[r.Server] += r.Bytes
		if used[r.Server] > o.w.servers[r.Server].memory {
			o.failf("memory: the record overcommits %s", r.Server)
		}
	}
}

// observeOrder checks a load order when it is sent. Orders of a process that was frozen since its expiry check are exempt.
func (o *oracle) observeOrder(s *server, order orderer.Order, frozen bool) {
	if order.Kind == orderer.KindLoad && !frozen && s.notLiveFor() > leavingGrace {
		o.failf("leaving: %s gets an order to load %s", s.name, order.Replica)
	}
}

// observeLoad checks a load that an engine starts.
func (o *oracle) observeLoad(s *server, order orderer.Order) {
	o.loads[order.Deployment]++
	if _, ok := o.record.Replica(order.Replica); !ok {
		o.failf("replicas: %s is loaded at %s and is not decided", order.Replica, s.name)
	}
}

// observeRun checks a request that a server starts to run.
func (o *oracle) observeRun(s *server, a *attempt) {
	c := a.x.call
	o.runs[c.name]++
	if s.notLiveFor() > leavingGrace {
		o.failf("leaving: %s gets request %s", s.name, c.name)
	}
	if c.outcome == "refused" && c.refusal.Ran == refuser.NotRun {
		o.failf("not run: %s runs at %s after it was refused as not run", c.name, s.name)
	}
	if c.key == "" || c.method != "POST" {
		return
	}
	for _, run := range o.keyRuns[c.key] {
		if o.w.now-run.at < claimRetention {
			o.failf("at most once: key %s of %s ran before for %s", c.key, c.name, run.call)
		}
	}
	o.keyRuns[c.key] = append(o.keyRuns[c.key], keyRun{o.w.now, c.name})
}

// observeAnswer checks a complete answer that a caller receives.
func (o *oracle) observeAnswer(x *exchange, body string) {
	c := x.call
	if c.stream && x.sent != answerTokens {
		o.failf("answers: %s got %d of %d tokens as a complete answer", c.name, x.sent, answerTokens)
	}
	if body == c.name && o.runs[c.name] > 0 {
		return
	}
	for _, run := range o.keyRuns[c.key] {
		if run.call == body {
			return
		}
	}
	o.failf("answers: %s got the answer to %q", c.name, body)
}

// observeRefusal checks a refusal that a caller receives.
func (o *oracle) observeRefusal(c *call) {
	if c.refusal.Ran == refuser.NotRun && o.runs[c.name] > 0 {
		o.failf("not run: %s was refused as not run (%s) and ran", c.name, c.refusal.Code)
	}
	if c.refusal.Code >= 2000 && c.refusal.Code < 3000 && c.refusal.RetryAfter <= 0 {
		o.failf("refusals: %s was refused with %s and no retry delay", c.name, c.refusal.Code)
	}
}

// checkDeadline checks at a request's deadline that it is answered. A frozen daemon has until shortly after it resumes.
func (o *oracle) checkDeadline(x *exchange) {
	due := x.deadline + answerSlack
	if x.started && x.call.stream {
		due = x.deadline + streamSlack
	}
	due = max(due, x.p.resumedAt+answerSlack)
	if x.p.frozen {
		due = max(due, o.w.now+answerSlack)
	}
	if o.w.now < due {
		o.w.after(due-o.w.now, func() { o.checkDeadline(x) })
		return
	}
	if !x.closed && !x.p.dead {
		o.failf("in time: %s has no answer from %s at its deadline", x.call.name, x.p.name)
	}
}

// observeExit checks at the end of a planned stop that no request is open.
func (o *oracle) observeExit(p *process) {
	for _, id := range sortedIDs(p.exchanges) {
		o.failf("planned stop: %s exits with %s open", p.name, p.exchanges[id].call.name)
	}
	o.w.logf("%s has stopped", p.name)
}

// observeConfiguration checks that a daemon does not go back to an older configuration.
func (o *oracle) observeConfiguration(p *process, version int64) {
	if version < o.versions[p.name] {
		o.failf("configuration: %s goes back from version %d to %d", p.name, o.versions[p.name], version)
	}
	o.versions[p.name] = version
}

// watchConfiguration checks the configuration every 500 milliseconds.
func (o *oracle) watchConfiguration() {
	o.checkConfiguration()
	o.w.after(500*time.Millisecond, o.watchConfiguration)
}

// checkConfiguration checks that each accepted version, or a later one, is in force at all daemons that no fault has
// kept from receiving it.
func (o *oracle) checkConfiguration() {
	if o.w.configurationMayLag() {
		o.lastFaultAt = o.w.now
	}
	for _, a := range o.w.accepted {
		for _, p := range o.w.liveProcesses() {
			elapsed := o.w.now - max(a.at, p.started, p.resumedAt, o.lastFaultAt)
			if p.frozen || elapsed < configurationTimeout {
				continue
			}
			if p.catalog == nil || p.catalog.Version() < a.version {
				o.failf("configuration: version %d is not in force at %s", a.version, p.name)
				return
			}
		}
	}
}

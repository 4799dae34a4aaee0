package emulator

import (
	"maps"
	"slices"
	"time"

	"samphirewharf/internal/backend/orderer"
	"samphirewharf/internal/config/cataloger"
	"samphirewharf/internal/decision/limiter"
	"samphirewharf/internal/decision/planner"
	"samphirewharf/internal/external/storer"
)

// Times of the one placer daemon and its platform.
const (
	// storeDelay is how long the key-value service takes to answer.
	storeDelay = 3 * time.Millisecond
	// oneWay is the network delay to engines.
	oneWay        = time.Millisecond
	needsInterval = 250 * time.Millisecond
	usesInterval  = time.Second
	pollInterval  = time.Second
	busyInterval  = 20 * time.Millisecond
	// idleInterval is how often the placer looks whether it has become busy, idleSteps how many of these
	// go by before it plans anyway.
	idleInterval = 200 * time.Millisecond
	idleSteps    = 5
	patience     = time.Hour
	daemonName   = "placer"
	instanceName = "placer-1"
)

// newPlanner wires a planner as a daemon does.
func (e *emulation) newPlanner() *planner.Machine {
	m := &planner.Machine{
		Cell:     e.service.Name,
		Daemon:   daemonName,
		Instance: instanceName,
		KeepAlive: func(d *cataloger.Deployment) time.Duration {
			if e.policy.KeepAlive != nil {
				return e.policy.KeepAlive(&e.warmer, d)
			}
			return e.warmer.KeepAlive(d.Name)
		},
		EvictionScore: func(now time.Duration, d *cataloger.Deployment) float64 {
			if e.policy.EvictionScore != nil {
				return e.policy.EvictionScore(e.lastUse[d.Name])
			}
			return e.warmer.EvictionScore(d.Name, d.Load.D(), d.ReplicaBytes(), now)
		},
		Preload:       e.policy.Preload,
		KeepPreloaded: e.policy.KeepPreloaded,
		LoadLimits:    e.planLoads(),
	}
	if e.policy.Rank != nil {
		m.Rank = e.rank
	}
	return m
}

func (e *emulation) planLoads() planner.LoadLimits {
	take := func(now time.Duration, p limiter.PendingLoad) bool {
		return e.share.TryStart(p, now) == limiter.DecisionStart
	}
	return planner.LoadLimits{
		Predict: func(now, full time.Duration, remote bool) time.Duration {
			if !remote {
				return full
			}
			return e.share.Predict(limiter.PendingLoad{Duration: full}, 0, now) - now
		},
		Start: func(now time.Duration, id string, full time.Duration, remote, urgent bool) bool {
			return !remote || take(now, limiter.PendingLoad{Key: id, Urgent: urgent, Deadline: now + patience, Duration: full})
		},
		Finish:  func(now time.Duration, id string) { e.share.Finish(id, now) },
		Abandon: func(id string) { e.share.Abandon(id) },
		StartAdapter: func(now time.Duration, id string, full time.Duration) bool {
			return take(now, limiter.PendingLoad{Key: id, Deadline: now + patience, Duration: full, Adapter: true})
		},
		FinishAdapter: func(now time.Duration, id string) { e.share.Finish(id, now) },
	}
}

func (e *emulation) rank(server string, predicted time.Duration) time.Duration {
	return e.policy.Rank(Candidate{
		Index: e.indexes[server], ServerCount: len(e.indexes), PriorLoads: e.decided, Predicted: predicted, Random: e.rng,
	})
}

func (e *emulation) view() planner.View {
	return planner.View{
		Now: e.now, Catalog: e.catalog, Fleet: &e.fleet, ShouldLead: true, LeaseValid: true,
		Alive:     func(string, string) bool { return true },
		DeadSince: func(_, _ string) (time.Duration, bool) { return 0, false },
	}
}

// apply carries out what the planner asks for.
func (e *emulation) apply(actions []planner.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case planner.Get:
			e.after(storeDelay, func() {
				result := storer.ResultOK
				if e.stored.Revision == 0 {
					result = storer.ResultNotFound
				}
				e.apply(e.planner.HandleGet(e.view(), result, e.stored))
			})
		case planner.Swap:
			e.after(storeDelay, func() { e.swap(a) })
		case planner.Send:
			e.after(oneWay, func() { e.send(a) })
		case planner.Poll:
			server := a.Server.Host.Server
			e.after(oneWay, func() { e.poll(server) })
		case planner.RecordChanged:
			e.markDraining()
		case planner.Forecast:
			e.forecast(a)
		case planner.Decision:
			e.decisions[a.Action]++
			if a.Action == "Load" {
				e.decided++
			}
		}
	}
}

func (e *emulation) forecast(f planner.Forecast) {
	q := e.queueOf(f.Deployment)
	q.readyAt = e.now + f.ReadyIn
	q.impossible = f.Impossible
	if slots, _ := e.slots(q); slots > 0 {
		return
	}
	for _, id := range sortedKeys(q.byID) {
		if r := q.byID[id]; e.hopeless(q, r) {
			q.waiting.Remove(id)
			delete(q.byID, id)
			e.refuse(r)
		}
	}
}

// markDraining keeps new requests from replicas that the record marks as unloading.
func (e *emulation) markDraining() {
	record, _ := e.planner.Record()
	for _, r := range record.Replicas {
		if replica, ok := e.fleet.Replica(r.ID); ok && r.State == planner.StateUnloading {
			replica.Draining = true
		}
	}
}

// poll reads an engine's state and hands it to the planner.
func (e *emulation) poll(server string) {
	sent := e.now - oneWay
	report := e.engines[server].report()
	e.after(oneWay, func() {
		change := e.fleet.ApplyReport(server, report, sent)
		e.markDraining()
		for _, name := range change.Ready {
			q := e.queueOf(name)
			q.readyAt, q.impossible = 0, false
			e.pump(q)
		}
		e.apply(e.planner.HandlePoll(e.view(), server, true, sent, report))
	})
}

// pollAll polls the engines that changed since their last report.
func (e *emulation) pollAll() {
	for _, name := range e.names {
		if e.engines[name].changed {
			e.poll(name)
		}
	}
	e.after(pollInterval, e.pollAll)
}

func (e *emulation) send(a planner.Send) {
	e.fence = max(e.fence, a.Order.Fence)
	outcome := orderer.OutcomeStaleFence
	if !e.service.ChecksFencing || a.Order.Fence >= e.fence {
		outcome = e.engines[a.Server.Host.Server].take(a.Order)
	}
	e.after(oneWay, func() {
		e.apply(e.planner.HandleOrder(e.view(), a.Order.OrderID, a.Server.Host.Server, outcome, e.fence))
	})
}

// sendNeeds tells the placer what waits and what is used.
func (e *emulation) sendNeeds() {
	e.needsAt = e.now + needsInterval
	e.needsPending = false
	var needs []planner.Need
	queues := slices.SortedFunc(maps.Keys(e.active), compareQueue)
	for _, q := range queues {
		needs = append(needs, q.needs(e.now)...)
		q.used = false
		if q.waiting.Len() == 0 && q.running == 0 && e.now >= q.coldUntil {
			delete(e.active, q)
		}
	}
	e.sequence++
	e.planner.SetDemand(e.now, daemonName, instanceName, e.sequence, needs)
	e.apply(e.planner.Step(e.view()))
}

// sendNeedsSoon sends the needs as soon as their interval allows.
func (e *emulation) sendNeedsSoon() {
	if e.needsPending {
		return
	}
	e.needsPending = true
	e.at(e.needsAt, e.sendNeeds)
}

func (e *emulation) swap(s planner.Swap) {
	if s.Revision != e.stored.Revision {
		e.apply(e.planner.HandleSwap(e.view(), s.Token, storer.ResultConflict, 0))
		return
	}
	e.writes++
	e.stored = storer.Entry{Value: s.Value, Revision: s.Revision + 1}
	e.apply(e.planner.HandleSwap(e.view(), s.Token, storer.ResultOK, e.stored.Revision))
}

// tick lets the planner plan, often while it is busy. Steps of an idle planner are left out, as they
// do nothing but retire idle replicas.
func (e *emulation) tick() {
	e.idleTicks++
	if e.planner.HasPendingWork() || e.idleTicks >= idleSteps {
		e.idleTicks = 0
		e.apply(e.planner.Step(e.view()))
	}
	interval := idleInterval
	if e.planner.HasPendingWork() {
		interval = busyInterval
	}
	e.after(interval, e.tick)
}

// tickUses repeats the needs while deployments are used.
func (e *emulation) tickUses() {
	if len(e.active) > 0 {
		e.sendNeedsSoon()
	}
	e.after(usesInterval, e.tickUses)
}

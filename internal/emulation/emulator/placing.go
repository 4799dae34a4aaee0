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

// Intervals and delays of the placer daemon and its platform.
const (
	// storeDelay is the response time of the key-value service.
	storeDelay = 3 * time.Millisecond
	// engineDelay is the one-way network delay to and from engines.
	engineDelay = time.Millisecond
	// demandInterval is the minimum time between two sends of the demand. demandRepeatInterval is how often the
	// demand of active queues is sent again.
	demandInterval       = 250 * time.Millisecond
	demandRepeatInterval = time.Second
	// pollInterval is how often the engines that changed are polled.
	pollInterval = time.Second
	// busyInterval is the time between two steps of a placer with pending work.
	busyInterval = 20 * time.Millisecond
	// idleInterval is how often an idle placer checks for pending work. After idleTicksPerStep checks it plans
	// even without pending work.
	idleInterval     = 200 * time.Millisecond
	idleTicksPerStep = 5
	// loadTimeLimit is the time within which a pending load has to be done.
	loadTimeLimit = time.Hour

	daemonName   = "placer"
	instanceName = "placer-1"
)

// newPlanner returns a planner with the hooks that a daemon sets.
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
		LoadLimits:    e.loadLimits(),
	}
	if e.policy.Rank != nil {
		m.Rank = e.rank
	}
	return m
}

func (e *emulation) loadLimits() planner.LoadLimits {
	tryStart := func(now time.Duration, p limiter.PendingLoad) bool {
		return e.loadLimiter.TryStart(p, now) == limiter.DecisionStart
	}
	return planner.LoadLimits{
		Predict: func(now, duration time.Duration, remote bool) time.Duration {
			if !remote {
				return duration
			}
			return e.loadLimiter.Predict(limiter.PendingLoad{Duration: duration}, 0, now) - now
		},
		Start: func(now time.Duration, id string, duration time.Duration, remote, urgent bool) bool {
			return !remote || tryStart(now, limiter.PendingLoad{Key: id, Urgent: urgent, Deadline: now + loadTimeLimit, Duration: duration})
		},
		Finish:  func(now time.Duration, id string) { e.loadLimiter.Finish(id, now) },
		Abandon: func(id string) { e.loadLimiter.Abandon(id) },
		StartAdapter: func(now time.Duration, id string, duration time.Duration) bool {
			return tryStart(now, limiter.PendingLoad{Key: id, Deadline: now + loadTimeLimit, Duration: duration, Adapter: true})
		},
		FinishAdapter: func(now time.Duration, id string) { e.loadLimiter.Finish(id, now) },
	}
}

func (e *emulation) rank(server string, predicted time.Duration) time.Duration {
	return e.policy.Rank(Candidate{
		Index: e.serverIndexes[server], ServerCount: len(e.serverIndexes), PriorLoads: e.decidedLoads, Predicted: predicted, Random: e.rng,
	})
}

func (e *emulation) view() planner.View {
	return planner.View{
		Now: e.now, Catalog: e.catalog, Fleet: &e.fleet, ShouldLead: true, LeaseValid: true,
		Alive:     func(string, string) bool { return true },
		DeadSince: func(_, _ string) (time.Duration, bool) { return 0, false },
	}
}

// execute executes the actions that the planner returns.
func (e *emulation) execute(actions []planner.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case planner.Get:
			e.callAfter(storeDelay, func() {
				result := storer.ResultOK
				if e.storedRecord.Revision == 0 {
					result = storer.ResultNotFound
				}
				e.execute(e.planner.HandleGet(e.view(), result, e.storedRecord))
			})
		case planner.Swap:
			e.callAfter(storeDelay, func() { e.swapRecord(a) })
		case planner.Send:
			e.callAfter(engineDelay, func() { e.sendOrder(a) })
		case planner.Poll:
			server := a.Server.Host.Server
			e.callAfter(engineDelay, func() { e.poll(server) })
		case planner.RecordChanged:
			e.markDraining()
		case planner.Forecast:
			e.forecast(a)
		case planner.Decision:
			e.decisions[a.Action]++
			if a.Action == "Load" {
				e.decidedLoads++
			}
		}
	}
}

func (e *emulation) forecast(f planner.Forecast) {
	q := e.queueOf(f.Deployment)
	q.readyAt = e.now + f.ReadyIn
	q.loadImpossible = f.Impossible
	if slots, _ := e.slots(q); slots > 0 {
		return
	}
	for _, id := range sortedKeys(q.byID) {
		if r := q.byID[id]; e.willMissDeadline(q, r) {
			q.waiting.Remove(id)
			delete(q.byID, id)
			e.recordRefusal(r)
		}
	}
}

// markDraining marks the replicas that are unloading according to the record, so that they get no new requests.
func (e *emulation) markDraining() {
	record, _ := e.planner.Record()
	for _, r := range record.Replicas {
		if replica, ok := e.fleet.Replica(r.ID); ok && r.State == planner.StateUnloading {
			replica.Draining = true
		}
	}
}

// poll reads an engine's report and passes it to the planner.
func (e *emulation) poll(server string) {
	sent := e.now - engineDelay
	report := e.engines[server].report()
	e.callAfter(engineDelay, func() {
		change := e.fleet.ApplyReport(server, report, sent)
		e.markDraining()
		for _, name := range change.Ready {
			q := e.queueOf(name)
			q.readyAt, q.loadImpossible = 0, false
			e.startWaiting(q)
		}
		e.execute(e.planner.HandlePoll(e.view(), server, true, sent, report))
	})
}

// pollAll polls the engines that changed since their last report.
func (e *emulation) pollAll() {
	for _, name := range e.serverNames {
		if e.engines[name].changed {
			e.poll(name)
		}
	}
	e.callAfter(pollInterval, e.pollAll)
}

func (e *emulation) sendOrder(a planner.Send) {
	e.fencingToken = max(e.fencingToken, a.Order.Fence)
	outcome := orderer.OutcomeStaleFence
	if !e.service.ChecksFencing || a.Order.Fence >= e.fencingToken {
		outcome = e.engines[a.Server.Host.Server].handleOrder(a.Order)
	}
	e.callAfter(engineDelay, func() {
		e.execute(e.planner.HandleOrder(e.view(), a.Order.OrderID, a.Server.Host.Server, outcome, e.fencingToken))
	})
}

// sendDemand sends the demand of the active queues to the placer.
func (e *emulation) sendDemand() {
	e.nextDemandAt = e.now + demandInterval
	e.demandPending = false
	var needs []planner.Need
	queues := slices.SortedFunc(maps.Keys(e.activeQueues), compareQueue)
	for _, q := range queues {
		needs = append(needs, q.demand(e.now)...)
		q.used = false
		if q.waiting.Len() == 0 && q.running == 0 && e.now >= q.coldDemandUntil {
			delete(e.activeQueues, q)
		}
	}
	e.demandSequence++
	e.planner.SetDemand(e.now, daemonName, instanceName, e.demandSequence, needs)
	e.execute(e.planner.Step(e.view()))
}

// scheduleDemand schedules the next sending of the demand as early as demandInterval allows.
func (e *emulation) scheduleDemand() {
	if e.demandPending {
		return
	}
	e.demandPending = true
	e.callAt(e.nextDemandAt, e.sendDemand)
}

func (e *emulation) swapRecord(s planner.Swap) {
	if s.Revision != e.storedRecord.Revision {
		e.execute(e.planner.HandleSwap(e.view(), s.Token, storer.ResultConflict, 0))
		return
	}
	e.recordWrites++
	e.storedRecord = storer.Entry{Value: s.Value, Revision: s.Revision + 1}
	e.execute(e.planner.HandleSwap(e.view(), s.Token, storer.ResultOK, e.storedRecord.Revision))
}

// tick runs a step of the planner, often while it has pending work. It skips most steps of an idle planner, as
// they only retire idle replicas.
func (e *emulation) tick() {
	e.idleTicks++
	if e.planner.HasPendingWork() || e.idleTicks >= idleTicksPerStep {
		e.idleTicks = 0
		e.execute(e.planner.Step(e.view()))
	}
	interval := idleInterval
	if e.planner.HasPendingWork() {
		interval = busyInterval
	}
	e.callAfter(interval, e.tick)
}

// repeatDemand sends the demand periodically while there are active queues.
func (e *emulation) repeatDemand() {
	if len(e.activeQueues) > 0 {
		e.scheduleDemand()
	}
	e.callAfter(demandRepeatInterval, e.repeatDemand)
}

package planner

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"samphirewharf/internal/backend/orderer"
	"samphirewharf/internal/config/cataloger"
	"samphirewharf/internal/decision/observer"
)

// sameZonePenalty is added to a server's score for each replica of the deployment in its zone.
const sameZonePenalty = 50 * time.Millisecond

// A choice is a candidate server for a new replica. victims are the replicas to evict from it first.
type choice struct {
	server *observer.Server
	tier   observer.Tier
	// fullLoadTime is the duration of the load at full speed, score the predicted duration with penalties.
	fullLoadTime time.Duration
	score        time.Duration
	// rank orders the servers with free memory; the lowest is chosen.
	rank         time.Duration
	victims      []Replica
	evictionCost float64
}

// decide adds replicas of deployments that requests wait for.
func (m *Machine) decide(v View, next Record, report func(Decision)) Record {
	m.expireEvictions(v.Now)
	for _, total := range m.demand.totals(v.Now) {
		if total.waiting() == 0 {
			continue
		}
		d, ok := v.Catalog.Deployment(total.deployment)
		if !ok || d.Service != m.Cell {
			continue
		}
		next = m.decideDeployment(v, next, total, d, report)
	}
	return next
}

func (m *Machine) decideDeployment(v View, next Record, total deploymentDemand, d *cataloger.Deployment, report func(Decision)) Record {
	serving, pending, ready := m.countReplicas(v, next, d)
	if pending > 0 || ready > 0 {
		m.forecastLoading(v, d, ready)
	}
	if !m.needsReplica(total, d, serving, pending) {
		return next
	}
	best, runnerUp := m.choose(v, next, d)
	switch {
	case best.server == nil:
		m.forecastImpossible(v, d, serving)
		return next
	case len(best.victims) > 0:
		if serving > 0 && !m.worthEvicting(v, best, d) {
			return next
		}
		return m.decideEviction(v, next, best, d, report)
	default:
		return m.decideLoad(v, next, total, d, best, runnerUp, report)
	}
}

// countReplicas returns the number of decided replicas that serve or will serve the deployment's current
// model version, and how many of these are pending and ready.
func (m *Machine) countReplicas(v View, next Record, d *cataloger.Deployment) (serving, pending, ready int) {
	for _, r := range next.Replicas {
		if r.Deployment != d.Name || r.State != StateDecided || r.ModelVersion != d.ModelVersion {
			continue
		}
		s, ok := v.Fleet.Server(r.Server)
		if !ok || !s.AcceptsWork() {
			continue
		}
		if m.orderLost(v, r) {
			continue
		}
		serving++
		view, ok := v.Fleet.Replica(r.ID)
		if ok && view.State == orderer.StateReady {
			ready++
		} else {
			pending++
		}
	}
	return serving, pending, ready
}

// orderLost reports whether a reservation may never become a replica, so that another one may be decided:
// no engine reports the replica, and its order was for another process to send or has an unknown outcome.
func (m *Machine) orderLost(v View, r Replica) bool {
	if _, ok := v.Fleet.Replica(r.ID); ok || m.seen[r.ID] {
		return false
	}
	if r.Instance != m.Instance {
		return true
	}
	o := m.loadOrders[r.ID]
	return o != nil && o.ended && o.outcome == orderer.OutcomeUnknown
}

// needsReplica reports whether another replica shortens the wait: there is none, or the running and
// waiting requests exceed the concurrency limits of the existing ones, and the waiting requests alone those
// of the pending ones.
func (m *Machine) needsReplica(total deploymentDemand, d *cataloger.Deployment, serving, pending int) bool {
	if serving >= max(1, d.MaxReplicas) {
		return false
	}
	if serving == 0 {
		return true
	}
	if pending > 0 {
		return total.waiting() > pending*d.MaxInFlight && serving*d.MaxInFlight < total.waiting()+total.running
	}
	return total.waiting()+total.running > serving*d.MaxInFlight
}

// choose returns the best server and the second best. If no server has enough free memory, the best is the
// one with the lowest eviction cost.
func (m *Machine) choose(v View, next Record, d *cataloger.Deployment) (best, runnerUp choice) {
	var fitting, evicting []choice
	for _, s := range v.Fleet.Servers(m.Cell) {
		if !m.usableForLoad(v, s) {
			continue
		}
		free := m.freeBytes(next, s, d.Name)
		c := choice{server: s, tier: s.Tier(d.Name)}
		c.fullLoadTime = fullLoadTime(d, c.tier)
		c.score = m.loadTime(v, d, c.tier) + sameZonePenalty*time.Duration(m.countInZone(v, next, d, s.Host.Zone))
		c.rank = c.score
		if m.Rank != nil {
			c.rank = m.Rank(s.Host.Server, c.score)
		}
		if free >= d.ReplicaBytes() {
			fitting = append(fitting, c)
			continue
		}
		c.victims, c.evictionCost = m.victims(v, next, s, d, d.ReplicaBytes()-free)
		if len(c.victims) > 0 {
			evicting = append(evicting, c)
		}
	}
	slices.SortStableFunc(fitting, func(a, b choice) int { return cmp.Compare(a.rank, b.rank) })
	slices.SortStableFunc(evicting, func(a, b choice) int { return cmp.Compare(a.evictionCost, b.evictionCost) })
	ranked := slices.Concat(fitting, evicting)
	if len(ranked) > 0 {
		best = ranked[0]
	}
	if len(ranked) > 1 {
		runnerUp = ranked[1]
	}
	return best, runnerUp
}

// usableForLoad reports whether a server may be chosen: it accepts work, the placer has polled its current
// engine process, and the engine has the record's fencing token if it checks fencing tokens.
func (m *Machine) usableForLoad(v View, s *observer.Server) bool {
	if !s.AcceptsWork() || !s.HasReport {
		return false
	}
	state, polled := m.polledState(s)
	if !polled || m.restarted(s, state) {
		return false
	}
	return !m.checksFencing(v.Catalog) || state.fence >= m.record.Fence
}

// freeBytes returns the accelerator memory that is neither reserved by the record, nor used by a replica
// that is not in the record, nor kept for another deployment after an eviction.
func (m *Machine) freeBytes(next Record, s *observer.Server, deployment string) int64 {
	free := min(s.Host.MemoryBytes, s.Report.MemoryBytes)
	for _, r := range next.Replicas {
		if r.Server == s.Host.Server {
			free -= r.Bytes
		}
	}
	for _, rr := range s.Report.Replicas {
		if _, decided := next.Replica(rr.Replica); !decided {
			free -= rr.Bytes
		}
	}
	for name, e := range m.evictions {
		if e.server == s.Host.Server && name != deployment {
			free -= e.bytes
		}
	}
	return free
}

func (m *Machine) countInZone(v View, next Record, d *cataloger.Deployment, zone string) int {
	count := 0
	for _, r := range next.Replicas {
		if r.Deployment != d.Name {
			continue
		}
		if s, ok := v.Fleet.Server(r.Server); ok && s.Host.Zone == zone {
			count++
		}
	}
	return count
}

func (m *Machine) loadTime(v View, d *cataloger.Deployment, tier observer.Tier) time.Duration {
	full := fullLoadTime(d, tier)
	if m.LoadLimits.Predict == nil {
		return full
	}
	return m.LoadLimits.Predict(v.Now, full, tier == observer.TierRemote)
}

// fullLoadTime returns the duration of a load at full speed.
func fullLoadTime(d *cataloger.Deployment, tier observer.Tier) time.Duration {
	switch tier {
	case observer.TierMemory:
		return d.LoadFromMemory.D()
	case observer.TierDisk:
		return d.LoadFromDisk.D()
	default:
		return d.Load.D()
	}
}

// victims returns the idle replicas of a server with the lowest eviction scores that together free enough
// memory, and the sum of their scores.
func (m *Machine) victims(v View, next Record, s *observer.Server, d *cataloger.Deployment, bytes int64) ([]Replica, float64) {
	type scoredReplica struct {
		replica Replica
		score   float64
	}
	var list []scoredReplica
	for _, r := range next.Replicas {
		if r.Server != s.Host.Server || r.Deployment == d.Name || r.State != StateDecided || !m.evictable(v, r) {
			continue
		}
		list = append(list, scoredReplica{r, m.evictionScore(v, r)})
	}
	slices.SortFunc(list, func(a, b scoredReplica) int {
		return cmp.Or(cmp.Compare(a.score, b.score), strings.Compare(a.replica.ID, b.replica.ID))
	})
	var victims []Replica
	var cost float64
	for _, c := range list {
		if bytes <= 0 {
			break
		}
		victims = append(victims, c.replica)
		cost += c.score
		bytes -= c.replica.Bytes
	}
	if bytes > 0 {
		return nil, math.Inf(1)
	}
	return victims, cost
}

func (m *Machine) evictable(v View, r Replica) bool {
	view, ok := v.Fleet.Replica(r.ID)
	if !ok || view.State != orderer.StateReady || view.Running+view.Waiting+view.InFlight > 0 {
		return false
	}
	return m.idleTime(v.Now, r) >= minIdleTime
}

func (m *Machine) evictionScore(v View, r Replica) float64 {
	d, ok := v.Catalog.Deployment(r.Deployment)
	if !ok || m.EvictionScore == nil {
		return 0
	}
	return m.EvictionScore(v.Now, d)
}

// worthEvicting reports whether another replica of a served deployment is worth its eviction cost.
func (m *Machine) worthEvicting(v View, c choice, d *cataloger.Deployment) bool {
	if m.EvictionScore == nil {
		return false
	}
	return c.evictionCost < m.EvictionScore(v.Now, d)
}

func (m *Machine) decideEviction(v View, next Record, c choice, d *cataloger.Deployment, report func(Decision)) Record {
	m.evictions[d.Name] = eviction{server: c.server.Host.Server, bytes: d.ReplicaBytes(), startedAt: v.Now}
	for _, r := range c.victims {
		r.State = StateUnloading
		next = next.WithReplica(r)
		report(Decision{
			Action: "Evict", Deployment: r.Deployment, Replica: r.ID, Server: r.Server,
			Reason: "memory is needed for " + d.Name, Score: c.evictionCost,
		})
	}
	return next
}

// decideLoad adds one replica if the limits of the weight store allow its load now.
func (m *Machine) decideLoad(v View, next Record, total deploymentDemand, d *cataloger.Deployment, best, runnerUp choice, report func(Decision)) Record {
	id := next.nextReplicaID()
	if !m.startLoad(v.Now, id, best.fullLoadTime, best.tier, total.urgent > 0) {
		m.emit(Forecast{Deployment: d.Name, ReadyIn: m.loadTime(v, d, best.tier)})
		return next
	}
	delete(m.evictions, d.Name)
	next = m.withNextReplica(next, d, best.server)
	decision := Decision{
		Action: "Load", Deployment: d.Name, Replica: id, Server: best.server.Host.Server,
		Reason:  fmt.Sprintf("checkpoint is in %s", best.tier),
		Score:   best.score.Seconds(),
		Waiting: total.waiting(),
	}
	if runnerUp.server != nil {
		decision.Other = runnerUp.server.Host.Server
		decision.OtherScore = runnerUp.score.Seconds()
	}
	report(decision)
	m.emit(Forecast{Deployment: d.Name, ReadyIn: best.score})
	return next
}

// startLoad reserves capacity of the weight store for the load of a replica and reports whether it could.
func (m *Machine) startLoad(now time.Duration, id string, full time.Duration, tier observer.Tier, urgent bool) bool {
	if m.LoadLimits.Start != nil && !m.LoadLimits.Start(now, id, full, tier == observer.TierRemote, urgent) {
		return false
	}
	m.startedLoads[id] = true
	return true
}

// withNextReplica returns the record with a new replica on a server.
func (m *Machine) withNextReplica(next Record, d *cataloger.Deployment, s *observer.Server) Record {
	id := next.nextReplicaID()
	next.Next++
	return next.WithReplica(Replica{
		ID:           id,
		Deployment:   d.Name,
		ModelVersion: d.ModelVersion,
		Server:       s.Host.Server,
		Bytes:        d.ReplicaBytes(),
		AdapterSlots: d.AdapterSlots,
		State:        StateDecided,
		Daemon:       m.Daemon,
		Instance:     m.Instance,
		Fence:        m.record.Fence,
	})
}

func (m *Machine) expireEvictions(now time.Duration) {
	for name, e := range m.evictions {
		if now-e.startedAt > evictionTTL {
			delete(m.evictions, name)
		}
	}
}

// forecastLoading forecasts the remaining load time of the first replica with a load order, unless a
// replica is ready.
func (m *Machine) forecastLoading(v View, d *cataloger.Deployment, ready int) {
	if ready > 0 {
		return
	}
	for _, r := range m.record.Replicas {
		o := m.loadOrders[r.ID]
		if r.Deployment != d.Name || o == nil {
			continue
		}
		s, ok := v.Fleet.Server(r.Server)
		if !ok {
			continue
		}
		remaining := m.loadTime(v, d, s.Tier(d.Name)) - (v.Now - o.sentAt)
		m.emit(Forecast{Deployment: d.Name, ReadyIn: max(0, remaining)})
		return
	}
}

func (m *Machine) forecastImpossible(v View, d *cataloger.Deployment, serving int) {
	if serving > 0 || !m.allServersUsable(v) {
		return
	}
	if _, waiting := m.evictions[d.Name]; waiting {
		return
	}
	m.emit(Forecast{Deployment: d.Name, ReadyIn: impossibleRetryDelay, Impossible: true})
}

// allServersUsable reports whether every server that accepts work is usable for a load.
func (m *Machine) allServersUsable(v View) bool {
	servers := v.Fleet.Servers(m.Cell)
	for _, s := range servers {
		if s.AcceptsWork() && !m.usableForLoad(v, s) {
			return false
		}
	}
	return len(servers) > 0
}

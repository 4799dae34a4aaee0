package conductor

import (
	"cmp"
	"math"
	"slices"
	"time"

	"samphirewharf/internal/decision/placer"
	"samphirewharf/internal/peer/messenger"
)

// A modelKey names a model of a service, or an adapter of it.
type modelKey struct {
	service string
	model   string
	adapter string
}

func (k modelKey) whole() modelKey { return modelKey{service: k.service, model: k.model} }

// A demandState is what this daemon's callers ask for, and, at the holder, what all daemons' callers do.
type demandState struct {
	// own counts arrivals and refusals since the last message.
	own      map[modelKey]*ownDemand
	absences []messenger.Absence
	// sentAt is when the holder was told last, soonAt when it has to be told of something new, 0 if there is nothing.
	sentAt time.Duration
	soonAt time.Duration

	// byDaemon and interest are kept at the holder only.
	byDaemon map[string]daemonDemand
	interest map[modelKey]*interest
}

type ownDemand struct {
	arrived int
	refused int
}

type daemonDemand struct {
	at     time.Duration
	demand messenger.Demand
}

// An interest is what is remembered of a model's callers.
type interest struct {
	rate      float64
	ratedAt   time.Duration
	refused   int
	refusedAt time.Duration
}

func newDemandState() demandState {
	return demandState{
		own:      make(map[modelKey]*ownDemand),
		byDaemon: make(map[string]daemonDemand),
		interest: make(map[modelKey]*interest),
	}
}

func (d *demandState) nextAt(m *Machine) time.Duration {
	if m.role.holder == nil {
		return never
	}
	next := d.sentAt + demandInterval
	if d.soonAt > 0 {
		next = min(next, d.soonAt)
	}
	return next
}

func (d *demandState) tellAll() { d.soonAt, d.sentAt = 0, 0 }

func (d *demandState) ownOf(k modelKey) *ownDemand {
	o, ok := d.own[k]
	if !ok {
		o = &ownDemand{}
		d.own[k] = o
	}
	return o
}

func keyOf(r *request) modelKey {
	return modelKey{service: r.Service, model: r.Model, adapter: r.Adapter}
}

func (m *Machine) noteArrival(r *request) {
	if r.engagesModel() {
		m.demand.ownOf(keyOf(r)).arrived++
	}
}

func (m *Machine) noteRefused(r *request) {
	if r.engagesModel() {
		m.demand.ownOf(keyOf(r)).refused++
		m.noteWaiting(r)
	}
}

// noteWaiting has the holder told soon that a request waits for a model.
func (m *Machine) noteWaiting(r *request) {
	if r.engagesModel() && m.demand.soonAt == 0 {
		m.demand.soonAt = m.now + demandSoon
	}
}

func (m *Machine) noteAbsent(s *server, r *request) {
	m.demand.absences = append(m.demand.absences, messenger.Absence{
		Server: s.entry.ID, StartedAt: s.entry.StartedAt, Model: r.Model, Adapter: r.Adapter,
	})
	m.noteWaiting(r)
}

// noteDown has the holder told that a server takes no connections.
func (m *Machine) noteDown(s *server, r *request) {
	m.demand.absences = append(m.demand.absences, messenger.Absence{Server: s.entry.ID, StartedAt: s.entry.StartedAt})
	m.noteWaiting(r)
}

// passDemand tells the holder what is asked for. The holder tells itself.
func (m *Machine) passDemand() {
	d := &m.demand
	if m.role.holder == nil || m.now < d.nextAt(m) {
		return
	}
	demand := m.ownDemand()
	d.sentAt, d.soonAt = m.now, 0
	if m.holdsRole() {
		m.takeDemand(m.settings.Self.Name, demand)
		return
	}
	holder, ok := m.daemons[m.role.holder.Name]
	if !ok || m.engineless() {
		return
	}
	message := m.message()
	message.Demand = &demand
	m.emit(SendPeer{Address: holder.PeerAddress, Message: message})
}

// engineless tells that no service has engines, so that there is nothing to place.
func (m *Machine) engineless() bool {
	if m.configuration == nil {
		return true
	}
	for _, s := range m.configuration.Services {
		if s.Engine != nil {
			return false
		}
	}
	return true
}

// ownDemand returns this daemon's demand and starts counting anew.
func (m *Machine) ownDemand() messenger.Demand {
	byKey := make(map[modelKey]*messenger.ModelDemand)
	of := func(k modelKey) *messenger.ModelDemand {
		d, ok := byKey[k]
		if !ok {
			d = &messenger.ModelDemand{Service: k.service, Model: k.model, Adapter: k.adapter, Slack: math.MaxInt64}
			byKey[k] = d
		}
		return d
	}
	for k, o := range m.demand.own {
		d := of(k)
		d.Arrived, d.Refused = o.arrived, o.refused
	}
	demand := messenger.Demand{InFlight: make(map[string]int), Suspects: m.suspects(true), Absences: m.demand.absences}
	if m.configuration != nil {
		demand.ConfigurationVersion = m.configuration.Version
	}
	for _, r := range m.requests {
		if !r.engagesModel() {
			continue
		}
		switch r.state {
		case stateQueued:
			d := of(keyOf(r))
			d.Waiting++
			d.Slack = min(d.Slack, r.firstBy-m.now)
		case stateRunning:
			of(keyOf(r)).Running++
			demand.InFlight[r.server.entry.ID]++
		case stateAnswered:
		}
	}
	for _, d := range byKey {
		demand.Models = append(demand.Models, *d)
	}
	slices.SortFunc(demand.Models, func(a, b messenger.ModelDemand) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Model, b.Model), cmp.Compare(a.Adapter, b.Adapter))
	})
	clear(m.demand.own)
	m.demand.absences = nil
	return demand
}

// takeDemand takes one daemon's demand at the holder.
func (m *Machine) takeDemand(daemon string, demand messenger.Demand) {
	m.demand.byDaemon[daemon] = daemonDemand{at: m.now, demand: demand}
	for _, d := range demand.Models {
		k := modelKey{service: d.Service, model: d.Model, adapter: d.Adapter}
		m.interestOf(k).take(m.now, d.Arrived, d.Refused)
		if k.adapter != "" {
			m.interestOf(k.whole()).take(m.now, d.Arrived, d.Refused)
		}
		if d.Waiting+d.Refused > 0 {
			m.placing.dirty = true
		}
	}
	for _, a := range demand.Absences {
		m.absenceReported(a)
	}
	m.mergeSuspects(demand.Suspects)
}

func (m *Machine) interestOf(k modelKey) *interest {
	i, ok := m.demand.interest[k]
	if !ok {
		i = &interest{ratedAt: m.now}
		m.demand.interest[k] = i
	}
	return i
}

// take counts arrivals into the rate, which forgets exponentially.
func (i *interest) take(now time.Duration, arrived, refused int) {
	i.rate = i.rateAt(now) + float64(arrived)/rateWeight.Seconds()
	i.ratedAt = now
	if refused > 0 {
		i.refused = i.refusedSince(now) + refused
		i.refusedAt = now
	}
}

func (i *interest) rateAt(now time.Duration) float64 {
	return i.rate * math.Exp(-float64(now-i.ratedAt)/float64(rateWeight))
}

func (i *interest) refusedSince(now time.Duration) int {
	if now > i.refusedAt+interestLife {
		return 0
	}
	return i.refused
}

// demands returns what the planner needs of all daemons' demand for a service.
func (m *Machine) demands(service string) []placer.Demand {
	byKey := make(map[modelKey]*placer.Demand)
	of := func(k modelKey) *placer.Demand {
		d, ok := byKey[k]
		if !ok {
			d = &placer.Demand{Model: k.model, Adapter: k.adapter}
			byKey[k] = d
		}
		return d
	}
	for k, i := range m.demand.interest {
		if k.service == service {
			d := of(k)
			d.Rate, d.Refused = i.rateAt(m.now), i.refusedSince(m.now)
		}
	}
	for _, dd := range m.demand.byDaemon {
		if m.now > dd.at+demandLife {
			continue
		}
		for _, d := range dd.demand.Models {
			if d.Service != service {
				continue
			}
			k := modelKey{service: service, model: d.Model, adapter: d.Adapter}
			for _, each := range uniqueKeys(k) {
				of(each).Waiting += d.Waiting
				of(each).Running += d.Running
			}
		}
	}
	list := make([]placer.Demand, 0, len(byKey))
	for _, d := range byKey {
		list = append(list, *d)
	}
	slices.SortFunc(list, func(a, b placer.Demand) int {
		return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Adapter, b.Adapter))
	})
	return list
}

// uniqueKeys returns the key and, for an adapter, that of its model.
func uniqueKeys(k modelKey) []modelKey {
	if k.adapter == "" {
		return []modelKey{k}
	}
	return []modelKey{k, k.whole()}
}

// sumInFlight returns the requests of all daemons by server.
func (m *Machine) sumInFlight() map[string]int {
	sum := make(map[string]int)
	for _, dd := range m.demand.byDaemon {
		if m.now > dd.at+demandLife {
			continue
		}
		for server, n := range dd.demand.InFlight {
			sum[server] += n
		}
	}
	return sum
}

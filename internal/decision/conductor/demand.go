package conductor

import (
	"cmp"
	"math"
	"slices"
	"time"

	"samphirewharf/internal/decision/placer"
	"samphirewharf/internal/peer/messenger"
)

// A modelKey identifies a model of a service, or an adapter of it.
type modelKey struct {
	service string
	model   string
	adapter string
	// softwareVersion is the version at which the requests have to go on, valid if pinned.
	softwareVersion string
	pinned          bool
}

func (k modelKey) withoutAdapter() modelKey {
	k.adapter = ""
	return k
}

// unpinned returns the key for requests to servers of any version.
func (k modelKey) unpinned() modelKey {
	k.softwareVersion, k.pinned = "", false
	return k
}

// A demandState is the demand of this daemon's callers and, on the leader, of all daemons' callers.
type demandState struct {
	// own counts arrivals and refusals since the last report.
	own      map[modelKey]*ownDemand
	absences []messenger.Absence
	// rateLimits holds the rates of servers to report.
	rateLimits map[string]messenger.RateLimit
	// sentAt is when demand was last reported to the leader, urgentAt when new demand has to be reported, 0 if there
	// is none.
	sentAt   time.Duration
	urgentAt time.Duration

	// byDaemon and history are used only on the leader.
	byDaemon map[string]daemonDemand
	history  map[modelKey]*placer.History
}

type ownDemand struct {
	arrived int
	refused int
}

type daemonDemand struct {
	receivedAt time.Duration
	demand     messenger.Demand
}

func newDemandState() demandState {
	return demandState{
		own:        make(map[modelKey]*ownDemand),
		rateLimits: make(map[string]messenger.RateLimit),
		byDaemon:   make(map[string]daemonDemand),
		history:    make(map[modelKey]*placer.History),
	}
}

func (d *demandState) nextAt(m *Machine) time.Duration {
	if m.election.Leader() == nil {
		return never
	}
	next := d.sentAt + demandInterval
	if d.urgentAt > 0 {
		next = min(next, d.urgentAt)
	}
	return next
}

// reportSoon schedules an early report to the leader.
func (d *demandState) reportSoon(now time.Duration) {
	if d.urgentAt == 0 {
		d.urgentAt = now + urgentDemandDelay
	}
}

func (d *demandState) reportNow() { d.urgentAt, d.sentAt = 0, 0 }

func (d *demandState) ownOf(k modelKey) *ownDemand {
	o, ok := d.own[k]
	if !ok {
		o = &ownDemand{}
		d.own[k] = o
	}
	return o
}

// keyOf returns the key of what a request needs. While its service has one version, servers of any version will do.
func (m *Machine) keyOf(r *request) modelKey {
	k := modelKey{service: r.Service, model: r.Model, adapter: r.Adapter, softwareVersion: r.softwareVersion, pinned: r.pinned}
	if !m.versionsMixed(r.Service) {
		return k.unpinned()
	}
	return k
}

func (m *Machine) countArrival(r *request) {
	if r.needsModel() {
		m.demand.ownOf(m.keyOf(r)).arrived++
	}
}

func (m *Machine) countRefusal(r *request) {
	if r.needsModel() {
		m.demand.ownOf(m.keyOf(r)).refused++
		m.expediteDemand(r)
	}
}

// expediteDemand schedules an early report to the leader because a request waits for a model.
func (m *Machine) expediteDemand(r *request) {
	if r.needsModel() {
		m.demand.reportSoon(m.now)
	}
}

func (m *Machine) reportAbsent(s *server, r *request) {
	m.demand.absences = append(m.demand.absences, messenger.Absence{
		Server: s.entry.ID, StartedAt: s.entry.StartedAt, Model: r.Model, Adapter: r.Adapter,
	})
	m.expediteDemand(r)
}

// reportDown has the leader informed that a server accepts no connections.
func (m *Machine) reportDown(s *server) {
	if m.engineSettings(s.entry.Service) == nil {
		return
	}
	m.demand.absences = append(m.demand.absences, messenger.Absence{Server: s.entry.ID, StartedAt: s.entry.StartedAt})
	m.demand.reportSoon(m.now)
}

// isServerAbsence reports whether an absence is that of a whole server.
func isServerAbsence(a messenger.Absence) bool { return a.Model == "" }

// tickDemand reports this daemon's demand to the leader, which may be this daemon itself.
func (m *Machine) tickDemand() {
	d := &m.demand
	if m.election.Leader() == nil || m.now < d.nextAt(m) {
		return
	}
	demand := m.ownDemand()
	d.sentAt, d.urgentAt = m.now, 0
	if m.isLeader() {
		m.demandReceived(m.settings.Self.Name, demand)
		return
	}
	leader, ok := m.daemons[m.election.Leader().Name]
	if !ok || m.lacksEngines() {
		return
	}
	message := m.newMessage()
	message.Demand = &demand
	m.emit(SendPeer{Address: leader.PeerAddress, Message: message})
}

// lacksEngines reports whether no service has engines, so that there is nothing to place.
func (m *Machine) lacksEngines() bool {
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

// ownDemand returns this daemon's demand and resets its counts.
func (m *Machine) ownDemand() messenger.Demand {
	byKey := make(map[modelKey]*messenger.ModelDemand)
	entryFor := func(k modelKey) *messenger.ModelDemand {
		d, ok := byKey[k]
		if !ok {
			d = &messenger.ModelDemand{Service: k.service, Model: k.model, Adapter: k.adapter, SoftwareVersion: k.softwareVersion, Pinned: k.pinned, Slack: math.MaxInt64}
			byKey[k] = d
		}
		return d
	}
	for k, o := range m.demand.own {
		d := entryFor(k)
		d.Arrived, d.Refused = o.arrived, o.refused
	}
	demand := messenger.Demand{InFlight: make(map[string]int), Absences: m.demand.absences, RateLimits: m.takeRateLimitReports()}
	if m.configuration != nil {
		demand.ConfigurationVersion = m.configuration.Version
	}
	for _, r := range m.requests {
		if !r.needsModel() || r.peer != "" {
			continue
		}
		switch r.state {
		case stateQueued:
			d := entryFor(m.keyOf(r))
			d.Waiting++
			d.Slack = min(d.Slack, r.firstDeadline-m.now)
		case stateRunning:
			entryFor(m.keyOf(r).unpinned()).Running++
			demand.InFlight[r.server.entry.ID]++
		case stateAnswered, stateAsking:
		}
	}
	for _, d := range byKey {
		demand.Models = append(demand.Models, *d)
	}
	slices.SortFunc(demand.Models, func(a, b messenger.ModelDemand) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Model, b.Model), cmp.Compare(a.Adapter, b.Adapter), cmp.Compare(a.SoftwareVersion, b.SoftwareVersion))
	})
	clear(m.demand.own)
	m.demand.absences = nil
	return demand
}

// demandReceived handles one daemon's demand on the leader.
func (m *Machine) demandReceived(daemon string, demand messenger.Demand) {
	m.demand.byDaemon[daemon] = daemonDemand{receivedAt: m.now, demand: demand}
	for _, d := range demand.Models {
		pinned := modelKey{service: d.Service, model: d.Model, adapter: d.Adapter, softwareVersion: d.SoftwareVersion, pinned: d.Pinned}
		k := pinned.unpinned()
		m.historyOf(k).Add(m.now, d.Arrived, d.Refused)
		if k.adapter != "" {
			m.historyOf(k.withoutAdapter()).Add(m.now, d.Arrived, d.Refused)
		}
		if d.Pinned && d.Refused > 0 {
			m.historyOf(pinned).Add(m.now, 0, d.Refused)
		}
		if d.Waiting+d.Refused > 0 {
			m.placement.dirty = true
		}
	}
	for _, a := range demand.Absences {
		m.absenceReported(a)
	}
	m.mergeSuspects(demand.Suspects)
	m.rateLimitsReported(demand.RateLimits)
}

func (m *Machine) historyOf(k modelKey) *placer.History {
	h, ok := m.demand.history[k]
	if !ok {
		h = placer.NewHistory(m.now)
		m.demand.history[k] = h
	}
	return h
}

// placerDemands returns all daemons' demand for a service as input of placer.Plan.
func (m *Machine) placerDemands(service string) []placer.Demand {
	byKey := make(map[modelKey]*placer.Demand)
	entryFor := func(k modelKey) *placer.Demand {
		d, ok := byKey[k]
		if !ok {
			d = &placer.Demand{Model: k.model, Adapter: k.adapter}
			byKey[k] = d
		}
		return d
	}
	for k, history := range m.demand.history {
		if k.service == service && !k.pinned {
			d := entryFor(k)
			d.Rate, d.Refused = history.Rate(m.now), history.RecentRefusals(m.now)
		}
	}
	for _, reported := range m.demand.byDaemon {
		if m.now > reported.receivedAt+demandTTL {
			continue
		}
		for _, d := range reported.demand.Models {
			if d.Service != service {
				continue
			}
			k := modelKey{service: service, model: d.Model, adapter: d.Adapter}
			for _, key := range keyAndModel(k) {
				entryFor(key).Waiting += d.Waiting
				entryFor(key).Running += d.Running
			}
		}
	}
	list := make([]placer.Demand, 0, len(byKey))
	for _, d := range byKey {
		list = append(list, *d)
	}
	slices.SortFunc(list, placer.Demand.Compare)
	return list
}

// keyAndModel returns the key and, for an adapter, the key of its model as well.
func keyAndModel(k modelKey) []modelKey {
	if k.adapter == "" {
		return []modelKey{k}
	}
	return []modelKey{k, k.withoutAdapter()}
}

// sumInFlight returns the number of running requests of all daemons by server.
func (m *Machine) sumInFlight() map[string]int {
	sum := make(map[string]int)
	for _, reported := range m.demand.byDaemon {
		if m.now > reported.receivedAt+demandTTL {
			continue
		}
		for server, n := range reported.demand.InFlight {
			sum[server] += n
		}
	}
	return sum
}

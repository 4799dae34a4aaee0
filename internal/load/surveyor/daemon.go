package surveyor

import (
	"fmt"
	"slices"
	"time"

	"samphirewharf/internal/backend/orderer"
	"samphirewharf/internal/config/cataloger"
	"samphirewharf/internal/decision/assigner"
	"samphirewharf/internal/decision/planner"
	"samphirewharf/internal/decision/reducer"
	"samphirewharf/internal/decision/tracker"
	"samphirewharf/internal/external/lister"
	"samphirewharf/internal/external/storer"
	"samphirewharf/internal/peer/messenger"
)

const (
	surveySeed = 1
	// requestDuration is how long a request runs at its backend server.
	requestDuration = 500 * time.Millisecond
	// answerBytes is the size of the response to a non-idempotent request.
	answerBytes = 200
	// startTime is the time of the surveyed daemon's first event.
	startTime = time.Second
)

// startWall is the wall clock time at which virtual time is zero.
var startWall = time.Unix(1_800_000_000, 0)

// A daemon is one real reducer in virtual time, surrounded by fakes that count calls. The other daemons of its
// cells are fakes that send the messages of a daemon in a steady state.
type daemon struct {
	size Size
	// self is the registration of the surveyed daemon.
	self    tracker.Daemon
	machine *reducer.Machine
	store   store
	traffic trafficCounts
	now     time.Duration
	// events are the scheduled events.
	events eventQueue
	// peers are the other daemons.
	peers []tracker.Daemon
	// cells are the services that the surveyed daemon serves.
	cells []string
	// cellMembers contains the daemons of each cell, pollers the daemon that polls each server. Both are computed
	// on first use.
	cellMembers map[string][]string
	pollers     map[string]string
	hosts       map[string][]lister.Host
	replicas    map[string][]orderer.ReplicaReport
	sequence    int64
	lastRequest reducer.RequestID
	models      []string
	// stepCount is the number of steps, processorTime the time that they took.
	stepCount     int
	processorTime time.Duration
	// dispatched and refused count requests by the result of their routing.
	dispatched int
	refused    int
}

// newDaemon returns a daemon that has started and watches its cells.
func newDaemon(size Size) *daemon {
	d := &daemon{
		size:     size,
		traffic:  make(trafficCounts),
		now:      startTime,
		hosts:    make(map[string][]lister.Host),
		replicas: make(map[string][]orderer.ReplicaReport),
	}
	d.registerPeers()
	d.findCells()
	d.writePlacements()
	d.machine = reducer.New(reducer.Settings{
		Daemon: d.self.ID, Instance: d.self.Instance, Address: d.self.Address, Zone: zoneName, Region: regionName, Seed: surveySeed,
	})
	d.step(reducer.ConfigurationLoaded{Catalog: cataloger.NewCatalog(size.configuration())})
	d.run(2 * time.Second)
	d.schedulePeers()
	d.run(5 * time.Second)
	return d
}

// registerPeers stores the registrations of all daemons but the surveyed one.
func (d *daemon) registerPeers() {
	number := d.selectSurveyed()
	for i := range d.size.Daemons {
		peer := newPeer(i)
		if i == number {
			d.self = peer
			continue
		}
		value, err := peer.Encode()
		if err != nil {
			continue
		}
		d.store.put(peer.Key(), value)
		d.peers = append(d.peers, peer)
	}
}

// selectSurveyed returns the number of the daemon to survey: the first of those that serve the fewest cells, but at
// least one, and that are a placer or not, as the size demands.
func (d *daemon) selectSurveyed() int {
	served := make(map[string]int)
	placers := make(map[string]bool)
	for i := range d.size.Services {
		members := d.members(serviceName(i))
		placers[members[0]] = true
		for _, id := range members {
			served[id]++
		}
	}
	best, fewest := 0, d.size.Services+1
	for i := range d.size.Daemons {
		id := newPeer(i).ID
		if n := served[id]; n > 0 && n < fewest && (placers[id] == d.size.Placer || d.size.Daemons == 1) {
			best, fewest = i, n
		}
	}
	return best
}

// findCells sets the cells that the surveyed daemon serves, and their models.
func (d *daemon) findCells() {
	for i := range d.size.Services {
		name := serviceName(i)
		if slices.Contains(d.members(name), d.self.ID) {
			d.cells = append(d.cells, name)
			d.models = append(d.models, d.size.models(name)...)
		}
	}
}

// members returns the IDs of the daemons that serve a cell in order of preference.
func (d *daemon) members(cell string) []string {
	if d.cellMembers == nil {
		ids := make([]string, 0, d.size.Daemons)
		for i := range d.size.Daemons {
			ids = append(ids, newPeer(i).ID)
		}
		names := make([]string, 0, d.size.Services)
		for i := range d.size.Services {
			names = append(names, serviceName(i))
		}
		d.cellMembers = assigner.Spread(names, ids, tracker.DaemonsPerCell)
	}
	return d.cellMembers[cell]
}

// writePlacements stores the placement records of the daemon's cells and adds their replicas to the engines.
func (d *daemon) writePlacements() {
	if d.size.Plain {
		return
	}
	for _, cell := range d.cells {
		record := planner.Record{Cell: cell, Fence: 1, Token: "token"}
		record.Placer = d.members(cell)[0]
		record.Instance = d.self.Instance
		for _, p := range d.peers {
			if p.ID == record.Placer {
				record.Instance = p.Instance
			}
		}
		models := d.size.models(cell)
		for i, h := range d.size.hosts(cell) {
			for r := range d.size.Replicas {
				record = record.WithReplica(d.replica(record, h.Server, models[(i+r)%len(models)], i*d.size.Replicas+r))
			}
		}
		d.store.put("cells/"+cell+"/placement", record.Encode())
	}
}

// replica returns a decided replica and makes its server report it as ready.
func (d *daemon) replica(record planner.Record, server, model string, number int) planner.Replica {
	id := fmt.Sprintf("%s.1.%d", record.Cell, number)
	d.replicas[server] = append(d.replicas[server], orderer.ReplicaReport{
		Replica: id, Deployment: model, ModelVersion: "1", State: orderer.StateReady, Bytes: modelBytes + 4*adapterBytes,
	})
	return planner.Replica{
		ID: id, Deployment: model, ModelVersion: "1", Server: server, Bytes: modelBytes + 4*adapterBytes, AdapterSlots: 4,
		State: planner.StateDecided, Instance: record.Instance, Fence: 1,
	}
}

func newPeer(number int) tracker.Daemon {
	return tracker.Daemon{
		ID:       fmt.Sprintf("daemon-%03d", number),
		Instance: fmt.Sprintf("0193a1b2-0000-7000-8000-%012x", number),
		Address:  fmt.Sprintf("10.1.%d.%d:8080", number/256, number%256),
		Zone:     zoneName,
		Region:   regionName,
	}
}

// schedulePeers schedules the heartbeats and reports of the daemons that share a cell with the surveyed one.
func (d *daemon) schedulePeers() {
	sharesCell := make(map[string]bool)
	for _, cell := range d.cells {
		for _, id := range d.members(cell) {
			sharesCell[id] = true
		}
	}
	for i, p := range d.peers {
		if sharesCell[p.ID] {
			d.events.add(d.now+time.Duration(i%97)*10*time.Millisecond, peerTick{p})
		}
	}
}

// run advances virtual time by a duration and handles the events in it.
func (d *daemon) run(duration time.Duration) {
	end := d.now + duration
	for {
		nextWake := min(end, max(d.machine.NextWake(), d.now+time.Millisecond))
		at, event, ok := d.events.next(nextWake)
		if !ok {
			d.now = nextWake
			if d.now >= end {
				return
			}
			d.step(reducer.Ticked{})
			continue
		}
		d.now = max(d.now, at)
		d.handle(event)
	}
}

// handle handles a scheduled event: one for the reducer, or one of the fakes.
func (d *daemon) handle(event any) {
	switch t := event.(type) {
	case peerTick:
		d.receiveFromPeer(t.peer)
		d.events.add(d.now+tracker.HeartbeatInterval, t)
	case requestTick:
		d.sendRequest(t.number)
	case reducer.Event:
		d.step(t)
	}
}

// step passes an event to the reducer and executes the resulting effects.
func (d *daemon) step(event reducer.Event) {
	d.traffic.countEvent(event)
	moment := reducer.Moment{Monotonic: d.now, Wall: startWall.Add(d.now)}
	before := time.Now()
	effects := d.machine.Step(moment, event)
	d.processorTime += time.Since(before)
	d.stepCount++
	identity := messenger.Message{From: d.self.ID, Instance: d.self.Instance, Address: d.self.Address, Zone: zoneName}
	for _, effect := range effects {
		d.traffic.countEffect(effect, identity)
		d.execute(effect)
	}
}

// execute schedules the event that reports the result of an effect.
func (d *daemon) execute(effect reducer.Effect) {
	at := d.now + time.Millisecond
	if event := d.store.execute(effect); event != nil {
		d.events.add(at, event)
		return
	}
	switch e := effect.(type) {
	case reducer.LeaseRenew:
		d.events.add(at, reducer.LeaseRenewed{SentAt: d.now, Result: storer.ResultOK})
	case reducer.ListHosts:
		d.listHosts(e, at)
	case reducer.PollServer:
		d.poll(e, at)
	case reducer.Dispatch:
		d.dispatched++
		d.events.add(at, reducer.AttemptStarted{Request: e.Request, Attempt: e.Attempt})
		d.events.add(d.now+requestDuration, reducer.AttemptEnded{
			Request: e.Request, Attempt: e.Attempt, Outcome: reducer.AttemptDone, Status: 200, Answer: make([]byte, answerBytes),
		})
	case reducer.Refuse:
		d.refused++
	case reducer.LoadConfiguration:
		d.events.add(at, reducer.ConfigurationLoaded{})
	}
}

func (d *daemon) listHosts(e reducer.ListHosts, at time.Duration) {
	_, listed := d.hosts[e.Service]
	if listed {
		d.events.add(at, reducer.HostsListed{Service: e.Service, OK: true, Unchanged: true})
		return
	}
	hosts := d.size.hosts(e.Service)
	d.hosts[e.Service] = hosts
	d.events.add(at, reducer.HostsListed{Service: e.Service, OK: true, Hosts: hosts})
}

// poll responds to a poll. All checkpoints are in the servers' memory, so that the placer doesn't preload any.
func (d *daemon) poll(e reducer.PollServer, at time.Duration) {
	report := d.report(e.Server)
	if e.Checkpoints != report.CheckpointsVersion {
		report.Checkpoints = &orderer.Checkpoints{Memory: d.models}
	}
	d.events.add(at, reducer.ServerPolled{Server: e.Server, OK: true, SentAt: d.now, Report: report})
}

// report returns a server's next report. The load varies between reports.
func (d *daemon) report(server string) orderer.Report {
	d.sequence++
	replicas := slices.Clone(d.replicas[server])
	for i := range replicas {
		replicas[i].Running = int(d.sequence) % 7
	}
	return report(d.host(server), d.sequence, replicas)
}

func (d *daemon) host(server string) lister.Host {
	for _, hosts := range d.hosts {
		for _, h := range hosts {
			if h.Server == server {
				return h
			}
		}
	}
	return lister.Host{Server: server}
}

// receiveFromPeer delivers a peer's heartbeat to the surveyed daemon, and the reports of the servers that the
// peer polls.
func (d *daemon) receiveFromPeer(peer tracker.Daemon) {
	m := messenger.Message{From: peer.ID, Instance: peer.Instance, Address: peer.Address, Zone: peer.Zone}
	heartbeat := m
	heartbeat.Heartbeat = &messenger.Heartbeat{ConfigurationVersion: 1, Placements: map[string]int64{}, InFlight: 10}
	d.receive(heartbeat)
	for _, cell := range d.cells {
		members := d.members(cell)
		if !slices.Contains(members, peer.ID) || d.size.Plain {
			continue
		}
		reports := m
		for _, h := range d.hosts[cell] {
			if d.poller(cell, h.Server) == peer.ID {
				reports.Reports = append(reports.Reports, messenger.ServerReport{Server: h.Server, Age: 10 * time.Millisecond, Report: d.report(h.Server)})
			}
		}
		if len(reports.Reports) > 0 {
			d.receive(reports)
		}
	}
}

// poller returns the daemon that polls a server of a cell.
func (d *daemon) poller(cell, server string) string {
	if d.pollers == nil {
		d.pollers = make(map[string]string)
	}
	if _, ok := d.pollers[server]; !ok {
		var servers []string
		for _, h := range d.size.hosts(cell) {
			servers = append(servers, h.Server)
		}
		for name, picked := range assigner.Spread(servers, d.members(cell), 1) {
			d.pollers[name] = picked[0]
		}
	}
	return d.pollers[server]
}

func (d *daemon) receive(m messenger.Message) {
	d.traffic.add(TrafficPeersIn, messageBytes(m, m))
	d.step(reducer.PeerReceived{Message: m})
}

// startRequests starts the requests, if the size has a request rate.
func (d *daemon) startRequests() {
	if d.size.RequestsPerSecond > 0 {
		d.events.add(d.now, requestTick{1})
	}
}

// sendRequest delivers a request to the daemon and schedules the next one.
func (d *daemon) sendRequest(number int) {
	d.lastRequest++
	arrived := reducer.RequestArrived{
		Request: d.lastRequest, ID: fmt.Sprint(number), Method: "POST", Path: "/x", Urgent: true, BodyHash: uint64(number),
	}
	if d.size.Plain {
		arrived.Plain = true
		arrived.Target = d.cells[number%len(d.cells)]
		arrived.Key = fmt.Sprintf("0193a1b2-0000-4000-8000-%012x", number)
	} else {
		arrived.Target = d.models[number%len(d.models)]
	}
	d.step(arrived)
	d.events.add(d.now+time.Duration(float64(time.Second)/d.size.RequestsPerSecond), requestTick{number + 1})
}

// resetCounters sets all counters to zero.
func (d *daemon) resetCounters() {
	d.traffic = make(trafficCounts)
	d.stepCount = 0
	d.processorTime = 0
	d.dispatched = 0
	d.refused = 0
}

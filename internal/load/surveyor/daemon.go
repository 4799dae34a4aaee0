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
	// requestLife is how long a request runs at its backend server.
	requestLife = 500 * time.Millisecond
	// answerBytes is the size of the answer to a request that must not be repeated.
	answerBytes = 200
	// startTime is when the surveyed daemon gets its first event.
	startTime = time.Second
)

// startWall is the wall clock's time at the process's start.
var startWall = time.Unix(1_800_000_000, 0)

// A daemon is one real reducer in virtual time, with counting fakes for all that is around it. The other
// daemons of its cells are fakes that send what a daemon sends while nothing changes.
type daemon struct {
	size Size
	// self describes the surveyed daemon.
	self    tracker.Daemon
	machine *reducer.Machine
	store   store
	traffic tally
	now     time.Duration
	// events are those that are due, ordered by time.
	events queue
	// peers are the other daemons.
	peers []tracker.Daemon
	// cells are the services that the surveyed daemon serves.
	cells []string
	// table holds the daemons of each service, owners the daemon that polls each server, once they were asked for.
	table    map[string][]string
	owners   map[string]string
	hosts    map[string][]lister.Host
	replicas map[string][]orderer.ReplicaReport
	sequence int64
	requests reducer.RequestID
	models   []string
	// steps and spent are how many steps were taken and the processor time that they took.
	steps int
	spent time.Duration
	// dispatched and refused count the ends of routing.
	dispatched int
	refused    int
}

// newDaemon returns a daemon that has started and follows its cells.
func newDaemon(size Size) *daemon {
	d := &daemon{
		size:     size,
		traffic:  make(tally),
		now:      startTime,
		hosts:    make(map[string][]lister.Host),
		replicas: make(map[string][]orderer.ReplicaReport),
	}
	d.register()
	d.findCells()
	d.place()
	d.machine = reducer.New(reducer.Settings{
		Daemon: d.self.ID, Instance: d.self.Instance, Address: d.self.Address, Zone: zoneName, Region: regionName, Seed: surveySeed,
	})
	d.step(reducer.ConfigurationLoaded{Catalog: cataloger.NewCatalog(size.configuration())})
	d.run(2 * time.Second)
	d.schedulePeers()
	d.run(5 * time.Second)
	return d
}

// register puts the keys of all daemons but the surveyed one into the store.
func (d *daemon) register() {
	number := d.pickSelf()
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

// pickSelf returns the number of the first daemon that serves the fewest cells above none, and that is a placer
// of one or of none, as the size says.
func (d *daemon) pickSelf() int {
	served := make(map[string]int)
	placing := make(map[string]bool)
	for i := range d.size.Services {
		members := d.members(serviceName(i))
		placing[members[0]] = true
		for _, id := range members {
			served[id]++
		}
	}
	best, fewest := 0, d.size.Services+1
	for i := range d.size.Daemons {
		id := newPeer(i).ID
		if n := served[id]; n > 0 && n < fewest && (placing[id] == d.size.Placer || d.size.Daemons == 1) {
			best, fewest = i, n
		}
	}
	return best
}

// findCells notes which cells the daemon serves.
func (d *daemon) findCells() {
	for i := range d.size.Services {
		name := serviceName(i)
		if slices.Contains(d.members(name), d.self.ID) {
			d.cells = append(d.cells, name)
			d.models = append(d.models, d.size.models(name)...)
		}
	}
}

// members returns the IDs of the daemons that serve a cell, the first choice first.
func (d *daemon) members(cell string) []string {
	if d.table == nil {
		ids := make([]string, 0, d.size.Daemons)
		for i := range d.size.Daemons {
			ids = append(ids, newPeer(i).ID)
		}
		names := make([]string, 0, d.size.Services)
		for i := range d.size.Services {
			names = append(names, serviceName(i))
		}
		d.table = assigner.Spread(names, ids, tracker.DaemonsPerCell)
	}
	return d.table[cell]
}

// place writes the placement records of the daemon's cells, and makes the engines hold what they say.
func (d *daemon) place() {
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

// replica returns a decided replica, which its server reports as ready.
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

// schedulePeers makes the daemons that share a cell send their heartbeats and reports.
func (d *daemon) schedulePeers() {
	shares := make(map[string]bool)
	for _, cell := range d.cells {
		for _, id := range d.members(cell) {
			shares[id] = true
		}
	}
	for i, p := range d.peers {
		if shares[p.ID] {
			d.events.add(d.now+time.Duration(i%97)*10*time.Millisecond, peerTurn{p})
		}
	}
}

// run lets virtual time pass.
func (d *daemon) run(over time.Duration) {
	end := d.now + over
	for {
		wake := min(end, max(d.machine.NextWake(), d.now+time.Millisecond))
		at, event, ok := d.events.next(wake)
		if !ok {
			d.now = wake
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

// handle takes what is due: an event for the reducer, or a turn of one of the fakes.
func (d *daemon) handle(due any) {
	switch t := due.(type) {
	case peerTurn:
		d.peerSends(t.peer)
		d.events.add(d.now+tracker.HeartbeatInterval, t)
	case requestTurn:
		d.sendRequest(t.number)
	case reducer.Event:
		d.step(t)
	}
}

// step gives the reducer an event and carries its effects out.
func (d *daemon) step(event reducer.Event) {
	d.traffic.answered(event)
	moment := reducer.Moment{Since: d.now, Wall: startWall.Add(d.now)}
	before := time.Now()
	effects := d.machine.Step(moment, event)
	d.spent += time.Since(before)
	d.steps++
	identity := messenger.Message{From: d.self.ID, Instance: d.self.Instance, Address: d.self.Address, Zone: zoneName}
	for _, effect := range effects {
		d.traffic.sent(effect, identity)
		d.answer(effect)
	}
}

// answer schedules the event that an effect ends in.
func (d *daemon) answer(effect reducer.Effect) {
	soon := d.now + time.Millisecond
	if event := d.store.answer(effect); event != nil {
		d.events.add(soon, event)
		return
	}
	switch e := effect.(type) {
	case reducer.LeaseRenew:
		d.events.add(soon, reducer.LeaseRenewed{SentAt: d.now, Result: storer.ResultOK})
	case reducer.ListHosts:
		d.listHosts(e, soon)
	case reducer.PollServer:
		d.poll(e, soon)
	case reducer.Dispatch:
		d.dispatched++
		d.events.add(soon, reducer.AttemptStarted{Request: e.Request, Attempt: e.Attempt})
		d.events.add(d.now+requestLife, reducer.AttemptEnded{
			Request: e.Request, Attempt: e.Attempt, Outcome: reducer.AttemptDone, Status: 200, Answer: make([]byte, answerBytes),
		})
	case reducer.Refuse:
		d.refused++
	case reducer.LoadConfiguration:
		d.events.add(soon, reducer.ConfigurationLoaded{})
	}
}

func (d *daemon) listHosts(e reducer.ListHosts, at time.Duration) {
	_, known := d.hosts[e.Service]
	if known {
		d.events.add(at, reducer.HostsListed{Service: e.Service, OK: true, Unchanged: true})
		return
	}
	hosts := d.size.hosts(e.Service)
	d.hosts[e.Service] = hosts
	d.events.add(at, reducer.HostsListed{Service: e.Service, OK: true, Hosts: hosts})
}

// poll answers a poll. All checkpoints are in the servers' memory, so that the placer brings none there.
func (d *daemon) poll(e reducer.PollServer, at time.Duration) {
	report := d.report(e.Server)
	if e.Checkpoints != report.CheckpointsVersion {
		report.Checkpoints = &orderer.Checkpoints{Memory: d.models}
	}
	d.events.add(at, reducer.ServerPolled{Server: e.Server, OK: true, SentAt: d.now, Report: report})
}

// report returns what a server reports now. Its load varies from report to report.
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

// peerSends gives the daemon a peer's heartbeat, and the reports of the servers assigned to that peer.
func (d *daemon) peerSends(peer tracker.Daemon) {
	m := messenger.Message{From: peer.ID, Instance: peer.Instance, Address: peer.Address, Zone: peer.Zone}
	beat := m
	beat.Heartbeat = &messenger.Heartbeat{ConfigurationVersion: 1, Placements: map[string]int64{}, InFlight: 10}
	d.receive(beat)
	for _, cell := range d.cells {
		members := d.members(cell)
		if !slices.Contains(members, peer.ID) || d.size.Plain {
			continue
		}
		reports := m
		for _, h := range d.hosts[cell] {
			if d.owner(cell, h.Server) == peer.ID {
				reports.Reports = append(reports.Reports, messenger.ServerReport{Server: h.Server, Age: 10 * time.Millisecond, Report: d.report(h.Server)})
			}
		}
		if len(reports.Reports) > 0 {
			d.receive(reports)
		}
	}
}

// owner returns the daemon that polls a server of a cell.
func (d *daemon) owner(cell, server string) string {
	if d.owners == nil {
		d.owners = make(map[string]string)
	}
	if _, ok := d.owners[server]; !ok {
		var servers []string
		for _, h := range d.size.hosts(cell) {
			servers = append(servers, h.Server)
		}
		for name, picked := range assigner.Spread(servers, d.members(cell), 1) {
			d.owners[name] = picked[0]
		}
	}
	return d.owners[server]
}

func (d *daemon) receive(m messenger.Message) {
	d.traffic.add(TrafficPeersIn, messageBytes(m, m))
	d.step(reducer.PeerReceived{Message: m})
}

// load makes requests come at the size's rate from now on.
func (d *daemon) load() {
	if d.size.RequestsPerSecond > 0 {
		d.events.add(d.now, requestTurn{1})
	}
}

// sendRequest gives the daemon a request and schedules the next.
func (d *daemon) sendRequest(number int) {
	d.requests++
	arrived := reducer.RequestArrived{
		Request: d.requests, ID: fmt.Sprint(number), Method: "POST", Path: "/x", Urgent: true, BodyHash: uint64(number),
	}
	if d.size.Plain {
		arrived.Plain = true
		arrived.Target = d.cells[number%len(d.cells)]
		arrived.Key = fmt.Sprintf("0193a1b2-0000-4000-8000-%012x", number)
	} else {
		arrived.Target = d.models[number%len(d.models)]
	}
	d.step(arrived)
	d.events.add(d.now+time.Duration(float64(time.Second)/d.size.RequestsPerSecond), requestTurn{number + 1})
}

// reset forgets what was counted so far.
func (d *daemon) reset() {
	d.traffic = make(tally)
	d.steps = 0
	d.spent = 0
	d.dispatched = 0
	d.refused = 0
}

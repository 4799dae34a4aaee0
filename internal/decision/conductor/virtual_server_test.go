package conductor

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"samphirewharf/internal/decision/reducer"
	"samphirewharf/internal/fleet/registrar"
)

// pollTimeout is how long an engine may take to answer a poll, checkTimeout the same for a check of the link.
const (
	pollTimeout  = time.Second
	checkTimeout = 300 * time.Millisecond
)

// A virtualServer is an engine of a virtualFleet.
type virtualServer struct {
	entry   registrar.Entry
	up      bool
	running map[reducer.RequestID]virtualAttempt
	// queue holds the attempts that wait for a slot of an engine that queues.
	queue []virtualAttempt
	// silentUntil is until when the engine answers nothing, refusesNew whether new connections to it aren't opened meanwhile.
	silentUntil time.Duration
	refusesNew  bool
	// rejections holds when the engine last turned requests away for want of room.
	rejections []time.Duration
}

type virtualAttempt struct {
	daemon *virtualDaemon
	send   Send
}

func (f *virtualFleet) startServer() {
	f.startVersion("v1")
}

// startVersion starts an engine with a software version.
func (f *virtualFleet) startVersion(version string) *virtualServer {
	f.revision++
	id := fmt.Sprintf("e%d", f.revision)
	s := &virtualServer{up: true, running: make(map[reducer.RequestID]virtualAttempt), entry: registrar.Entry{
		ID: id, StartedAt: f.revision, Service: engineService, Address: id + ":80", Zone: "z0", SoftwareVersion: version, Slots: f.slots, Revision: f.revision,
		Weights: registrar.Weights{Models: []registrar.LoadedModel{loadedModel("m1")}},
	}}
	f.servers[id] = s
	f.tell(ServerChanged{Entry: s.entry})
	return s
}

// leave has an engine announce that it leaves, and leave after a while.
func (f *virtualFleet) leave(s *virtualServer) {
	f.revision++
	s.entry.State, s.entry.Revision = registrar.StateDraining, f.revision
	f.tell(ServerChanged{Entry: s.entry})
	f.after(fleetDrainTime, func() {
		f.end(s)
		f.revision++
		delete(f.servers, s.entry.ID)
		f.tell(ServerRemoved{ID: s.entry.ID, Revision: f.revision})
	})
}

// streamGoesOn records that a caller gets events of a server.
func (f *virtualFleet) streamGoesOn(r *virtualRequest, e Send, s *virtualServer) {
	stream := r.stream
	if stream == nil {
		return
	}
	if stream.origin == "" {
		stream.origin, stream.version, stream.begunAt = attemptName(e.Request), s.entry.SoftwareVersion, f.now
	}
	if stream.takenUpAt > 0 && stream.wentOnAt == 0 {
		stream.wentOnAt = f.now
	}
	stream.versions[s.entry.SoftwareVersion] = true
	stream.resumedOn = stream.resumedOn || stream.resumed
}

// crash ends an engine. Another incarnation starts after some seconds.
func (f *virtualFleet) crash(s *virtualServer) {
	f.crashes = append(f.crashes, f.now)
	f.end(s)
	f.after(fleetEntryTTL, func() {
		f.revision++
		delete(f.servers, s.entry.ID)
		f.tell(ServerRemoved{ID: s.entry.ID, Revision: f.revision})
	})
	f.after(f.restartDelay, func() { f.startVersion(s.entry.SoftwareVersion) })
}

// end ends an engine's process.
func (f *virtualFleet) end(s *virtualServer) {
	s.up = false
	for id, a := range s.running {
		f.after(fleetPeerDelay, func() {
			f.step(a.daemon, AttemptEnded{Request: id, Attempt: a.send.Attempt, Outcome: reducer.AttemptFailed, Cause: CauseBroken, Status: 200})
		})
	}
	clear(s.running)
}

// upServers returns the number of engines of a version.
func (f *virtualFleet) upServers(version string) int {
	n := 0
	for _, s := range f.servers {
		n += boolToInt(s.up && s.entry.State == registrar.StateReady && s.entry.SoftwareVersion == version)
	}
	return n
}

// sent plays a request at an engine.
func (f *virtualFleet) sent(d *virtualDaemon, e Send) {
	request := f.requests[e.Request]
	s, ok := f.servers[e.Server]
	if !ok || !s.up || !d.reaches(e.Server) {
		f.after(fleetConnectDelay, func() {
			f.step(d, AttemptEnded{Request: e.Request, Attempt: e.Attempt, Outcome: reducer.AttemptNotSent, Cause: CauseConnect})
		})
		return
	}
	if f.silentWhile(d, e, s) || f.answers != nil && f.answers(d, e, s) {
		return
	}
	if f.queues {
		f.queued(d, e, s)
		return
	}
	if f.brittle > 0 {
		f.step(d, ServerAdvised{Server: e.Server, StartedAt: e.StartedAt, Advice: Advice{Brittle: true, RejectionsBorne: f.brittle}})
		if len(s.running) >= s.entry.Slots {
			f.reject(d, e, s)
			return
		}
	}
	if request.poison {
		f.poisonSends = append(f.poisonSends, f.now)
	}
	s.running[e.Request] = virtualAttempt{daemon: d, send: e}
	running := func() bool { a, ok := s.running[e.Request]; return ok && a.send.Attempt == e.Attempt }
	f.after(fleetFirstEvent, func() {
		switch {
		case !running():
		case request.crashing != nil:
			f.beginCrashing(d, e, s, *request.crashing)
		case request.poison:
			f.crash(s)
		default:
			request.begun = request.begun || e.Attempt == 1
			f.started(request)
			f.streamGoesOn(request, e, s)
			f.step(d, AttemptStarted{Request: e.Request, Attempt: e.Attempt})
		}
	})
	f.after(fleetFirstEvent+cmp.Or(f.streamTime, time.Duration(200+f.rng.IntN(2500))*time.Millisecond), func() {
		if running() {
			delete(s.running, e.Request)
			f.ended(request)
			f.step(d, AttemptEnded{Request: e.Request, Attempt: e.Attempt, Outcome: reducer.AttemptDone, Latency: fleetFirstEvent, Status: 200})
		}
	})
}

func (f *virtualFleet) polled(d *virtualDaemon, e PollServer) {
	s, ok := f.servers[e.Server]
	ok = ok && d.reaches(e.Server)
	if ok && f.now < s.silentUntil {
		f.after(pollTimeout, func() { f.step(d, ServerReported{Server: e.Server, SentAt: f.now - pollTimeout}) })
		return
	}
	reported := ServerReported{Server: e.Server, SentAt: f.now - fleetConnectDelay, OK: ok && s.up, Refused: !ok || !s.up}
	if reported.OK {
		reported.StartedAt, reported.Report = s.entry.StartedAt, registrar.Report{Weights: s.entry.Weights}
	}
	f.step(d, reported)
}

func (f *virtualFleet) entries() []registrar.Entry {
	var list []registrar.Entry
	for _, id := range f.serverIDs() {
		list = append(list, f.servers[id].entry)
	}
	return list
}

func (f *virtualFleet) serverIDs() []string {
	var list []string
	for id := range f.servers {
		list = append(list, id)
	}
	slices.Sort(list)
	return list
}

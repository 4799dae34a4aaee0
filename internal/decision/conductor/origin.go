package conductor

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"samphirewharf/internal/decision/reducer"
	"samphirewharf/internal/decision/resumer"
	"samphirewharf/internal/fleet/matcher"
	"samphirewharf/internal/peer/messenger"
)

// A RecordOrigins effect writes a record of the versions that began streams. It is answered by OriginsRecorded.
type RecordOrigins struct {
	Record int64
	// Replaces is the lowest number of the earlier records that are deleted once this one is written.
	Replaces int64
	Origins  []messenger.StreamOrigin
}

// A ReadOrigins effect reads all records of origins, and of services that have had several versions. It is answered by OriginsRead.
type ReadOrigins struct{}

// A ListOrigins effect lists all records of origins without reading what is in them. It is answered by OriginsListed.
type ListOrigins struct{}

// A DeleteOrigins effect deletes records of origins if they are as they were listed.
type DeleteOrigins struct{ Records []resumer.RecordRevision }

// An OriginsListed event answers ListOrigins.
type OriginsListed struct {
	Records []resumer.RecordRevision
	OK      bool
}

// An OriginsRecorded event answers RecordOrigins.
type OriginsRecorded struct {
	Record int64
	OK     bool
}

// An OriginsRead event answers ReadOrigins.
type OriginsRead struct {
	Origins []messenger.StreamOrigin
	// MixedServices are the services that have had several software versions lately, Histories those of all services.
	MixedServices []string
	Histories     []resumer.History
	OK            bool
}

func (RecordOrigins) effect()  {}
func (ReadOrigins) effect()    {}
func (ListOrigins) effect()    {}
func (DeleteOrigins) effect()  {}
func (OriginsRecorded) event() {}
func (OriginsRead) event()     {}
func (OriginsListed) event()   {}

// newResumer returns a resumer that acts through the machine.
func newResumer(m *Machine) resumer.Resumer {
	return resumer.Resumer{
		Self: m.settings.Self.Name,
		Send: func(names []string, origins messenger.Origins) {
			message := m.newMessage()
			message.Origins = &origins
			m.sendTo(names, message)
		},
		Record: func(r resumer.Record) {
			m.emit(RecordOrigins{Record: r.Number, Replaces: r.Replaces, Origins: r.Origins})
		},
		Read: func() { m.emit(ReadOrigins{}) },
		Resolve: func(id reducer.RequestID) {
			if r := m.requestOf(id); r != nil && r.state == stateAsking {
				m.stopAsking(r)
				m.route(r)
			}
		},
	}
}

// originOf returns the hash that identifies a request's stream.
func originOf(r *request) uint64 {
	if r.Resumes && r.OriginID != "" {
		return xxhash.Sum64String(r.OriginID)
	}
	return xxhash.Sum64String(r.ID)
}

// lacksOrigin reports whether the caller takes up a stream without naming its attempt that began it.
func (r *request) lacksOrigin() bool { return r.Resumes && r.OriginID == "" }

// originDeadline returns until when a request may wait for its stream's origin.
func (r *request) originDeadline() time.Duration {
	if !r.answerStarted {
		return r.firstDeadline
	}
	return min(r.deadline, r.boundSince+eventTimeout(r.Route)-eventTimeoutMargin)
}

// pinVersion finds out at which version a stream may go on that the caller takes up, or that has begun at another daemon in this one's
// place. It returns false if the request waits for that, or was refused.
func (m *Machine) pinVersion(r *request) bool {
	if !r.Resumes && !r.answerStarted || r.pinned || r.Route.Kind != matcher.KindStream {
		return true
	}
	if version, ok := m.origins.Known(originOf(r)); ok && !r.lacksOrigin() {
		r.pinned, r.softwareVersion = true, version
		return true
	}
	if r.boundSince == 0 {
		r.boundSince = m.now
	}
	switch needed := m.originNeeded(r.Service); {
	case !needed && m.origins.Confirmed(r.Service, r.boundSince):
		// Another version may appear before the request is sent, so it is bound to the only one now.
		r.softwareVersion, r.pinned = m.versions.Latest(r.Service)
		return true
	case !needed:
		r.state = stateAsking
		m.setTimer(r, m.origins.Confirm(m.now, r.Request, r.Service, r.boundSince, r.originDeadline()))
		return false
	}
	if r.lacksOrigin() && m.election.Loaded() {
		m.refuse(r, RefusedOrigin, noServerRetryDelay)
		return false
	}
	m.askForVersions(r.Service)
	r.state = stateAsking
	m.setTimer(r, m.origins.Ask(m.now, r.Request, originOf(r), r.originDeadline()))
	return false
}

// askForVersions asks other daemons for the versions of a service if this one may lack some.
func (m *Machine) askForVersions(service string) {
	if !m.versionsMixed(service) && !m.versions.Complete(m.now, service) {
		m.origins.Inquire(m.now, service)
	}
}

// streamStarted records the version that began a stream. If another daemon serves it, that one shares it.
func (m *Machine) streamStarted(r *request, origin Origin) {
	if r.Route.Kind != matcher.KindStream {
		return
	}
	if r.server == nil {
		if !r.pinned {
			r.pinned, r.softwareVersion = origin.Known, origin.SoftwareVersion
		}
		return
	}
	if !r.pinned {
		r.pinned, r.softwareVersion = true, r.server.entry.SoftwareVersion
	}
	m.origins.Started(m.now, originOf(r), r.Service, r.softwareVersion, m.versionsMixed(r.Service))
}

// streamEnded forgets a stream that the caller has got whole.
func (m *Machine) streamEnded(r *request) {
	if r.Route.Kind == matcher.KindStream {
		m.origins.Completed(m.now, originOf(r), m.versionsMixed(r.Service))
	}
}

// maySend reports whether a server may get a request, as far as the version of its software matters.
func (m *Machine) maySend(r *request, s *server) bool {
	return s.usable() && (!r.pinned || s.entry.SoftwareVersion == r.softwareVersion)
}

// updateRegistrars chooses the daemons that hold origins after the set of daemons has changed.
func (m *Machine) updateRegistrars() {
	if m.registrarsKnown {
		return
	}
	m.registrarsKnown = true
	daemons := m.registeredDaemons()
	m.registrars = spreadOverZones(daemons, max(minRegistrars, len(daemons)/daemonsPerRegistrar))
	m.origins.SetFleet(m.daemonNames(), m.registrars)
}

// registrarNames returns the daemons that hold origins and may keep quotas.
func (m *Machine) registrarNames() []string {
	m.updateRegistrars()
	return m.registrars
}

// tickOrigins sends the reports, records and reads that are due.
func (m *Machine) tickOrigins() {
	m.updateRegistrars()
	mixed := m.mixedServices()
	m.origins.Tick(m.now, mixed)
	if m.sweeper.Due(m.now, m.isFirstKeeper() && m.election.Loaded(), len(mixed) > 0) {
		m.emit(ListOrigins{})
	}
}

func (m *Machine) originsNextAt() time.Duration {
	if at := m.origins.NextAt(); at > 0 {
		return at
	}
	return never
}

// originUnanswered has a request wait on for the version that began its stream, or ends the wait.
func (m *Machine) originUnanswered(r *request) {
	next, waits := m.origins.Unanswered(m.now, r.Request)
	if r.state != stateAsking {
		return
	}
	if needed := m.originNeeded(r.Service); needed == m.origins.Confirms(r.Request) || needed && r.lacksOrigin() && m.election.Loaded() {
		m.stopAsking(r)
		m.route(r)
		return
	}
	if deadline := r.originDeadline(); !waits && !m.election.Loaded() && m.now < deadline {
		// The service may have had one version only.
		next, waits = min(deadline, m.now+loadPollInterval), true
	}
	if waits {
		m.askForVersions(r.Service)
		m.setTimer(r, next)
		return
	}
	m.stopAsking(r)
	m.refuse(r, RefusedOrigin, noServerRetryDelay)
}

// stopAsking ends the wait of a request for its stream's origin.
func (m *Machine) stopAsking(r *request) {
	m.clearTimer(r)
	r.state = stateQueued
	m.origins.StopAsking(r.Request)
}

// originsReceived handles the origins that another daemon reports or asks for.
func (m *Machine) originsReceived(address string, origins *messenger.Origins) {
	m.updateRegistrars()
	reply := messenger.Origins{Origins: m.origins.Received(m.now, origins)}
	if q := origins.Inquiry; q != nil && m.election.Loaded() && m.serversLoaded {
		versions := m.versions.Describe(m.now, q.Service)
		versions.Inquiry, versions.Fresh = q.Number, m.followsStore() && m.versions.Complete(m.now, q.Service)
		reply.Versions = &versions
	}
	if v := origins.Versions; v != nil {
		if count := m.versions.Learn(m.now, *v, m.isFirstKeeper()); count > 0 {
			m.serviceMixed(v.Service, LogStateChange{Version: int64(count), Reason: "another daemon says so"})
		}
		if v.Fresh && !m.versions.Complete(m.now, v.Service) {
			m.versions.CompletenessConfirmed(v.Service, address, len(m.daemons)-1)
		}
		m.origins.Answered(m.now, *v, m.originNeeded(v.Service))
	}
	if len(reply.Origins) > 0 || reply.Versions != nil {
		message := m.newMessage()
		message.Origins = &reply
		m.emit(SendPeer{Address: address, Message: message})
	}
}

// followsStore reports whether this daemon's view of the servers is up to date. After a standstill it isn't until the lease is renewed.
func (m *Machine) followsStore() bool {
	if m.view.servers.Known && !m.view.servers.Trusted(m.now, m.settings.ServersMaxAge) {
		return false
	}
	return m.lease.valid(m.now) && (m.subscriber.UpToDate(m.now) || m.subscriber.Following() && !m.store.unavailable)
}

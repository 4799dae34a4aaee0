package conductor

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"samphirewharf/internal/fleet/matcher"
	"samphirewharf/internal/peer/messenger"
)

// What servers of two software versions write doesn't fit together, so a stream goes on only at the version that began it.
// While a service has several versions, each daemon sends the versions of its streams to some others, its holders, so that
// callers can take them up elsewhere after it has ended.

// An originState is what this daemon knows of the versions that began streams.
type originState struct {
	// known holds the origins of streams by the hash of the ID of the caller's attempt that began them.
	known map[uint64]origin
	// unreported holds the streams to report to the holders.
	unreported map[uint64]bool
	// reportAt is when the next report is due, 0 for none. expireAt is when old origins are dropped.
	reportAt time.Duration
	expireAt time.Duration
	// registrars are the daemons that hold origins, holders those that hold this daemon's. They are nil after the set of daemons
	// has changed. reportedTo are the holders that have this daemon's origins.
	registrars []string
	holders    []string
	reportedTo []string
	// asking holds the requests that wait for an origin.
	asking map[uint64][]*request
}

// An origin is the software version that began a stream.
type origin struct {
	version string
	// service is empty for streams that other daemons have begun.
	service string
	at      time.Duration
}

// originOf returns the hash that identifies a request's stream.
func originOf(r *request) uint64 {
	if r.Resumes && r.OriginID != "" {
		return xxhash.Sum64String(r.OriginID)
	}
	return xxhash.Sum64String(r.ID)
}

// pinVersion finds out at which version a stream that the caller takes up may go on. It returns false if the request waits for
// that, or was refused.
func (m *Machine) pinVersion(r *request) bool {
	if !r.Resumes || r.pinned || r.Route.Kind != matcher.KindStream {
		return true
	}
	if o, ok := m.origins.known[originOf(r)]; ok && r.OriginID != "" {
		r.pinned, r.softwareVersion = true, o.version
		return true
	}
	if !m.versionsMixed(r.Service) {
		return true
	}
	if r.OriginID == "" {
		m.refuse(r, RefusedOrigin, noServerRetryDelay)
		return false
	}
	m.askOrigin(r)
	return false
}

// streamStarted records the version that began a stream.
func (m *Machine) streamStarted(r *request) {
	if r.Route.Kind != matcher.KindStream || r.server == nil {
		return
	}
	if !r.pinned {
		r.pinned, r.softwareVersion = true, r.server.entry.SoftwareVersion
	}
	id := originOf(r)
	m.recordOrigin(id, origin{version: r.softwareVersion, service: r.Service, at: m.now})
	if m.versionsMixed(r.Service) {
		m.reportOrigin(id)
	}
}

func (m *Machine) recordOrigin(id uint64, o origin) {
	s := &m.origins
	if s.known == nil {
		s.known = make(map[uint64]origin)
	}
	if len(s.known) >= maxOrigins {
		m.expireOrigins()
	}
	s.known[id] = o
}

// streamEnded forgets a stream that the caller has got whole.
func (m *Machine) streamEnded(r *request) {
	if r.Route.Kind == matcher.KindStream {
		delete(m.origins.known, originOf(r))
		delete(m.origins.unreported, originOf(r))
	}
}

// expireOrigins drops the origins of streams that nobody takes up any more, and the older ones if there are too many.
func (m *Machine) expireOrigins() {
	ttl := originTTL
	for ; ttl > time.Second; ttl /= 2 {
		maps.DeleteFunc(m.origins.known, func(_ uint64, o origin) bool { return m.now > o.at+ttl })
		if len(m.origins.known) < maxOrigins {
			return
		}
	}
	clear(m.origins.known)
}

// maySend reports whether a server may get a request, as far as the version of its software matters.
func (m *Machine) maySend(r *request, s *server) bool {
	return s.usable() && (!r.pinned || s.entry.SoftwareVersion == r.softwareVersion)
}

// reportOrigin schedules the report of a stream to the holders.
func (m *Machine) reportOrigin(id uint64) {
	s := &m.origins
	if s.unreported == nil {
		s.unreported = make(map[uint64]bool)
	}
	s.unreported[id] = true
	if s.reportAt == 0 {
		s.reportAt = m.now + m.originReportDelay()
	}
}

// originReportDelay returns how long streams are collected before they are reported.
func (m *Machine) originReportDelay() time.Duration {
	if len(m.daemons) >= largeFleet {
		return largeFleetReportDelay
	}
	return originReportDelay
}

// reportStreams schedules the reports of all streams of a service that this daemon has begun.
func (m *Machine) reportStreams(service string) {
	for id, o := range m.origins.known {
		if o.service == service && m.now < o.at+originTTL {
			m.reportOrigin(id)
		}
	}
}

// registrarNames returns the names of the daemons that hold origins.
func (m *Machine) registrarNames() []string {
	s := &m.origins
	if s.registrars == nil {
		daemons := m.registeredDaemons()
		s.registrars = spreadOverZones(daemons, max(minRegistrars, len(daemons)/daemonsPerRegistrar))
		s.holders = nil
	}
	return s.registrars
}

// holderNames returns the names of the registrars that hold this daemon's origins. Daemons have different ones.
func (m *Machine) holderNames() []string {
	s := &m.origins
	names := m.registrarNames()
	if s.holders == nil && len(names) > 0 {
		count := originHolders
		if len(m.daemons) >= largeFleet {
			count--
		}
		first := int(xxhash.Sum64String(m.settings.Self.Name) % uint64(len(names)))
		for i := range names {
			if name := names[(first+i)%len(names)]; name != m.settings.Self.Name && len(s.holders) < count {
				s.holders = append(s.holders, name)
			}
		}
	}
	return s.holders
}

// tickOrigins sends the reports that are due.
func (m *Machine) tickOrigins() {
	s := &m.origins
	if m.now >= s.expireAt {
		s.expireAt = m.now + expiryInterval
		m.expireOrigins()
	}
	if holders := m.holderNames(); !slices.Equal(holders, s.reportedTo) {
		s.reportedTo = slices.Clone(holders)
		for _, service := range m.mixedServices() {
			m.reportStreams(service)
		}
	}
	if s.reportAt == 0 || m.now < s.reportAt {
		return
	}
	var list []messenger.StreamOrigin
	for _, id := range slices.Sorted(maps.Keys(s.unreported)) {
		if o, ok := s.known[id]; ok {
			list = append(list, messenger.StreamOrigin{Stream: id, SoftwareVersion: o.version})
		}
	}
	clear(s.unreported)
	s.reportAt = 0
	if len(list) > 0 {
		message := m.newMessage()
		message.Origins = &messenger.Origins{Origins: list}
		m.sendTo(m.holderNames(), message)
	}
}

func (s *originState) nextAt() time.Duration {
	if s.reportAt == 0 {
		return never
	}
	return s.reportAt
}

// askOrigin asks the registrars for the version that began a request's stream.
func (m *Machine) askOrigin(r *request) {
	s := &m.origins
	if s.asking == nil {
		s.asking = make(map[uint64][]*request)
	}
	id := originOf(r)
	r.state = stateAsking
	if !slices.Contains(s.asking[id], r) {
		s.asking[id] = append(s.asking[id], r)
	}
	r.originAsks++
	m.setTimer(r, min(r.firstDeadline, m.now+originAskInterval))
	message := m.newMessage()
	message.Origins = &messenger.Origins{Asked: []uint64{id}}
	m.sendTo(m.registrarNames(), message)
}

// originUnanswered asks again for the version that began a request's stream, since the report may be on its way, or refuses the
// request.
func (m *Machine) originUnanswered(r *request) {
	if r.originAsks < maxOriginAsks && m.now < r.firstDeadline {
		m.askOrigin(r)
		return
	}
	m.stopAsking(r)
	m.refuse(r, RefusedOrigin, noServerRetryDelay)
}

// stopAsking ends the wait of a request for its stream's origin.
func (m *Machine) stopAsking(r *request) {
	m.clearTimer(r)
	r.state = stateQueued
	id := originOf(r)
	list := slices.DeleteFunc(m.origins.asking[id], func(other *request) bool { return other == r })
	if len(list) == 0 {
		delete(m.origins.asking, id)
		return
	}
	m.origins.asking[id] = list
}

// originsReceived handles the origins that another daemon reports or asks for.
func (m *Machine) originsReceived(address string, origins *messenger.Origins) {
	for _, o := range origins.Origins {
		if known, ok := m.origins.known[o.Stream]; !ok || known.service == "" {
			m.recordOrigin(o.Stream, origin{version: o.SoftwareVersion, at: m.now})
		}
		for _, r := range slices.Clone(m.origins.asking[o.Stream]) {
			m.stopAsking(r)
			m.route(r)
		}
	}
	var answer []messenger.StreamOrigin
	for _, id := range origins.Asked {
		if o, ok := m.origins.known[id]; ok {
			answer = append(answer, messenger.StreamOrigin{Stream: id, SoftwareVersion: o.version})
		}
	}
	if len(answer) > 0 {
		message := m.newMessage()
		message.Origins = &messenger.Origins{Origins: answer}
		m.emit(SendPeer{Address: address, Message: message})
	}
}

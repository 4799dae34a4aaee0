package conductor

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"samphirewharf/internal/decision/attributor"
	"samphirewharf/internal/fleet/registrar"
)

// A crashState is what this daemon knows of requests that crash servers.
type crashState struct {
	attributor attributor.Attributor
	// broken holds broken connections whose server may turn out to have crashed, polls those that find out.
	broken []brokenConnection
	polls  []crashPoll
	// changed reports whether there is new evidence to judge; judgeAt is when there is something to judge without any, 0 for
	// never.
	changed  bool
	judgeAt  time.Duration
	expireAt time.Duration

	exchange    evidenceExchange
	quarantines quarantineRecords
}

type brokenConnection struct {
	server  string
	request uint64
	traits  []attributor.Trait
	at      time.Duration
}

// A crashPoll is a poll of a server whose connection broke.
type crashPoll struct {
	server string
	at     time.Duration
	// left is the number of polls, including this one.
	left int
}

// recordBrokenConnection records a request whose connection broke while a server was running it.
func (m *Machine) recordBrokenConnection(r *request, s *server) {
	if m.link.down {
		return
	}
	c := &m.crashes
	c.broken = slices.DeleteFunc(c.broken, func(b brokenConnection) bool { return m.now > b.at+m.crashWindow() })
	c.broken = append(c.broken, brokenConnection{server: s.entry.ID, request: r.Fingerprint, traits: r.traits, at: m.now})
	if r.needsModel() {
		m.pollLater(s, m.now+crashPollDelay, crashPolls)
	}
}

// pollLater schedules polls of a server that may have ended, unless one is due earlier.
func (m *Machine) pollLater(s *server, at time.Duration, polls int) {
	c := &m.crashes
	if slices.ContainsFunc(c.polls, func(p crashPoll) bool { return p.server == s.entry.ID && p.at <= at }) {
		return
	}
	c.polls = slices.DeleteFunc(c.polls, func(p crashPoll) bool { return p.server == s.entry.ID })
	c.polls = append(c.polls, crashPoll{server: s.entry.ID, at: at, left: polls})
}

// awaitsEnd reports whether the end of a server would be evidence.
func (m *Machine) awaitsEnd(s *server) bool {
	return len(s.ended) > 0 || slices.ContainsFunc(m.crashes.broken, func(b brokenConnection) bool { return b.server == s.entry.ID })
}

// tickCrashPolls polls the servers that may have ended. A server that has ended accepts no connection.
func (m *Machine) tickCrashPolls() {
	c := &m.crashes
	var due []crashPoll
	c.polls = slices.DeleteFunc(c.polls, func(p crashPoll) bool {
		if m.now >= p.at {
			due = append(due, p)
		}
		return m.now >= p.at
	})
	for _, p := range due {
		s, ok := m.servers[p.server]
		if !ok || !m.awaitsEnd(s) {
			continue
		}
		m.countSend(s)
		m.emit(PollServer{Server: s.entry.ID, Address: s.entry.Address})
		if p.left > 1 {
			c.polls = append(c.polls, crashPoll{server: p.server, at: m.now + crashPollInterval, left: p.left - 1})
		}
	}
}

// crashPollAnswered handles the answer to a poll of a server that may have ended.
func (m *Machine) crashPollAnswered(e ServerReported) {
	s, ok := m.servers[e.Server]
	if !ok || !m.awaitsEnd(s) {
		return
	}
	if e.OK && e.StartedAt != 0 && e.StartedAt != s.entry.StartedAt {
		m.serverCrashed(s)
	}
}

// serverCrashed counts a crash for the requests whose connections to the server broke within the crash window. A server that was
// leaving has ended as planned.
func (m *Machine) serverCrashed(s *server) {
	m.logServerEnd(s)
	for _, b := range m.takeEnded(s) {
		m.countCrash(b, s)
	}
	m.crashes.broken = slices.DeleteFunc(m.crashes.broken, func(b brokenConnection) bool {
		if b.server != s.entry.ID || m.now > b.at+m.crashWindow() {
			return false
		}
		if s.entry.State != registrar.StateDraining {
			m.countCrash(b, s)
		}
		return true
	})
}

// logServerEnd logs what ran at a server that has ended, and what had ended there shortly before.
func (m *Machine) logServerEnd(s *server) {
	broken := 0
	for _, b := range m.crashes.broken {
		if b.server == s.entry.ID && m.now <= b.at+m.crashWindow() {
			broken++
		}
	}
	last := s.lastEnd
	if broken == 0 && (last.at == 0 || m.now > last.at+m.crashWindow()) {
		return
	}
	detail := itoa(int64(broken)) + " attempts broke"
	if last.at > 0 {
		detail += ", the last one before ended " + (m.now - last.at).Round(time.Millisecond).String() + " ago: " + last.outcome.String() + " " + last.cause.String()
	}
	s.lastEnd = attemptEnd{}
	m.emit(LogStateChange{Subject: "Server " + s.entry.ID, Change: "Ended", Age: m.now - s.seenAt, Detail: detail})
}

// crashWindow returns how long after a broken connection the end of the server counts as a crash: until the store removes the
// entry of a server that no longer renews it.
func (m *Machine) crashWindow() time.Duration { return m.settings.EntryTTL + crashDetectionMargin }

func (m *Machine) countCrash(b brokenConnection, s *server) {
	if m.service(s.entry.Service).brittle.active {
		// It may have fallen over for lack of room, under requests that share parts with all others.
		b.traits = b.traits[:1]
	}
	m.crashes.attributor.AddCrash(m.now, b.traits, attributor.Crash{Server: incarnationHash(s), Request: b.request, At: b.at})
	m.crashes.changed = true
	for _, t := range b.traits {
		if t.Kind == attributor.KindRequest || m.crashes.attributor.Suspected(t) {
			m.logTrait(t, "Suspected", "server "+s.entry.ID+" ended")
		}
		m.shareEvidence(t)
	}
}

// incarnationHash returns a hash of the server and its start, which is the same at all daemons.
func incarnationHash(s *server) uint64 {
	return xxhash.Sum64String(s.entry.ID + " " + itoa(s.entry.StartedAt))
}

// logTrait logs a change of what is known of a trait.
func (m *Machine) logTrait(t attributor.Trait, change, reason string) {
	e, _ := m.crashes.attributor.Evidence(t)
	m.emit(LogStateChange{
		Subject: t.Kind.String(), Change: change, Reason: reason, Version: int64(len(e.Crashes)), Warning: change == "Quarantined",
		Detail: "hash " + strconv.FormatUint(t.Hash, 16) + ", quarantines " + itoa(int64(e.Quarantines)),
	})
}

// tickCrashes does what is due with crashes and the evidence of them.
func (m *Machine) tickCrashes() {
	c := &m.crashes
	m.tickCrashPolls()
	if c.changed || c.judgeAt > 0 && m.now >= c.judgeAt {
		m.judge()
	}
	if m.now >= c.expireAt {
		m.expireEnded()
		m.refuteCrashes()
		c.attributor.Expire(m.now)
		c.expireAt = m.now + expiryInterval
	}
	m.tickEvidence()
	m.tickQuarantines()
}

// refuteCrashes drops the crashes of servers that are still registered though their entries would have expired by now. A daemon that
// loses its links one by one takes servers for ended that others reach.
func (m *Machine) refuteCrashes() {
	if m.view.stale || m.view.refreshedAt > 0 && m.now < m.view.refreshedAt+m.crashWindow() {
		return
	}
	registered := make(map[uint64]bool, len(m.servers))
	for _, s := range m.servers {
		if s.keepUntil == 0 && s.unconfirmedUntil == 0 {
			registered[incarnationHash(s)] = true
		}
	}
	for _, t := range m.crashes.attributor.Refute(func(server uint64, at time.Duration) bool {
		return registered[server] && m.now > at+m.crashWindow()
	}) {
		m.shareEvidence(t)
		m.quarantineChanged(t, "servers that were taken for ended are registered")
	}
}

// judge quarantines what explains the crashes.
func (m *Machine) judge() {
	c := &m.crashes
	c.changed = false
	for _, v := range c.attributor.Judge(m.now, m.isFirstKeeper()) {
		m.shareEvidence(v.Trait)
		m.quarantineChanged(v.Trait, itoa(int64(v.Crashes))+" servers ended under "+itoa(int64(v.Requests))+" requests")
	}
	c.judgeAt = 0
	if at, ok := c.attributor.NextAt(); ok {
		c.judgeAt = max(at, m.now+time.Millisecond)
	}
}

func (c *crashState) nextAt(m *Machine) time.Duration {
	next := min(c.exchange.nextAt(m), c.quarantines.nextAt())
	if c.judgeAt > 0 {
		next = min(next, c.judgeAt)
	}
	for _, p := range c.polls {
		next = min(next, p.at)
	}
	return next
}

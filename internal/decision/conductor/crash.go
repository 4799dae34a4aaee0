package conductor

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"samphirewharf/internal/peer/messenger"
)

// A crashState records server crashes by the fingerprint of the requests that were running when they occurred.
type crashState struct {
	byFingerprint map[uint64]*crashRecord
	// broken holds broken connections whose server may turn out to have crashed.
	broken []brokenConnection
}

type crashRecord struct {
	// servers holds the hashes of the incarnations that crashed, from whichever daemon. Daemons may count the same ones or
	// others at the same time.
	servers map[uint64]bool
	// reportedCrashes is the highest count of a daemon that doesn't report the incarnations.
	reportedCrashes int
	expiresAt       time.Duration
	// reported reports whether the other daemons know of all crashes: the leader has sent them.
	reported bool
}

func (c *crashRecord) crashes() int { return max(len(c.servers), c.reportedCrashes) }

type brokenConnection struct {
	server      string
	fingerprint uint64
	at          time.Duration
}

// recordBrokenConnection records a request whose connection broke while a server was running it.
func (m *Machine) recordBrokenConnection(r *request, s *server) {
	m.crashes.broken = slices.DeleteFunc(m.crashes.broken, func(b brokenConnection) bool { return m.now > b.at+m.crashWindow() })
	m.crashes.broken = append(m.crashes.broken, brokenConnection{server: s.entry.ID, fingerprint: r.Fingerprint, at: m.now})
}

// serverCrashed counts a crash for the requests whose connections to the server broke within the crash window.
func (m *Machine) serverCrashed(s *server) {
	m.crashes.broken = slices.DeleteFunc(m.crashes.broken, func(b brokenConnection) bool {
		if b.server != s.entry.ID || m.now > b.at+m.crashWindow() {
			return false
		}
		m.countCrash(b.fingerprint, s)
		return true
	})
}

// crashWindow returns how long after a broken connection the end of the server counts as a crash: until the store removes the
// entry of a server that no longer renews it.
func (m *Machine) crashWindow() time.Duration { return m.settings.EntryTTL + crashDetectionMargin }

// crashRecordOf returns the record of a request, and creates it or replaces an expired one.
func (m *Machine) crashRecordOf(fingerprint uint64) *crashRecord {
	c, ok := m.crashes.byFingerprint[fingerprint]
	if !ok || m.now > c.expiresAt {
		c = &crashRecord{servers: make(map[uint64]bool)}
		m.crashes.byFingerprint[fingerprint] = c
	}
	return c
}

func (m *Machine) countCrash(fingerprint uint64, s *server) {
	c := m.crashRecordOf(fingerprint)
	c.servers[incarnationHash(s)] = true
	c.expiresAt = m.now + crashTTL
	c.reported = false
	m.logCrashes(fingerprint, c.crashes(), "server "+s.entry.ID+" ended")
	m.reportCrashesSoon()
}

// incarnationHash returns a hash of the server and its start, which is the same at all daemons.
func incarnationHash(s *server) uint64 {
	return xxhash.Sum64String(s.entry.ID + " " + itoa(s.entry.StartedAt))
}

// logCrashes logs a new count of the crashes of a request.
func (m *Machine) logCrashes(fingerprint uint64, crashes int, reason string) {
	change := "Suspected"
	if crashes >= poisonCrashes {
		change = "Convicted"
	}
	m.emit(LogStateChange{Subject: "Request", Change: change, Reason: reason, Version: int64(crashes), Detail: "fingerprint " + strconv.FormatUint(fingerprint, 16)})
}

// clearCrashes resets the count of a request that was answered, unless it is a poison request already.
func (m *Machine) clearCrashes(r *request) {
	if c, ok := m.crashes.byFingerprint[r.Fingerprint]; ok && c.crashes() < poisonCrashes {
		delete(m.crashes.byFingerprint, r.Fingerprint)
	}
}

func (m *Machine) isPoison(r *request) bool {
	c, ok := m.crashes.byFingerprint[r.Fingerprint]
	return ok && c.crashes() >= poisonCrashes && m.now <= c.expiresAt
}

// crashCounts returns the crashes to send to other daemons, or only those that they may not know of.
func (m *Machine) crashCounts(unreportedOnly bool) []messenger.Suspect {
	var list []messenger.Suspect
	for fingerprint, c := range m.crashes.byFingerprint {
		switch {
		case m.now > c.expiresAt:
			delete(m.crashes.byFingerprint, fingerprint)
		case !unreportedOnly || !c.reported:
			list = append(list, messenger.Suspect{Fingerprint: fingerprint, Crashes: c.crashes(), Servers: slices.Sorted(maps.Keys(c.servers))})
		}
	}
	slices.SortFunc(list, func(a, b messenger.Suspect) int {
		if a.Fingerprint < b.Fingerprint {
			return -1
		}
		return 1
	})
	return list
}

// mergeCrashCounts merges the crashes that another daemon knows of.
func (m *Machine) mergeCrashCounts(list []messenger.Suspect) {
	for _, s := range list {
		c := m.crashRecordOf(s.Fingerprint)
		before := c.crashes()
		for _, hash := range s.Servers {
			c.servers[hash] = true
		}
		c.reportedCrashes = max(c.reportedCrashes, s.Crashes)
		if c.crashes() > before {
			c.expiresAt = m.now + crashTTL
			c.reported = false
			m.logCrashes(s.Fingerprint, c.crashes(), "counted by another daemon")
			if m.isLeader() {
				m.scheduleFleetMessage()
			}
		}
	}
}

// reportCrashesSoon schedules a message to the leader or, on the leader, to the other daemons.
func (m *Machine) reportCrashesSoon() {
	if m.isLeader() {
		m.scheduleFleetMessage()
		return
	}
	m.demand.reportSoon(m.now)
}

// confirmCrashes records what the leader has sent to all daemons.
func (m *Machine) confirmCrashes(list []messenger.Suspect) {
	for _, s := range list {
		if c, ok := m.crashes.byFingerprint[s.Fingerprint]; ok {
			c.reported = !slices.ContainsFunc(slices.Collect(maps.Keys(c.servers)), func(hash uint64) bool { return !slices.Contains(s.Servers, hash) })
		}
	}
}

// resetReportedCrashes has all crashes reported again, since a new leader may not know of them.
func (m *Machine) resetReportedCrashes() {
	for _, c := range m.crashes.byFingerprint {
		c.reported = false
	}
}

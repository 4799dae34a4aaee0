package conductor

import (
	"slices"
	"strconv"
	"time"

	"samphirewharf/internal/peer/messenger"
)

// A crashState counts server crashes by the fingerprint of the requests that were running when they occurred.
type crashState struct {
	byFingerprint map[uint64]*crashRecord
	// broken holds broken connections whose server may turn out to have crashed.
	broken []brokenConnection
}

type crashRecord struct {
	crashes   int
	expiresAt time.Duration
	// reported reports whether the count has been sent to the other daemons.
	reported bool
}

type brokenConnection struct {
	server      string
	fingerprint uint64
	at          time.Duration
}

// recordBrokenConnection records a request whose connection broke while a server was running it.
func (m *Machine) recordBrokenConnection(r *request, s *server) {
	m.crashes.broken = slices.DeleteFunc(m.crashes.broken, func(b brokenConnection) bool { return m.now > b.at+crashWindow })
	m.crashes.broken = append(m.crashes.broken, brokenConnection{server: s.entry.ID, fingerprint: r.Fingerprint, at: m.now})
}

// serverCrashed counts a crash for the requests whose connections to the server broke within crashWindow.
func (m *Machine) serverCrashed(server string) {
	m.crashes.broken = slices.DeleteFunc(m.crashes.broken, func(b brokenConnection) bool {
		if b.server != server || m.now > b.at+crashWindow {
			return false
		}
		m.countCrash(b.fingerprint, server)
		return true
	})
}

func (m *Machine) countCrash(fingerprint uint64, server string) {
	c, ok := m.crashes.byFingerprint[fingerprint]
	if !ok || m.now > c.expiresAt {
		c = &crashRecord{}
		m.crashes.byFingerprint[fingerprint] = c
	}
	c.crashes++
	c.expiresAt = m.now + crashTTL
	c.reported = false
	m.logCrashes(fingerprint, c.crashes, "server "+server+" ended")
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
	if c, ok := m.crashes.byFingerprint[r.Fingerprint]; ok && c.crashes < poisonCrashes {
		delete(m.crashes.byFingerprint, r.Fingerprint)
	}
}

func (m *Machine) isPoison(r *request) bool {
	c, ok := m.crashes.byFingerprint[r.Fingerprint]
	return ok && c.crashes >= poisonCrashes && m.now <= c.expiresAt
}

// crashCounts returns the counts to send to other daemons, or only those not sent yet.
func (m *Machine) crashCounts(unreportedOnly bool) []messenger.Suspect {
	var list []messenger.Suspect
	for fingerprint, c := range m.crashes.byFingerprint {
		switch {
		case m.now > c.expiresAt:
			delete(m.crashes.byFingerprint, fingerprint)
		case !unreportedOnly || !c.reported:
			c.reported = true
			list = append(list, messenger.Suspect{Fingerprint: fingerprint, Crashes: c.crashes})
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

// mergeCrashCounts merges another daemon's counts. The higher count of a request is kept.
func (m *Machine) mergeCrashCounts(list []messenger.Suspect) {
	for _, s := range list {
		c, ok := m.crashes.byFingerprint[s.Fingerprint]
		if !ok {
			c = &crashRecord{}
			m.crashes.byFingerprint[s.Fingerprint] = c
		}
		if s.Crashes > c.crashes {
			c.crashes = s.Crashes
			c.expiresAt = m.now + crashTTL
			c.reported = false
			m.logCrashes(s.Fingerprint, c.crashes, "counted by another daemon")
		}
	}
}

package conductor

import (
	"slices"
	"time"

	"samphirewharf/internal/peer/messenger"
)

// A crashState counts the servers that requests ran at as they crashed.
type crashState struct {
	byFingerprint map[uint64]*crashRecord
	// open are broken connections whose server may turn out to have crashed.
	broken []brokenConnection
}

type crashRecord struct {
	crashes int
	until   time.Duration
	// told tells that the holder knows the count.
	reported bool
}

type brokenConnection struct {
	server      string
	fingerprint uint64
	at          time.Duration
}

// recordBrokenConnection notes a request whose connection broke off while the server had it.
func (m *Machine) recordBrokenConnection(r *request, s *server) {
	m.crashes.broken = slices.DeleteFunc(m.crashes.broken, func(b brokenConnection) bool { return m.now > b.at+crashWindow })
	m.crashes.broken = append(m.crashes.broken, brokenConnection{server: s.entry.ID, fingerprint: r.Fingerprint, at: m.now})
}

// serverCrashed counts a crash for the requests whose connections to the server broke off a short time ago.
func (m *Machine) serverCrashed(server string) {
	m.crashes.broken = slices.DeleteFunc(m.crashes.broken, func(b brokenConnection) bool {
		if b.server != server || m.now > b.at+crashWindow {
			return false
		}
		m.countCrash(b.fingerprint)
		return true
	})
}

func (m *Machine) countCrash(fingerprint uint64) {
	c, ok := m.crashes.byFingerprint[fingerprint]
	if !ok || m.now > c.until {
		c = &crashRecord{}
		m.crashes.byFingerprint[fingerprint] = c
	}
	c.crashes++
	c.until = m.now + crashTTL
	c.reported = false
	if c.crashes == poisonCrashes {
		m.emit(LogStateChange{Subject: "Request", Change: "Convicted", Reason: "servers crash that run it", Version: int64(c.crashes)})
	}
}

// clearCrashes forgets the crashes of a request that was answered.
func (m *Machine) clearCrashes(r *request) {
	if c, ok := m.crashes.byFingerprint[r.Fingerprint]; ok && c.crashes < poisonCrashes {
		delete(m.crashes.byFingerprint, r.Fingerprint)
	}
}

func (m *Machine) isPoison(r *request) bool {
	c, ok := m.crashes.byFingerprint[r.Fingerprint]
	return ok && c.crashes >= poisonCrashes && m.now <= c.until
}

// crashCounts returns the counts to tell others. Changed leaves out those that were told.
func (m *Machine) crashCounts(unreportedOnly bool) []messenger.Suspect {
	var list []messenger.Suspect
	for fingerprint, c := range m.crashes.byFingerprint {
		switch {
		case m.now > c.until:
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

// mergeCrashCounts takes another daemon's counts. The higher count of a request holds.
func (m *Machine) mergeCrashCounts(list []messenger.Suspect) {
	for _, s := range list {
		c, ok := m.crashes.byFingerprint[s.Fingerprint]
		if !ok {
			c = &crashRecord{}
			m.crashes.byFingerprint[s.Fingerprint] = c
		}
		if s.Crashes > c.crashes {
			c.crashes = s.Crashes
			c.until = m.now + crashTTL
			c.reported = false
		}
	}
}

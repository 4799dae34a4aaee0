package conductor

import (
	"slices"
	"time"

	"samphirewharf/internal/peer/messenger"
)

// A crashBelief counts the servers that requests ran at as they crashed.
type crashBelief struct {
	byFingerprint map[uint64]*crashRecord
	// open are broken connections whose server may turn out to have crashed.
	open []brokenRun
}

type crashRecord struct {
	crashes int
	until   time.Duration
	// told tells that the holder knows the count.
	told bool
}

type brokenRun struct {
	server      string
	fingerprint uint64
	at          time.Duration
}

// suspect notes a request whose connection broke off while the server had it.
func (m *Machine) suspect(r *request, s *server) {
	m.crashes.open = slices.DeleteFunc(m.crashes.open, func(b brokenRun) bool { return m.now > b.at+crashWindow })
	m.crashes.open = append(m.crashes.open, brokenRun{server: s.entry.ID, fingerprint: r.Fingerprint, at: m.now})
}

// crashed counts a crash for the requests whose connections to the server broke off a short time ago.
func (m *Machine) crashed(server string) {
	m.crashes.open = slices.DeleteFunc(m.crashes.open, func(b brokenRun) bool {
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
	c.until = m.now + crashLife
	c.told = false
	if c.crashes == convictCrashes {
		m.emit(LogStateChange{Subject: "Request", Change: "Convicted", Reason: "servers crash that run it", Version: int64(c.crashes)})
	}
}

// acquit forgets the crashes of a request that was answered.
func (m *Machine) acquit(r *request) {
	if c, ok := m.crashes.byFingerprint[r.Fingerprint]; ok && c.crashes < convictCrashes {
		delete(m.crashes.byFingerprint, r.Fingerprint)
	}
}

func (m *Machine) convicted(r *request) bool {
	c, ok := m.crashes.byFingerprint[r.Fingerprint]
	return ok && c.crashes >= convictCrashes && m.now <= c.until
}

// suspects returns the counts to tell others. Changed leaves out those that were told.
func (m *Machine) suspects(changed bool) []messenger.Suspect {
	var list []messenger.Suspect
	for fingerprint, c := range m.crashes.byFingerprint {
		switch {
		case m.now > c.until:
			delete(m.crashes.byFingerprint, fingerprint)
		case !changed || !c.told:
			c.told = true
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

// mergeSuspects takes another daemon's counts. The higher count of a request holds.
func (m *Machine) mergeSuspects(list []messenger.Suspect) {
	for _, s := range list {
		c, ok := m.crashes.byFingerprint[s.Fingerprint]
		if !ok {
			c = &crashRecord{}
			m.crashes.byFingerprint[s.Fingerprint] = c
		}
		if s.Crashes > c.crashes {
			c.crashes = s.Crashes
			c.until = m.now + crashLife
			c.told = false
		}
	}
}

package reducer

import "time"

const (
	// frozenAfter is the time between two events that shows that the process was frozen: it is woken more often.
	freezeThreshold = 1500 * time.Millisecond
	// holdLimit bounds the wait for the host list after a freeze.
	resumeBufferTimeout = 50 * time.Millisecond
)

// A resumeBuffer keeps events back after a freeze until the host list has been read anew, so that no request or order goes
// to a server that is leaving since.
type resumeBuffer struct {
	// since is when the process went on, until when the events are handled at the latest; 0 if none are held.
	start, until time.Duration
	// lists are the services whose host list is awaited.
	awaitedLists map[string]bool
	events       []Event
}

// startBuffering holds events back if the process was frozen since the last one.
func (m *Machine) startBuffering(last time.Duration) {
	now := m.now.Since
	if last == 0 || now-last < freezeThreshold || m.resume.until > 0 || len(m.cellNames) == 0 {
		return
	}
	m.resume.start = now
	m.resume.until = now + resumeBufferTimeout
	m.resume.awaitedLists = make(map[string]bool)
	for _, name := range m.cellNames {
		m.resume.awaitedLists[name] = true
	}
	m.next.hosts = now + hostsInterval
	m.listHosts()
}

// bufferEvent keeps an event back and returns true while the hold lasts. At its end it handles those kept back.
func (m *Machine) bufferEvent(event Event) bool {
	if m.resume.until == 0 {
		return false
	}
	if e, ok := event.(HostsListed); ok && e.SentAt >= m.resume.start {
		delete(m.resume.awaitedLists, e.Service)
		m.handle(event)
		event = Ticked{}
	}
	if len(m.resume.awaitedLists) > 0 && m.now.Since < m.resume.until {
		if _, ticked := event.(Ticked); !ticked {
			m.resume.events = append(m.resume.events, event)
		}
		return true
	}
	events := m.resume.events
	m.resume = resumeBuffer{}
	for _, e := range events {
		m.handle(e)
	}
	return false
}

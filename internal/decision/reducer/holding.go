package reducer

import "time"

const (
	// freezeThreshold is the time between two events above which the process is taken to have been frozen.
	// Timers wake it more often than that.
	freezeThreshold = 1500 * time.Millisecond
	// resumeBufferTimeout bounds the wait for the host list after a freeze.
	resumeBufferTimeout = 50 * time.Millisecond
)

// A resumeBuffer buffers events after a freeze until the host list is read again, so that no request or order
// goes to a server that has started to leave in the meantime.
type resumeBuffer struct {
	// start is when the process resumed; until is when the events are handled at the latest, 0 if none are
	// buffered.
	start, until time.Duration
	// awaitedLists are the services whose host list hasn't been read yet.
	awaitedLists map[string]bool
	events       []Event
}

// startBuffering starts to buffer events if the process was frozen since the last event.
func (m *Machine) startBuffering(last time.Duration) {
	now := m.now.Monotonic
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

// bufferEvent buffers an event and returns true until the buffering ends. Then it handles the buffered events
// and returns false.
func (m *Machine) bufferEvent(event Event) bool {
	if m.resume.until == 0 {
		return false
	}
	if e, ok := event.(HostsListed); ok && e.SentAt >= m.resume.start {
		delete(m.resume.awaitedLists, e.Service)
		m.handle(event)
		event = Ticked{}
	}
	if len(m.resume.awaitedLists) > 0 && m.now.Monotonic < m.resume.until {
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

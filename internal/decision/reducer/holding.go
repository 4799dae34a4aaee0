package reducer

import "time"

const (
	// frozenAfter is the time between two events that shows that the process was frozen: it is woken more often.
	frozenAfter = 1500 * time.Millisecond
	// holdLimit bounds the wait for the host list after a freeze.
	holdLimit = 50 * time.Millisecond
)

// A hold keeps events back after a freeze until the host list has been read anew, so that no request or order goes
// to a server that is leaving since.
type hold struct {
	// since is when the process went on, until when the events are handled at the latest; 0 if none are held.
	since, until time.Duration
	// lists are the services whose host list is awaited.
	lists  map[string]bool
	events []Event
}

// startHold holds events back if the process was frozen since the last one.
func (m *Machine) startHold(last time.Duration) {
	now := m.now.Since
	if last == 0 || now-last < frozenAfter || m.hold.until > 0 || len(m.cellNames) == 0 {
		return
	}
	m.hold.since = now
	m.hold.until = now + holdLimit
	m.hold.lists = make(map[string]bool)
	for _, name := range m.cellNames {
		m.hold.lists[name] = true
	}
	m.next.hosts = now + hostsInterval
	m.listHosts()
}

// held keeps an event back and returns true while the hold lasts. At its end it handles those kept back.
func (m *Machine) held(event Event) bool {
	if m.hold.until == 0 {
		return false
	}
	if e, ok := event.(HostsListed); ok && e.SentAt >= m.hold.since {
		delete(m.hold.lists, e.Service)
		m.handle(event)
		event = Ticked{}
	}
	if len(m.hold.lists) > 0 && m.now.Since < m.hold.until {
		if _, ticked := event.(Ticked); !ticked {
			m.hold.events = append(m.hold.events, event)
		}
		return true
	}
	events := m.hold.events
	m.hold = hold{}
	for _, e := range events {
		m.handle(e)
	}
	return false
}

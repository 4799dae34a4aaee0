package follower

import (
	"strings"

	"github.com/phuslu/log"

	"samphirewharf/internal/decision/conductor"
	"samphirewharf/internal/decision/resumer"
	"samphirewharf/internal/external/storer"
	"samphirewharf/internal/fleet/matcher"
	"samphirewharf/internal/fleet/registrar"
)

// An EventPoster decodes entries of the store and posts them to the conductor as events.
type EventPoster struct {
	// Post passes an event to the conductor.
	Post func(conductor.Event)
	// DecodeServer and DecodeConfiguration decode the platform's entries.
	DecodeServer        func(key string, value []byte, revision int64) (registrar.Entry, error)
	DecodeConfiguration func(value []byte) (*matcher.Configuration, error)
	// OnConfiguration is called with each configuration before it is posted to the conductor.
	OnConfiguration func(c *matcher.Configuration)
	// ConfigurationKey is the key of the newest configuration. ServerID returns the ID of the server with a key.
	ConfigurationKey string
	ServerID         func(key string) string
	Logger           *log.Logger
}

// ServersListed posts all servers' entries. It skips entries that can't be decoded.
func (p *EventPoster) ServersListed(entries []storer.Entry, revision int64) {
	var list []registrar.Entry
	for _, e := range entries {
		if entry, ok := p.decodeServer(e); ok {
			list = append(list, entry)
		}
	}
	p.Post(conductor.ServersListed{Entries: list, Revision: revision})
}

// ServerChanged posts one server's entry. A server whose entry can't be decoded is posted as removed.
func (p *EventPoster) ServerChanged(e storer.Entry) {
	if entry, ok := p.decodeServer(e); ok {
		p.Post(conductor.ServerChanged{Entry: entry})
		return
	}
	p.Post(conductor.ServerRemoved{ID: p.ServerID(e.Key), Revision: e.Revision})
}

// ServerRemoved posts the removal of a server's entry.
func (p *EventPoster) ServerRemoved(key string, revision int64) {
	p.Post(conductor.ServerRemoved{ID: p.ServerID(key), Revision: revision})
}

// DaemonsListed posts the records of all daemons and of the leader. It skips records that can't be decoded.
func (p *EventPoster) DaemonsListed(entries []storer.Entry, revision int64) {
	event := conductor.DaemonsListed{Revision: revision}
	for _, e := range entries {
		switch {
		case e.Key == LeaderKey:
			if leader, err := decodeLeader(e); err == nil {
				event.Leader = &leader
			} else {
				p.logUnusable(e, err)
			}
		case isDaemonKey(e.Key):
			if daemon, err := decodeDaemon(e); err == nil {
				event.Daemons = append(event.Daemons, conductor.DaemonChanged{Daemon: daemon, Revision: e.Revision})
			} else {
				p.logUnusable(e, err)
			}
		case strings.HasPrefix(e.Key, VersionsPrefix):
			event.MixedServices = append(event.MixedServices, e.Key[len(VersionsPrefix):])
		case IsHistoryKey(e.Key):
			event.Histories = append(event.Histories, p.decodeHistory(e))
		case isQuarantineKey(e.Key):
			if quarantine, err := decodeQuarantine(e); err == nil {
				event.Quarantines = append(event.Quarantines, quarantine)
			} else {
				p.logUnusable(e, err)
			}
		}
	}
	p.Post(event)
}

// DaemonChanged posts the record of a daemon or of the leader.
func (p *EventPoster) DaemonChanged(e storer.Entry) {
	switch {
	case e.Key == LeaderKey:
		leader, err := decodeLeader(e)
		if err != nil {
			p.logUnusable(e, err)
			return
		}
		p.Post(conductor.LeaderChanged{Leader: leader})
	case isDaemonKey(e.Key):
		daemon, err := decodeDaemon(e)
		if err != nil {
			p.logUnusable(e, err)
			return
		}
		p.Post(conductor.DaemonChanged{Daemon: daemon, Revision: e.Revision})
	case strings.HasPrefix(e.Key, VersionsPrefix):
		p.Post(conductor.VersionsRecorded{Service: e.Key[len(VersionsPrefix):]})
	case IsHistoryKey(e.Key):
		p.Post(conductor.HistoryChanged{History: p.decodeHistory(e)})
	case isQuarantineKey(e.Key):
		quarantine, err := decodeQuarantine(e)
		if err != nil {
			p.logUnusable(e, err)
			return
		}
		p.Post(conductor.QuarantineChanged{Quarantine: quarantine})
	}
}

// DaemonRemoved posts the removal of the record of a daemon or of the leader.
func (p *EventPoster) DaemonRemoved(key string, revision int64) {
	switch {
	case key == LeaderKey:
		p.Post(conductor.LeaderRemoved{Revision: revision})
	case strings.HasPrefix(key, VersionsPrefix):
		p.Post(conductor.VersionsRecordRemoved{Service: key[len(VersionsPrefix):]})
	case IsHistoryKey(key):
		p.Post(conductor.HistoryChanged{History: resumer.History{Service: key[len(HistoriesPrefix):], Revision: revision}, Removed: true})
	case isDaemonKey(key):
		p.Post(conductor.DaemonRemoved{Name: key[len(daemonsPrefix):], Revision: revision})
	}
}

// ConfigurationListed handles all of the operators' entries.
func (p *EventPoster) ConfigurationListed(entries []storer.Entry, _ int64) {
	for _, e := range entries {
		p.ConfigurationChanged(e)
	}
}

// ConfigurationChanged handles one of the operators' entries and posts the configuration in it, if any. If the
// configuration can't be decoded, the current one stays in force.
func (p *EventPoster) ConfigurationChanged(e storer.Entry) {
	if e.Key != p.ConfigurationKey {
		return
	}
	c, err := p.DecodeConfiguration(e.Value)
	if err != nil {
		p.logUnusable(e, err)
		return
	}
	p.OnConfiguration(c)
	p.Post(conductor.ConfigurationChanged{Configuration: c})
}

// ConfigurationRemoved logs the removal of one of the operators' entries. The current configuration stays in force.
func (p *EventPoster) ConfigurationRemoved(key string, revision int64) {
	p.Logger.Warn().Str("Key", key).Int64("Revision", revision).Msg("operators' entry was removed; the current configuration stays in force")
}

func (p *EventPoster) decodeServer(e storer.Entry) (registrar.Entry, bool) {
	entry, err := p.DecodeServer(e.Key, e.Value, e.Revision)
	if err != nil {
		p.logUnusable(e, err)
		return registrar.Entry{}, false
	}
	return entry, true
}

func (p *EventPoster) decodeHistory(e storer.Entry) resumer.History {
	h, err := DecodeHistory(e)
	if err != nil {
		p.logUnusable(e, err)
	}
	return h
}

func (p *EventPoster) logUnusable(e storer.Entry, err error) {
	p.Logger.Warn().Err(err).Str("Key", e.Key).Int64("Revision", e.Revision).Msg("entry can't be used")
}

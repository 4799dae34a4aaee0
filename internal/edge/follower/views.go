package follower

import (
	"github.com/phuslu/log"

	"samphirewharf/internal/decision/conductor"
	"samphirewharf/internal/external/storer"
	"samphirewharf/internal/fleet/matcher"
	"samphirewharf/internal/fleet/registrar"
)

// A EventPoster turns what a daemon follows into events.
type EventPoster struct {
	// Post passes an event to the conductor.
	Post func(conductor.Event)
	// DecodeServer and DecodeConfiguration read the platform's entries.
	DecodeServer        func(key string, value []byte, revision int64) (registrar.Entry, error)
	DecodeConfiguration func(value []byte) (*matcher.Configuration, error)
	// Configured is told of a configuration before the conductor is.
	OnConfiguration func(c *matcher.Configuration)
	// ConfigurationKey is the key of the newest configuration, ServerID returns the server that a key belongs to.
	ConfigurationKey string
	ServerID         func(key string) string
	Logger           *log.Logger
}

// ServersListed takes all servers' entries. One that can't be read names no server; the others hold.
func (v *EventPoster) ServersListed(entries []storer.Entry, revision int64) {
	var list []registrar.Entry
	for _, e := range entries {
		if entry, ok := v.server(e); ok {
			list = append(list, entry)
		}
	}
	v.Post(conductor.ServersListed{Entries: list, Revision: revision})
}

// ServerChanged takes one server's entry.
func (v *EventPoster) ServerChanged(e storer.Entry) {
	if entry, ok := v.server(e); ok {
		v.Post(conductor.ServerChanged{Entry: entry})
		return
	}
	v.Post(conductor.ServerRemoved{ID: v.ServerID(e.Key), Revision: e.Revision})
}

// ServerRemoved takes the end of a server's entry.
func (v *EventPoster) ServerRemoved(key string, revision int64) {
	v.Post(conductor.ServerRemoved{ID: v.ServerID(key), Revision: revision})
}

// DaemonsListed takes all the daemons' own records.
func (v *EventPoster) DaemonsListed(entries []storer.Entry, revision int64) {
	event := conductor.DaemonsListed{Revision: revision}
	for _, e := range entries {
		switch {
		case e.Key == LeaderKey:
			if holder, err := decodeRole(e); err == nil {
				event.Leader = &holder
			} else {
				v.unreadable(e, err)
			}
		case isDaemon(e.Key):
			if daemon, err := decodeDaemon(e); err == nil {
				event.Daemons = append(event.Daemons, conductor.DaemonChanged{Daemon: daemon, Revision: e.Revision})
			} else {
				v.unreadable(e, err)
			}
		}
	}
	v.Post(event)
}

// DaemonChanged takes one of the daemons' own records.
func (v *EventPoster) DaemonChanged(e storer.Entry) {
	switch {
	case e.Key == LeaderKey:
		holder, err := decodeRole(e)
		if err != nil {
			v.unreadable(e, err)
			return
		}
		v.Post(conductor.LeaderChanged{Leader: holder})
	case isDaemon(e.Key):
		daemon, err := decodeDaemon(e)
		if err != nil {
			v.unreadable(e, err)
			return
		}
		v.Post(conductor.DaemonChanged{Daemon: daemon, Revision: e.Revision})
	}
}

// DaemonRemoved takes the end of one of the daemons' own records.
func (v *EventPoster) DaemonRemoved(key string, revision int64) {
	switch {
	case key == LeaderKey:
		v.Post(conductor.LeaderRemoved{Revision: revision})
	case isDaemon(key):
		v.Post(conductor.DaemonRemoved{Name: key[len(daemonsPrefix):], Revision: revision})
	}
}

// ConfigurationListed takes the operators' entries.
func (v *EventPoster) ConfigurationListed(entries []storer.Entry, _ int64) {
	for _, e := range entries {
		v.ConfigurationChanged(e)
	}
}

// ConfigurationChanged takes one of the operators' entries. A configuration that can't be read leaves the one in force.
func (v *EventPoster) ConfigurationChanged(e storer.Entry) {
	if e.Key != v.ConfigurationKey {
		return
	}
	c, err := v.DecodeConfiguration(e.Value)
	if err != nil {
		v.unreadable(e, err)
		return
	}
	v.OnConfiguration(c)
	v.Post(conductor.ConfigurationChanged{Configuration: c})
}

// ConfigurationRemoved takes the end of one of the operators' entries. The configuration in force stays.
func (v *EventPoster) ConfigurationRemoved(key string, revision int64) {
	v.Logger.Warn().Str("Key", key).Int64("Revision", revision).Msg("operators' entry removed; the configuration stays")
}

func (v *EventPoster) server(e storer.Entry) (registrar.Entry, bool) {
	entry, err := v.DecodeServer(e.Key, e.Value, e.Revision)
	if err != nil {
		v.unreadable(e, err)
		return registrar.Entry{}, false
	}
	return entry, true
}

func (v *EventPoster) unreadable(e storer.Entry, err error) {
	v.Logger.Warn().Err(err).Str("Key", e.Key).Int64("Revision", e.Revision).Msg("entry can't be used")
}

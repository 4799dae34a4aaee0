package tracker

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/google/uuid"
)

// KeyPrefix is the prefix of the keys that daemons register under.
const KeyPrefix = "daemons/"

const uuidVersionWithTime = 7

// A Daemon is the registration of an entry daemon.
type Daemon struct {
	// ID is unique among live daemons. It is part of the key and not of the value.
	ID string `json:"-"`
	// Instance identifies the process. It should be a UUID of version 7; see Tracker.KnownDead.
	Instance string
	// Address is the IP:PORT where the daemon accepts messages and requests.
	Address string
	Zone    string
	Region  string
	// Leaving reports whether the daemon is in a planned stop.
	Leaving bool `json:",omitempty"`
}

// DecodeDaemon decodes a daemon from a key and its value.
func DecodeDaemon(key string, value []byte) (Daemon, error) {
	id, ok := strings.CutPrefix(key, KeyPrefix)
	if !ok || id == "" {
		return Daemon{}, fmt.Errorf("decode daemon %q: not a key of a daemon", key)
	}
	var d Daemon
	if err := json.Unmarshal(value, &d); err != nil {
		return Daemon{}, fmt.Errorf("decode daemon %q: %w", key, err)
	}
	d.ID = id
	return d, nil
}

// Encode returns the value that the daemon registers.
func (d Daemon) Encode() ([]byte, error) {
	value, err := json.Marshal(d)
	if err != nil {
		return nil, fmt.Errorf("encode daemon %s: %w", d.ID, err)
	}
	return value, nil
}

// Key returns the key that the daemon registers under.
func (d Daemon) Key() string { return KeyPrefix + d.ID }

// startedBefore reports whether both instances contain their start time and a started before b.
func startedBefore(a, b string) bool {
	first, err := uuid.Parse(a)
	if err != nil || first.Version() != uuidVersionWithTime {
		return false
	}
	second, err := uuid.Parse(b)
	if err != nil || second.Version() != uuidVersionWithTime {
		return false
	}
	return string(first[:6]) < string(second[:6])
}

package follower

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"samphirewharf/internal/decision/attributor"
	"samphirewharf/internal/decision/conductor"
	"samphirewharf/internal/decision/resumer"
	"samphirewharf/internal/external/storer"
	"samphirewharf/internal/fleet/sequencer"
)

const (
	// SharedPrefix is the prefix of the records that daemons share through the store.
	SharedPrefix = "samphirewharf/"
	// daemonsPrefix is the prefix of the daemons' records, each of which is tied to the daemon's lease.
	daemonsPrefix = SharedPrefix + "daemons/"
	// LeaderKey is the key of the leader's record, which is tied to the leader's lease.
	LeaderKey = SharedPrefix + "role"
	// quarantinesPrefix is the prefix of the records of what crashes servers. Earlier versions read it too.
	quarantinesPrefix = SharedPrefix + "convictions/"
	// VersionsPrefix is the prefix of the records that services have had several software versions lately.
	VersionsPrefix = SharedPrefix + "versions/"
	// HistoriesPrefix is the prefix of the histories of the services' software versions.
	HistoriesPrefix = SharedPrefix + "versions-history/"
	// BothVersionsPrefix is that of the keys with VersionsPrefix or HistoriesPrefix.
	BothVersionsPrefix = SharedPrefix + "versions"
)

// A daemonRecord is a daemon's record in the store.
type daemonRecord struct {
	Name     string
	Instance string
	Front    string
	Peer     string
	Zone     string
	// Processor is the daemon's share of a processor, in thousandths.
	Processor int
	// LinkDown reports whether the daemon reaches no server.
	LinkDown bool `json:",omitempty"`
	// FleetChanges reports whether the daemon takes changes of the leader's view. Earlier versions need the whole view each second.
	FleetChanges bool `json:",omitempty"`
}

// A leaderRecord is the record of the leader, which sends orders to engines.
type leaderRecord struct {
	Name     string
	Instance string
}

// A quarantineRecord is the record that requests with a trait crash servers. Its key names the trait.
type quarantineRecord struct {
	Depth       int
	Quarantines int `json:"Convictions"`
	// EvidenceAgeMS is the time since the last crash, HoldMS for how much longer requests are held back.
	EvidenceAgeMS int64
	HoldMS        int64
}

// DaemonKey returns the key of a daemon's record.
func DaemonKey(name string) string { return daemonsPrefix + name }

// EncodeDaemon returns the encoded record of a daemon.
func EncodeDaemon(d conductor.Daemon) ([]byte, error) {
	value, err := json.Marshal(daemonRecord{Name: d.Name, Instance: d.Instance, Front: d.CallerAddress, Peer: d.PeerAddress, Zone: d.Zone, Processor: d.CPUMillicores, LinkDown: d.LinkDown, FleetChanges: d.FleetChanges})
	if err != nil {
		return nil, fmt.Errorf("encode record of daemon %s: %w", d.Name, err)
	}
	return value, nil
}

// EncodeLeader returns the encoded record of the leader.
func EncodeLeader(leader conductor.Leader) ([]byte, error) {
	value, err := json.Marshal(leaderRecord{Name: leader.Name, Instance: leader.Instance})
	if err != nil {
		return nil, fmt.Errorf("encode leader record: %w", err)
	}
	return value, nil
}

func decodeDaemon(e storer.Entry) (conductor.Daemon, error) {
	var r daemonRecord
	if err := json.Unmarshal(e.Value, &r); err != nil {
		return conductor.Daemon{}, fmt.Errorf("decode %s: %w", e.Key, err)
	}
	return conductor.Daemon{Name: r.Name, Instance: r.Instance, CallerAddress: r.Front, PeerAddress: r.Peer, Zone: r.Zone, CPUMillicores: r.Processor, LinkDown: r.LinkDown, FleetChanges: r.FleetChanges}, nil
}

func decodeLeader(e storer.Entry) (conductor.Leader, error) {
	var r leaderRecord
	if err := json.Unmarshal(e.Value, &r); err != nil {
		return conductor.Leader{}, fmt.Errorf("decode %s: %w", e.Key, err)
	}
	// The revision rises with each change of leader, so it serves as the fencing token.
	return conductor.Leader{Name: r.Name, Instance: r.Instance, FencingToken: e.Revision}, nil
}

// QuarantineKey returns the key of the record that requests with a trait crash servers.
func QuarantineKey(t attributor.Trait) string {
	return quarantinesPrefix + t.Kind.String() + "/" + strconv.FormatUint(t.Hash, 16)
}

// EncodeQuarantine returns the encoded record that requests with a trait crash servers.
func EncodeQuarantine(c conductor.Quarantine) ([]byte, error) {
	value, err := json.Marshal(quarantineRecord{Depth: c.Depth, Quarantines: c.Quarantines, EvidenceAgeMS: c.EvidenceAge.Milliseconds(), HoldMS: c.Hold.Milliseconds()})
	if err != nil {
		return nil, fmt.Errorf("encode quarantine: %w", err)
	}
	return value, nil
}

func decodeQuarantine(e storer.Entry) (conductor.Quarantine, error) {
	kind, hash, _ := strings.Cut(strings.TrimPrefix(e.Key, quarantinesPrefix), "/")
	t := attributor.Trait{Kind: attributor.KindRequest}
	if kind == attributor.KindPart.String() {
		t.Kind = attributor.KindPart
	}
	var err error
	if t.Hash, err = strconv.ParseUint(hash, 16, 64); err != nil {
		return conductor.Quarantine{}, fmt.Errorf("decode %s: %w", e.Key, err)
	}
	var r quarantineRecord
	if err := json.Unmarshal(e.Value, &r); err != nil {
		return conductor.Quarantine{}, fmt.Errorf("decode %s: %w", e.Key, err)
	}
	return conductor.Quarantine{
		Trait: t, Depth: r.Depth, Quarantines: r.Quarantines, EvidenceAge: time.Duration(r.EvidenceAgeMS) * time.Millisecond,
		Hold: time.Duration(r.HoldMS) * time.Millisecond, Revision: e.Revision,
	}, nil
}

// VersionsKey returns the key of the record that a service has had several software versions lately.
func VersionsKey(service string) string { return VersionsPrefix + service }

// A historyRecord is the history of a service's software versions in the store. Its key names the service.
type historyRecord struct {
	Versions []string
	Complete bool
	Epoch    int64
}

// HistoryKey returns the key of the history of a service's software versions.
func HistoryKey(service string) string { return HistoriesPrefix + service }

// EncodeHistory returns the encoded history of a service's software versions.
func EncodeHistory(h resumer.History) ([]byte, error) {
	value, err := json.Marshal(historyRecord{Versions: h.Versions, Complete: h.Complete, Epoch: h.Epoch})
	if err != nil {
		return nil, fmt.Errorf("encode history of service %s: %w", h.Service, err)
	}
	return value, nil
}

// DecodeHistory returns the history of a service's software versions. One that can't be decoded says nothing, so it isn't complete.
func DecodeHistory(e storer.Entry) (resumer.History, error) {
	h := resumer.History{Service: e.Key[len(HistoriesPrefix):], StoredEpoch: sequencer.Epoch(e.Revision), Revision: e.Revision}
	var r historyRecord
	if err := json.Unmarshal(e.Value, &r); err != nil {
		return h, fmt.Errorf("decode %s: %w", e.Key, err)
	}
	h.Versions, h.Complete, h.Epoch = r.Versions, r.Complete, r.Epoch
	return h, nil
}

// IsHistoryKey reports whether a key is that of a history.
func IsHistoryKey(key string) bool { return strings.HasPrefix(key, HistoriesPrefix) }

func isQuarantineKey(key string) bool { return strings.HasPrefix(key, quarantinesPrefix) }

func isDaemonKey(key string) bool { return strings.HasPrefix(key, daemonsPrefix) }

package surveyor

import (
	"encoding/json"
	"time"

	"google.golang.org/protobuf/proto"

	"samphirewharf/internal/decision/reducer"
	"samphirewharf/internal/external/storer"
	"samphirewharf/internal/peer/messenger"
)

// A Party is whom a daemon exchanges calls with.
type TrafficKind string

// The parties.
const (
	TrafficStoreReads  TrafficKind = "StoreReads"
	TrafficStoreWrites TrafficKind = "StoreWrites"
	TrafficHostList    TrafficKind = "HostList"
	TrafficEngines     TrafficKind = "Engines"
	TrafficPeersOut    TrafficKind = "PeersOut"
	TrafficPeersIn     TrafficKind = "PeersIn"
)

// parties are all parties, in the order they are printed.
var parties = []TrafficKind{TrafficStoreReads, TrafficStoreWrites, TrafficHostList, TrafficEngines, TrafficPeersOut, TrafficPeersIn}

// A Traffic is what was exchanged with one party. Bytes are those of encoded contents, in both directions;
// headers of HTTP and TCP come on top for each call.
type Traffic struct {
	Calls int
	Bytes int
}

// A tally counts traffic by party.
type tally map[TrafficKind]*Traffic

func (t tally) add(p TrafficKind, bytes int) {
	if t[p] == nil {
		t[p] = &Traffic{}
	}
	t[p].Calls++
	t[p].Bytes += bytes
}

// sent counts a call as its effect leaves the daemon.
func (t tally) sent(effect reducer.Effect, identity messenger.Message) {
	switch e := effect.(type) {
	case reducer.StoreGet:
		t.add(TrafficStoreReads, len(e.Key))
	case reducer.StoreList:
		t.add(TrafficStoreReads, len(e.Prefix))
	case reducer.StoreWatch:
		t.add(TrafficStoreReads, len(e.Prefix))
	case reducer.StoreSwap:
		t.add(TrafficStoreWrites, len(e.Key)+len(e.Value))
	case reducer.StoreDelete:
		t.add(TrafficStoreWrites, len(e.Key))
	case reducer.LeaseRenew:
		t.add(TrafficStoreWrites, leaseBytes)
	case reducer.ListHosts:
		t.add(TrafficHostList, len(e.Service))
	case reducer.PollServer:
		t.add(TrafficEngines, 0)
	case reducer.SendOrder:
		t.add(TrafficEngines, encodedBytes(e.Order))
	case reducer.SendPeer:
		t.add(TrafficPeersOut, messageBytes(e.Message, identity))
	}
}

// answered counts the content of an answer as part of its call.
func (t tally) answered(event reducer.Event) {
	switch e := event.(type) {
	case reducer.StoreGot:
		t.extend(TrafficStoreReads, len(e.Entry.Value))
	case reducer.StoreListed:
		t.extend(TrafficStoreReads, entryBytes(e.Entries))
	case reducer.ServerPolled:
		t.extend(TrafficEngines, encodedBytes(e.Report))
	case reducer.HostsListed:
		if !e.Unchanged {
			t.extend(TrafficHostList, encodedBytes(e.Hosts))
		}
	}
}

func (t tally) extend(p TrafficKind, bytes int) {
	if t[p] != nil {
		t[p].Bytes += bytes
	}
}

// leaseBytes is about the size of a renewal with its answer.
const leaseBytes = 60

// messageBytes returns the encoded size of a message between daemons.
func messageBytes(m, identity messenger.Message) int {
	m.From, m.Instance, m.Address, m.Zone = identity.From, identity.Instance, identity.Address, identity.Zone
	return proto.Size(m.Envelope())
}

func encodedBytes(value any) int {
	data, err := json.Marshal(value)
	if err != nil {
		return 0
	}
	return len(data)
}

func entryBytes(entries []storer.Entry) int {
	bytes := 0
	for _, e := range entries {
		bytes += len(e.Key) + len(e.Value)
	}
	return bytes
}

// A Rate is traffic in each second.
type Rate struct {
	Kind           TrafficKind
	CallsPerSecond float64
	BytesPerSecond float64
}

// rates returns the traffic of all parties over a time.
func (t tally) rates(over time.Duration) []Rate {
	var list []Rate
	for _, p := range parties {
		if traffic := t[p]; traffic != nil {
			list = append(list, Rate{p, float64(traffic.Calls) / over.Seconds(), float64(traffic.Bytes) / over.Seconds()})
		}
	}
	return list
}

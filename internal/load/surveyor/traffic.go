package surveyor

import (
	"encoding/json"
	"time"

	"google.golang.org/protobuf/proto"

	"samphirewharf/internal/decision/reducer"
	"samphirewharf/internal/external/storer"
	"samphirewharf/internal/peer/messenger"
)

// A TrafficKind is a kind of calls that a daemon exchanges with another part of the system.
type TrafficKind string

// The kinds of traffic.
const (
	TrafficStoreReads  TrafficKind = "StoreReads"
	TrafficStoreWrites TrafficKind = "StoreWrites"
	TrafficHostList    TrafficKind = "HostList"
	TrafficEngines     TrafficKind = "Engines"
	TrafficPeersOut    TrafficKind = "PeersOut"
	TrafficPeersIn     TrafficKind = "PeersIn"
)

// trafficKinds lists all kinds, in the order in which they are printed.
var trafficKinds = []TrafficKind{TrafficStoreReads, TrafficStoreWrites, TrafficHostList, TrafficEngines, TrafficPeersOut, TrafficPeersIn}

// A Traffic is the traffic of one kind. Bytes counts the encoded contents in both directions, without the
// HTTP and TCP headers of each call.
type Traffic struct {
	Calls int
	Bytes int
}

// A trafficCounts counts traffic by kind.
type trafficCounts map[TrafficKind]*Traffic

func (t trafficCounts) add(kind TrafficKind, bytes int) {
	if t[kind] == nil {
		t[kind] = &Traffic{}
	}
	t[kind].Calls++
	t[kind].Bytes += bytes
}

// countEffect counts the call that an effect makes.
func (t trafficCounts) countEffect(effect reducer.Effect, identity messenger.Message) {
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

// countEvent adds the content of a response to its call.
func (t trafficCounts) countEvent(event reducer.Event) {
	switch e := event.(type) {
	case reducer.StoreGot:
		t.addBytes(TrafficStoreReads, len(e.Entry.Value))
	case reducer.StoreListed:
		t.addBytes(TrafficStoreReads, entryBytes(e.Entries))
	case reducer.ServerPolled:
		t.addBytes(TrafficEngines, encodedBytes(e.Report))
	case reducer.HostsListed:
		if !e.Unchanged {
			t.addBytes(TrafficHostList, encodedBytes(e.Hosts))
		}
	}
}

func (t trafficCounts) addBytes(kind TrafficKind, bytes int) {
	if t[kind] != nil {
		t[kind].Bytes += bytes
	}
}

// leaseBytes is the approximate size of a lease renewal and its response.
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

// A Rate is the traffic of one kind per second.
type Rate struct {
	Kind           TrafficKind
	CallsPerSecond float64
	BytesPerSecond float64
}

// rates returns the rates of all kinds with traffic, averaged over a duration.
func (t trafficCounts) rates(duration time.Duration) []Rate {
	var list []Rate
	for _, kind := range trafficKinds {
		if traffic := t[kind]; traffic != nil {
			list = append(list, Rate{kind, float64(traffic.Calls) / duration.Seconds(), float64(traffic.Bytes) / duration.Seconds()})
		}
	}
	return list
}

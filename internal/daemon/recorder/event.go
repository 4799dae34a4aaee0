package recorder

import (
	"encoding/json"
	"fmt"
	"reflect"

	"samphirewharf/internal/decision/reducer"
)

// decoders maps the type names of events to their decoders.
var decoders = map[string]func(json.RawMessage) (reducer.Event, error){
	"RequestArrived":      decode[reducer.RequestArrived],
	"AddressesAsked":      decode[reducer.AddressesAsked],
	"CallerLeft":          decode[reducer.CallerLeft],
	"AttemptStarted":      decode[reducer.AttemptStarted],
	"AttemptEnded":        decode[reducer.AttemptEnded],
	"StoreGot":            decode[reducer.StoreGot],
	"StoreSwapped":        decode[reducer.StoreSwapped],
	"StoreListed":         decode[reducer.StoreListed],
	"StoreChanged":        decode[reducer.StoreChanged],
	"LeaseRenewed":        decode[reducer.LeaseRenewed],
	"HostsListed":         decode[reducer.HostsListed],
	"ServerPolled":        decode[reducer.ServerPolled],
	"OrderEnded":          decode[reducer.OrderEnded],
	"PeerReceived":        decode[reducer.PeerReceived],
	"ConfigurationLoaded": decode[reducer.ConfigurationLoaded],
	"Ticked":              decode[reducer.Ticked],
	"StopRequested":       decode[reducer.StopRequested],
}

func decode[E reducer.Event](data json.RawMessage) (reducer.Event, error) {
	var event E
	if err := json.Unmarshal(data, &event); err != nil {
		return nil, fmt.Errorf("decode event: %w", err)
	}
	return event, nil
}

func decodeEvent(line Line) (reducer.Event, error) {
	decoder, ok := decoders[line.Type]
	if !ok {
		return nil, fmt.Errorf("unknown event type %q", line.Type)
	}
	return decoder(line.Event)
}

func typeName(v any) string { return reflect.TypeOf(v).Name() }

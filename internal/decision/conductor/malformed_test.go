package conductor

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"samphirewharf/internal/peer/messenger"
)

// exampleMessages are messages of all kinds that daemons on a platform send.
func exampleMessages() []messenger.Message {
	suspect := messenger.Suspect{
		Fingerprint: 7, Crashes: 3, Servers: []uint64{1, 2, 3}, Requests: []uint64{7, 7, 7}, Ages: []time.Duration{time.Second, time.Second, time.Second},
		Quarantines: 1, Hold: time.Minute, Answered: true, AnsweredAgo: time.Minute,
	}
	evidence := &messenger.Evidence{Broadcast: true, Suspects: []messenger.Suspect{suspect}}
	fleet := &messenger.Fleet{
		Holder: "d2", Fence: 60, Sequence: 3, Servers: []messenger.FleetServer{{Server: "e1", StartedAt: 1, InFlight: 2}},
		Loading: []messenger.Loading{{Service: engineService, Model: "m1", ReadyIn: time.Second}}, RateLimits: []messenger.RateLimit{{Server: "e1", StartedAt: 1, Limited: true, PerSecond: 3}},
	}
	changes := *fleet
	changes.Sequence, changes.Changes, changes.Previous, changes.Gone, changes.InFlight, changes.Counted = 4, true, 3, []string{"e2"}, map[string]int{"e1": 4}, true
	return []messenger.Message{
		{Evidence: evidence},
		{Fleet: &changes},
		{FleetRequested: true},
		{Evidence: &messenger.Evidence{Requested: true}},
		{Fleet: fleet},
		{Feed: &messenger.Feed{Stream: "s", Sequence: 1, Whole: true, Fleet: fleet, Evidence: evidence}},
		{Demand: &messenger.Demand{
			Models: []messenger.ModelDemand{{Service: engineService, Model: "m1", Waiting: 1, Arrived: 1}}, InFlight: map[string]int{"e1": 1},
			Absences: []messenger.Absence{{Server: "e1", StartedAt: 1, Model: "m1"}}, RateLimits: []messenger.RateLimit{{Server: "e1", StartedAt: 1}},
		}},
		{Origins: &messenger.Origins{Asked: []uint64{3}}},
	}
}

// A daemon outlives whatever another one, or another version of it, sends.
func TestMalformedMessages(t *testing.T) {
	var encoded [][]byte
	for _, m := range exampleMessages() {
		m.From, m.Instance, m.Address = "d2", "i2", "d2"
		data, err := proto.Marshal(m.Envelope())
		if err != nil {
			t.Fatal(err)
		}
		encoded = append(encoded, data)
	}
	delivered := 0
	rapid.Check(t, func(rt *rapid.T) {
		h := newHarness(t)
		h.listDaemons(2, 200)
		h.engine("e1", "a", loadedModel("m1"))
		if rapid.Bool().Draw(rt, "leads") {
			h.becomeLeader()
		}
		for range rapid.IntRange(1, 8).Draw(rt, "messages") {
			data := append([]byte(nil), rapid.SampledFrom(encoded).Draw(rt, "message")...)
			for range rapid.IntRange(0, 6).Draw(rt, "changes") {
				data[rapid.IntRange(0, len(data)-1).Draw(rt, "at")] = rapid.Byte().Draw(rt, "byte")
			}
			var envelope messenger.Envelope
			if proto.Unmarshal(data, &envelope) != nil {
				continue
			}
			delivered++
			h.step(PeerReceived{Message: envelope.Message()})
			h.request(quick, "m1", "")
			h.advance(time.Duration(rapid.IntRange(1, 500).Draw(rt, "pause")) * time.Millisecond)
		}
	})
	if delivered == 0 {
		t.Error("got no message that can be decoded, want some")
	}
	t.Logf("%d messages", delivered)
}

package messenger

import (
	"reflect"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"samphirewharf/internal/fleet/registrar"
)

func TestFleetMessagesTravelWhole(t *testing.T) {
	want := Message{
		From: "a", Address: "10.0.0.1:7",
		Demand: &Demand{
			ConfigurationVersion: 3,
			Models:               []ModelDemand{{Service: "s", Model: "m", Adapter: "a1", Waiting: 2, Running: 1, Arrived: 4, Refused: 5, Slack: -time.Second, SoftwareVersion: "v2", Pinned: true}},
			InFlight:             map[string]int{"i-1": 7},
			Suspects:             []Suspect{{Fingerprint: 1 << 63, Crashes: 2, Servers: []uint64{4, 1 << 62}}},
			RateLimits:           []RateLimit{{Server: "i-1", StartedAt: 9, Limited: true, PerSecond: 2.4}},
			Absences:             []Absence{{Server: "i-1", StartedAt: 9, Model: "m", Adapter: "a1"}},
		},
		Fleet: &Fleet{
			Holder: "h", Fence: 41, Sequence: 2, ConfigurationVersion: 3,
			Servers:  []FleetServer{{Server: "i-1", StartedAt: 9, InFlight: 3, Models: []registrar.LoadedModel{{Name: "m", Version: 1, Adapters: []string{"a1"}}}}},
			Loading:  []Loading{{Service: "s", Model: "n", ReadyIn: time.Second, SoftwareVersion: "v2"}},
			Suspects: []Suspect{{Fingerprint: 5, Crashes: 3}}, RateLimits: []RateLimit{{Server: "i-1", StartedAt: 9}},
		},
		Evidence: &Evidence{Broadcast: true, Requested: true, Reply: true, Suspects: []Suspect{{
			Fingerprint: 7, Part: true, Depth: 1, Servers: []uint64{4}, Requests: []uint64{5}, Ages: []time.Duration{time.Second},
			Answered: true, AnsweredAgo: 2 * time.Second, Quarantines: 2, Cleared: 1, QuarantinedAgo: 3 * time.Second, Hold: -time.Second,
		}}},
		Origins:   &Origins{Origins: []StreamOrigin{{Stream: 1 << 63, SoftwareVersion: "v1.2"}}, Asked: []uint64{7}, Completed: []uint64{8}, Record: true},
		Subscribe: &Subscribe{Stream: "i", Sequence: 4},
		Feed: &Feed{
			Stream: "i", Sequence: 5, Fresh: true, Whole: true, Fleet: &Fleet{Fence: 42, Sequence: 1}, Evidence: &Evidence{Suspects: []Suspect{{Fingerprint: 8}}},
			Views: []View{{Prefix: "p/", Revision: 9, Entries: []ViewEntry{
				{Key: "p/a", Value: []byte("x"), Revision: 8}, {Key: "p/b", Revision: 9, Removed: true},
			}}},
		},
	}
	assertTravelsWhole(t, want)
}

func TestFleetChangesTravelWhole(t *testing.T) {
	changes := &Fleet{
		Holder: "h", Fence: 41, Sequence: 2, Changes: true, Previous: 1, Gone: []string{"i-2"}, InFlight: map[string]int{"i-1": 0}, Counted: true,
		Loading: []Loading{{Service: "s", Model: "n", Ended: true}},
	}
	assertTravelsWhole(t, Message{From: "a", FleetRequested: true, Fleet: changes})
	assertTravelsWhole(t, Message{From: "a", Feed: &Feed{Stream: "i", Fleet: changes}})
	assertTravelsWhole(t, Message{From: "a", Fleet: &Fleet{Fence: 41, Whole: true}})
	t.Run("earlier versions don't take them for the whole view", func(t *testing.T) {
		envelope := Message{Fleet: changes, Feed: &Feed{Fleet: changes}}.Envelope()
		if envelope.GetFleet() != nil || envelope.GetFeed().GetFleet() != nil {
			t.Error("got changes in the part that earlier versions read, want none")
		}
	})
}

func assertTravelsWhole(t *testing.T, want Message) {
	t.Helper()
	bytes, err := proto.Marshal(want.Envelope())
	if err != nil {
		t.Fatal(err)
	}
	var envelope Envelope
	if err := proto.Unmarshal(bytes, &envelope); err != nil {
		t.Fatal(err)
	}
	if got := envelope.Message(); !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

package messenger

import (
	"bytes"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protodesc"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/descriptorpb"
	"google.golang.org/protobuf/types/dynamicpb"

	"samphirewharf/internal/fleet/registrar"
)

// earlier is the folder of what the build of a941caf wrote: a message with all parts, and the descriptor that it reads messages by.
const earlier = "testdata/a941caf"

// earlierMessage returns the message that the earlier build wrote, as today's build names its fields.
func earlierMessage() Message {
	return Message{
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
		Evidence: &Evidence{Broadcast: true, Suspects: []Suspect{{
			Fingerprint: 7, Part: true, Depth: 1, Servers: []uint64{4}, Requests: []uint64{5}, Ages: []time.Duration{time.Second},
			Answered: true, AnsweredAgo: 2 * time.Second, Quarantines: 2, Cleared: 1, QuarantinedAgo: 3 * time.Second, Hold: -time.Second,
		}}},
		Origins:   &Origins{Origins: []StreamOrigin{{Stream: 1 << 63, SoftwareVersion: "v1.2"}}, Asked: []uint64{7}},
		Subscribe: &Subscribe{Stream: "i", Sequence: 4},
		Feed: &Feed{
			Stream: "i", Sequence: 5, Fresh: true, Whole: true, Fleet: &Fleet{Fence: 42, Sequence: 1}, Evidence: &Evidence{Suspects: []Suspect{{Fingerprint: 8}}},
			Views: []View{{Prefix: "p/", Revision: 9, Entries: []ViewEntry{
				{Key: "p/a", Value: []byte("x"), Revision: 8}, {Key: "p/b", Revision: 9, Removed: true},
			}}},
		},
	}
}

func readTestdata(t *testing.T, name string) []byte {
	t.Helper()
	data, err := os.ReadFile(filepath.Join(earlier, name))
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// earlierEnvelope returns the earlier build's descriptor of an envelope.
func earlierEnvelope(t *testing.T) protoreflect.MessageDescriptor {
	t.Helper()
	var file descriptorpb.FileDescriptorProto
	if err := proto.Unmarshal(readTestdata(t, "descriptor.bin"), &file); err != nil {
		t.Fatal(err)
	}
	descriptor, err := protodesc.NewFile(&file, nil)
	if err != nil {
		t.Fatal(err)
	}
	return descriptor.Messages().ByName("Envelope")
}

// Daemons of two builds exchange messages while hosts are upgraded one after the other.
func TestEarlierBuild(t *testing.T) {
	written := readTestdata(t, "message.bin")
	t.Run("its messages are read whole", func(t *testing.T) {
		var envelope Envelope
		if err := proto.Unmarshal(written, &envelope); err != nil {
			t.Fatal(err)
		}
		if got, want := envelope.Message(), earlierMessage(); !reflect.DeepEqual(got, want) {
			t.Errorf("got %+v, want %+v", got, want)
		}
	})
	for _, c := range []struct {
		name   string
		change func(m *Message)
	}{
		{"it reads today's messages whole", func(*Message) {}},
		{"it reads all that it knows of messages with newer fields", func(m *Message) { m.Evidence.Requested, m.Evidence.Reply = true, true }},
	} {
		t.Run(c.name, func(t *testing.T) {
			message := earlierMessage()
			c.change(&message)
			today, err := proto.Marshal(message.Envelope())
			if err != nil {
				t.Fatal(err)
			}
			read := dynamicpb.NewMessage(earlierEnvelope(t))
			if err := (proto.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(today, read); err != nil {
				t.Fatal(err)
			}
			got, err := proto.MarshalOptions{Deterministic: true}.Marshal(read)
			if err != nil {
				t.Fatal(err)
			}
			if !bytes.Equal(got, written) {
				t.Errorf("got %x, want %x", got, written)
			}
		})
	}
}

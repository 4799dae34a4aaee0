package follower

import (
	"encoding/json"
	"os"
	"strings"
	"testing"
	"time"

	"samphirewharf/internal/decision/attributor"
	"samphirewharf/internal/decision/conductor"
	"samphirewharf/internal/external/storer"
)

// earlierRecords returns the records that the build of a941caf wrote to the store, by key.
func earlierRecords(t *testing.T) map[string][]byte {
	t.Helper()
	data, err := os.ReadFile("testdata/a941caf/records.txt")
	if err != nil {
		t.Fatal(err)
	}
	records := make(map[string][]byte)
	for line := range strings.Lines(string(data)) {
		key, value, _ := strings.Cut(strings.TrimSpace(line), " ")
		records[key] = []byte(value)
	}
	return records
}

// Daemons of two builds share the store while hosts are upgraded one after the other.
func TestEarlierRecords(t *testing.T) {
	daemon := conductor.Daemon{Name: "a", Instance: "i", CallerAddress: "10.0.0.1:1", PeerAddress: "10.0.0.1:2", Zone: "z", CPUMillicores: 400}
	leader := conductor.Leader{Name: "a", Instance: "i"}
	quarantine := conductor.Quarantine{Trait: attributor.Trait{Kind: attributor.KindPart, Hash: 1 << 63}, Depth: 1, Quarantines: 2, EvidenceAge: time.Second, Hold: time.Minute}
	earlier := earlierRecords(t)
	read := func(key string) storer.Entry { return storer.Entry{Key: key, Value: earlier[key]} }
	t.Run("they are read whole", func(t *testing.T) {
		if got, err := decodeDaemon(read(DaemonKey("a"))); err != nil || got != daemon {
			t.Errorf("got %+v, %v, want %+v", got, err, daemon)
		}
		if got, err := decodeLeader(read(LeaderKey)); err != nil || got != leader {
			t.Errorf("got %+v, %v, want %+v", got, err, leader)
		}
		if got, err := decodeQuarantine(read(QuarantineKey(quarantine.Trait))); err != nil || got != quarantine {
			t.Errorf("got %+v, %v, want %+v", got, err, quarantine)
		}
	})
	t.Run("today's have all that the earlier build reads", func(t *testing.T) {
		linkDown := daemon
		linkDown.LinkDown = true
		assertContains(t, earlier[DaemonKey("a")], encoded(EncodeDaemon(linkDown)))
		assertContains(t, earlier[LeaderKey], encoded(EncodeLeader(leader)))
		assertContains(t, earlier[QuarantineKey(quarantine.Trait)], encoded(EncodeQuarantine(quarantine)))
	})
}

func encoded(value []byte, err error) []byte {
	if err != nil {
		return nil
	}
	return value
}

// assertContains checks that a record has all fields of another one, with the same values.
func assertContains(t *testing.T, part, whole []byte) {
	t.Helper()
	var want, got map[string]any
	if err := json.Unmarshal(part, &want); err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(whole, &got); err != nil {
		t.Fatal(err)
	}
	for name, value := range want {
		if got[name] != value {
			t.Errorf("got %s %v in %s, want %v", name, got[name], whole, value)
		}
	}
}

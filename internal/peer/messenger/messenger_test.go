package messenger

import (
	"context"
	"net"
	"net/http"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"samphirewharf/internal/backend/orderer"
	"samphirewharf/internal/config/cataloger"
)

func TestEnvelope(t *testing.T) {
	t.Run("keeps every part of a message", rapid.MakeCheck(func(t *rapid.T) {
		want := drawMessage(t)
		got := newEnvelope(want).message()
		if !reflect.DeepEqual(got, want) {
			t.Fatalf("got %+v, want %+v", got, want)
		}
	}))
}

func TestClient(t *testing.T) {
	received := make(chan Message, 1)
	inForce := &cataloger.Configuration{Version: 3, Services: []cataloger.Service{{Name: "s"}}}
	address := serve(t, &Server{
		Receive:       func(m Message) { received <- m },
		Configuration: func() *cataloger.Configuration { return inForce },
	})
	client := &Client{}

	t.Run("delivers a message", func(t *testing.T) {
		want := Message{From: "d1", Heartbeat: &Heartbeat{ConfigurationVersion: 2, Leaving: true}}
		client.Post(address, want)
		if got := <-received; !reflect.DeepEqual(got, want) {
			t.Errorf("got %+v, want %+v", got, want)
		}
	})
	t.Run("fetches a newer configuration", func(t *testing.T) {
		got, err := client.FetchConfiguration(context.Background(), address, 2)
		assertFetched(t, got, err, inForce)
	})
	t.Run("fetches nothing if there is none newer", func(t *testing.T) {
		got, err := client.FetchConfiguration(context.Background(), address, 3)
		assertFetched(t, got, err, nil)
	})
}

func assertFetched(t *testing.T, got *cataloger.Configuration, err error, want *cataloger.Configuration) {
	t.Helper()
	if err != nil {
		t.Fatalf("got error %v, want none", err)
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

func serve(t *testing.T, s *Server) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: s.Handler(), ReadHeaderTimeout: time.Second}
	go serveUntilClosed(server, listener)
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

func serveUntilClosed(s *http.Server, l net.Listener) { _ = s.Serve(l) }

// drawMessage draws a message in which empty lists are nil, as they come over the wire.
func drawMessage(t *rapid.T) Message {
	text := rapid.StringMatching("[a-z0-9.-]{0,8}")
	m := Message{
		From: text.Draw(t, "from"), Instance: text.Draw(t, "instance"), Address: text.Draw(t, "address"),
		Zone: text.Draw(t, "zone"), Region: text.Draw(t, "region"),
	}
	if rapid.Bool().Draw(t, "heartbeat") {
		m.Heartbeat = &Heartbeat{
			ConfigurationVersion: rapid.Int64().Draw(t, "version"),
			Leaving:              rapid.Bool().Draw(t, "leaving"),
			InFlight:             rapid.IntRange(0, 100).Draw(t, "inFlight"),
			Placements:           map[string]int64{"cell": rapid.Int64().Draw(t, "revision")},
		}
	}
	if rapid.Bool().Draw(t, "reports") {
		m.Reports = []ServerReport{drawReport(t, text)}
	}
	if rapid.Bool().Draw(t, "needs") {
		m.Needs = &Needs{Cell: "cell", Sequence: rapid.Int64().Draw(t, "sequence"), Renounced: []string{"r1"}, Waiting: []Need{{
			Deployment: text.Draw(t, "deployment"), Adapter: text.Draw(t, "adapter"), Urgent: 1, CanWait: 2,
			Slack: 3 * time.Second, Used: rapid.Bool().Draw(t, "used"), Running: 4,
		}}}
	}
	if rapid.Bool().Draw(t, "placement") {
		m.Placement = &Placement{Cell: "cell", Revision: rapid.Int64().Draw(t, "placed"), Record: []byte("{}")}
	}
	if rapid.Bool().Draw(t, "verdict") {
		hashes := rapid.SliceOfN(rapid.Uint64(), 1, 3).Draw(t, "hashes")
		m.Verdict = &Verdict{Cell: "cell", Hashes: hashes, Suspects: hashes, Expires: time.Hour}
	}
	if rapid.Bool().Draw(t, "forecasts") {
		m.Forecasts = []Forecast{{Deployment: text.Draw(t, "forecast"), ReadyIn: time.Second, Impossible: rapid.Bool().Draw(t, "impossible")}}
	}
	return m
}

func drawReport(t *rapid.T, text *rapid.Generator[string]) ServerReport {
	return ServerReport{
		Server: text.Draw(t, "server"), Age: 1500 * time.Microsecond, Unreachable: rapid.Bool().Draw(t, "unreachable"),
		Report: orderer.Report{
			Instance: text.Draw(t, "engine"), Sequence: rapid.Int64().Draw(t, "reported"), Fence: 2, MemoryBytes: 3, UsedBytes: 4,
			CheckpointsVersion: 5,
			Checkpoints:        &orderer.Checkpoints{Memory: []string{"a"}, Disk: []string{"b"}},
			Replicas: []orderer.ReplicaReport{{
				Replica: text.Draw(t, "replica"), Deployment: "d", ModelVersion: "v", Role: "r", State: orderer.StateReady,
				Bytes: 6, Running: 7, Waiting: 8, Adapters: []string{"x", "y"},
			}},
			CacheEvents: []orderer.CacheEvent{{Sequence: 9, Replica: "r", Prefix: rapid.Uint64().Draw(t, "prefix"), Stored: true}},
		},
	}
}

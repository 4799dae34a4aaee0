package conductor

import (
	"fmt"
	"testing"
	"time"

	"samphirewharf/internal/decision/calibrator"
	"samphirewharf/internal/decision/reducer"
	"samphirewharf/internal/peer/messenger"
)

// BenchmarkRequest serves one request from arrival to end on a daemon of a site with 60 daemons and 112 engines.
func BenchmarkRequest(b *testing.B) {
	t := &testing.T{}
	m := New(testSettings())
	now := time.Second
	m.Step(now, ConfigurationChanged{Configuration: testConfiguration(t, 1)})
	m.Step(now, ServersListed{})
	m.Step(now, DaemonsListed{})
	for i := range 60 {
		m.Step(now, DaemonChanged{Daemon: Daemon{Name: fmt.Sprintf("n%d", i), Zone: string(rune('a' + i%4)), CPUMillicores: 192}})
	}
	h := &harness{t: t, machine: m, now: now}
	fleet := &messenger.Fleet{Fence: 9, Sequence: 1}
	for i := range 112 {
		e := h.engine(fmt.Sprintf("e%d", i), string(rune('a'+i%4)), loadedModel("m1", "a1", "a2"), loadedModel("m2"), loadedModel("m3"))
		fleet.Servers = append(fleet.Servers, messenger.FleetServer{Server: e.ID, StartedAt: 1, Models: e.Weights.Models})
	}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		i++
		id := reducer.RequestID(i)
		if i%10 == 0 {
			fleet.Sequence++
			m.Step(now, PeerReceived{Message: messenger.Message{From: "n1", Fleet: fleet}})
		}
		m.Step(now, RequestArrived{
			Request: id, ID: "r", Route: quick, Service: engineService, Model: fmt.Sprintf("m%d", 1+i%3), TimeLimit: quick.Timeout,
			Parts: []PromptPart{{ID: uint64(i % 50), Tokens: 100}, {ID: uint64(i), Tokens: 400}},
		})
		m.Step(now, AttemptStarted{Request: id, Attempt: 1})
		m.Step(now, AttemptEnded{Request: id, Attempt: 1, Outcome: reducer.AttemptDone, Latency: time.Millisecond, Pace: calibrator.Window{Gaps: 10, Span: time.Second, Longest: 120 * time.Millisecond}})
		m.NextWake()
		now += time.Millisecond
	}
}

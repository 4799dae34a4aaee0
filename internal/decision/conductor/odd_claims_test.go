package conductor

import (
	"testing"
	"time"

	"samphirewharf/internal/decision/reducer"
	"samphirewharf/internal/fleet/registrar"
)

// TestEngineThatRefusesAllTokens guards against a fleet without a leader most of the time, since one engine says of each fencing token that
// it has seen a higher one.
func TestEngineThatRefusesAllTokens(t *testing.T) {
	h := newHarness(t)
	h.engine("odd", "a")
	h.engine("sound", "a", loadedModel("m1"))
	h.becomeLeader()
	led, all := 0, 0
	playOrders(h, time.Minute, registrar.OrderFenced, func() {
		h.report("odd", 0, false)
		h.report("sound", 0, false, loadedModel("m1"))
		led += boolToInt(h.machine.mayOrder())
		all++
	})
	if led < all/2 {
		t.Errorf("got a leader at %d of %d times, want at half of them at least", led, all)
	}
}

// TestStartOfAServerFarAhead guards against a server whose sound entries are ignored for good since one entry said that it had started
// later.
func TestStartOfAServerFarAhead(t *testing.T) {
	h := newHarness(t)
	sound := h.plainServer("s1", "a")
	odd := sound
	odd.StartedAt, odd.Address = 1<<53, "10.0.0.9:9"
	h.change(odd)
	for range 20 {
		h.advance(time.Second)
		h.change(sound)
	}
	assertEqual(t, "address", h.machine.servers["s1"].entry.Address, sound.Address)
}

// TestResumptionAtOtherWeights guards against a server that counts as without a model for all requests since it has other weights of it
// than those that began one stream.
func TestResumptionAtOtherWeights(t *testing.T) {
	h := newHarness(t)
	h.engine("e1", "a", loadedModel("m1"))
	h.engine("e2", "a", loadedModel("m1"))
	id := h.request(quick, "m1", "")
	h.step(AttemptStarted{Request: id, Attempt: 1})
	h.end(id, 1, reducer.AttemptFailed, CauseInvalid)
	resumed := one[Send](h).Server
	h.end(id, 2, reducer.AttemptNotRun, CauseAbsent)
	assertEqual(t, "model at "+resumed, h.machine.hasModel(h.machine.servers[resumed], "m1", ""), true)
}

// TestAdaptersThatAnEngineClaims guards against an adapter that is loaded nowhere else, and whose callers are refused, since one engine
// reports for good that it has it or is loading it.
func TestAdaptersThatAnEngineClaims(t *testing.T) {
	m1 := registrar.Weights{Models: []registrar.LoadedModel{loadedModel("m1")}}
	for name, claim := range map[string]registrar.Report{
		"loaded":       {Weights: registrar.Weights{Models: []registrar.LoadedModel{loadedModel("m1", "a3")}}},
		"being loaded": {Weights: m1, PendingAdapters: []string{"m1/a3"}},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.engine("odd", "a", loadedModel("m1"))
			h.engine("sound", "a", loadedModel("m1"))
			h.becomeLeader()
			ordered := false
			for end := h.now + 30*time.Second; h.now < end; {
				h.request(deep, "m1", "a3")
				h.step(ServerReported{Server: "odd", StartedAt: 1, SentAt: h.now, OK: true, Report: claim})
				h.report("sound", 0, false, loadedModel("m1"))
				h.advance(250 * time.Millisecond)
				effects := h.all
				h.all = nil
				for _, s := range findIn[Send](effects) {
					h.end(s.Request, s.Attempt, reducer.AttemptNotRun, CauseAbsent)
				}
				for _, o := range findIn[SendOrder](effects) {
					ordered = ordered || o.Order.Server == "sound" && o.Order.Adapter == "a3"
				}
			}
			assertEqual(t, "order at the sound engine", ordered, true)
		})
	}
}

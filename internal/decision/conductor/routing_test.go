package conductor

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"samphirewharf/internal/decision/elector"
	"samphirewharf/internal/decision/reducer"
	"samphirewharf/internal/fleet/registrar"
	"samphirewharf/internal/peer/messenger"
)

func TestChoice(t *testing.T) {
	t.Run("a server that has the model is chosen", func(t *testing.T) {
		h := newHarness(t)
		h.engine("e1", "a", loadedModel("m1"))
		h.engine("e2", "b", loadedModel("m2"))
		h.request(quick, "m2", "")
		assertEqual(t, "server", one[Send](h).Server, "e2")
	})
	t.Run("the server must have the adapter too", func(t *testing.T) {
		h := newHarness(t)
		h.engine("e1", "a", loadedModel("m1"))
		h.engine("e2", "b", loadedModel("m1", "a3"))
		h.request(quick, "m1", "a3")
		assertEqual(t, "server", one[Send](h).Server, "e2")
	})
	t.Run("the daemon's zone is preferred while it isn't busy", func(t *testing.T) {
		h := newHarness(t)
		h.plainServer("s1", "b")
		h.plainServer("s2", "a")
		for range 5 {
			id := h.request(reading, "", "")
			assertEqual(t, "server", one[Send](h).Server, "s2")
			h.end(id, 1, reducer.AttemptDone, CauseNone)
		}
	})
	t.Run("a busy server is passed over for one in another zone", func(t *testing.T) {
		h := newHarness(t)
		h.plainServer("s1", "b")
		h.plainServer("s2", "a")
		remote := 0
		for range 6 {
			h.request(booking, "", "")
			if one[Send](h).Server == "s1" {
				remote++
			}
		}
		if remote == 0 || remote > 3 {
			t.Errorf("got %d of 6 requests in the other zone, want from 1 to 3", remote)
		}
	})
	t.Run("a prompt goes to the server that has cached it", func(t *testing.T) {
		h := newHarness(t)
		h.engine("e1", "a", loadedModel("m1"))
		h.engine("e2", "a", loadedModel("m1"))
		parts := []PromptPart{{ID: 7, Tokens: 500}}
		first := ""
		for i := range 6 {
			id := reducer.RequestID(100 + i)
			h.step(RequestArrived{Request: id, ID: "r", Route: quick, Service: engineService, Model: "m1", Parts: parts, TimeLimit: quick.Timeout})
			server := one[Send](h).Server
			if first == "" {
				first = server
			}
			assertEqual(t, "server", server, first)
			h.end(id, 1, reducer.AttemptDone, CauseNone)
		}
	})
	t.Run("urgent routes and shorter objectives have a lower priority number", func(t *testing.T) {
		h := newHarness(t)
		h.engine("e1", "a", loadedModel("m1"))
		h.request(quick, "m1", "")
		first := one[Send](h).Priority
		h.request(deep, "m1", "")
		if second := one[Send](h).Priority; first >= second {
			t.Errorf("got priorities %d and %d, want the first lower", first, second)
		}
	})
}

func TestAtMostOnce(t *testing.T) {
	t.Run("a booking that may have run is not sent again", func(t *testing.T) {
		for _, cause := range []Cause{CauseBroken, CauseTimeout, CauseInvalid} {
			h := newHarness(t)
			h.plainServer("s1", "a")
			h.plainServer("s2", "a")
			id := h.request(booking, "", "")
			h.end(id, 1, reducer.AttemptFailed, cause)
			none[Send](h)
			assertEqual(t, "may have run", one[Refuse](h).MayHaveRun, true)
		}
	})
	t.Run("a booking that a server refused to run goes to another and still counts as not run", func(t *testing.T) {
		h := newHarness(t)
		h.plainServer("s1", "a")
		h.plainServer("s2", "a")
		id := h.request(booking, "", "")
		first := one[Send](h).Server
		h.end(id, 1, reducer.AttemptNotRun, CauseFull)
		if second := one[Send](h).Server; second == first {
			t.Errorf("got the same server %s again, want the other", second)
		}
		for attempt := 2; len(h.refusals(id)) == 0; attempt++ {
			h.end(id, attempt, reducer.AttemptNotRun, CauseFull)
			h.advance(100 * time.Millisecond)
		}
		assertEqual(t, "may have run", h.refusals(id)[0].MayHaveRun, false)
	})
	t.Run("a booking uses a new connection", func(t *testing.T) {
		h := newHarness(t)
		h.plainServer("s1", "a")
		h.request(booking, "", "")
		assertEqual(t, "new connection", one[Send](h).NewConnection, true)
		h.request(reading, "", "")
		assertEqual(t, "new connection", one[Send](h).NewConnection, false)
	})
	t.Run("a caller that disconnects doesn't cancel a booking", func(t *testing.T) {
		h := newHarness(t)
		h.plainServer("s1", "a")
		id := h.request(booking, "", "")
		h.step(CallerLeft{Request: id})
		none[Cancel](h)
		other := h.request(reading, "", "")
		h.step(CallerLeft{Request: other})
		assertEqual(t, "cancelled", one[Cancel](h).Request, other)
	})
	t.Run("a stream that can't be resumed is not sent again", func(t *testing.T) {
		h := newHarness(t)
		h.engine("e1", "a", loadedModel("m1"))
		h.engine("e2", "a", loadedModel("m1"))
		id := h.request(deep, "m1", "")
		h.end(id, 1, reducer.AttemptFailed, CauseBroken)
		none[Send](h)
		one[Refuse](h)
	})
}

func TestRetries(t *testing.T) {
	t.Run("a read is retried at another server, up to the route's maximum number of servers", func(t *testing.T) {
		h := newHarness(t)
		h.plainServer("s1", "a")
		h.plainServer("s2", "a")
		h.plainServer("s3", "a")
		id := h.request(reading, "", "")
		first := one[Send](h).Server
		h.end(id, 1, reducer.AttemptFailed, CauseBroken)
		second := one[Send](h).Server
		if first == second {
			t.Errorf("got %s twice, want another server", first)
		}
		h.end(id, 2, reducer.AttemptFailed, CauseBroken)
		none[Send](h)
		one[Refuse](h)
	})
	t.Run("a stream is resumed at another server", func(t *testing.T) {
		h := newHarness(t)
		h.engine("e1", "a", loadedModel("m1"))
		h.engine("e2", "a", loadedModel("m1"))
		id := h.request(quick, "m1", "")
		first := one[Send](h).Server
		h.step(AttemptStarted{Request: id, Attempt: 1})
		h.end(id, 1, reducer.AttemptFailed, CauseBroken)
		if second := one[Send](h).Server; second == first {
			t.Errorf("got %s twice, want another server", first)
		}
	})
	t.Run("a buffered error answer is passed on if another server does no better", func(t *testing.T) {
		h := newHarness(t)
		h.plainServer("s1", "a")
		h.plainServer("s2", "a")
		id := h.request(reading, "", "")
		assertEqual(t, "buffer errors", one[Send](h).BufferErrors, true)
		h.step(AttemptEnded{Request: id, Attempt: 1, Outcome: reducer.AttemptDone, Status: 500, Buffered: true})
		assertEqual(t, "buffer errors", one[Send](h).BufferErrors, false)
		h.end(id, 2, reducer.AttemptFailed, CauseBroken)
		none[Refuse](h)
		one[Deliver](h)
	})
	t.Run("failed connections count neither as runs nor against the retry budget, but are limited", func(t *testing.T) {
		h := newHarness(t)
		for _, id := range []string{"s1", "s2", "s3", "s4", "s5", "s6", "s7", "s8"} {
			h.plainServer(id, "a")
		}
		id := h.request(booking, "", "")
		sends := 1
		for ; len(find[Send](h)) == 1; sends++ {
			h.end(id, sends, reducer.AttemptNotSent, CauseConnect)
		}
		assertEqual(t, "sends", sends-1, maxConnectFailures)
		assertEqual(t, "may have run", one[Refuse](h).MayHaveRun, false)
	})
	t.Run("all daemons' retries stay within the retry budget of the service", func(t *testing.T) {
		h := newHarness(t)
		h.advance(testSettings().RetryWindow)
		for i := range 9 {
			h.step(DaemonChanged{Daemon: Daemon{Name: string(rune('p' + i))}})
		}
		h.plainServer("s1", "a")
		h.plainServer("s2", "a")
		retries := 0
		for range 40 {
			id := h.request(reading, "", "")
			h.end(id, 1, reducer.AttemptFailed, CauseInvalid)
			if len(find[Send](h)) == 1 {
				retries++
				h.end(id, 2, reducer.AttemptDone, CauseNone)
			}
			h.now += 100 * time.Millisecond
		}
		if most := 8 + 5; retries > most || retries < most/2 {
			t.Errorf("got %d retries, want from %d to %d", retries, most/2, most)
		}
	})
	t.Run("a server that refuses connections is not tried again at once", func(t *testing.T) {
		h := newHarness(t)
		h.engine("e1", "a", loadedModel("m1"))
		for range 50 {
			id := h.request(quick, "m1", "")
			if sends := find[Send](h); len(sends) == 1 {
				h.end(id, 1, reducer.AttemptNotSent, CauseConnect)
			}
		}
		assertEqual(t, "sends", len(findIn[Send](h.all)), 1)
	})
}

func TestWaitingForAModel(t *testing.T) {
	t.Run("a request waits for a load that ends in time", func(t *testing.T) {
		h := newHarness(t)
		h.becomeLeader()
		e := h.engine("e1", "a")
		e.Weights.OnDisk = []string{"m1"}
		h.change(e)
		h.request(quick, "m1", "")
		none[Refuse](h)
		none[Send](h)
		e.Weights.Models = []registrar.LoadedModel{loadedModel("m1")}
		h.change(e)
		one[Send](h)
	})
	t.Run("a request whose model would be loaded too late is refused at once, with the load time as retry delay", func(t *testing.T) {
		h := newHarness(t)
		h.becomeLeader()
		h.engine("e1", "a")
		h.request(quick, "m1", "")
		refuse := one[Refuse](h)
		assertEqual(t, "reason", refuse.Reason, RefusedCold)
		assertBetween(t, "retry after", refuse.RetryAfter, 6*time.Second, 7*time.Second)
	})
	t.Run("a request with a longer time limit waits for the same load", func(t *testing.T) {
		h := newHarness(t)
		h.becomeLeader()
		h.engine("e1", "a")
		h.request(deep, "m1", "")
		none[Refuse](h)
	})
	t.Run("a request never waits past the timeout of its caller", func(t *testing.T) {
		h := newHarness(t)
		h.becomeLeader()
		h.engine("e1", "a")
		h.request(deep, "m1", "")
		h.advance(13 * time.Second)
		refusals := findIn[Refuse](h.all)
		assertEqual(t, "refusals", len(refusals), 1)
	})
	t.Run("a service without servers refuses at once", func(t *testing.T) {
		h := newHarness(t)
		h.request(booking, "", "")
		assertEqual(t, "reason", one[Refuse](h).Reason, RefusedNoServer)
	})
}

// becomeLeader makes the machine the leader and advances until it may give orders.
func (h *harness) becomeLeader() {
	h.t.Helper()
	h.advance(200 * time.Millisecond)
	if len(findIn[BecomeLeader](h.all)) != 1 {
		h.t.Fatalf("got %d attempts to become the leader, want 1", len(findIn[BecomeLeader](h.all)))
	}
	h.revision++
	h.step(BecomeLeaderEnded{FencingToken: h.revision})
	h.advance(testSettings().TakeoverDelay + 2*elector.Margin)
}

// Many daemons choose among the replicas of a model by counts of each other's requests that are up to a second old. If
// all of them relied on the latest count alone, they would all send to the same server until the next count.
func TestOldCounts(t *testing.T) {
	sendCounts := func(h *harness, sequence int64, counts map[string]int) {
		fleet := &messenger.Fleet{Holder: "d2", Fence: 9, Sequence: sequence}
		for _, id := range []string{"e1", "e2"} {
			fleet.Servers = append(fleet.Servers, messenger.FleetServer{Server: id, StartedAt: 1, InFlight: counts[id], Models: []registrar.LoadedModel{loadedModel("m1")}})
		}
		h.step(PeerReceived{Message: messenger.Message{From: "d2", Fleet: fleet}})
	}
	t.Run("a single high count doesn't exclude a server", func(t *testing.T) {
		h := newHarness(t)
		h.engine("e1", "a", loadedModel("m1"))
		sendCounts(h, 1, nil)
		sendCounts(h, 2, map[string]int{"e1": 4})
		h.request(quick, "m1", "")
		one[Send](h)
	})
	t.Run("a server that stays full gets no requests", func(t *testing.T) {
		h := newHarness(t)
		h.engine("e1", "a", loadedModel("m1"))
		for i := range 20 {
			sendCounts(h, int64(i+1), map[string]int{"e1": 5})
		}
		h.request(quick, "m1", "")
		none[Send](h)
	})
	t.Run("forty daemons spread a model's requests over its servers", func(t *testing.T) {
		overloaded, all := simulateStaleCounts(t)
		if overloaded*20 > all {
			t.Errorf("got %d of %d requests at a server without a free slot, want at most one in twenty", overloaded, all)
		}
	})
}

// simulateStaleCounts simulates forty daemons that send requests to five servers with twelve slots each for ten
// seconds, at half of the servers' capacity. Counts are sent once a second. It returns the number of requests that
// came to a server without a free slot, and the number of all requests.
func simulateStaleCounts(t *testing.T) (overloaded, all int) {
	t.Helper()
	const (
		daemons, servers, slots          = 40, 5, 12
		step, serviceTime, countInterval = 5 * time.Millisecond, 80 * time.Millisecond, time.Second
		perStep                          = 2
	)
	type running struct {
		harness *harness
		id      reducer.RequestID
		server  string
		until   time.Duration
	}
	rng := rand.New(rand.NewPCG(1, 1))
	var harnesses []*harness
	for i := range daemons {
		h := newHarness(t)
		for j := range daemons {
			h.step(DaemonChanged{Daemon: Daemon{Name: "d" + strconv.Itoa(j), PeerAddress: "p", Zone: "a"}})
		}
		h.machine.rng = rand.New(rand.NewPCG(uint64(i), 2))
		for j := range servers {
			e := h.engine("e"+strconv.Itoa(j), "a", loadedModel("m1"))
			e.Slots = slots
			h.change(e)
		}
		harnesses = append(harnesses, h)
	}
	busy := make(map[string]int)
	var active []running
	for now := step; now < 10*time.Second; now += step {
		active = slices.DeleteFunc(active, func(r running) bool {
			if now < r.until {
				return false
			}
			busy[r.server]--
			r.harness.now = now
			r.harness.end(r.id, 1, reducer.AttemptDone, CauseNone)
			return true
		})
		if now%countInterval == 0 {
			fleet := &messenger.Fleet{Holder: "h", Fence: 9, Sequence: int64(now / countInterval)}
			for j := range servers {
				id := "e" + strconv.Itoa(j)
				fleet.Servers = append(fleet.Servers, messenger.FleetServer{Server: id, StartedAt: 1, InFlight: busy[id], Models: []registrar.LoadedModel{loadedModel("m1")}})
			}
			for _, h := range harnesses {
				h.now = now
				h.step(PeerReceived{Message: messenger.Message{From: "h", Fleet: fleet}})
			}
		}
		for range perStep {
			h := harnesses[rng.IntN(daemons)]
			h.now = now
			id := h.request(quick, "m1", "")
			for _, s := range find[Send](h) {
				all++
				if busy[s.Server] >= slots {
					overloaded++
				}
				busy[s.Server]++
				active = append(active, running{harness: h, id: id, server: s.Server, until: now + serviceTime})
			}
		}
	}
	return overloaded, all
}

package conductor

import (
	"testing"
	"time"

	"samphirewharf/internal/decision/reducer"
)

func TestServerPause(t *testing.T) {
	// newPaused returns a harness with a server that has refused a request and asked for a pause.
	newPaused := func(t *testing.T, pause time.Duration) *harness {
		t.Helper()
		h := newHarness(t)
		h.plainServer("s1", "a")
		id := h.request(booking, "", "")
		h.step(ServerAdvised{Server: "s1", StartedAt: 1, Advice: Advice{Pause: pause}})
		h.end(id, 1, reducer.AttemptNotRun, CauseFull)
		return h
	}
	t.Run("a server that asks for a pause gets no request until it is over", func(t *testing.T) {
		h := newPaused(t, 2*time.Second)
		for range 19 {
			h.advance(100 * time.Millisecond)
			h.request(booking, "", "")
			none[Send](h)
		}
		h.advance(200 * time.Millisecond)
		h.request(booking, "", "")
		one[Send](h)
	})
	t.Run("a refused request is told to come back when the pause is over", func(t *testing.T) {
		h := newPaused(t, 2*time.Second)
		h.request(booking, "", "")
		assertBetween(t, "retry after", one[Refuse](h).RetryAfter, 2*time.Second, 2200*time.Millisecond)
	})
	t.Run("a request waits for the end of a short pause", func(t *testing.T) {
		h := newPaused(t, 300*time.Millisecond)
		h.request(booking, "", "")
		none[Refuse](h)
		h.all = nil
		h.advance(400 * time.Millisecond)
		if got := len(findIn[Send](h.all)); got < 1 {
			t.Errorf("got %d sends, want one", got)
		}
	})
	t.Run("other servers get the requests", func(t *testing.T) {
		h := newPaused(t, 2*time.Second)
		h.plainServer("s2", "a")
		h.request(booking, "", "")
		assertEqual(t, "server", one[Send](h).Server, "s2")
	})
	t.Run("an engine that asks for a pause is not polled", func(t *testing.T) {
		h := newHarness(t)
		h.engine("e1", "a")
		h.step(LeaderChanged{Leader: Leader{Name: "d1", Instance: "i1", FencingToken: 200}})
		h.step(ServerReported{Server: "e1", StartedAt: 1, SentAt: h.now, OK: true})
		h.step(ServerAdvised{Server: "e1", StartedAt: 1, Advice: Advice{Pause: 10 * time.Second}})
		h.all = nil
		h.advance(9900 * time.Millisecond)
		assertEqual(t, "polls", len(findIn[PollServer](h.all)), 0)
	})
	t.Run("a pause of an earlier incarnation doesn't hold", func(t *testing.T) {
		h := newHarness(t)
		h.plainServer("s1", "a")
		h.step(ServerAdvised{Server: "s1", StartedAt: 0, Advice: Advice{Pause: 2 * time.Second}})
		h.request(booking, "", "")
		one[Send](h)
	})
}

func TestServerLeaving(t *testing.T) {
	leaving := func(h *harness, startedAt int64) {
		h.step(ServerAdvised{Server: "s1", StartedAt: startedAt, Advice: Advice{Leaving: true}})
	}
	t.Run("a server that says that it leaves gets no further request, whatever its entry says", func(t *testing.T) {
		h := newHarness(t)
		entry := h.plainServer("s1", "a")
		h.plainServer("s2", "a")
		leaving(h, 1)
		h.change(entry)
		for range 10 {
			h.request(booking, "", "")
			assertEqual(t, "server", one[Send](h).Server, "s2")
		}
	})
	t.Run("it isn't used during an outage of the store either", func(t *testing.T) {
		h := newHarness(t)
		h.plainServer("s1", "a")
		h.step(StoreLost{Reason: "down"})
		leaving(h, 1)
		h.advance(time.Second)
		h.request(booking, "", "")
		none[Send](h)
	})
	t.Run("the next incarnation is used", func(t *testing.T) {
		h := newHarness(t)
		entry := h.plainServer("s1", "a")
		leaving(h, 1)
		entry.StartedAt = 2
		h.change(entry)
		leaving(h, 1)
		h.request(booking, "", "")
		one[Send](h)
	})
}

func TestRateOfOrders(t *testing.T) {
	t.Run("what the leader asks of an engine counts to its rate", func(t *testing.T) {
		h := newHarness(t)
		h.engine("e1", "a", loadedModel("m1"))
		h.step(ServerAdvised{Server: "e1", StartedAt: 1, Advice: Advice{RateLimited: true, RateLimit: 0.5}})
		h.advance(4 * time.Second)
		h.step(LeaderChanged{Leader: Leader{Name: "d1", Instance: "i1", FencingToken: 200}})
		one[PollServer](h)
		h.request(quick, "m1", "")
		none[Send](h)
	})
}

package conductor

import (
	"testing"
	"time"

	"samphirewharf/internal/decision/reducer"
	"samphirewharf/internal/fleet/matcher"
)

// newQuotaHarness returns a machine that keeps the quotas of some workspaces, with full buckets.
func newQuotaHarness(t *testing.T, workspaces ...matcher.Workspace) *harness {
	t.Helper()
	h := newHarness(t)
	h.configureWorkspaces(2, workspaces...)
	h.advance(10 * time.Second)
	return h
}

func (h *harness) configureWorkspaces(version int64, workspaces ...matcher.Workspace) {
	h.t.Helper()
	c, err := testConfiguration(h.t, version).WithWorkspaces(workspaces)
	if err != nil {
		h.t.Fatal(err)
	}
	h.step(ConfigurationChanged{Configuration: c})
}

func tokenWorkspace(name string, perSecond float64) matcher.Workspace {
	return matcher.Workspace{Name: name, Quota: matcher.Quota{Tokens: true, PlainTokens: 400, PerSecond: perSecond, Burst: perSecond}}
}

// ask sends a request of a workspace that counts a number of tokens, 0 for an unknown one.
func (h *harness) ask(workspace string, tokens int) reducer.RequestID {
	h.requests++
	id := reducer.RequestID(h.requests)
	h.step(RequestArrived{
		Request: id, ID: "r", Route: quick, Version: 2, Service: engineService, Workspace: workspace, Model: "m1", InputTokens: tokens, TimeLimit: quick.Timeout, Fingerprint: uint64(id),
	})
	return id
}

func TestQuotaOfRequests(t *testing.T) {
	w := tokenWorkspace("w", 1000)
	t.Run("beyond the quota a request is refused at once, with the time at which it fits", func(t *testing.T) {
		h := newQuotaHarness(t, w)
		h.engine("e1", "a", loadedModel("m1"))
		h.ask("w", 900)
		one[Send](h)
		h.ask("w", 900)
		refusal := one[Refuse](h)
		assertEqual(t, "reason", refusal.Reason, RefusedQuota)
		assertEqual(t, "may have run", refusal.MayHaveRun, false)
		assertBetween(t, "delay", refusal.RetryAfter, 700*time.Millisecond, 800*time.Millisecond)
		// Asks that follow a denial are put together.
		h.advance(25 * time.Millisecond)
		h.ask("w", 900)
		if later := one[Refuse](h); later.RetryAfter <= refusal.RetryAfter {
			t.Errorf("got a delay of %s after %s, want a later time", later.RetryAfter, refusal.RetryAfter)
		}
		h.advance(refusal.RetryAfter + time.Millisecond)
		h.ask("w", 900)
		one[Send](h)
	})
	t.Run("a request of unknown size counts the plain tokens", func(t *testing.T) {
		h := newQuotaHarness(t, w)
		h.engine("e1", "a", loadedModel("m1"))
		for range 2 {
			h.ask("w", 0)
			one[Send](h)
		}
		h.ask("w", 0)
		assertEqual(t, "reason", one[Refuse](h).Reason, RefusedQuota)
	})
	t.Run("requests without a workspace and of one without a limit aren't counted", func(t *testing.T) {
		h := newQuotaHarness(t, w, matcher.Workspace{Name: "free"})
		h.engine("e1", "a", loadedModel("m1"))
		for _, name := range []string{"", "free"} {
			h.ask(name, 5000)
			one[Send](h)
		}
	})
	t.Run("a request that is refused without having run gives its tokens back", func(t *testing.T) {
		h := newQuotaHarness(t, w)
		h.ask("w", 900)
		assertEqual(t, "reason", one[Refuse](h).Reason, RefusedNoServer)
		h.engine("e1", "a", loadedModel("m1"))
		h.ask("w", 900)
		one[Send](h)
	})
	t.Run("a request counts once more only if a server may have run it", func(t *testing.T) {
		h := newQuotaHarness(t, w)
		h.engine("e1", "a", loadedModel("m1"))
		h.engine("e2", "a", loadedModel("m1"))
		h.engine("e3", "a", loadedModel("m1"))
		id := h.ask("w", 900)
		h.end(id, 1, reducer.AttemptNotRun, CauseFull)
		one[Send](h)
		h.end(id, 2, reducer.AttemptFailed, CauseBroken)
		refusal := one[Refuse](h)
		assertEqual(t, "reason", refusal.Reason, RefusedQuota)
		assertEqual(t, "may have run", refusal.MayHaveRun, true)
	})
	t.Run("a workspace that is dropped has no limit, and one that is added or renamed has a bucket of its own", func(t *testing.T) {
		h := newQuotaHarness(t, w)
		h.engine("e1", "a", loadedModel("m1"))
		h.ask("w", 900)
		one[Send](h)
		h.configureWorkspaces(3, tokenWorkspace("w2", 1000))
		h.ask("w", 900)
		one[Send](h)
		h.ask("w2", 900)
		one[Send](h)
		h.ask("w2", 900)
		assertEqual(t, "reason", one[Refuse](h).Reason, RefusedQuota)
		h.configureWorkspaces(4, w)
		h.ask("w", 900)
		assertEqual(t, "reason", one[Refuse](h).Reason, RefusedQuota)
	})
	t.Run("without an answer of any keeper a request is refused as not run", func(t *testing.T) {
		h := newQuotaHarness(t, w)
		h.engine("e1", "a", loadedModel("m1"))
		h.step(DaemonRemoved{Name: "d1", Revision: 900})
		for _, name := range []string{"d2", "d3"} {
			h.step(DaemonChanged{Daemon: Daemon{Name: name, Instance: name, PeerAddress: name + ":2", Zone: "a"}, Revision: 901})
		}
		h.ask("w", 900)
		one[SendPeer](h)
		h.advance(310 * time.Millisecond)
		refusals := findIn[Refuse](h.all)
		assertEqual(t, "refusals", len(refusals), 1)
		assertEqual(t, "reason", refusals[0].Reason, RefusedQuotaUnknown)
		assertEqual(t, "may have run", refusals[0].MayHaveRun, false)
	})
}

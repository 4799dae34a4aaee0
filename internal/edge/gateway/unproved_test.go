package gateway

import (
	"context"
	"net/http"
	"testing"

	"samphirewharf/internal/decision/conductor"
)

// Guards against refusals for good, which callers don't repeat, by a configuration that may no longer be in force.
func TestRefusalsByAnUnprovedConfiguration(t *testing.T) {
	answered := func(e conductor.Event) []conductor.Effect {
		if arrived, ok := e.(conductor.RequestArrived); ok {
			return []conductor.Effect{conductor.Refuse{Request: arrived.Request, Reason: conductor.RefusedFull}}
		}
		return nil
	}
	for _, c := range []struct {
		name, path string
		keyed      bool
		proved     bool
		status     int
		retry      bool
	}{
		{"a route that is missing", "/missing/a", false, true, http.StatusNotFound, false},
		{"a route that may have been added", "/missing/a", false, false, http.StatusServiceUnavailable, true},
		{"a key that is missing", "/read/a", true, true, http.StatusUnauthorized, false},
		{"a key that may have been added", "/read/a", true, false, http.StatusServiceUnavailable, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, answered)
			h.awaitProofs = func(context.Context) bool { return c.proved }
			if c.keyed {
				h.setWorkspace("w", "key")
			}
			status, _, header, err := h.send(c.path)
			if err != nil {
				t.Fatal(err)
			}
			assertEqual(t, "status", status, c.status)
			assertEqual(t, "Retry-After", header.Get("Retry-After") != "", c.retry)
		})
	}
	t.Run("the configuration that a proof brings is used", func(t *testing.T) {
		h := newHarness(t, answered)
		newest := h.configuration.Load()
		h.configuration.Store(nil)
		h.awaitProofs = func(context.Context) bool {
			h.configuration.Store(newest)
			return true
		}
		status, _, _, err := h.send("/missing/a")
		if err != nil {
			t.Fatal(err)
		}
		assertEqual(t, "status", status, http.StatusNotFound)
	})
}

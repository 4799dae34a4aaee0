package gateway

import (
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"

	"samphirewharf/internal/decision/conductor"
	"samphirewharf/internal/decision/reducer"
	"samphirewharf/internal/fleet/matcher"
)

// setWorkspace replaces the configuration by one with a workspace that has the given keys, and without workspaces for an empty name.
func (h *harness) setWorkspace(name string, keys ...string) {
	h.t.Helper()
	w := matcher.Workspace{Name: name, Priority: 2, HasPriority: true}
	for _, k := range keys {
		w.KeyDigests = append(w.KeyDigests, matcher.DigestKey([]byte(k)))
	}
	list := []matcher.Workspace{w}
	if name == "" {
		list = nil
	}
	c, err := h.configuration.Load().WithWorkspaces(list)
	if err != nil {
		h.t.Fatal(err)
	}
	h.configuration.Store(c)
}

func (h *harness) sendKey(path string, header http.Header) (status int, answer http.Header) {
	h.t.Helper()
	r, err := http.NewRequest(http.MethodGet, "http://"+h.address+path, http.NoBody)
	if err != nil {
		h.t.Fatal(err)
	}
	r.Host, r.Header = "h", header
	r.Header.Set("X-Id", "id-1")
	response, err := h.client.Do(r)
	if err != nil {
		h.t.Fatal(err)
	}
	_ = response.Body.Close()
	return response.StatusCode, response.Header
}

// A backendLog holds the headers that a backend received.
type backendLog struct {
	mu   sync.Mutex
	list []http.Header
}

func (b *backendLog) handle(w http.ResponseWriter, r *http.Request) {
	b.mu.Lock()
	b.list = append(b.list, r.Header.Clone())
	b.mu.Unlock()
	w.Header().Set("X-Seal", "s")
}

func (b *backendLog) take() []http.Header {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := b.list
	b.list = nil
	return list
}

func (h *harness) arrivals() []conductor.RequestArrived {
	h.mu.Lock()
	defer h.mu.Unlock()
	var list []conductor.RequestArrived
	for _, e := range h.events {
		if arrived, ok := e.(conductor.RequestArrived); ok {
			list = append(list, arrived)
		}
	}
	return list
}

func TestKeys(t *testing.T) {
	servers := &backendLog{}
	address := backend(t, servers.handle)
	h := newHarness(t, sendOnceTo(address))
	h.setWorkspace("w", "key-1")
	t.Run("without a key of a workspace no server gets the request", func(t *testing.T) {
		for _, key := range []string{"", "key-2"} {
			status, answer := h.sendKey("/read/a", http.Header{"X-Key": {key}})
			assertEqual(t, "status", status, http.StatusUnauthorized)
			assertEqual(t, "retry after", answer.Get("Retry-After"), "")
			assertEqual(t, "challenge", answer.Get("WWW-Authenticate"), "Bearer")
		}
		assertEqual(t, "requests at servers", len(servers.take()), 0)
	})
	t.Run("servers get the name of the workspace but not the key", func(t *testing.T) {
		status, _ := h.sendKey("/read/a", http.Header{"X-Key": {"key-1"}, "X-Workspace": {"forged"}})
		assertEqual(t, "status", status, http.StatusOK)
		got := servers.take()[0]
		assertEqual(t, "key", got.Get("X-Key"), "")
		assertEqual(t, "workspaces", strings.Join(got.Values("X-Workspace"), ","), "w")
		arrived := h.arrivals()
		assertEqual(t, "workspace", arrived[len(arrived)-1].Workspace, "w")
		assertEqual(t, "priority", arrived[len(arrived)-1].Route.Priority, 2)
	})
	t.Run("a public route requires no key and passes none on", func(t *testing.T) {
		status, _ := h.sendKey("/open/a", http.Header{"X-Key": {"key-1"}, "X-Workspace": {"forged"}})
		assertEqual(t, "status", status, http.StatusOK)
		got := servers.take()[0]
		assertEqual(t, "fields", len(got.Values("X-Key"))+len(got.Values("X-Workspace")), 0)
		arrived := h.arrivals()
		assertEqual(t, "workspace", arrived[len(arrived)-1].Workspace, "")
		assertEqual(t, "priority", arrived[len(arrived)-1].Route.Priority, 3)
	})
	t.Run("each request is checked against the configuration in force, also on a kept connection", func(t *testing.T) {
		for _, test := range []struct {
			keys []string
			want int
		}{{[]string{"key-1"}, 200}, {[]string{"key-2"}, 401}, {nil, 401}, {[]string{"key-2", "key-1"}, 200}} {
			h.setWorkspace("w", test.keys...)
			status, _ := h.sendKey("/read/a", http.Header{"X-Key": {"key-1"}})
			assertEqual(t, "status", status, test.want)
		}
		servers.take()
	})
	t.Run("a workspace with an empty key admits no request without one", func(t *testing.T) {
		h.setWorkspace("w", "")
		status, _ := h.sendKey("/read/a", http.Header{})
		assertEqual(t, "status", status, http.StatusUnauthorized)
	})
	t.Run("without workspaces both fields are forwarded", func(t *testing.T) {
		h.setWorkspace("")
		h.sendKey("/read/a", http.Header{"X-Key": {"key-1"}, "X-Workspace": {"theirs"}})
		got := servers.take()[0]
		assertEqual(t, "fields", got.Get("X-Key")+" "+got.Get("X-Workspace"), "key-1 theirs")
	})
	t.Run("without a configuration the answer is 503, with or without a key", func(t *testing.T) {
		h.configuration.Store(nil)
		status, _ := h.sendKey("/read/a", http.Header{})
		assertEqual(t, "status", status, http.StatusServiceUnavailable)
	})
}

// Guards against a log that callers without a key fill, and against keys in it.
func TestLinesWithoutKey(t *testing.T) {
	h := newHarness(t, nil)
	h.setWorkspace("w", "key-1")
	for range 3 * testMaxLines {
		status, _ := h.sendKey("/read/a", http.Header{"X-Key": {"key-2"}})
		assertEqual(t, "status", status, http.StatusUnauthorized)
	}
	assertEqual(t, "lines", strings.Count(h.log.String(), "Unauthenticated"), testMaxLines)
	assertEqual(t, "lines with a key", strings.Count(h.log.String(), "key-"), 0)
}

func TestDelegatedKeys(t *testing.T) {
	servers := &backendLog{}
	near := newHarness(t, nil)
	far := newHarness(t, sendOnceTo(backend(t, servers.handle)))
	near.decide = func(e conductor.Event) []conductor.Effect {
		if _, ok := e.(conductor.RequestArrived); ok {
			s := sendTo(far.address)
			s.ToDaemon = true
			return []conductor.Effect{s}
		}
		return sendOnceTo("")(e)
	}
	near.setWorkspace("w", "key-1")
	t.Run("the other daemon checks the key itself", func(t *testing.T) {
		far.setWorkspace("w", "key-1")
		status, _ := near.sendKey("/read/a", http.Header{"X-Key": {"key-1"}})
		assertEqual(t, "status", status, http.StatusOK)
		got := servers.take()[0]
		assertEqual(t, "key", got.Get("X-Key"), "")
		assertEqual(t, "workspace", got.Get("X-Workspace"), "w")
	})
	t.Run("a daemon without workspaces yet passes no key to a server", func(t *testing.T) {
		far.setWorkspace("")
		status, _ := near.sendKey("/read/a", http.Header{"X-Key": {"key-1"}})
		assertEqual(t, "status", status, http.StatusOK)
		got := servers.take()[0]
		assertEqual(t, "fields", len(got.Values("X-Key"))+len(got.Values(keyedHeader)), 0)
	})
	t.Run("a key that the other daemon doesn't know yet is no final answer", func(t *testing.T) {
		far.setWorkspace("w", "key-0")
		status, _ := near.sendKey("/read/a", http.Header{"X-Key": {"key-1"}})
		if status == http.StatusUnauthorized {
			t.Error("got status 401, want the request to be tried elsewhere")
		}
		ended := near.ended(1)
		last := ended[len(ended)-1]
		assertEqual(t, "cause", last.Cause, conductor.CauseFull)
	})
	t.Run("a public route passes no key to the other daemon", func(t *testing.T) {
		far.setWorkspace("")
		near.sendKey("/open/a", http.Header{"X-Key": {"key-1"}})
		if got := servers.take(); len(got) != 1 || slices.Contains(got[0].Values("X-Key"), "key-1") {
			t.Errorf("got headers %v, want one without a key", got)
		}
	})
}

// Guards against requests that another daemon serves by an older configuration than the one that received them.
func TestDelegatedToOlderConfiguration(t *testing.T) {
	servers := &backendLog{}
	far := newHarness(t, sendOnceTo(backend(t, servers.handle)))
	near := newHarness(t, nil)
	near.decide = func(e conductor.Event) []conductor.Effect {
		if _, ok := e.(conductor.RequestArrived); ok {
			s := sendTo(far.address)
			s.ToDaemon = true
			return []conductor.Effect{s}
		}
		return sendOnceTo("")(e)
	}
	for i, test := range []struct {
		name string
		far  *matcher.Configuration
		want int
	}{
		{"an older one", &matcher.Configuration{Version: 2}, 0},
		{"none", nil, 0},
		{"the same", far.configuration.Load(), 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			far.configuration.Store(test.far)
			status, _ := near.sendKey("/read/a", http.Header{})
			if status == http.StatusNotFound {
				t.Error("got status 404, want the request to be tried elsewhere")
			}
			got := servers.take()
			assertEqual(t, "requests at servers", len(got), test.want)
			ended := near.ended(i + 1)
			if test.want == 0 {
				assertEqual(t, "outcome", ended[i].Outcome, reducer.AttemptNotRun)
			} else {
				assertEqual(t, "version at the server", got[0].Get(versionHeader), "")
			}
		})
	}
}

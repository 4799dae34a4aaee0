package gateway

import (
	"net/http"
	"strings"
	"testing"

	"samphirewharf/internal/decision/conductor"
	"samphirewharf/internal/decision/reducer"
)

// Guards against a stream that another daemon serves and whose software version is lost on the way there or back.
func TestDelegatedOrigin(t *testing.T) {
	const version = "v 2/ä"
	address := backend(t, func(w http.ResponseWriter, r *http.Request) {
		if got := r.Header.Get(originHeader); got != "" {
			t.Errorf("got field %q at the server, want none", got)
		}
		w.Header().Set("X-Seal", "s")
		w.Header().Set("X-Id", r.Header.Get("X-Id"))
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = w.Write([]byte(event(1)))
	})
	// newPair returns a daemon that passes its requests on to another one, which is told the origin and sends them to the server.
	newPair := func(t *testing.T, origin conductor.Origin) (near, far *harness) {
		t.Helper()
		far = newHarness(t, func(e conductor.Event) []conductor.Effect {
			if _, ok := e.(conductor.RequestArrived); !ok {
				return sendOnceTo("")(e)
			}
			s := sendTo(address)
			s.Origin = conductor.Origin{SoftwareVersion: version, Known: true}
			return []conductor.Effect{s}
		})
		near = newHarness(t, func(e conductor.Event) []conductor.Effect {
			if _, ok := e.(conductor.RequestArrived); !ok {
				return sendOnceTo("")(e)
			}
			s := sendTo(far.address)
			s.ToDaemon, s.Origin = true, origin
			return []conductor.Effect{s}
		})
		return near, far
	}
	t.Run("the other daemon is told the version", func(t *testing.T) {
		for _, origin := range []conductor.Origin{{}, {Known: true}, {SoftwareVersion: version, Known: true}} {
			near, far := newPair(t, origin)
			_, _, _, _ = near.send("/stream/1")
			assertEqual(t, "origin", first[conductor.RequestArrived](far).Origin, origin)
		}
	})
	t.Run("its answer tells the version of the server, but not to the caller", func(t *testing.T) {
		near, _ := newPair(t, conductor.Origin{})
		_, body, header, _ := near.send("/stream/1")
		assertEqual(t, "body", body, event(1))
		assertEqual(t, "field at the caller", header.Get(originHeader), "")
		assertEqual(t, "origin", first[conductor.AttemptStarted](near).Origin, conductor.Origin{SoftwareVersion: version, Known: true})
	})
	t.Run("a caller can't name a version", func(t *testing.T) {
		_, far := newPair(t, conductor.Origin{})
		r, err := http.NewRequest(http.MethodPost, "http://"+far.address+"/stream/1", strings.NewReader(""))
		if err != nil {
			t.Fatal(err)
		}
		r.Host = "h"
		r.Header.Set("X-Id", "id-1")
		r.Header.Set(originHeader, "v9")
		response, err := far.client.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
		assertEqual(t, "origin", first[conductor.RequestArrived](far).Origin, conductor.Origin{})
	})
}

// Guards against servers that write what only daemons tell each other: an answer that is taken for a refusal, so that another server runs
// the request again, and advice that is taken for that of another server.
func TestServersThatWriteFieldsOfDaemons(t *testing.T) {
	address := backend(t, func(w http.ResponseWriter, r *http.Request) {
		for _, name := range []string{"X-Seal", "X-Limited", rejectedHeader} {
			w.Header().Set(name, "1")
		}
		w.Header().Set("X-Id", r.Header.Get("X-Id"))
		w.Header().Set(serverHeader, "i-2 1")
		w.Header().Set(originHeader, "v9")
		switch {
		case strings.HasPrefix(r.URL.Path, "/stream/"):
			w.Header().Set("Content-Type", "text/event-stream")
			_, _ = w.Write([]byte(event(1)))
		case strings.HasPrefix(r.URL.Path, "/read/error"):
			w.WriteHeader(http.StatusInternalServerError)
		}
	})
	// newServed returns a daemon that sends requests to the server, and keeps errors until it has tried others.
	newServed := func(t *testing.T) *harness {
		t.Helper()
		return newHarness(t, func(e conductor.Event) []conductor.Effect {
			switch e := e.(type) {
			case conductor.RequestArrived:
				s := sendTo(address)
				s.StartedAt, s.BufferErrors, s.Origin = 1, true, conductor.Origin{SoftwareVersion: "v1", Known: true}
				return []conductor.Effect{s}
			case conductor.AttemptEnded:
				if e.Buffered {
					return []conductor.Effect{conductor.Deliver{Request: e.Request}}
				}
			}
			return nil
		})
	}
	for path, status := range map[string]int{"/read/1": http.StatusOK, "/read/error": http.StatusInternalServerError, "/stream/1": http.StatusOK} {
		t.Run("through another daemon, "+path, func(t *testing.T) {
			far := newServed(t)
			near := newHarness(t, func(e conductor.Event) []conductor.Effect {
				if _, ok := e.(conductor.RequestArrived); !ok {
					return sendOnceTo("")(e)
				}
				s := sendTo(far.address)
				s.ToDaemon = true
				return []conductor.Effect{s}
			})
			got, _, _, _ := near.send(path)
			assertEqual(t, "status", got, status)
			assertEqual(t, "outcome", near.ended(1)[0].Outcome, reducer.AttemptDone)
			if advised := first[conductor.ServerAdvised](near).Server; advised == "i-2" {
				t.Errorf("got the advice of %s, want none of a server that wasn't asked", advised)
			}
			if origin := first[conductor.AttemptStarted](near).Origin; origin.SoftwareVersion == "v9" {
				t.Errorf("got a stream of version %s, want that of the server's entry", origin.SoftwareVersion)
			}
		})
		t.Run("to a caller, "+path, func(t *testing.T) {
			got, _, header, _ := newServed(t).send(path)
			assertEqual(t, "status", got, status)
			for _, name := range []string{rejectedHeader, serverHeader, originHeader} {
				assertEqual(t, "field "+name, header.Get(name), "")
			}
		})
	}
}

// first waits for an event of a type and returns the first one, or the zero value if an attempt has ended without one.
func first[E conductor.Event](h *harness) E {
	h.t.Helper()
	h.ended(1)
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, e := range h.events {
		if found, ok := e.(E); ok {
			return found
		}
	}
	var none E
	return none
}

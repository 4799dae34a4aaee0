package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

const (
	// failingStatus is the status with which the failing server fails. Model servers use it for overload; it isn't registered.
	failingStatus = 529
	// failingShare is the share of its requests that the failing server fails.
	failingShare = 0.4
	// statusServers is the number of servers, one of which fails. statusRequests is the number of requests.
	statusServers  = 7
	statusRequests = 400
)

// runStatus checks that callers get the status that a server gave, while one server fails part of its requests.
func runStatus(t *trial) (int, error) {
	t.store.write("op/config", map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r-once", "host": "desk.example", "prefix": "/once/", "kind": "non_idempotent", "timeout-ms": 1000, "target-latency-ms": 100,
			"priority": 2, "service": "desk", "max-attempts": 1,
		}},
		"services": []any{map[string]any{"name": "desk", "health-path": "/health", "max-conns": 100}},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
	for i := range statusServers {
		s := &server{id: fmt.Sprintf("i-%d", i), service: "desk", ledger: t.ledger}
		if i == 0 && t.trouble {
			s.status = func() int {
				if rand.Float64() < failingShare {
					return failingStatus
				}
				return http.StatusOK
			}
		}
		if err := startServer(s, t.store, "kgn-a"); err != nil {
			return exitFailed, err
		}
	}
	d, err := newDaemon(t.folder, "edge-kgn-a-1", "kgn-a", t.store.address, true)
	if err != nil {
		return exitFailed, err
	}
	t.daemons = append(t.daemons, d)
	if err := d.awaitReady(20 * time.Second); err != nil {
		return exitFailed, err
	}
	broken, sealed := 0, 0
	for i := range statusRequests {
		id := fmt.Sprintf("once.%04x", i)
		status, seal, err := post(d, id)
		if err != nil {
			return exitFailed, err
		}
		runs := t.ledger.of(id)
		if seal == "" || len(runs) != 1 {
			t.note("%s: status %d without a seal, %d runs", id, status, len(runs))
			continue
		}
		sealed++
		changed := runs[0].status != status
		if changed {
			broken++
		}
		if runs[0].status != http.StatusOK || changed {
			t.note("%s: server %s gave %d, the caller got %d with the seal %s; changed: %v", id, runs[0].server, runs[0].status, status, seal, changed)
		}
	}
	t.note("MIXED: %d of %d sealed answers had another status than the server gave", broken, sealed)
	switch {
	case sealed < statusRequests/2:
		return exitFailed, fmt.Errorf("%d of %d requests were answered by servers", sealed, statusRequests)
	case broken > 0:
		return exitBroken, nil
	default:
		return exitHeld, nil
	}
}

// post sends a request that must not be repeated and returns the status and the seal of the answer.
func post(d *daemon, id string) (status int, seal string, err error) {
	r, err := http.NewRequest(http.MethodPost, "http://"+d.front+"/once/x", strings.NewReader("swap "+id))
	if err != nil {
		return 0, "", err
	}
	r.Host = "desk.example"
	r.Header.Set("Request-Id", id)
	r.Header.Set("Deadline-Ms", "1000")
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, "", err
	}
	_, _ = io.Copy(io.Discard, answer.Body)
	_ = answer.Body.Close()
	return answer.StatusCode, answer.Header.Get("Response-Seal"), nil
}

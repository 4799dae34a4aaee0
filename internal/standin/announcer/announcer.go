// Package announcer is a stand-in for the platform's host list. Changes appear in it after a lag.
package announcer

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"samphirewharf/internal/config/cataloger"
	"samphirewharf/internal/external/lister"
	"samphirewharf/internal/standin/responder"
)

// An HostList is the stand-in. The zero value is ready to start.
type HostList struct {
	// Now returns the time by which changes appear; nil means time.Now.
	Now func() time.Time

	server responder.Server

	mu     sync.Mutex
	faults Faults
	hosts  map[string]lister.Host
	// pending are the changes that don't appear yet, in the order they came.
	pending []pendingChange
	counts  Counts
}

// A Change changes the host list. It is the body of POST /stand-in/hosts.
type Change struct {
	// Add adds hosts or replaces those with the same server name. An empty state means live.
	Add []lister.Host
	// Leave names the servers to mark as leaving, Remove those to take off the list.
	Leave  []string
	Remove []string
}

// Faults are what goes wrong. They are the body of POST /stand-in/faults, which replaces all.
type Faults struct {
	// Down closes each connection without an answer.
	Down bool
	// Lag is how long later changes take to appear.
	Lag cataloger.Duration
}

// Counts are how many calls came and how many were answered as unchanged.
type Counts struct {
	Lists     int64
	Unchanged int64
}

// A hostsAnswer is the answer of GET /v1/hosts.
type hostsAnswer struct {
	Hosts []lister.Host
}

type pendingChange struct {
	visibleAt time.Time
	change    Change
}

// Address returns the IP and port.
func (a *HostList) Address() string { return a.server.Address() }

// Apply takes in a change, which appears after the lag.
func (a *HostList) Apply(c Change) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.pending = append(a.pending, pendingChange{a.now().Add(a.faults.Lag.D()), c})
}

// Counts returns how many calls came.
func (a *HostList) Counts() Counts {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.counts
}

// SetFaults replaces all faults.
func (a *HostList) SetFaults(f Faults) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.faults = f
}

// Start serves on an IP and port.
func (a *HostList) Start(address string) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/hosts", a.serveHosts)
	mux.HandleFunc("POST /stand-in/hosts", responder.SetHandler(a.Apply))
	mux.HandleFunc("POST /stand-in/faults", responder.SetHandler(a.SetFaults))
	mux.HandleFunc("GET /stand-in/counts", responder.GetHandler(a.Counts))
	return a.server.Start(address, mux)
}

// Stop closes the listener and all connections.
func (a *HostList) Stop() { a.server.Stop() }

func (a *HostList) apply(c Change) {
	if a.hosts == nil {
		a.hosts = make(map[string]lister.Host)
	}
	for _, host := range c.Add {
		if host.State == "" {
			host.State = lister.HostLive
		}
		a.hosts[host.Server] = host
	}
	for _, server := range c.Leave {
		if host, ok := a.hosts[server]; ok {
			host.State = lister.HostLeaving
			a.hosts[server] = host
		}
	}
	for _, server := range c.Remove {
		delete(a.hosts, server)
	}
}

// list returns the hosts of a service that appear now, ordered by name. An empty service means all.
func (a *HostList) list(service string) []lister.Host {
	now := a.now()
	for len(a.pending) > 0 && !now.Before(a.pending[0].visibleAt) {
		a.apply(a.pending[0].change)
		a.pending = a.pending[1:]
	}
	hosts := make([]lister.Host, 0, len(a.hosts))
	for _, host := range a.hosts {
		if service == "" || host.Service == service {
			hosts = append(hosts, host)
		}
	}
	sort.Slice(hosts, func(i, j int) bool { return hosts[i].Server < hosts[j].Server })
	return hosts
}

func (a *HostList) now() time.Time {
	if a.Now == nil {
		return time.Now()
	}
	return a.Now()
}

func (a *HostList) serveHosts(w http.ResponseWriter, r *http.Request) {
	a.mu.Lock()
	a.counts.Lists++
	down := a.faults.Down
	body, err := json.Marshal(hostsAnswer{a.list(r.URL.Query().Get("Service"))})
	a.mu.Unlock()
	if down {
		responder.Drop(w)
		return
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	etag := fmt.Sprintf(`"%016x"`, xxhash.Sum64(body))
	w.Header().Set("ETag", etag)
	if r.Header.Get("If-None-Match") == etag {
		a.countUnchanged()
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}

func (a *HostList) countUnchanged() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.counts.Unchanged++
}

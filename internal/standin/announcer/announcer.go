// Package announcer is a stand-in for the platform's host list. Changes become visible after a lag.
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

// A HostList is a stand-in for the host list. The zero value is ready to start.
type HostList struct {
	// Now returns the time that decides when changes become visible; nil means time.Now.
	Now func() time.Time

	server responder.Server

	mu     sync.Mutex
	faults Faults
	hosts  map[string]lister.Host
	// pending are the changes that aren't visible yet, in order of arrival.
	pending []pendingChange
	counts  Counts
}

// A Change is a change of the host list. It is the body of POST /stand-in/hosts.
type Change struct {
	// Add adds hosts or replaces those with the same server name. An empty state means live.
	Add []lister.Host
	// Leave names the servers to mark as leaving, Remove those to remove from the list.
	Leave  []string
	Remove []string
}

// Faults are the injected faults. They are the body of POST /stand-in/faults, which replaces all of them.
type Faults struct {
	// Down closes each connection without an answer.
	Down bool
	// Lag is the delay until a later change becomes visible.
	Lag cataloger.Duration
}

// Counts are the numbers of calls and of calls answered as unchanged.
type Counts struct {
	Lists     int64
	Unchanged int64
}

// A hostsAnswer is the answer to GET /v1/hosts.
type hostsAnswer struct {
	Hosts []lister.Host
}

type pendingChange struct {
	visibleAt time.Time
	change    Change
}

// Address returns the IP and port.
func (l *HostList) Address() string { return l.server.Address() }

// Apply adds a change, which becomes visible after the lag.
func (l *HostList) Apply(c Change) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending = append(l.pending, pendingChange{l.now().Add(l.faults.Lag.D()), c})
}

// Counts returns the numbers of calls.
func (l *HostList) Counts() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts
}

// SetFaults replaces all faults.
func (l *HostList) SetFaults(f Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

// Start serves on an IP and port.
func (l *HostList) Start(address string) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/hosts", l.serveHosts)
	mux.HandleFunc("POST /stand-in/hosts", responder.SetHandler(l.Apply))
	mux.HandleFunc("POST /stand-in/faults", responder.SetHandler(l.SetFaults))
	mux.HandleFunc("GET /stand-in/counts", responder.GetHandler(l.Counts))
	return l.server.Start(address, mux)
}

// Stop closes the listener and all connections.
func (l *HostList) Stop() { l.server.Stop() }

func (l *HostList) apply(c Change) {
	if l.hosts == nil {
		l.hosts = make(map[string]lister.Host)
	}
	for _, host := range c.Add {
		if host.State == "" {
			host.State = lister.HostLive
		}
		l.hosts[host.Server] = host
	}
	for _, server := range c.Leave {
		if host, ok := l.hosts[server]; ok {
			host.State = lister.HostLeaving
			l.hosts[server] = host
		}
	}
	for _, server := range c.Remove {
		delete(l.hosts, server)
	}
}

// list applies the changes that are due and returns the hosts of a service, ordered by name. An empty service means all.
func (l *HostList) list(service string) []lister.Host {
	now := l.now()
	for len(l.pending) > 0 && !now.Before(l.pending[0].visibleAt) {
		l.apply(l.pending[0].change)
		l.pending = l.pending[1:]
	}
	hosts := make([]lister.Host, 0, len(l.hosts))
	for _, host := range l.hosts {
		if service == "" || host.Service == service {
			hosts = append(hosts, host)
		}
	}
	sort.Slice(hosts, func(i, j int) bool { return hosts[i].Server < hosts[j].Server })
	return hosts
}

func (l *HostList) now() time.Time {
	if l.Now == nil {
		return time.Now()
	}
	return l.Now()
}

func (l *HostList) serveHosts(w http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	l.counts.Lists++
	down := l.faults.Down
	body, err := json.Marshal(hostsAnswer{l.list(r.URL.Query().Get("Service"))})
	l.mu.Unlock()
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
		l.countUnchanged()
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}

func (l *HostList) countUnchanged() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts.Unchanged++
}

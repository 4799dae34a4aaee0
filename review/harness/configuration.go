package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	// configApply is config-apply-ms of the settings, after which an acknowledged configuration has to be in force.
	configApply = 2 * time.Second
	// contact is contact-ms of the settings. Silent connections count as a reset of the connections of all machines, so none is in
	// touch before that time has passed.
	contact = 3 * time.Second
	// lastCheck is how long after the silence the last request is sent that counts. TCP keep-alive probes would show a silent
	// connection only later.
	lastCheck = 3900 * time.Millisecond
	// silenceLead is the time from the silence of the connections to the change of the configuration.
	silenceLead = 300 * time.Millisecond
)

// configuration returns the operator's configuration. The newer one has moved a route to another service and added one.
func configuration(newer bool) map[string]any {
	route := func(name, prefix, service string) map[string]any {
		return map[string]any{
			"name": name, "host": "desk.example", "prefix": prefix, "kind": "idempotent", "timeout-ms": 1000, "target-latency-ms": 100,
			"priority": 2, "service": service, "max-attempts": 2,
		}
	}
	version, routes := 7, []any{route("r-moved", "/moved/", "desk-a")}
	if newer {
		version, routes = 9, []any{route("r-moved", "/moved/", "desk-b"), route("r-added", "/added/", "desk-b")}
	}
	return map[string]any{
		"version": version, "routes": routes,
		"services": []any{
			map[string]any{"name": "desk-a", "health-path": "/health", "max-conns": 100},
			map[string]any{"name": "desk-b", "health-path": "/health", "max-conns": 100},
		},
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	}
}

// runConfiguration checks that a change of the configuration is in force in time at daemons whose own connections are sound, while
// some connections of other daemons to the store are silent.
func runConfiguration(t *trial) (int, error) {
	proxies, err := t.startFleet(4)
	if err != nil {
		return exitFailed, err
	}
	time.Sleep(3 * time.Second)
	harmed := make(map[string]bool)
	for i, p := range proxies {
		name := t.daemons[i].name
		if !p.watching() {
			t.note("%s doesn't watch the configuration in the store itself", name)
			continue
		}
		if !t.trouble {
			t.note("%s watches the configuration in the store", name)
			continue
		}
		silenced, open := p.silenceWatches()
		harmed[name] = silenced > 0
		t.note("%s: %d of %d connections to the store go silent", name, silenced, open)
	}
	silentSince := time.Now()
	time.Sleep(silenceLead)
	t.store.write("op/config", configuration(true))
	return t.checkFleet(harmed, silentSince, time.Now()), nil
}

// startFleet starts servers of two services and daemons, each with a proxy to the store.
func (t *trial) startFleet(count int) ([]*proxy, error) {
	t.store.write("op/config", configuration(false))
	zones := []string{"kgn-a", "kgn-b"}
	for i := range 4 {
		s := &server{id: fmt.Sprintf("i-%d", i), service: []string{"desk-a", "desk-b"}[i%2], ledger: t.ledger}
		if err := startServer(s, t.store, zones[i/2]); err != nil {
			return nil, err
		}
	}
	var proxies []*proxy
	for i := range count {
		p, err := newProxy(t.store.address)
		if err != nil {
			return nil, err
		}
		proxies = append(proxies, p)
		zone := zones[i%2]
		d, err := newDaemon(t.folder, fmt.Sprintf("edge-%s-%d", zone, i/2+1), zone, p.address, true)
		if err != nil {
			return nil, err
		}
		t.daemons = append(t.daemons, d)
	}
	for _, d := range t.daemons {
		if err := d.awaitReady(20 * time.Second); err != nil {
			return nil, err
		}
	}
	return proxies, nil
}

// checkFleet sends requests to the daemons whose connections are sound until lastCheck.
func (t *trial) checkFleet(harmed map[string]bool, silentSince, acknowledged time.Time) int {
	var mu sync.Mutex
	broken, checked := 0, 0
	var wg sync.WaitGroup
	for _, d := range t.daemons {
		if harmed[d.name] {
			continue
		}
		for _, path := range []string{"/moved/x", "/added/x"} {
			wg.Add(1)
			go func() {
				defer wg.Done()
				for i := 0; time.Since(silentSince) < lastCheck; i++ {
					since, inTouch := time.Since(acknowledged), time.Since(silentSince) > contact
					outcome, stale := t.ask(d, path, fmt.Sprintf("%s.%s.%04x", d.name, path[1:6], i))
					mu.Lock()
					if since > configApply && inTouch {
						checked++
						if stale {
							broken++
						}
						t.note("%4d ms after the acknowledgement, %s %s: %s; as only the older version allows: %v", since.Milliseconds(), d.name, path, outcome, stale)
					}
					mu.Unlock()
					time.Sleep(50 * time.Millisecond)
				}
			}()
		}
	}
	wg.Wait()
	t.note("CONFIG: %d of %d requests sent later than %s after the acknowledgement were handled as only the older version allows", broken, checked, configApply)
	switch {
	case checked == 0:
		return exitFailed
	case broken > 0:
		return exitBroken
	default:
		return exitHeld
	}
}

// ask sends one request and returns what became of it, and whether only the older configuration allows that.
func (t *trial) ask(d *daemon, path, id string) (outcome string, stale bool) {
	r, err := http.NewRequest(http.MethodGet, "http://"+d.front+path, http.NoBody)
	if err != nil {
		return err.Error(), false
	}
	r.Host = "desk.example"
	r.Header.Set("Request-Id", id)
	r.Header.Set("Deadline-Ms", "1000")
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return err.Error(), false
	}
	_, _ = io.Copy(io.Discard, answer.Body)
	_ = answer.Body.Close()
	runs := t.ledger.of(id)
	services := make([]string, 0, len(runs))
	for _, one := range runs {
		services = append(services, one.service)
		stale = stale || one.service == "desk-a"
	}
	stale = stale || path == "/added/x" && answer.StatusCode == http.StatusNotFound
	ran, _ := json.Marshal(services)
	return fmt.Sprintf("status %d, run by %s", answer.StatusCode, ran), stale
}

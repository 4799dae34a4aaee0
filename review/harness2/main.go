// Package main plays the cases of the second review: stand-ins of the platform, servers and clients in one process, and the project's
// daemons as processes of their own.
package main

import (
	"fmt"
	"os"
	"time"
)

// maxTime bounds a case.
const maxTime = 110 * time.Second

// An environment is what a case works with.
type environment struct {
	record *record
	store  *store
	folder string
	// trouble reports whether the disruption happens.
	trouble bool
	daemons []*daemon
	// version is that of the configuration.
	version int
}

// cases holds the cases by the number of their folder. They return an error if the case couldn't run.
var cases = map[string]func(e *environment) error{
	"6":  versions,
	"7":  failAfterRun,
	"8":  odd,
	"9":  stopping,
	"10": failUnregistered,
}

func main() { os.Exit(run()) }

// run plays a case and returns the exit status: 0 if the rule held, 1 if it was broken, 2 if the case couldn't run.
func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness2 CASE RECORD")
		return 2
	}
	e := &environment{trouble: os.Getenv("TROUBLE") != "0"}
	var err error
	if e.record, err = newRecord(os.Args[2]); err == nil {
		e.store, err = startStore()
	}
	if err == nil {
		e.folder, err = os.MkdirTemp("", "review")
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer e.end()
	done := make(chan error, 1)
	go func() { done <- cases[os.Args[1]](e) }()
	select {
	case err = <-done:
	case <-time.After(maxTime):
		err = fmt.Errorf("case takes longer than %s", maxTime)
	}
	if err != nil {
		e.record.logf("case couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if n := e.record.breaches(); n > 0 {
		fmt.Printf("rule broken %d times, trouble %v\n", n, e.trouble)
		return 1
	}
	fmt.Printf("rule held, trouble %v\n", e.trouble)
	return 0
}

// end ends all processes and removes the folder.
func (e *environment) end() {
	for _, d := range e.daemons {
		d.stop()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(e.folder)
		return
	}
	fmt.Println("logs are kept in", e.folder)
}

// start starts the daemon of a machine, and waits until it is ready if ready is true.
func (e *environment) start(m machine, ready bool) (*daemon, error) {
	d, err := startDaemon(m, e.folder, e.store.address)
	if err != nil {
		return nil, err
	}
	e.daemons = append(e.daemons, d)
	if !ready {
		return d, nil
	}
	return d, awaitReady(m)
}

// A route of the configuration.
type route struct {
	name, prefix, kind, service string
	timeout                     time.Duration
	objective                   time.Duration
	attempts                    int
	resumable                   bool
}

// configure writes the next version of the configuration. The models are those of the engines of the service that is named engines; empty for none.
func (e *environment) configure(routes []route, services []string, engines string, models ...string) {
	var routeList, serviceList []map[string]any
	e.version++
	for _, r := range routes {
		entry := map[string]any{
			"name": r.name, "host": host, "prefix": r.prefix, "kind": r.kind, "timeout-ms": r.timeout.Milliseconds(),
			"target-latency-ms": r.objective.Milliseconds(), "priority": 1, "service": r.service, "max-attempts": r.attempts,
			"sticky": r.service == engines, "resumable": r.resumable,
		}
		if r.kind == "streaming" {
			entry["target-gap-ms"] = 200
		}
		routeList = append(routeList, entry)
	}
	for _, name := range services {
		entry := map[string]any{"name": name, "health-path": "/health", "max-conns": 230, "protocol": "h1", "tls": false}
		if name == engines {
			var list []map[string]any
			for _, m := range models {
				list = append(list, map[string]any{"name": m, "weights-mb": 16000, "load-s": 6, "adapters": 0, "adapter-mb": 14, "warm-s": 0.3, "disk-s": 0.4})
			}
			entry["engine"] = map[string]any{"slots": 32, "kv-capacity": 90000, "models": list, "weights-mb": 58000, "adapter-slots": 8, "loads-per-s": 6.5}
		}
		serviceList = append(serviceList, entry)
	}
	e.store.put("op/config", map[string]any{
		"version": e.version, "routes": routeList, "services": serviceList,
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
}

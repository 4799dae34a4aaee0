package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"time"
)

const (
	// leaseTime is lease-ms of the settings, within which two holders may not take turns.
	leaseTime = 3 * time.Second
	// restartDelay is how long the killed daemon is away, copyAge how old the copy is from which the store comes back, and awayTime how
	// long the store is away before.
	restartDelay = 3 * time.Second
	copyAge      = 7 * time.Second
	awayTime     = 500 * time.Millisecond
	// modelServers is the number of engines.
	modelServers = 4
	// afterTime is how long orders are watched after the store is back.
	afterTime = 6 * time.Second
)

// runLeaders checks that two daemons don't give orders in turns while the store is restored from a copy that still names the
// leader before the current one.
func runLeaders(t *trial) (int, error) {
	engines, err := t.startModelFleet()
	if err != nil {
		return exitFailed, err
	}
	go t.askForAdapters()
	time.Sleep(5 * time.Second)
	begin := time.Now()
	t.note("the leader is %s", t.leader())
	if t.trouble {
		first := t.daemons[0]
		if t.leader() != first.name {
			return exitFailed, fmt.Errorf("the leader is not %s", first.name)
		}
		c := t.store.copy()
		t.note("%4d ms: %s is killed", time.Since(begin).Milliseconds(), first.name)
		_ = first.command.Process.Signal(syscall.SIGKILL)
		_ = first.command.Wait()
		time.Sleep(restartDelay)
		if err := first.start(); err != nil {
			return exitFailed, err
		}
		time.Sleep(copyAge - time.Since(begin))
		t.note("%4d ms: the leader is %s; the store is away", time.Since(begin).Milliseconds(), t.leader())
		t.store.leave()
		time.Sleep(awayTime)
		t.store.restore(c)
		t.note("%4d ms: the store is back from a copy in which the leader is %s", time.Since(begin).Milliseconds(), t.leader())
	} else {
		time.Sleep(copyAge + awayTime)
	}
	time.Sleep(afterTime)
	t.note("the leader is %s", t.leader())
	return t.checkTurns(engines, begin), nil
}

// startModelFleet starts engines and daemons, the first of which becomes the leader.
func (t *trial) startModelFleet() ([]*engine, error) {
	t.store.write("op/config", map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r-draft", "host": "desk.example", "prefix": "/draft/", "kind": "streaming", "timeout-ms": 12000, "target-latency-ms": 500,
			"target-gap-ms": 200, "priority": 1, "service": "ensemble", "max-attempts": 2, "sticky": true, "resumable": true,
		}},
		"services": []any{map[string]any{
			"name": "ensemble", "health-path": "/health", "max-conns": 230, "engine": map[string]any{
				"slots": 8, "kv-capacity": 96597, "weights-mb": 58000.0, "adapter-slots": engineSlots, "loads-per-s": 6.5,
				"models": []any{map[string]any{"name": engineModel, "weights-mb": 16100.0, "load-s": 6.0, "warm-s": 0.27, "disk-s": 0.35, "adapters": engineAdapters, "adapter-mb": 14.0}},
			},
		}},
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
	var engines []*engine
	for i := range modelServers {
		e := &engine{id: fmt.Sprintf("i-%d", i), service: "ensemble", store: t.store}
		if err := startEngine(e); err != nil {
			return nil, err
		}
		engines = append(engines, e)
	}
	for i, zone := range []string{"kgn-a", "kgn-b", "kgn-c"} {
		d, err := newDaemon(t.folder, "edge-"+zone+"-1", zone, t.store.address, false)
		if err != nil {
			return nil, err
		}
		t.daemons = append(t.daemons, d)
		if err := d.awaitReady(20 * time.Second); err != nil {
			return nil, err
		}
		for wait := 0; i == 0 && t.leader() == "" && wait < 100; wait++ {
			time.Sleep(50 * time.Millisecond)
		}
	}
	return engines, nil
}

// leader returns the name in the leader's record in the store.
func (t *trial) leader() string {
	var record struct{ Name string }
	_ = json.Unmarshal(t.store.get("samphirewharf/role"), &record)
	return record.Name
}

// askForAdapters sends requests for more adapters than the engines can load, so that the leader always has orders to give.
func (t *trial) askForAdapters() {
	for i := 0; ; i++ {
		d := t.daemons[1+i%2]
		go t.askFor(d, fmt.Sprintf("%s/a%d", engineModel, 1+i%engineAdapters), fmt.Sprintf("draft.%06x", i))
		time.Sleep(20 * time.Millisecond)
	}
}

func (t *trial) askFor(d *daemon, model, id string) {
	r, err := http.NewRequest(http.MethodPost, "http://"+d.front+"/draft/x", strings.NewReader("prompt"))
	if err != nil {
		return
	}
	r.Host = "desk.example"
	for name, value := range map[string]string{"Request-Id": id, "Deadline-Ms": "12000", "Model": model, "Token-Usage": "100,20", "Prompt-Prefix": "5c1e07a2:100"} {
		r.Header.Set(name, value)
	}
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, answer.Body)
	_ = answer.Body.Close()
}

// checkTurns checks that no engine got orders of two daemons within leaseTime.
func (t *trial) checkTurns(engines []*engine, begin time.Time) int {
	broken, total := 0, 0
	for _, e := range engines {
		e.mu.Lock()
		orders := slices.Clone(e.orders)
		e.mu.Unlock()
		total += len(orders)
		for i, o := range orders {
			if i == 0 || orders[i-1].holder == o.holder {
				continue
			}
			before := orders[i-1]
			gap := o.at.Sub(before.at)
			t.note("%s: %s gave its last order at %d ms (token %d, %s, status %d), %s its first one %d ms after that (token %d, %s, status %d)", e.id,
				before.holder, before.at.Sub(begin).Milliseconds(), before.token, before.what, before.status, o.holder, gap.Milliseconds(), o.token, o.what, o.status)
			if gap < leaseTime {
				broken++
			}
		}
	}
	t.note("ONE: %d of %d orders followed an order of another holder at the same server within %s", broken, total, leaseTime)
	switch {
	case total < 10:
		return exitFailed
	case broken > 0:
		return exitBroken
	default:
		return exitHeld
	}
}

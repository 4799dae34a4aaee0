package main

import (
	"bufio"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// takenUpStreams is the number of streams that break off, mixedAllowed the number of those that may hold events of two versions.
	takenUpStreams = 12
	mixedAllowed   = 2
	// noticeTime is how long before its end a server reports that it is taken away. upgradeDelay is the time from that end to the
	// registration of the first server of the newer version, crashDelay that to the crash of the server that loads the model again.
	noticeTime   = 2 * time.Second
	upgradeDelay = 300 * time.Millisecond
	crashDelay   = time.Second
	// streamTime bounds the time of a caller for a stream.
	streamTime = 17 * time.Second
	// otherModels is the number of models that other servers hold and other callers ask for.
	otherModels = 6
)

// A stream is what a caller has of one answer.
type stream struct {
	first string
	last  int
	// versions counts the events by the version of the server that wrote them.
	versions map[string]int
	whole    bool
}

// runVersions checks that streams go on only at the software version that began them, while servers crash and an upgrade begins.
func runVersions(t *trial) (int, error) {
	servers, err := t.startVersionFleet()
	if err != nil {
		return exitFailed, err
	}
	var wg sync.WaitGroup
	streams := make([]*stream, takenUpStreams)
	for i := range streams {
		wg.Add(1)
		streams[i] = &stream{first: fmt.Sprintf("deep.%02x.0", i), versions: make(map[string]int)}
		go func() {
			defer wg.Done()
			t.follow(streams[i])
		}()
	}
	go t.askForOther()
	time.Sleep(300 * time.Millisecond)
	if t.trouble {
		t.note("%s (v1), which runs the streams, is to be taken away in %s", servers[0].id, noticeTime)
		servers[0].takeAway(noticeTime)
		begin := time.Now()
		t.note("0 ms: %s is gone", servers[0].id)
		time.Sleep(upgradeDelay)
		newer := &modelServer{id: "i-newer", version: "v2", store: t.store}
		if err := startModelServer(newer); err != nil {
			return exitFailed, err
		}
		t.note("%d ms: %s (v2) has started, as the first of an upgrade", time.Since(begin).Milliseconds(), newer.id)
		time.Sleep(crashDelay - time.Since(begin))
		t.note("%d ms: %s (v1), which loads the model, crashes", time.Since(begin).Milliseconds(), servers[1].id)
		servers[1].crash()
	}
	wg.Wait()
	mixed, whole := 0, 0
	for _, s := range streams {
		t.note("stream %s: events by version %v, whole: %v", s.first, s.versions, s.whole)
		if len(s.versions) > 1 {
			mixed++
		}
		if s.whole {
			whole++
		}
	}
	t.note("ORDER: %d of %d streams hold events of two software versions; %d are allowed", mixed, len(streams), mixedAllowed)
	switch {
	case mixed > mixedAllowed:
		return exitBroken, nil
	case !t.trouble && whole == 0:
		return exitFailed, nil
	default:
		return exitHeld, nil
	}
}

// startVersionFleet starts daemons and servers of one version: one has the model of the streams, one is empty, and the others have other
// models.
func (t *trial) startVersionFleet() ([]*modelServer, error) {
	route := func(name, prefix string) map[string]any {
		return map[string]any{
			"name": name, "host": "desk.example", "prefix": prefix, "kind": "streaming", "timeout-ms": 17000, "target-latency-ms": 4000,
			"target-gap-ms": 200, "priority": 1, "service": "ensemble", "max-attempts": 2, "sticky": true, "resumable": true,
		}
	}
	model := func(name string) map[string]any {
		return map[string]any{"name": name, "weights-mb": 34300.0, "load-s": 6.0, "warm-s": 0.39, "disk-s": 0.52, "adapters": 0, "adapter-mb": 40.0}
	}
	models := []any{model("deep")}
	servers := []*modelServer{{id: "i-first", version: "v1", store: t.store, model: "deep"}, {id: "i-empty", version: "v1", store: t.store}}
	for i := range otherModels {
		models = append(models, model(otherModel(i)))
		servers = append(servers, &modelServer{id: fmt.Sprintf("i-other-%d", i), version: "v1", store: t.store, model: otherModel(i)})
	}
	t.store.write("op/config", map[string]any{
		"version": 7, "routes": []any{route("r-deep", "/deep/"), route("r-short", "/short/")},
		"services": []any{map[string]any{
			"name": "ensemble", "health-path": "/health", "max-conns": 230, "engine": map[string]any{
				"slots": 32, "kv-capacity": 96597, "weights-mb": 58000.0, "adapter-slots": 8, "loads-per-s": 6.5,
				"models": models,
			},
		}},
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
	for _, s := range servers {
		if err := startModelServer(s); err != nil {
			return nil, err
		}
	}
	for _, zone := range []string{"kgn-a", "kgn-b", "kgn-c"} {
		d, err := newDaemon(t.folder, "edge-"+zone+"-1", zone, t.store.address, true)
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
	for wait := 0; t.leader() == "" && wait < 100; wait++ {
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(4 * time.Second)
	return servers, nil
}

func otherModel(i int) string { return fmt.Sprintf("other%d", i) }

// askForOther sends short requests for the other models, 100 a second as on the small sheet.
func (t *trial) askForOther() {
	for i := 0; ; i++ {
		go t.attempt(t.daemons[i%len(t.daemons)], &stream{versions: make(map[string]int)}, "/short/x", otherModel(i%otherModels), fmt.Sprintf("short.%06x", i), time.Now().Add(streamTime))
		time.Sleep(10 * time.Millisecond)
	}
}

// follow reads a stream and takes it up at another daemon when it breaks off.
func (t *trial) follow(s *stream) {
	deadline := time.Now().Add(streamTime)
	for try := 0; try < 5 && !s.whole && time.Now().Before(deadline); try++ {
		d := t.daemons[min(try, 1)]
		id := strings.TrimSuffix(s.first, "0") + strconv.Itoa(try)
		status, retryAfter := t.attempt(d, s, "/deep/x", "deep", id, deadline)
		t.note("%s at %s: status %d, last event %d, events by version %v", id, d.name, status, s.last, s.versions)
		time.Sleep(retryAfter)
	}
}

// attempt sends one try and reads its events.
func (t *trial) attempt(d *daemon, s *stream, path, model, id string, deadline time.Time) (status int, retryAfter time.Duration) {
	r, err := http.NewRequest(http.MethodPost, "http://"+d.front+path, strings.NewReader("prompt of "+s.first))
	if err != nil {
		return 0, 0
	}
	r.Host = "desk.example"
	for name, value := range map[string]string{
		"Request-Id": id, "Deadline-Ms": strconv.FormatInt(max(time.Until(deadline).Milliseconds(), 1), 10), "Model": model, "Token-Usage": "100,200",
		"Prompt-Prefix": "5c1e07a2:100",
	} {
		r.Header.Set(name, value)
	}
	if s.last > 0 {
		r.Header.Set("Last-Event-Id", strconv.Itoa(s.last))
		r.Header.Set("Resumes", s.first)
	}
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, 100 * time.Millisecond
	}
	defer func() { _ = answer.Body.Close() }()
	seconds, _ := strconv.ParseFloat(answer.Header.Get("Retry-After"), 64)
	if answer.StatusCode != http.StatusOK {
		return answer.StatusCode, time.Duration(seconds * float64(time.Second))
	}
	lines := bufio.NewScanner(answer.Body)
	for lines.Scan() {
		if number, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			s.last, _ = strconv.Atoi(number)
		}
		if version, ok := strings.CutPrefix(lines.Text(), "data: "); ok {
			s.versions[version]++
		}
	}
	s.whole = s.last >= streamEvents
	return answer.StatusCode, 0
}

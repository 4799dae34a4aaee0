package launcher

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"

	"samphirewharf/internal/decision/conductor"
	"samphirewharf/internal/fleet/registrar"
)

// lossRounds is how often facts change while answers to watches are lost. Each change comes after the one before must be known.
const lossRounds = 4

// A loss says whose answers to watches are lost when a fact changes.
type loss struct {
	daemons int
	// followers is how many of the followers lose answers, 0 for all, and -1 for none. answers is how many each of them loses, 0 for all
	// from then on.
	followers, answers int
	seed               uint64
	// limit is drain-ms and config-apply-ms of deployments of the size.
	limit time.Duration
}

func (l loss) name() string {
	followers := map[int]string{-1: "no follower", 0: "all followers", 1: "one follower"}[l.followers]
	answers := map[int]string{0: "all", 1: "one", 2: "two"}[l.answers]
	return fmt.Sprintf("%d daemons, %s without %s", l.daemons, followers, answers)
}

// A factMeter measures how long after the store has accepted a fact each daemon acts on it. Daemons tell by their log lines.
type factMeter struct {
	mu sync.Mutex
	// accepted holds when the store accepted facts, by the text that log lines have.
	accepted map[string]time.Time
	// known holds how long each daemon took, by fact and daemon.
	known map[string]map[string]time.Duration
}

// logger returns a daemon's logger.
func (m *factMeter) logger(daemon string) *log.Logger {
	return &log.Logger{Writer: &log.IOWriter{Writer: &factWriter{meter: m, daemon: daemon}}}
}

type factWriter struct {
	meter  *factMeter
	daemon string
}

// Write looks for facts in a log line.
func (w *factWriter) Write(line []byte) (int, error) {
	if !bytes.Contains(line, []byte(`"belief"`)) {
		return len(line), nil
	}
	w.meter.mu.Lock()
	defer w.meter.mu.Unlock()
	for fact, at := range w.meter.accepted {
		if _, ok := w.meter.known[fact][w.daemon]; !ok && containsAll(string(line), strings.Split(fact, " ")) {
			w.meter.known[fact][w.daemon] = time.Since(at)
		}
	}
	return len(line), nil
}

func containsAll(text string, parts []string) bool {
	for _, part := range parts {
		if !strings.Contains(text, part) {
			return false
		}
	}
	return true
}

// accept notes that the store accepts a fact now.
func (m *factMeter) accept(fact string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.accepted == nil {
		m.accepted, m.known = make(map[string]time.Time), make(map[string]map[string]time.Duration)
	}
	m.accepted[fact], m.known[fact] = time.Now(), make(map[string]time.Duration)
}

// assertInTime checks that all daemons have known all facts in time.
func (m *factMeter) assertInTime(t *testing.T, daemons int, limit time.Duration) {
	t.Helper()
	m.mu.Lock()
	defer m.mu.Unlock()
	late, unknown := 0, 0
	var worst time.Duration
	worstFact := ""
	for fact, known := range m.known {
		unknown += daemons - len(known)
		for daemon, delay := range known {
			if delay > worst {
				worst, worstFact = delay, fact+" at "+daemon
			}
			if delay > limit {
				late++
			}
		}
	}
	t.Logf("%d facts at %d daemons: the latest after %v (%s)", len(m.known), daemons, worst, worstFact)
	if late > 0 || unknown > 0 {
		t.Errorf("got %d facts at daemons later than %v, the latest after %v, and %d unknown, want none", late, limit, worst, unknown)
	}
}

// decodeTestServer decodes entries of the form "STATE START".
func decodeTestServer(key string, value []byte, revision int64) (registrar.Entry, error) {
	state, start, _ := strings.Cut(string(value), " ")
	startedAt, err := strconv.ParseInt(start, 10, 64)
	if err != nil {
		return registrar.Entry{}, fmt.Errorf("decode start: %w", err)
	}
	e := registrar.Entry{ID: key, Service: "s", Address: "10.0.0.1:1", Zone: "z0", Slots: 1, StartedAt: startedAt, State: registrar.StateReady, Revision: revision}
	if state == "draining" {
		e.State = registrar.StateDraining
	}
	return e, nil
}

// change changes some facts: a version of the configuration, a server that announces that it leaves, one that is only removed, and one
// that is replaced by another at its address.
func (f *outageFleet) change(m *factMeter, round int) {
	server := func(kind string) string { return fmt.Sprintf("servers/%s%d", kind, round) }
	version := strconv.Itoa(round + 2)
	m.accept(`"Configuration" "InForce" "Version":` + version + `,`)
	m.accept(`Server` + " " + server("draining") + ` "Draining"`)
	m.accept(`Server` + " " + server("removed") + ` "Gone"`)
	m.accept(`Server` + " " + server("replaced") + ` "Restarted"`)
	f.store.put(configurationKey, []byte(version), 0)
	f.store.put(server("draining"), []byte("draining 1"), 0)
	f.store.remove(server("removed"))
	f.store.put(server("replaced"), []byte("ready 2"), 0)
}

// TestFactsWhenWatchAnswersAreLost guards against daemons that act on what has changed because nobody notices that a watch hears nothing.
func TestFactsWhenWatchAnswersAreLost(t *testing.T) {
	for daemons, limit := range map[int]time.Duration{3: 2 * time.Second, 7: 2 * time.Second, 95: 3 * time.Second, 420: 4 * time.Second} {
		for _, l := range []loss{{daemons, -1, 0, 0, limit}, {daemons, 1, 1, 1, limit}, {daemons, 0, 1, 2, limit}, {daemons, 0, 2, 3, limit}, {daemons, 1, 0, 4, limit}, {daemons, 0, 0, 5, limit}} {
			t.Run(l.name(), func(t *testing.T) {
				if daemons <= 100 {
					t.Parallel()
				}
				synctest.Test(t, func(t *testing.T) { playLoss(t, l) })
			})
		}
	}
}

func playLoss(t *testing.T, l loss) {
	t.Helper()
	var meter factMeter
	f := newOutageFleet(t, outage{daemons: l.daemons, seed: l.seed, longLeases: true, facts: &meter, limit: l.limit})
	for round := range lossRounds {
		for _, kind := range []string{"draining", "removed", "replaced"} {
			f.store.put(fmt.Sprintf("servers/%s%d", kind, round), []byte("ready 1"), 0)
		}
	}
	stop := f.start()
	defer stop()
	time.Sleep(outageSettleTime)
	losers := conductor.Followers(f.records())
	if l.followers != 0 {
		losers = losers[:max(l.followers, 0)]
	}
	versions := &delayMeter{fleet: f, reached: make([]int64, l.daemons), limit: l.limit, anyAnswer: true}
	for round := range lossRounds {
		f.store.loseWatches(losers, l.answers)
		f.change(&meter, round)
		versions.acked = append(versions.acked, time.Now())
		for range (l.limit + time.Duration(round)*300*time.Millisecond) / (10 * time.Millisecond) {
			time.Sleep(10 * time.Millisecond)
			versions.observe()
		}
	}
	time.Sleep(l.limit)
	meter.assertInTime(t, l.daemons, l.limit)
	versions.assertProofsFounded(t)
}

package launcher

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"samphirewharf/internal/peer/messenger"
)

// trafficInterval is the time between log lines of what the daemon has cost the store and the other daemons.
const trafficInterval = 10 * time.Second

// A trafficMeter counts calls to the store and messages to other daemons between two log lines. The zero value is ready to use.
type trafficMeter struct {
	mu       sync.Mutex
	loggedAt time.Time
	counts   map[string]int
}

func (m *trafficMeter) add(name string, n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.counts == nil {
		m.counts = make(map[string]int)
	}
	m.counts[name] += n
}

// raise sets a count to n if it is lower.
func (m *trafficMeter) raise(name string, n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.counts == nil {
		m.counts = make(map[string]int)
	}
	m.counts[name] = max(m.counts[name], n)
}

// take returns the counts and resets them, nil if trafficInterval hasn't passed since it last returned some.
func (m *trafficMeter) take(now time.Time) map[string]int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now.Sub(m.loggedAt) < trafficInterval || len(m.counts) == 0 {
		return nil
	}
	counts := m.counts
	m.loggedAt, m.counts = now, nil
	return counts
}

// messageSent handles the end of the delivery of a message to another daemon.
func (d *Daemon) messageSent(sent messenger.Delivery) {
	if sent.Message.Feed != nil {
		d.relayer.Delivered(sent.Address, sent.Message.Feed, sent.Err == nil)
	}
	kind := string(sent.Message.Kind())
	d.metrics.countMessage(kind, sent)
	d.traffic.add("Messages"+kind, 1)
	d.traffic.add("Bytes"+kind, sent.Size)
	d.traffic.raise("LongestMs"+kind, int(sent.Duration.Milliseconds()))
	if sent.Err != nil {
		d.traffic.add("Lost"+kind, 1)
	}
}

// storeCalled counts a call to the store.
func (d *Daemon) storeCalled(call string, err error) {
	call = callName(call)
	d.metrics.countStoreCall(call, err)
	d.traffic.add("Calls"+pascalCase(call), 1)
}

// pascalCase returns a name whose words are separated by hyphens in Pascal case.
func pascalCase(name string) string {
	var b strings.Builder
	for word := range strings.SplitSeq(name, "-") {
		if word != "" {
			b.WriteString(strings.ToUpper(word[:1]) + word[1:])
		}
	}
	return b.String()
}

// logTraffic logs what was counted since the last line.
func (d *Daemon) logTraffic() {
	counts := d.traffic.take(time.Now())
	if counts == nil {
		return
	}
	line := d.logger.Info()
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		line = line.Int(name, counts[name])
	}
	line.Msg("traffic")
}

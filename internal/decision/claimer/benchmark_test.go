package claimer

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const (
	benchmarkStoreDelay  = 3 * time.Millisecond
	benchmarkRequestTime = 40 * time.Millisecond
	benchmarkDuration    = 10 * time.Second
)

// A timedEvent is an event at a virtual time.
type timedEvent struct {
	at   time.Duration
	call func()
}

type timeline []timedEvent

func (l timeline) Len() int           { return len(l) }
func (l timeline) Less(i, j int) bool { return l[i].at < l[j].at }
func (l *timeline) Pop() any {
	last := (*l)[len(*l)-1]
	*l = (*l)[:len(*l)-1]
	return last
}
func (l *timeline) Push(x any)   { *l = append(*l, x.(timedEvent)) }
func (l timeline) Swap(i, j int) { l[i], l[j] = l[j], l[i] }

// A loadGenerator sends requests to one Machine whose store answers after a constant delay.
type loadGenerator struct {
	machine   *Machine
	store     *fakeStore
	timeline  timeline
	now       time.Duration
	sentAt    map[uint64]time.Duration
	latencies []time.Duration
	writes    int
	bytes     int
	denied    int
}

func (l *loadGenerator) schedule(d time.Duration, call func()) {
	heap.Push(&l.timeline, timedEvent{at: l.now + d, call: call})
}

func (l *loadGenerator) moment() Moment {
	return Moment{Monotonic: l.now, Wall: historyStart.Add(l.now)}
}

func (l *loadGenerator) handle(actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Granted:
			l.latencies = append(l.latencies, l.now-l.sentAt[a.Request])
			l.schedule(benchmarkRequestTime, func() {
				l.handle(l.machine.Complete(l.moment(), a.Request, Result{Status: 201, Body: make([]byte, 200)}))
			})
		case Denied:
			l.denied++
		default:
			if s, ok := a.(Swap); ok {
				l.writes++
				l.bytes += len(s.Value)
			}
			answer := l.store.apply(a)
			l.schedule(benchmarkStoreDelay, func() { l.handle(l.machine.HandleStoreAnswer(l.moment(), answer)) })
		}
	}
}

func (l *loadGenerator) arrive(random *rand.Rand, perSecond float64, id uint64) {
	if l.now >= benchmarkDuration {
		return
	}
	l.sentAt[id] = l.now
	key := fmt.Sprintf("0198c0de-0000-4000-8000-%012x", id)
	l.handle(l.machine.Claim(l.moment(), Request{ID: id, Key: key, BodyHash: random.Uint64(), Deadline: l.now + 2*time.Second}))
	interval := time.Duration(random.ExpFloat64() / perSecond * float64(time.Second))
	l.schedule(interval, func() { l.arrive(random, perSecond, id+1) })
}

// run runs all events and calls the Machine's Tick when it is due.
func (l *loadGenerator) run() {
	for len(l.timeline) > 0 {
		next := heap.Pop(&l.timeline).(timedEvent)
		for wake, ok := l.machine.NextWake(); ok && wake < next.at; wake, ok = l.machine.NextWake() {
			l.now = max(l.now, wake)
			l.handle(l.machine.Tick(l.moment()))
			heap.Push(&l.timeline, next)
			next = heap.Pop(&l.timeline).(timedEvent)
		}
		l.now = next.at
		next.call()
	}
}

func BenchmarkClaims(b *testing.B) {
	single := Settings{MaxBatch: 1}
	grouped := Settings{}
	delayed := Settings{ResultDelay: 250 * time.Millisecond}
	paced := Settings{ResultDelay: 250 * time.Millisecond, MinWriteInterval: 50 * time.Millisecond}
	few := Settings{ResultDelay: 250 * time.Millisecond, Partitions: 2}
	large := Settings{ResultDelay: 250 * time.Millisecond, SegmentBytes: 32 << 10}
	for _, c := range []struct {
		name      string
		settings  Settings
		perSecond float64
	}{
		{"Single/1", single, 1},
		{"Grouped/1", grouped, 1},
		{"Delayed/1", delayed, 1},
		{"Large/1", large, 1},
		{"Single/61", single, 61},
		{"Grouped/61", grouped, 61},
		{"Delayed/61", delayed, 61},
		{"Paced/61", paced, 61},
		{"Few/61", few, 61},
		{"Large/61", large, 61},
		{"Single/500", single, 500},
		{"Grouped/500", grouped, 500},
		{"Delayed/500", delayed, 500},
		{"Paced/500", paced, 500},
		{"Few/500", few, 500},
		{"Large/500", large, 500},
		{"Single/4000", single, 4000},
		{"Grouped/4000", grouped, 4000},
	} {
		b.Run(c.name, func(b *testing.B) {
			for b.Loop() {
				l := &loadGenerator{store: newFakeStore(), sentAt: make(map[uint64]time.Duration)}
				c.settings.Cell, c.settings.Daemon, c.settings.Instance = "cell", "127.0.0.1:10000", "0198c0de-0000-7000-8000-000000000000"
				l.machine = New(c.settings)
				for number := range l.machine.settings.Partitions {
					l.handle(l.machine.AssignPartition(l.moment(), number))
				}
				l.schedule(time.Second, func() { l.arrive(rand.New(rand.NewPCG(1, 2)), c.perSecond, 1) })
				l.run()
				l.report(b)
			}
		})
	}
}

func (l *loadGenerator) report(b *testing.B) {
	b.Helper()
	seconds := (benchmarkDuration - time.Second).Seconds()
	slices.Sort(l.latencies)
	claims := len(l.latencies)
	b.ReportMetric(float64(claims)/seconds, "claims/s")
	b.ReportMetric(float64(l.writes)/seconds, "writes/s")
	b.ReportMetric(float64(l.bytes)/float64(claims), "B/claim")
	b.ReportMetric(float64(l.latencies[claims/2].Microseconds())/1000, "p50-ms")
	b.ReportMetric(float64(l.latencies[claims*99/100].Microseconds())/1000, "p99-ms")
	storedBytes := 0
	for key, e := range l.store.entries {
		storedBytes += len(key) + len(e.Value)
	}
	b.ReportMetric(float64(storedBytes)/float64(claims), "kept-B/claim")
	b.ReportMetric(float64(l.denied), "refused")
}

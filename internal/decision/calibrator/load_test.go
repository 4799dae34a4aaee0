package calibrator

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"samphirewharf/internal/decision/selector"
)

// The emulated engines: a step takes emptyStep, and requestStep for each running request; prompts are read in chunks between
// steps. Both are divided by the engine's speed. An event has eventTokens tokens, one for each step.
const (
	emptyStep      = 5 * time.Millisecond
	requestStep    = 350 * time.Microsecond
	readTokensPerS = 40_000.0
	chunkTokens    = 512
	eventTokens    = 8

	loadSlots     = 24
	loadGap       = 200 * time.Millisecond
	loadFirst     = 500 * time.Millisecond
	countInterval = time.Second
	countAge      = time.Second
	retryDelay    = 50 * time.Millisecond
)

// A stream is one request of the emulated load.
type stream struct {
	daemon            int
	model             int
	prompt, events    int
	arrivedAt, sentAt time.Duration
	unread, tokens    int
	firstAt, lastAt   time.Duration
	sent              int
	longest           time.Duration
	windowAt          time.Duration
	windowEvents      int
	windowLongest     time.Duration
}

type loadEngine struct {
	slots   int
	models  []int
	streams []*stream
	// reading are the streams whose prompts are not read yet, in order.
	reading []*stream
	stepAt  time.Duration
	// work sums the numbers of running requests over steps, weighted by time.
	work float64
}

// A loadDaemon is what one daemon knows of the engines.
type loadDaemon struct {
	service   Service
	estimates []*Estimate
	own       []int
	others    []float64
	latency   []time.Duration
	fullUntil []time.Duration
	recent    []time.Duration
}

// A loadTest emulates daemons that send streams to engines in virtual time.
type loadTest struct {
	rng     *rand.Rand
	engines []*loadEngine
	daemons []*loadDaemon
	// perSecond is the rate of requests, models the number of models, of which low numbers are asked for more often.
	perSecond float64
	models    int
	active    bool
	speedAt   func(now time.Duration, engine int) float64
	warmUp    time.Duration
	// equalModels reports whether all models are of one size. An engine's steps take the time that its first model needs.
	equalModels bool

	now     time.Duration
	events  timeline
	streams int
	paused  int
	late    int
	// begun are the times at which streams were sent to each engine.
	begun [][]time.Duration
}

type moment struct {
	at     time.Duration
	number int
	do     func()
}

type timeline []moment

func (q timeline) Len() int { return len(q) }
func (q timeline) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].number < q[j].number
}
func (q timeline) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *timeline) Push(a any)   { *q = append(*q, a.(moment)) }
func (q *timeline) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

func (l *loadTest) schedule(at time.Duration, do func()) {
	heap.Push(&l.events, moment{at, len(l.begun[0]) + l.streams + l.events.Len(), do})
}

// newLoadTest returns a test with engines of the speeds in turn. Each engine has two models.
func newLoadTest(seed uint64, engines, daemons int, perSecond float64, active bool, speeds ...float64) *loadTest {
	l := &loadTest{
		rng: rand.New(rand.NewPCG(seed, 5)), perSecond: perSecond, models: engines / 5, active: active, warmUp: 20 * time.Second,
		speedAt: func(_ time.Duration, engine int) float64 { return speeds[engine%len(speeds)] },
		begun:   make([][]time.Duration, engines),
	}
	order := l.rng.Perm(2 * engines)
	for i := range engines {
		l.engines = append(l.engines, &loadEngine{slots: loadSlots, models: []int{order[2*i] % l.models, order[2*i+1] % l.models}})
	}
	for range daemons {
		d := &loadDaemon{own: make([]int, engines), others: make([]float64, engines), latency: make([]time.Duration, engines), fullUntil: make([]time.Duration, engines), recent: make([]time.Duration, engines)}
		for range engines {
			d.estimates = append(d.estimates, d.service.NewEstimate())
		}
		l.daemons = append(l.daemons, d)
	}
	return l
}

// A loadResult is the outcome of a loadTest.
type loadResult struct {
	streams      int
	paused, late float64
	// busiest is the number of streams of the busiest engine relative to the mean.
	busiest float64
}

func (l *loadTest) run(duration time.Duration) loadResult {
	l.schedule(0, l.arrive)
	l.schedule(0, l.count)
	for len(l.events) > 0 {
		e := heap.Pop(&l.events).(moment)
		if e.at > duration {
			break
		}
		l.now = e.at
		e.do()
	}
	total, most := 0.0, 0.0
	for _, e := range l.engines {
		total += e.work
		most = max(most, e.work)
	}
	n := float64(max(l.streams, 1))
	return loadResult{l.streams, float64(l.paused) / n, float64(l.late) / n, most / total * float64(len(l.engines))}
}

// arrive starts a stream. Half of the models have four in five of the requests; one prompt in twenty is long.
func (l *loadTest) arrive() {
	l.schedule(l.now+time.Duration(l.rng.ExpFloat64()/l.perSecond*float64(time.Second)), l.arrive)
	s := &stream{daemon: l.rng.IntN(len(l.daemons)), arrivedAt: l.now, events: 10 + l.rng.IntN(50), prompt: 200 + l.rng.IntN(1200)}
	s.model = l.rng.IntN(l.models)
	if l.rng.Float64() < 0.6 {
		s.model = l.rng.IntN(max(l.models/2, 1))
	}
	if l.rng.IntN(20) == 0 {
		s.prompt = 8000
	}
	l.send(s)
}

// count has all daemons learn the numbers of requests at the engines as they were countAge ago.
func (l *loadTest) count() {
	counts := make([]int, len(l.engines))
	for i, e := range l.engines {
		counts[i] = len(e.streams)
	}
	l.schedule(l.now+countAge, func() {
		for _, d := range l.daemons {
			for i := range counts {
				d.others[i] += 0.15 * (float64(max(0, counts[i]-d.own[i])) - d.others[i])
			}
		}
	})
	l.schedule(l.now+countInterval, l.count)
}

func (l *loadTest) send(s *stream) {
	d := l.daemons[s.daemon]
	var candidates []selector.Candidate
	var indexes []int
	for i, e := range l.engines {
		load := (float64(d.own[i]) + d.others[i]) / float64(e.slots)
		if !slices.Contains(e.models, s.model) || load >= 1 || d.fullUntil[i] > l.now {
			continue
		}
		c := selector.Candidate{Load: load, Latency: d.latency[i], OtherZone: i%3 != s.daemon%3}
		if l.active {
			c.Recent = d.recent[i] > l.now
			c.Forecast = d.estimates[i].Forecast(l.now, l.work(d, i, s, 1))
		}
		candidates = append(candidates, c)
		indexes = append(indexes, i)
	}
	criteria := selector.Criteria{Daemons: len(l.daemons)}
	if l.active {
		criteria.EventGap, criteria.First, criteria.Length = loadGap, loadFirst, d.service.Length(s.events*eventTokens)
	}
	choice := selector.Choose(candidates, criteria, l.rng)
	if choice.Index < 0 {
		l.schedule(l.now+retryDelay, func() { l.send(s) })
		return
	}
	i := indexes[choice.Index]
	e := l.engines[i]
	if len(e.streams) >= e.slots {
		d.fullUntil[i] = l.now + 60*time.Millisecond
		l.send(s)
		return
	}
	s.sentAt, s.unread = l.now, s.prompt
	l.begun[i] = append(l.begun[i], l.now)
	d.estimates[i].ObserveSend(l.now, s.prompt, loadGap)
	d.service.ObserveLength(s.events * eventTokens)
	d.recent[i] = l.now + 3*time.Second
	d.own[i]++
	e.streams = append(e.streams, s)
	e.reading = append(e.reading, s)
	if e.stepAt <= l.now {
		l.step(i)
	}
}

// work describes what an engine would run with more requests like a stream.
func (l *loadTest) work(d *loadDaemon, i int, s *stream, more int) Work {
	return Work{Batch: float64(d.own[i]+more) + d.others[i], Prompt: s.prompt}
}

// step begins a step of an engine and schedules its end.
func (l *loadTest) step(i int) {
	e := l.engines[i]
	decoding, chunk := 0, 0
	for _, s := range e.streams {
		if s.unread == 0 {
			decoding++
		}
	}
	if len(e.reading) > 0 {
		chunk = min(chunkTokens, e.reading[0].unread)
	}
	if decoding == 0 && chunk == 0 {
		return
	}
	d := float64(chunk) / readTokensPerS * float64(time.Second)
	if decoding > 0 {
		size := 1.0
		if !l.equalModels {
			// Models with higher numbers are larger.
			size += float64(e.models[0]) / float64(2*l.models)
		}
		d += size * float64(emptyStep+time.Duration(decoding)*requestStep)
	}
	duration := time.Duration(d / l.speedAt(l.now, i))
	e.stepAt = l.now + duration
	if l.now > l.warmUp {
		e.work += float64(len(e.streams)) * duration.Seconds()
	}
	l.schedule(e.stepAt, func() { l.endStep(i, chunk) })
}

func (l *loadTest) endStep(i, chunk int) {
	e := l.engines[i]
	for _, s := range slices.Clone(e.streams) {
		if s.unread == 0 {
			l.token(i, s)
		}
	}
	if chunk > 0 {
		s := e.reading[0]
		s.unread -= chunk
		if s.unread == 0 {
			e.reading = e.reading[1:]
		}
	}
	l.step(i)
}

// token gives a stream one more token. Its first event has one token.
func (l *loadTest) token(i int, s *stream) {
	e, d := l.engines[i], l.daemons[s.daemon]
	s.tokens++
	if s.tokens%eventTokens != 1 {
		return
	}
	s.sent++
	estimate, work := d.estimates[i], l.work(d, i, s, 0)
	if s.sent == 1 {
		s.firstAt, s.windowAt = l.now, l.now
		latency := l.now - s.sentAt
		estimate.ObserveFirst(l.now, work, latency)
		if d.latency[i] == 0 {
			d.latency[i] = latency
		}
		d.latency[i] += (latency - d.latency[i]) / 10
	} else {
		s.longest = max(s.longest, l.now-s.lastAt)
		s.windowLongest = max(s.windowLongest, l.now-s.lastAt)
		s.windowEvents++
	}
	s.lastAt = l.now
	last := s.sent == s.events
	if s.windowEvents > 0 && (last || l.now-s.windowAt >= time.Second) {
		estimate.ObserveEvents(l.now, work, Window{Gaps: s.windowEvents, Span: l.now - s.windowAt, Longest: s.windowLongest})
		s.windowAt, s.windowEvents, s.windowLongest = l.now, 0, 0
	}
	if !last {
		return
	}
	e.streams = slices.DeleteFunc(e.streams, func(o *stream) bool { return o == s })
	d.own[i]--
	if s.arrivedAt < l.warmUp {
		return
	}
	l.streams++
	if s.longest > loadGap {
		l.paused++
	}
	if s.firstAt-s.arrivedAt > loadFirst {
		l.late++
	}
}

// before and after run a load without and with forecasts. Change prepares each load.
func beforeAndAfter(daemons int, perSecond float64, change func(l *loadTest)) (before, after loadResult, last *loadTest) {
	const seeds = 2
	var results [2]loadResult
	for i := range results {
		for seed := range uint64(seeds) {
			last = newLoadTest(seed+1, 60, daemons, perSecond, i == 1, 1)
			change(last)
			r := last.run(60 * time.Second)
			results[i].streams += r.streams
			results[i].paused += r.paused / seeds
			results[i].late += r.late / seeds
			results[i].busiest += r.busiest / seeds
		}
	}
	return results[0], results[1], last
}

// speeds gives the engines speeds in turn.
func speeds(list ...float64) func(l *loadTest) {
	return func(l *loadTest) {
		l.speedAt = func(_ time.Duration, engine int) float64 { return list[engine%len(list)] }
	}
}

// assertAtMost fails if a value with forecasts is above a bound.
func assertAtMost(t *testing.T, what string, got, before, most float64) {
	t.Helper()
	t.Logf("%s: %.4f without forecasts, %.4f with", what, before, got)
	if got > most {
		t.Errorf("got %s %.4f, want at most %.4f", what, got, most)
	}
}

// TestUnevenEngines guards against streams that are sent to slow engines because these have few requests.
func TestUnevenEngines(t *testing.T) {
	for _, daemons := range []int{6, 24, 68} {
		t.Run(fmt.Sprint(daemons, " daemons"), func(t *testing.T) {
			before, after, _ := beforeAndAfter(daemons, 160, speeds(0.6, 1, 1.6))
			assertAtMost(t, "share of streams with a long pause", after.paused, before.paused, 0.75*before.paused)
			assertAtMost(t, "share of late first events", after.late, before.late, before.late)
		})
	}
}

// TestChangingSpeeds guards against estimates that lag behind engines that change their speed every 10 s.
func TestChangingSpeeds(t *testing.T) {
	list := []float64{0.6, 1, 1.6}
	before, after, _ := beforeAndAfter(24, 160, func(l *loadTest) {
		l.speedAt = func(now time.Duration, engine int) float64 { return list[(engine+int(now/(10*time.Second)))%3] }
	})
	assertAtMost(t, "share of streams with a long pause", after.paused, before.paused, before.paused)
	assertAtMost(t, "share of late first events", after.late, before.late, before.late)
}

// TestRecoveredEngine guards against an engine that is never tried again after it was slow.
func TestRecoveredEngine(t *testing.T) {
	_, _, l := beforeAndAfter(68, 160, func(l *loadTest) {
		l.speedAt = func(now time.Duration, engine int) float64 {
			if engine == 7 && now < 30*time.Second {
				return 0.2
			}
			return 1
		}
	})
	assertGetsWork(t, l, 7)
}

// TestColdEngine guards against an engine without estimate that gets no streams, or too many of them.
func TestColdEngine(t *testing.T) {
	_, _, l := beforeAndAfter(68, 160, func(l *loadTest) {
		l.engines[7].slots = 0
		l.schedule(30*time.Second, func() { l.engines[7].slots = loadSlots })
	})
	assertGetsWork(t, l, 7)
}

// assertGetsWork fails unless an engine got between a third and three times the mean number of streams in the last 15 s.
func assertGetsWork(t *testing.T, l *loadTest, engine int) {
	t.Helper()
	all, own := 0, 0
	for i, begun := range l.begun {
		for _, at := range begun {
			if at < 45*time.Second {
				continue
			}
			all++
			if i == engine {
				own++
			}
		}
	}
	mean := float64(all) / float64(len(l.engines))
	t.Logf("engine got %d streams, mean %.1f", own, mean)
	if got := float64(own); got < mean/3 || got > 3*mean {
		t.Errorf("got %d streams at the engine, want about the mean of %.1f", own, mean)
	}
}

// TestSlowEngines guards against streams that are not served because no engine meets the objective.
func TestSlowEngines(t *testing.T) {
	before, after, _ := beforeAndAfter(68, 80, speeds(0.4))
	assertAtMost(t, "share of late first events", after.late, before.late, before.late+0.03)
	if after.streams < before.streams*97/100 {
		t.Errorf("got %d streams served, want as many as before, %d", after.streams, before.streams)
	}
}

// TestEqualEngines guards against herds at engines that are as fast as the others.
func TestEqualEngines(t *testing.T) {
	for _, daemons := range []int{6, 68} {
		t.Run(fmt.Sprint(daemons, " daemons"), func(t *testing.T) {
			before, after, _ := beforeAndAfter(daemons, 120, func(l *loadTest) { l.equalModels = true })
			assertAtMost(t, "share of streams with a long pause", after.paused, before.paused, before.paused+0.03)
			assertAtMost(t, "share of late first events", after.late, before.late, before.late+0.03)
			assertAtMost(t, "busiest engine", after.busiest, before.busiest, before.busiest)
		})
	}
}

package generator

import (
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"samphirewharf/internal/caller/refuser"
)

const (
	// deadlineTolerance is how much after its deadline the end of an answer still counts as in time.
	deadlineTolerance = 100 * time.Millisecond
	// maxExamples is how many faults of one kind are kept in words.
	maxExamples = 5
)

// A recorder collects what a run measures.
type recorder struct {
	mu     sync.Mutex
	report Report
	codes  map[CodeCount]int
	faults map[Fault]*FaultCount
	tokens int

	lookups, sendDelay, latency, bookings, firstToken, betweenTokens, refusals, direct, directFirstToken *hdrhistogram.Histogram
}

// A result is the final answer to a request.
type result struct {
	request *request
	due     time.Time
	// first is when it was sent first, sent when it was sent for the last time.
	first    time.Time
	sent     time.Time
	answer   answer
	measured bool
}

func newRecorder() *recorder {
	return &recorder{
		codes:            make(map[CodeCount]int),
		faults:           make(map[Fault]*FaultCount),
		lookups:          newHistogram(),
		sendDelay:        newHistogram(),
		latency:          newHistogram(),
		bookings:         newHistogram(),
		firstToken:       newHistogram(),
		betweenTokens:    newHistogram(),
		refusals:         newHistogram(),
		direct:           newHistogram(),
		directFirstToken: newHistogram(),
	}
}

// fault counts a wrong answer.
func (c *recorder) fault(fault Fault, detail string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f := c.faults[fault]
	if f == nil {
		f = &FaultCount{Fault: fault}
		c.faults[fault] = f
	}
	f.Count++
	if len(f.Examples) < maxExamples {
		f.Examples = append(f.Examples, detail)
	}
}

// finish counts a final answer.
func (c *recorder) finish(r result) {
	a := r.answer
	if a.fault != "" {
		c.fault(a.fault, a.detail)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !r.measured {
		return
	}
	record(c.sendDelay, r.first.Sub(r.due))
	if r.request.timeout > 0 && a.end.Sub(r.sent) > r.request.timeout+deadlineTolerance {
		c.report.MissedDeadlines++
	}
	switch {
	case a.served:
		c.served(r)
	case a.refused:
		c.report.Refused++
		c.codes[CodeCount{Code: int(a.refusal.Code), Name: a.refusal.Code.String(), Ran: a.refusal.Ran.String()}]++
		record(c.refusals, a.end.Sub(r.first))
	}
}

// served counts a right answer. The mutex must be held.
func (c *recorder) served(r result) {
	c.report.Served++
	if r.request.direct {
		c.servedDirect(r)
		return
	}
	c.codes[CodeCount{Code: int(refuser.CodeOK), Name: refuser.CodeOK.String()}]++
	if !r.request.stream {
		record(c.latency, r.answer.end.Sub(r.first))
		if r.request.booking {
			record(c.bookings, r.answer.end.Sub(r.first))
		}
		return
	}
	c.tokens += 1 + len(r.answer.gaps)
	record(c.firstToken, r.answer.first.Sub(r.first))
	for _, gap := range r.answer.gaps {
		record(c.betweenTokens, gap)
	}
}

// servedDirect counts a right answer that came straight from the engine. The mutex must be held.
func (c *recorder) servedDirect(r result) {
	c.report.ServedDirect++
	h := c.direct
	end := r.answer.end
	if r.request.stream {
		h = c.directFirstToken
		end = r.answer.first
	}
	record(h, end.Sub(r.first))
}

func (c *recorder) lookup(took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	record(c.lookups, took)
}

// sending counts one sending of a request.
func (c *recorder) sending(again bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.report.Sent++
	if again {
		c.report.Retried++
	}
}

// summary returns the report of a run whose requests were due over a time.
func (c *recorder) summary(over time.Duration) Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.report
	r.Seconds = over.Seconds()
	if over > 0 {
		r.OfferedRate = float64(r.Due) / over.Seconds()
		r.TokensPerSecond = float64(c.tokens) / over.Seconds()
	}
	for code, count := range c.codes {
		code.Count = count
		r.Codes = append(r.Codes, code)
	}
	slices.SortFunc(r.Codes, func(a, b CodeCount) int {
		return 2*(a.Code-b.Code) + compare(a.Ran, b.Ran)
	})
	for _, f := range c.faults {
		r.Faults = append(r.Faults, *f)
	}
	slices.SortFunc(r.Faults, func(a, b FaultCount) int { return compare(a.Fault, b.Fault) })
	r.Lookups = newDistribution(c.lookups)
	r.SendDelay = newDistribution(c.sendDelay)
	r.Latency = newDistribution(c.latency)
	r.Bookings = newDistribution(c.bookings)
	r.FirstToken = newDistribution(c.firstToken)
	r.BetweenTokens = newDistribution(c.betweenTokens)
	r.Direct = newDistribution(c.direct)
	r.DirectFirstToken = newDistribution(c.directFirstToken)
	r.RefusalLatency = newDistribution(c.refusals)
	return r
}

func compare[T ~string](a, b T) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

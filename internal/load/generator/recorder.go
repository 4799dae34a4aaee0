package generator

import (
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"samphirewharf/internal/caller/refuser"
)

const (
	// deadlineTolerance is how long after its deadline an answer may end and still count as in time.
	deadlineTolerance = 100 * time.Millisecond
	// maxExamples is the number of details that are kept for each kind of fault.
	maxExamples = 5
)

// A recorder collects the measurements of a run.
type recorder struct {
	mu     sync.Mutex
	report Report
	codes  map[CodeCount]int
	faults map[Fault]*FaultCount
	tokens int

	lookups, sendDelay, latency, bookingLatency, firstToken, tokenGaps, refusalLatency, directLatency, directFirstToken *hdrhistogram.Histogram
}

// A result is the final answer to a request.
type result struct {
	request *request
	dueAt   time.Time
	// firstSentAt is when the request was sent for the first time, lastSentAt when it was sent for the last time.
	firstSentAt time.Time
	lastSentAt  time.Time
	answer      answer
	measured    bool
}

func newRecorder() *recorder {
	return &recorder{
		codes:            make(map[CodeCount]int),
		faults:           make(map[Fault]*FaultCount),
		lookups:          newHistogram(),
		sendDelay:        newHistogram(),
		latency:          newHistogram(),
		bookingLatency:   newHistogram(),
		firstToken:       newHistogram(),
		tokenGaps:        newHistogram(),
		refusalLatency:   newHistogram(),
		directLatency:    newHistogram(),
		directFirstToken: newHistogram(),
	}
}

// countFault counts a wrong answer.
func (c *recorder) countFault(fault Fault, detail string) {
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

// recordFinal counts a final answer.
func (c *recorder) recordFinal(r result) {
	a := r.answer
	if a.fault != "" {
		c.countFault(a.fault, a.detail)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !r.measured {
		return
	}
	record(c.sendDelay, r.firstSentAt.Sub(r.dueAt))
	if r.request.timeout > 0 && a.endAt.Sub(r.lastSentAt) > r.request.timeout+deadlineTolerance {
		c.report.MissedDeadlines++
	}
	switch {
	case a.served:
		c.recordServed(r)
	case a.refused:
		c.report.Refused++
		c.codes[CodeCount{Code: int(a.refusal.Code), Name: a.refusal.Code.String(), Ran: a.refusal.Ran.String()}]++
		record(c.refusalLatency, a.endAt.Sub(r.firstSentAt))
	}
}

// recordServed counts a correct answer. The mutex must be held.
func (c *recorder) recordServed(r result) {
	c.report.Served++
	if r.request.direct {
		c.recordServedDirect(r)
		return
	}
	c.codes[CodeCount{Code: int(refuser.CodeOK), Name: refuser.CodeOK.String()}]++
	if !r.request.stream {
		record(c.latency, r.answer.endAt.Sub(r.firstSentAt))
		if r.request.booking {
			record(c.bookingLatency, r.answer.endAt.Sub(r.firstSentAt))
		}
		return
	}
	c.tokens += 1 + len(r.answer.tokenGaps)
	record(c.firstToken, r.answer.firstAt.Sub(r.firstSentAt))
	for _, gap := range r.answer.tokenGaps {
		record(c.tokenGaps, gap)
	}
}

// recordServedDirect counts a correct answer to a request that was sent directly to the engine. The mutex must
// be held.
func (c *recorder) recordServedDirect(r result) {
	c.report.ServedDirect++
	h := c.directLatency
	end := r.answer.endAt
	if r.request.stream {
		h = c.directFirstToken
		end = r.answer.firstAt
	}
	record(h, end.Sub(r.firstSentAt))
}

func (c *recorder) recordLookup(took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	record(c.lookups, took)
}

// recordSend counts one attempt to send a request.
func (c *recorder) recordSend(retry bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.report.Sent++
	if retry {
		c.report.Retried++
	}
}

// summary returns the report of a run whose measured requests became due within a duration.
func (c *recorder) summary(measuredDuration time.Duration) Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.report
	r.Seconds = measuredDuration.Seconds()
	if measuredDuration > 0 {
		r.OfferedRate = float64(r.Due) / measuredDuration.Seconds()
		r.TokensPerSecond = float64(c.tokens) / measuredDuration.Seconds()
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
	r.Bookings = newDistribution(c.bookingLatency)
	r.FirstToken = newDistribution(c.firstToken)
	r.BetweenTokens = newDistribution(c.tokenGaps)
	r.Direct = newDistribution(c.directLatency)
	r.DirectFirstToken = newDistribution(c.directFirstToken)
	r.RefusalLatency = newDistribution(c.refusalLatency)
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

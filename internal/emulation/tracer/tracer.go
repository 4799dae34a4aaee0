// Package tracer generates seeded traces of requests: bursty, mostly idle, and skewed to a few deployments.
package tracer

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"samphirewharf/internal/config/cataloger"
)

// A Request is one request of a trace.
type Request struct {
	// At is when it arrives, counted from midnight before the first day.
	ArrivesAt  time.Duration
	Deployment string
	// Adapter is empty if the deployment itself is asked for.
	Adapter string
	Urgent  bool
	// Service is how long it runs at a replica.
	ServiceTime time.Duration
}

// A Tracer generates the trace of one model service. The zero value has no sessions; Default fills it.
type Tracer struct {
	// Days is how long the trace is.
	Days int
	// SessionsPerDay are the calls and counter sales of a working day, over all deployments.
	SessionsPerDay float64
	// Skew is the exponent of the deployments' popularity by rank.
	ZipfExponent float64
	// RequestsPerSession and RequestGap are the means of a session's requests and the times between them.
	RequestsPerSession float64
	MeanRequestGap     time.Duration
	// CrowdShare is the share of sessions that begin with CrowdMax requests at most within CrowdSpan.
	BurstShare       float64
	MaxBurstRequests int
	BurstDuration    time.Duration
	// BatchBytes is the size from which a deployment gets batches by night and no sessions.
	MinBatchBytes int64
	// BatchShare is the share of nights with a batch, BatchMax its requests at most, BatchGap the mean
	// time between them.
	BatchShare       float64
	MaxBatchRequests int
	MeanBatchGap     time.Duration
	// TimerEvery makes each so many-th deployment get a timer's request in office hours, every TimerPeriod,
	// up to TimerJitter late.
	TimerStride int
	TimerPeriod time.Duration
	TimerJitter time.Duration
	// AdapterShare is the share of requests that ask for an adapter, if the deployment has any.
	AdapterShare float64
	// Median and BatchMedian are the medians of run times, Sigma the deviation of their logarithm.
	MedianServiceTime      time.Duration
	MedianBatchServiceTime time.Duration
	ServiceTimeSigma       float64
	// Longest bounds run times.
	MaxServiceTime time.Duration
}

// Default returns the tracer that the measurements use.
func Default() Tracer {
	return Tracer{
		Days:                   2,
		SessionsPerDay:         400,
		ZipfExponent:           1.1,
		RequestsPerSession:     6,
		MeanRequestGap:         20 * time.Second,
		BurstShare:             0.1,
		MaxBurstRequests:       40,
		BurstDuration:          2 * time.Second,
		MinBatchBytes:          32_000_000_000,
		BatchShare:             0.6,
		MaxBatchRequests:       120,
		MeanBatchGap:           2 * time.Second,
		TimerStride:            10,
		TimerPeriod:            time.Hour,
		TimerJitter:            2 * time.Minute,
		AdapterShare:           0.7,
		MedianServiceTime:      2 * time.Second,
		MedianBatchServiceTime: 6 * time.Second,
		ServiceTimeSigma:       0.6,
		MaxServiceTime:         15 * time.Second,
	}
}

// A trace is a trace in the making.
type trace struct {
	Tracer
	rng      *rand.Rand
	requests []Request
}

// Generate returns the requests to the deployments in order of arrival. The same seed gives the same trace.
func (t Tracer) Generate(deployments []cataloger.Deployment, seed uint64) []Request {
	g := trace{Tracer: t, rng: rand.New(rand.NewPCG(seed, uint64(len(deployments))))}
	var live []*cataloger.Deployment
	for i := range deployments {
		if deployments[i].Bytes < t.MinBatchBytes {
			live = append(live, &deployments[i])
			continue
		}
		g.batches(&deployments[i])
	}
	g.rng.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	weights := skewed(len(live), t.ZipfExponent)
	for i, d := range live {
		g.sessions(d, t.SessionsPerDay*weights[i])
		if t.TimerStride > 0 && i%t.TimerStride == t.TimerStride-1 {
			g.timer(d)
		}
	}
	end := time.Duration(t.Days) * day
	g.requests = slices.DeleteFunc(g.requests, func(r Request) bool { return r.ArrivesAt >= end })
	slices.SortStableFunc(g.requests, func(a, b Request) int { return cmp.Compare(a.ArrivesAt, b.ArrivesAt) })
	return g.requests
}

func (g *trace) add(d *cataloger.Deployment, at time.Duration, urgent bool, median time.Duration) {
	service := time.Duration(float64(median) * math.Exp(g.ServiceTimeSigma*g.rng.NormFloat64()))
	r := Request{ArrivesAt: at, Deployment: d.Name, Urgent: urgent, ServiceTime: min(service, g.MaxServiceTime)}
	if len(d.Adapters) > 0 && g.rng.Float64() < g.AdapterShare {
		r.Adapter = d.Adapters[g.rng.IntN(len(d.Adapters))].Name
	}
	g.requests = append(g.requests, r)
}

// batches adds the batches of a deployment, one in some nights.
func (g *trace) batches(d *cataloger.Deployment) {
	for n := range g.Days {
		if g.rng.Float64() >= g.BatchShare {
			continue
		}
		at := time.Duration(n)*day + batchStart + g.uniform(batchSpan)
		for range 1 + g.rng.IntN(g.MaxBatchRequests) {
			g.add(d, at, false, g.MedianBatchServiceTime)
			at += g.exponential(g.MeanBatchGap)
		}
	}
}

func (g *trace) exponential(mean time.Duration) time.Duration {
	return time.Duration(g.rng.ExpFloat64() * float64(mean))
}

// sessions adds the sessions of a deployment, thinning a Poisson process by the time of day.
func (g *trace) sessions(d *cataloger.Deployment, perDay float64) {
	peak := perDay / daySum()
	mean := time.Duration(float64(time.Hour) / peak)
	for at := g.exponential(mean); at < time.Duration(g.Days)*day; at += g.exponential(mean) {
		if g.rng.Float64() < hourWeight(at) {
			g.session(d, at)
		}
	}
}

func (g *trace) session(d *cataloger.Deployment, at time.Duration) {
	if g.rng.Float64() < g.BurstShare {
		for range 1 + g.rng.IntN(g.MaxBurstRequests) {
			g.add(d, at+g.uniform(g.BurstDuration), true, g.MedianServiceTime)
		}
	}
	for {
		g.add(d, at, true, g.MedianServiceTime)
		if g.rng.Float64() < 1/g.RequestsPerSession {
			return
		}
		at += g.exponential(g.MeanRequestGap)
	}
}

// timer adds a request that can wait at each period of the office hours.
func (g *trace) timer(d *cataloger.Deployment) {
	for n := range g.Days {
		for at := officeStart; at < officeEnd; at += g.TimerPeriod {
			g.add(d, time.Duration(n)*day+at+g.uniform(g.TimerJitter), false, g.MedianServiceTime)
		}
	}
}

func (g *trace) uniform(span time.Duration) time.Duration {
	return time.Duration(g.rng.Float64() * float64(span))
}

// skewed returns n weights that sum to 1 and fall with the rank's power.
func skewed(n int, exponent float64) []float64 {
	weights := make([]float64, n)
	sum := 0.0
	for i := range weights {
		weights[i] = math.Pow(float64(i+1), -exponent)
		sum += weights[i]
	}
	for i := range weights {
		weights[i] /= sum
	}
	return weights
}

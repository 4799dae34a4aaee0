// Package tracer generates traces of requests from a seed. The load is bursty, mostly idle and skewed towards a few
// deployments.
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
	// ArrivesAt is the arrival time, counted from the midnight at the start of the first day.
	ArrivesAt  time.Duration
	Deployment string
	// Adapter is the requested adapter; empty means the deployment itself.
	Adapter string
	Urgent  bool
	// ServiceTime is how long the request runs at a replica.
	ServiceTime time.Duration
}

// A Tracer generates the traces of one model service. The zero value generates no sessions.
type Tracer struct {
	// Days is the length of a trace.
	Days int
	// SessionsPerDay is the mean number of user sessions per day, over all deployments. A session is, for example, a
	// phone call or a sale at a counter.
	SessionsPerDay float64
	// ZipfExponent is the exponent of the Zipf distribution of the deployments' popularity.
	ZipfExponent float64
	// RequestsPerSession is the mean number of requests in a session, MeanRequestGap the mean time between them.
	RequestsPerSession float64
	MeanRequestGap     time.Duration
	// BurstShare is the share of sessions that begin with a burst of up to MaxBurstRequests within BurstDuration.
	BurstShare       float64
	MaxBurstRequests int
	BurstDuration    time.Duration
	// MinBatchBytes is the size from which a deployment gets nightly batches instead of sessions.
	MinBatchBytes int64
	// BatchShare is the share of nights with a batch, MaxBatchRequests the maximum number of requests in it and
	// MeanBatchGap the mean time between them.
	BatchShare       float64
	MaxBatchRequests int
	MeanBatchGap     time.Duration
	// TimerStride selects every TimerStride-th deployment with sessions for periodic requests in office hours. They
	// are sent every TimerPeriod with a delay of up to TimerJitter.
	TimerStride int
	TimerPeriod time.Duration
	TimerJitter time.Duration
	// AdapterShare is the share of requests for an adapter, among those to deployments with adapters.
	AdapterShare float64
	// MedianServiceTime and MedianBatchServiceTime are the medians of service times. ServiceTimeSigma is the standard
	// deviation of their natural logarithm.
	MedianServiceTime      time.Duration
	MedianBatchServiceTime time.Duration
	ServiceTimeSigma       float64
	// MaxServiceTime bounds service times.
	MaxServiceTime time.Duration
}

// Default returns the default tracer of the emulations.
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

// A traceBuilder collects the requests of a trace.
type traceBuilder struct {
	Tracer
	rng      *rand.Rand
	requests []Request
}

// Generate returns a trace of requests to the deployments in order of arrival. The same seed gives the same trace.
func (t Tracer) Generate(deployments []cataloger.Deployment, seed uint64) []Request {
	g := traceBuilder{Tracer: t, rng: rand.New(rand.NewPCG(seed, uint64(len(deployments))))}
	var interactive []*cataloger.Deployment
	for i := range deployments {
		if deployments[i].Bytes < t.MinBatchBytes {
			interactive = append(interactive, &deployments[i])
			continue
		}
		g.addBatches(&deployments[i])
	}
	g.rng.Shuffle(len(interactive), func(i, j int) { interactive[i], interactive[j] = interactive[j], interactive[i] })
	weights := zipfWeights(len(interactive), t.ZipfExponent)
	for i, d := range interactive {
		g.addSessions(d, t.SessionsPerDay*weights[i])
		if t.TimerStride > 0 && i%t.TimerStride == t.TimerStride-1 {
			g.addTimerRequests(d)
		}
	}
	end := time.Duration(t.Days) * day
	g.requests = slices.DeleteFunc(g.requests, func(r Request) bool { return r.ArrivesAt >= end })
	slices.SortStableFunc(g.requests, func(a, b Request) int { return cmp.Compare(a.ArrivesAt, b.ArrivesAt) })
	return g.requests
}

func (g *traceBuilder) addRequest(d *cataloger.Deployment, at time.Duration, urgent bool, median time.Duration) {
	serviceTime := time.Duration(float64(median) * math.Exp(g.ServiceTimeSigma*g.rng.NormFloat64()))
	r := Request{ArrivesAt: at, Deployment: d.Name, Urgent: urgent, ServiceTime: min(serviceTime, g.MaxServiceTime)}
	if len(d.Adapters) > 0 && g.rng.Float64() < g.AdapterShare {
		r.Adapter = d.Adapters[g.rng.IntN(len(d.Adapters))].Name
	}
	g.requests = append(g.requests, r)
}

// addBatches adds the nightly batches of a deployment.
func (g *traceBuilder) addBatches(d *cataloger.Deployment) {
	for n := range g.Days {
		if g.rng.Float64() >= g.BatchShare {
			continue
		}
		at := time.Duration(n)*day + batchStart + g.uniform(batchWindow)
		for range 1 + g.rng.IntN(g.MaxBatchRequests) {
			g.addRequest(d, at, false, g.MedianBatchServiceTime)
			at += g.exponential(g.MeanBatchGap)
		}
	}
}

func (g *traceBuilder) exponential(mean time.Duration) time.Duration {
	return time.Duration(g.rng.ExpFloat64() * float64(mean))
}

// addSessions adds the sessions of a deployment, which start as a Poisson process thinned by the time of day.
func (g *traceBuilder) addSessions(d *cataloger.Deployment, perDay float64) {
	peak := perDay / sumHourWeights()
	mean := time.Duration(float64(time.Hour) / peak)
	for at := g.exponential(mean); at < time.Duration(g.Days)*day; at += g.exponential(mean) {
		if g.rng.Float64() < hourWeight(at) {
			g.addSession(d, at)
		}
	}
}

func (g *traceBuilder) addSession(d *cataloger.Deployment, at time.Duration) {
	if g.rng.Float64() < g.BurstShare {
		for range 1 + g.rng.IntN(g.MaxBurstRequests) {
			g.addRequest(d, at+g.uniform(g.BurstDuration), true, g.MedianServiceTime)
		}
	}
	for {
		g.addRequest(d, at, true, g.MedianServiceTime)
		if g.rng.Float64() < 1/g.RequestsPerSession {
			return
		}
		at += g.exponential(g.MeanRequestGap)
	}
}

// addTimerRequests adds the periodic requests of a deployment in office hours, which can wait.
func (g *traceBuilder) addTimerRequests(d *cataloger.Deployment) {
	for n := range g.Days {
		for at := officeStart; at < officeEnd; at += g.TimerPeriod {
			g.addRequest(d, time.Duration(n)*day+at+g.uniform(g.TimerJitter), false, g.MedianServiceTime)
		}
	}
}

func (g *traceBuilder) uniform(duration time.Duration) time.Duration {
	return time.Duration(g.rng.Float64() * float64(duration))
}

// zipfWeights returns the weights of a Zipf distribution over n ranks. They sum to 1.
func zipfWeights(n int, exponent float64) []float64 {
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

// Package generator sends open-loop load over TCP to running daemons, or directly to a model engine,
// checks every answer and measures latencies. It connects to loopback addresses only.
package generator

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"samphirewharf/internal/backend/orderer"
	"samphirewharf/internal/caller/refuser"
	"samphirewharf/internal/network/bounder"
)

const (
	dialTimeout     = 2 * time.Second
	idleConnTimeout = 90 * time.Second
	maxIdleConns    = 20_000
	// answerGracePeriod is how long after a request's deadline the generator still waits for its answer.
	answerGracePeriod = 10 * time.Second
)

// A Generator generates the load of one run.
type Generator struct {
	settings      Settings
	http          *http.Client
	mix           *mix
	recorder      *recorder
	ledger        *ledger
	addressCaches []*addressCache
	// readyReplicas are the ready replicas of Settings.Engine, by deployment.
	readyReplicas map[string]orderer.ReplicaReport

	slots   chan struct{}
	senders sync.WaitGroup
}

// New returns a generator, or an error that wraps ErrInvalidSettings.
func New(s Settings) (*Generator, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	m, err := newMix(s)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalidSettings, err)
	}
	transport := &http.Transport{
		DialContext:            (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConns:           maxIdleConns,
		MaxIdleConnsPerHost:    maxIdleConns,
		IdleConnTimeout:        idleConnTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: bounder.MaxHeaderBytes,
	}
	g := &Generator{
		settings: s,
		http:     &http.Client{Transport: transport},
		mix:      m,
		recorder: newRecorder(),
		ledger:   newLedger(),
		slots:    make(chan struct{}, s.MaxInFlight),
	}
	for range s.Callers {
		g.addressCaches = append(g.addressCaches, &addressCache{http: g.http, settings: &g.settings, recorder: g.recorder})
	}
	return g, nil
}

// Run sends requests until a bound is reached or the context ends, waits for all answers and returns the report.
func (g *Generator) Run(ctx context.Context) (Report, error) {
	defer g.http.CloseIdleConnections()
	if g.settings.Engine != "" {
		var err error
		if g.readyReplicas, err = fetchReadyReplicas(ctx, g.http, g.settings.Engine); err != nil {
			return Report{}, err
		}
		if g.mix, err = g.mix.withReady(g.readyReplicas); err != nil {
			return Report{}, fmt.Errorf("engine %s: %w", g.settings.Engine, err)
		}
	}
	measuredDuration := g.send(ctx)
	g.senders.Wait()
	g.ledger.verify(context.WithoutCancel(ctx), g.http, g.settings.Counters, g.recorder)
	report := g.recorder.summary(measuredDuration)
	report.Seed = g.settings.Seed
	return report, nil
}

// send starts each request when it is due and returns the length of the measured time after the warm-up.
// Due times form a Poisson process.
func (g *Generator) send(ctx context.Context) time.Duration {
	random := rand.New(rand.NewPCG(g.settings.Seed, 0))
	start := time.Now()
	dueAfter := time.Duration(0)
	for number := 1; number <= g.settings.Requests; number++ {
		dueAfter += time.Duration(random.ExpFloat64() / g.settings.Rate * float64(time.Second))
		if g.settings.Duration > 0 && dueAfter > g.settings.WarmUp+g.settings.Duration {
			return g.settings.Duration
		}
		if !sleep(ctx, time.Until(start.Add(dueAfter))) {
			break
		}
		measured := dueAfter >= g.settings.WarmUp
		if measured {
			g.recorder.report.Due++
		}
		select {
		case g.slots <- struct{}{}:
			g.senders.Add(1)
			s := &sender{generator: g, request: g.mix.draw(number), dueAt: start.Add(dueAfter), measured: measured}
			go s.run(context.WithoutCancel(ctx))
		default:
			g.recorder.report.Skipped++
		}
	}
	return dueAfter - g.settings.WarmUp
}

// A sender sends one request and retries it until its final answer.
type sender struct {
	generator *Generator
	request   request
	dueAt     time.Time
	measured  bool
}

// run sends the request, or both copies of a duplicated booking.
func (s *sender) run(ctx context.Context) {
	g := s.generator
	defer g.senders.Done()
	defer func() { <-g.slots }()
	if s.request.duplicated {
		second := &duplicateSender{sender: s}
		second.wait.Add(1)
		go second.run(ctx)
		defer second.wait.Wait()
	}
	s.sendUntilFinal(ctx, 0)
}

// A duplicateSender sends the second copy of a duplicated booking.
type duplicateSender struct {
	sender *sender
	wait   sync.WaitGroup
}

func (c *duplicateSender) run(ctx context.Context) {
	defer c.wait.Done()
	c.sender.sendUntilFinal(ctx, 1)
}

// sendUntilFinal sends one copy, retries it until its final answer and records that answer.
func (s *sender) sendUntilFinal(ctx context.Context, copyNumber int) {
	g := s.generator
	firstSentAt := time.Now()
	lastSentAt := firstSentAt
	var a answer
	for attempt := 0; ; attempt++ {
		g.recorder.recordSend(attempt > 0)
		id := s.request.id(g.settings.Seed, fmt.Sprintf("%d-%d", copyNumber, attempt))
		a = s.send(ctx, id, copyNumber)
		if !g.ledger.record(&s.request, id, a) {
			a.fail(FaultReceiptsDiffer, "booking %s has two different receipts", s.request.key)
		}
		retry := a.refused && a.refusal.RetryAfter > 0 && (a.refusal.Ran == refuser.NotRun || !s.request.booking)
		if !retry || attempt >= g.settings.Retries || !sleep(ctx, a.refusal.RetryAfter) {
			break
		}
		lastSentAt = time.Now()
	}
	g.recorder.recordFinal(result{&s.request, s.dueAt, firstSentAt, lastSentAt, a, s.measured})
}

// send sends the request once. If an address accepts no connection, it tries the next one.
func (s *sender) send(ctx context.Context, id string, copyNumber int) answer {
	g := s.generator
	addresses := []string{g.settings.Engine}
	if !s.request.direct {
		caller := (s.request.caller + copyNumber) % len(g.addressCaches)
		var err error
		addresses, err = g.addressCaches[caller].addresses(ctx, s.request.lookupName())
		if err != nil {
			now := time.Now()
			return answer{fault: FaultAddressLookupFailed, detail: err.Error(), firstAt: now, endAt: now}
		}
	}
	var a answer
	for i := range addresses {
		a = s.sendTo(ctx, addresses[(i+copyNumber)%len(addresses)], id)
		if a.sent {
			break
		}
	}
	return a
}

func (s *sender) sendTo(ctx context.Context, address, id string) answer {
	a := answer{sent: true}
	ctx, cancel := s.withTimeout(ctx)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+s.request.path(), bytes.NewReader(s.request.body))
	if err != nil {
		a.fail(FaultNotSent, "%v", err)
		return a
	}
	// Without GetBody the HTTP client can't retry the request by itself.
	r.GetBody = nil
	s.setHeader(r.Header, id)
	response, err := s.generator.http.Do(r)
	if err != nil {
		var operation *net.OpError
		a.sent = !errors.As(err, &operation) || operation.Op != "dial"
		a.fail(FaultBrokenConnection, "request %s: %v", id, err)
		if !a.sent {
			a.fault = FaultNotSent
		}
		a.firstAt = time.Now()
		a.endAt = a.firstAt
		return a
	}
	defer func() { _ = response.Body.Close() }()
	a.read(&s.request, response)
	return a
}

// withTimeout bounds the wait for an answer. A missing answer then counts as a broken connection.
func (s *sender) withTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	if s.request.timeout == 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, s.request.timeout+answerGracePeriod)
}

func (s *sender) setHeader(header http.Header, id string) {
	g := s.generator
	s.request.setHeader(header)
	header.Set("X-Request-Id", id)
	if g.settings.Timeout > 0 {
		header.Set("X-Request-Timeout-Ms", fmt.Sprint(g.settings.Timeout.Milliseconds()))
	}
	if s.request.direct {
		header.Set("X-Replica", g.readyReplicas[s.request.target.deployment].Replica)
		header.Set("X-Adapter", s.request.target.adapter)
	}
}

// sleep waits for a duration and reports whether the context lasted that long.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Package generator sends open-loop load over TCP to running daemons, or straight to a model engine,
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
)

const (
	dialTimeout    = 2 * time.Second
	idleConnection = 90 * time.Second
	maxIdle        = 20_000
	// answerGrace is how long after a request's deadline its answer is waited for.
	answerGrace = 10 * time.Second
)

// A Generator runs one load.
type Generator struct {
	settings    Settings
	http        *http.Client
	mix         *mix
	recorder    *recorder
	ledger      *ledger
	directories []*directory
	// ready are the replicas of the engine that requests go straight to.
	ready map[string]orderer.ReplicaReport

	slots chan struct{}
	wait  sync.WaitGroup
}

// New returns a generator, or an error that wraps ErrSettings.
func New(s Settings) (*Generator, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	m, err := newMix(s)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalidSettings, err)
	}
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConns:        maxIdle,
		MaxIdleConnsPerHost: maxIdle,
		IdleConnTimeout:     idleConnection,
		DisableCompression:  true,
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
		g.directories = append(g.directories, &directory{http: g.http, settings: &g.settings, recorder: g.recorder})
	}
	return g, nil
}

// Run sends the load until its bounds or the end of the context, waits for all answers and returns the report.
func (g *Generator) Run(ctx context.Context) (Report, error) {
	defer g.http.CloseIdleConnections()
	if g.settings.Engine != "" {
		var err error
		if g.ready, err = replicas(ctx, g.http, g.settings.Engine); err != nil {
			return Report{}, err
		}
		if g.mix, err = g.mix.withReady(g.ready); err != nil {
			return Report{}, fmt.Errorf("engine %s: %w", g.settings.Engine, err)
		}
	}
	over := g.send(ctx)
	g.wait.Wait()
	g.ledger.compare(context.WithoutCancel(ctx), g.http, g.settings.Counters, g.recorder)
	report := g.recorder.summary(over)
	report.Seed = g.settings.Seed
	return report, nil
}

// send starts each request when it is due and returns how long requests became due after the warm-up.
// Requests become due as a Poisson process.
func (g *Generator) send(ctx context.Context) time.Duration {
	random := rand.New(rand.NewPCG(g.settings.Seed, 0))
	start := time.Now()
	due := time.Duration(0)
	for number := 1; number <= g.settings.Requests; number++ {
		due += time.Duration(random.ExpFloat64() / g.settings.Rate * float64(time.Second))
		if g.settings.Duration > 0 && due > g.settings.WarmUp+g.settings.Duration {
			return g.settings.Duration
		}
		if !sleep(ctx, time.Until(start.Add(due))) {
			break
		}
		measured := due >= g.settings.WarmUp
		if measured {
			g.recorder.report.Due++
		}
		select {
		case g.slots <- struct{}{}:
			g.wait.Add(1)
			s := &sender{generator: g, request: g.mix.draw(number), due: start.Add(due), measured: measured}
			go s.run(context.WithoutCancel(ctx))
		default:
			g.recorder.report.Skipped++
		}
	}
	return due - g.settings.WarmUp
}

// A sender sends one request until its final answer.
type sender struct {
	generator *Generator
	request   request
	due       time.Time
	measured  bool
}

// run sends the request, or both copies of a booking.
func (s *sender) run(ctx context.Context) {
	g := s.generator
	defer g.wait.Done()
	defer func() { <-g.slots }()
	if s.request.twice {
		second := &copySender{sender: s}
		second.wait.Add(1)
		go second.run(ctx)
		defer second.wait.Wait()
	}
	s.serve(ctx, 0)
}

// A copySender sends the second copy of a booking.
type copySender struct {
	sender *sender
	wait   sync.WaitGroup
}

func (c *copySender) run(ctx context.Context) {
	defer c.wait.Done()
	c.sender.serve(ctx, 1)
}

// serve sends one copy until its final answer and records that.
func (s *sender) serve(ctx context.Context, copyNumber int) {
	g := s.generator
	first := time.Now()
	sent := first
	var a answer
	for sending := 0; ; sending++ {
		g.recorder.sending(sending > 0)
		id := s.request.id(g.settings.Seed, fmt.Sprintf("%d-%d", copyNumber, sending))
		a = s.send(ctx, id, copyNumber)
		if !g.ledger.note(&s.request, id, a) {
			a.fail(FaultReceiptsDiffer, "booking %s has two receipts", s.request.key)
		}
		again := a.refused && a.refusal.RetryAfter > 0 && (a.refusal.Ran == refuser.NotRun || !s.request.booking)
		if !again || sending >= g.settings.Retries || !sleep(ctx, a.refusal.RetryAfter) {
			break
		}
		sent = time.Now()
	}
	g.recorder.finish(result{&s.request, s.due, first, sent, a, s.measured})
}

// send sends the request once. An address that takes no connection is passed over for the next one.
func (s *sender) send(ctx context.Context, id string, copyNumber int) answer {
	g := s.generator
	addresses := []string{g.settings.Engine}
	if !s.request.direct {
		caller := (s.request.caller + copyNumber) % len(g.directories)
		var err error
		addresses, err = g.directories[caller].addresses(ctx, s.request.lookup())
		if err != nil {
			now := time.Now()
			return answer{fault: FaultAddressLookupFailed, detail: err.Error(), first: now, end: now}
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
	ctx, cancel := s.limit(ctx)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+s.request.path(), bytes.NewReader(s.request.body))
	if err != nil {
		a.fail(FaultNotSent, "%v", err)
		return a
	}
	// Without GetBody the client never sends a request again by itself.
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
		a.first = time.Now()
		a.end = a.first
		return a
	}
	defer func() { _ = response.Body.Close() }()
	a.read(&s.request, response)
	return a
}

// limit bounds the wait for an answer, so that one that never comes ends as a broken connection.
func (s *sender) limit(ctx context.Context) (context.Context, context.CancelFunc) {
	if s.request.timeout == 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, s.request.timeout+answerGrace)
}

func (s *sender) setHeader(header http.Header, id string) {
	g := s.generator
	s.request.setHeader(header)
	header.Set("X-Request-Id", id)
	if g.settings.Timeout > 0 {
		header.Set("X-Request-Timeout-Ms", fmt.Sprint(g.settings.Timeout.Milliseconds()))
	}
	if s.request.direct {
		header.Set("X-Replica", g.ready[s.request.target.deployment].Replica)
		header.Set("X-Adapter", s.request.target.adapter)
	}
}

// sleep waits and returns false if the context ended before.
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

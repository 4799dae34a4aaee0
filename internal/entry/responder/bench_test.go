package responder

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/phuslu/log"

	"samphirewharf/internal/decision/reducer"
)

// benchRate is the number of requests sent per second.
const benchRate = 1000

// A loadGenerator sends requests at a fixed rate and records the latency of each.
type loadGenerator struct {
	b         *testing.B
	address   string
	client    *http.Client
	wait      sync.WaitGroup
	mu        sync.Mutex
	latencies *hdrhistogram.Histogram
}

func newLoadGenerator(b *testing.B, address string) *loadGenerator {
	transport := &http.Transport{MaxIdleConnsPerHost: 1000}
	b.Cleanup(transport.CloseIdleConnections)
	return &loadGenerator{
		b: b, address: address, client: &http.Client{Transport: transport},
		latencies: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3),
	}
}

func (l *loadGenerator) run(scheduled time.Time) {
	defer l.wait.Done()
	response, err := l.client.Do(newRequest(l.b, l.address, "/v1/completions", completion))
	if err != nil {
		l.b.Error(err)
		return
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	latency := time.Since(scheduled)
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.latencies.RecordValue(latency.Microseconds())
}

// send sends n requests, each at its scheduled time, so that a slow response doesn't delay the next request.
func (l *loadGenerator) send(n int) {
	begin := time.Now()
	for i := range n {
		scheduled := begin.Add(time.Duration(i) * time.Second / benchRate)
		time.Sleep(time.Until(scheduled))
		l.wait.Add(1)
		go l.run(scheduled)
	}
	l.wait.Wait()
	l.b.ReportMetric(float64(l.latencies.ValueAtQuantile(50)), "p50-µs")
	l.b.ReportMetric(float64(l.latencies.ValueAtQuantile(99)), "p99-µs")
}

func silenceLogs(b *testing.B) {
	level := log.DefaultLogger.Level
	log.DefaultLogger.SetLevel(log.ErrorLevel)
	b.Cleanup(func() { log.DefaultLogger.SetLevel(level) })
}

// BenchmarkLatency compares the latency of direct requests to an engine with that of requests through the Responder,
// at benchRate. Run it with -benchtime=10000x.
func BenchmarkLatency(b *testing.B) {
	silenceLogs(b)
	address := engine(b, okEngine)
	b.Run("direct", func(b *testing.B) { newLoadGenerator(b, address).send(b.N) })
	b.Run("responder", func(b *testing.B) {
		h := newHarness(b, dispatchUnbuffered(address))
		h.recordEvents = false
		newLoadGenerator(b, h.address).send(b.N)
	})
}

// BenchmarkTokens measures the events of one stream, directly from an engine and through the Responder. The engine
// flushes each event.
func BenchmarkTokens(b *testing.B) {
	silenceLogs(b)
	var count atomic.Int64
	address := engine(b, func(w http.ResponseWriter, _ *http.Request) { streamTokens(w, count.Load()) })
	h := newHarness(b, dispatchUnbuffered(address))
	h.recordEvents = false
	targets := []struct{ name, address string }{{"direct", address}, {"responder", h.address}}
	for _, target := range targets {
		b.Run(target.name, func(b *testing.B) {
			count.Store(int64(b.N))
			b.ResetTimer()
			assertEqual(b, "tokens", readTokens(b, target.address), int64(b.N))
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "tokens/s")
		})
	}
}

func dispatchUnbuffered(address string) func(reducer.Event) []reducer.Effect {
	return func(event reducer.Event) []reducer.Effect {
		if _, ok := event.(reducer.RequestArrived); !ok {
			return nil
		}
		return []reducer.Effect{reducer.Dispatch{Request: requestOf(event), Attempt: 1, Address: address, Timeout: waitTimeout}}
	}
}

func readTokens(b *testing.B, address string) int64 {
	b.Helper()
	response, err := http.DefaultClient.Do(newRequest(b, address, "/v1/completions", `{"model":"small","stream":true}`))
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	tokens := int64(0)
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "data: {") {
			tokens++
		}
	}
	return tokens
}

func streamTokens(w http.ResponseWriter, count int64) {
	w.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(w)
	for range count {
		_, _ = io.WriteString(w, "data: {\"choices\":[{\"text\":\"token\"}]}\n\n")
		_ = controller.Flush()
	}
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
}

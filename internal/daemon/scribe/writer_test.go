package scribe

import (
	"testing"
	"time"

	"github.com/phuslu/log"
)

// A stalledOutput blocks all writes until it is released.
type stalledOutput struct{ release chan struct{} }

func (o stalledOutput) Write(p []byte) (int, error) {
	<-o.release
	return len(p), nil
}

func TestStalledReaderHoldsNothingBack(t *testing.T) {
	output := stalledOutput{release: make(chan struct{})}
	w := NewWriter(output)
	logger := log.Logger{Writer: w}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 2 * maxQueuedLines {
			logger.Info().Str("Request", "r").Msg("request")
		}
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("got a writer that blocks on its output, want lines to be dropped")
	}
	if got := w.Dropped(); got < maxQueuedLines/2 {
		t.Errorf("got %d lines dropped, want at least %d", got, maxQueuedLines/2)
	}
	close(output.release)
	if err := w.Close(); err != nil {
		t.Error(err)
	}
}

func TestSamplerCountsWhatItLeavesOut(t *testing.T) {
	var s Sampler
	now := time.Unix(1, 0)
	allowed := 0
	for range routineBurst + 10 {
		if _, ok := s.Allow("Send", now); ok {
			allowed++
		}
	}
	if got, want := allowed, routineBurst; got != want {
		t.Errorf("got %d lines, want %d", got, want)
	}
	omitted, ok := s.Allow("Send", now.Add(time.Second))
	if got, want := omitted, 10; !ok || got != want {
		t.Errorf("got %d omitted, %v, want %d", got, ok, want)
	}
}

func BenchmarkLine(b *testing.B) {
	w := NewWriter(discard{})
	logger := log.Logger{Writer: w}
	b.ReportAllocs()
	for b.Loop() {
		logger.Info().Str("Request", "9c41d07be2a35f68").Str("Action", "Send").Str("Server", "i-7f3a91c2").Float64("Score", 0.25).Msg("request")
	}
}

type discard struct{}

func (discard) Write(p []byte) (int, error) { return len(p), nil }

// Package scribe writes structured log lines without ever holding a request back.
package scribe

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"golang.org/x/time/rate"
)

const (
	// bufferedLines is how many lines wait for a slow reader before lines are dropped.
	maxQueuedLines = 2048
	// routinePerSecond and routineBurst bound the routine lines of one kind. Lines of failed and slow requests are not
	// bounded by them.
	routinePerSecond = 40
	routineBurst     = 200
)

// A Writer hands lines to a goroutine of its own. A line for which there is no room is dropped and counted.
type Writer struct {
	async   log.AsyncWriter
	dropped atomic.Uint64
}

// NewWriter returns a writer of lines to an output that may block.
func NewWriter(w io.Writer) *Writer {
	return &Writer{async: log.AsyncWriter{
		Writer: &log.IOWriter{Writer: w}, ChannelSize: maxQueuedLines, DiscardOnFull: true,
	}}
}

// Close writes what waits.
func (w *Writer) Close() error { return w.async.Close() }

// Dropped returns how many lines were dropped.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// WriteEntry takes one line.
func (w *Writer) WriteEntry(e *log.Entry) (int, error) {
	n, err := w.async.WriteEntry(e)
	if err != nil {
		w.dropped.Add(1)
	}
	return n, nil
}

// A Sampler lets a bounded number of routine lines through, and counts the others.
type Sampler struct {
	mu    sync.Mutex
	kinds map[string]*kind
}

type kind struct {
	limiter *rate.Limiter
	omitted int
}

// Allow tells whether a routine line of a kind is written now, and how many were left out since the last one.
func (s *Sampler) Allow(name string, now time.Time) (omitted int, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k, known := s.kinds[name]
	if !known {
		if s.kinds == nil {
			s.kinds = make(map[string]*kind)
		}
		k = &kind{limiter: rate.NewLimiter(routinePerSecond, routineBurst)}
		s.kinds[name] = k
	}
	if !k.limiter.AllowN(now, 1) {
		k.omitted++
		return 0, false
	}
	omitted, k.omitted = k.omitted, 0
	return omitted, true
}

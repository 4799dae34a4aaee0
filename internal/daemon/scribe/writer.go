// Package scribe writes structured log lines without blocking requests.
package scribe

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"golang.org/x/time/rate"
)

const (
	// maxQueuedLines bounds the lines queued for a slow reader. Further lines are dropped.
	maxQueuedLines = 2048
	// flushTimeout bounds Flush, flushPollInterval is how often it looks at the queue.
	flushTimeout      = 500 * time.Millisecond
	flushPollInterval = 10 * time.Millisecond
	// routinePerSecond and routineBurst limit the routine lines of one kind. Lines about failed and slow requests are
	// not limited by them.
	routinePerSecond = 40
	routineBurst     = 200
)

// A Writer passes lines to its own goroutine. A line that doesn't fit into the queue is dropped and counted.
//
// log.AsyncWriter isn't used since it reads an entry after it has passed it on, which the race detector reports.
type Writer struct {
	output io.Writer
	// lines ends with a nil line.
	lines   chan []byte
	ended   chan struct{}
	close   sync.Once
	dropped atomic.Uint64
}

// NewWriter returns a writer to an output that may block.
func NewWriter(output io.Writer) *Writer {
	w := &Writer{output: output, lines: make(chan []byte, maxQueuedLines), ended: make(chan struct{})}
	go w.run()
	return w
}

// run writes the queued lines. An error of the output leaves nowhere to report it.
func (w *Writer) run() {
	defer close(w.ended)
	for line := range w.lines {
		if line == nil {
			return
		}
		_, _ = w.output.Write(line)
	}
}

// Close writes the queued lines. Later ones are lost.
func (w *Writer) Close() error {
	w.close.Do(func() { w.lines <- nil })
	<-w.ended
	return nil
}

// Flush waits until the queued lines are written, for flushTimeout at most.
func (w *Writer) Flush() {
	for deadline := time.Now().Add(flushTimeout); len(w.lines) > 0 && time.Now().Before(deadline); {
		time.Sleep(flushPollInterval)
	}
	// The line that was taken last may still be being written.
	time.Sleep(flushPollInterval)
}

// Dropped returns the number of dropped lines.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Write queues one line.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- bytes.Clone(line):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// WriteEntry queues one line.
func (w *Writer) WriteEntry(e *log.Entry) (int, error) {
	n, err := log.IOWriter{Writer: w}.WriteEntry(e)
	if err != nil {
		return n, fmt.Errorf("queue line: %w", err)
	}
	return n, nil
}

// A Sampler limits the rate of routine lines and counts those that are omitted.
type Sampler struct {
	mu    sync.Mutex
	kinds map[string]*kind
}

type kind struct {
	limiter *rate.Limiter
	omitted int
}

// Allow reports whether a routine line of a kind may be written now, and how many were omitted since the last one.
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

package runner

import (
	"io"
	"testing"
	"time"
)

// TestStalledLogReader guards against requests that wait for the reader of a daemon's log.
func TestStalledLogReader(t *testing.T) {
	reader, output := io.Pipe()
	r := &Runner{Stderr: output}
	logger, writer := r.newLogger("info")
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 100 {
			logger.Info().Msg("request routed")
		}
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Error("got a line that waits for its reader, want none to wait")
	}
	_ = reader.Close()
	_ = writer.Close()
}

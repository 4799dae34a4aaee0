package runner

import (
	"github.com/phuslu/log"

	"samphirewharf/internal/daemon/scribe"
)

// newLogger returns a daemon's logger to standard error, whose reader may stall, and its writer, to be closed at the end.
func (r *Runner) newLogger(level string) (*log.Logger, *scribe.Writer) {
	writer := scribe.NewWriter(r.Stderr)
	return &log.Logger{Level: log.ParseLevel(level), Writer: writer}, writer
}

package runner

import (
	"context"
	"fmt"
	"os/signal"
	"syscall"

	"github.com/phuslu/log"

	"samphirewharf/internal/daemon/demonstrator"
	"samphirewharf/internal/entry/acceptor"
)

// A demoCommand demonstrates the whole system in one process.
type demoCommand struct {
	Stay bool   `help:"Keep running after the steps, to try it with curl." env:"SAMPHIREWHARF_DEMO_STAY"`
	Log  string `help:"File for the daemons' logs; none are kept by default." type:"path" env:"SAMPHIREWHARF_DEMO_LOG"`
}

// Run runs the demonstration. It fails if a step does not have the expected result.
func (c *demoCommand) Run(r *Runner) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	logger := &log.Logger{Level: log.PanicLevel}
	if c.Log != "" {
		logger = &log.Logger{Level: log.InfoLevel, Writer: &log.FileWriter{Filename: c.Log}}
	}
	acceptor.RouteLogs(logger)
	d := demonstrator.Demonstrator{Out: r.Stdout, KeepRunning: c.Stay, Logger: logger}
	if err := d.Run(ctx); err != nil {
		return fmt.Errorf("demonstration: %w", err)
	}
	return nil
}

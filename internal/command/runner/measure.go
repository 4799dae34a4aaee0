package runner

import (
	"context"
	"fmt"
	"strings"
	"time"

	"samphirewharf/internal/load/sampler"
)

const maxMeasureTime = time.Hour

// A measureCommand measures the resource usage of running processes.
type measureCommand struct {
	PID      []int         `arg:"" name:"pid" help:"Process IDs."`
	Duration time.Duration `help:"How long to measure, up to 1h." default:"10s" env:"SAMPHIREWHARF_MEASURE_DURATION"`
}

// Run measures all processes over the same interval and prints one line for each.
func (c *measureCommand) Run(ctx context.Context, r *Runner) error {
	if c.Duration <= 0 || c.Duration > maxMeasureTime {
		return &SettingError{Name: "--duration", Value: c.Duration.String(), Accepted: "a duration above 0s, up to 1h"}
	}
	var s sampler.Sampler
	usages, err := s.Sample(ctx, c.PID, c.Duration)
	if err != nil {
		return fmt.Errorf("measure: %w", err)
	}
	return r.print(usages, func(w *strings.Builder) {
		fmt.Fprintln(w, "PID\tCORES\tREAD B/S\tWRITTEN B/S\tRESIDENT MB\tPEAK MB")
		for _, u := range usages {
			fmt.Fprintf(w, "%d\t%.4f\t%.0f\t%.0f\t%.1f\t%.1f\n",
				u.PID, u.Cores, u.ReadPerSecond, u.WrittenPerSecond, float64(u.ResidentBytes)/1e6, float64(u.PeakResidentBytes)/1e6)
		}
	})
}

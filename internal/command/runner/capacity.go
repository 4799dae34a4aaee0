package runner

import (
	"context"
	"fmt"
	"strings"

	"samphirewharf/internal/load/surveyor"
)

// A capacityCommand measures how a daemon's costs grow with the size of the system.
type capacityCommand struct{}

// Run runs the surveys and prints the linear fit of each quantity with its residual and points.
func (capacityCommand) Run(ctx context.Context, r *Runner) error {
	surveys, err := surveyor.Run(ctx)
	if err != nil {
		return fmt.Errorf("capacity: %w", err)
	}
	return r.print(surveys, func(w *strings.Builder) { writeCapacity(w, surveys) })
}

// writeCapacity writes one row for each quantity. It omits quantities that are always zero.
func writeCapacity(w *strings.Builder, surveys []surveyor.Survey) {
	fmt.Fprintln(w, "SURVEY\tAGAINST\tQUANTITY\tUNIT\tAT 0\tSLOPE\tRESIDUAL\tPOINTS")
	for _, s := range surveys {
		for _, q := range s.Quantities {
			points, nonZero := formatPoints(q.Points)
			if !nonZero {
				continue
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%.4g\t%.4g\t%.3g\t%s\n",
				s.Name, s.Against, q.Name, q.Unit, q.Fit.Intercept, q.Fit.Slope, q.Fit.Residual, points)
		}
	}
}

// formatPoints returns the points as text and reports whether any of them is nonzero.
func formatPoints(points []surveyor.Point) (text string, nonZero bool) {
	var parts []string
	for _, p := range points {
		parts = append(parts, fmt.Sprintf("%g:%.4g", p.X, p.Y))
		nonZero = nonZero || p.Y != 0
	}
	return strings.Join(parts, " "), nonZero
}

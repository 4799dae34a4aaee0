package runner

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"

	"samphirewharf/internal/daemon/recorder"
)

// A replayCommand replays recorded events through a reducer and prints its decisions.
type replayCommand struct {
	File string `arg:"" help:"Recording that serve --record wrote."`
}

// Run prints one line for each decision.
func (c *replayCommand) Run(r *Runner) error {
	file, err := os.Open(c.File)
	if errors.Is(err, os.ErrNotExist) {
		return fmt.Errorf("opening recording %s: %w", c.File, errNotFound)
	}
	if err != nil {
		return fmt.Errorf("opening recording: %w", err)
	}
	defer func() { _ = file.Close() }()
	var printErr error
	err = recorder.Replay(file, func(d recorder.Decision) {
		printErr = errors.Join(printErr, c.print(r, d))
	})
	return errors.Join(err, printErr)
}

// print writes one decision in the format of --output.
func (c *replayCommand) print(r *Runner, d recorder.Decision) error {
	effect, err := json.Marshal(d.Effect)
	if err != nil {
		return fmt.Errorf("encoding decision: %w", err)
	}
	if r.settings.Output == outputJSON {
		line := struct {
			SinceSeconds float64
			Type         string
			Effect       json.RawMessage
		}{d.Since.Seconds(), d.Type, effect}
		if err := json.NewEncoder(r.Stdout).Encode(line); err != nil {
			return fmt.Errorf("writing output: %w", err)
		}
		return nil
	}
	if _, err := fmt.Fprintf(r.Stdout, "%12.6f %-16s %s\n", d.Since.Seconds(), d.Type, effect); err != nil {
		return fmt.Errorf("writing output: %w", err)
	}
	return nil
}

package runner

import (
	"errors"
	"fmt"
	"strings"

	"samphirewharf/internal/daemon/explainer"
)

// An explainCommand reconstructs the history of one request from the logs of daemons.
type explainCommand struct {
	Request string   `arg:"" help:"Name of the request, as its caller sent it."`
	Files   []string `arg:"" optional:"" help:"Logs of the daemons; standard input if there are none."`
}

// Run reads the logs and prints the history and outcome of the request.
func (c *explainCommand) Run(r *Runner) error {
	e := explainer.Explainer{Request: c.Request}
	files := c.Files
	if len(files) == 0 {
		files = []string{"-"}
	}
	for _, file := range files {
		data, err := r.readInput(file)
		if err != nil {
			return err
		}
		if err := e.Read(strings.NewReader(string(data))); err != nil {
			return fmt.Errorf("reading %s: %w", file, err)
		}
	}
	err := e.Write(r.Stdout)
	if errors.Is(err, explainer.ErrUnknownRequest) {
		return fmt.Errorf("%w: %w", errNotFound, err)
	}
	return err
}

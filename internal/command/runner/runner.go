// Package runner implements the command line. Each subcommand is a thin layer over another internal package.
package runner

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/alecthomas/kong"
	"github.com/google/uuid"

	"samphirewharf/internal/config/versioner"
	"samphirewharf/internal/external/storer"
)

const (
	programName = "samphirewharf"
	description = "Serves a large catalogue of rarely used models. Each flag can also be given as the environment variable behind it.\n\n" +
		"Exit codes: 0 done, 1 failed, 2 wrong usage or setting, 3 mistakes in the questionnaire, 4 another operator's change was applied first, " +
		"5 key-value service unavailable, 6 outcome unknown, 7 not found."
	environmentPrefix = "SAMPHIREWHARF"
)

// A commandLine is the grammar of the command line. Each subcommand has its own file.
type commandLine struct {
	Settings

	Serve         serveCommand         `cmd:"" help:"Run an entry daemon."`
	Edge          edgeCommand          `cmd:"" help:"Run a daemon on a host of the users' platform."`
	Demo          demoCommand          `cmd:"" help:"Show the whole system in one process."`
	Standin       standinCommand       `cmd:"" help:"Run stand-ins of the platform and the backend servers."`
	Load          loadCommand          `cmd:"" help:"Send load to running daemons on loopback and check every answer."`
	Measure       measureCommand       `cmd:"" help:"Measure the processor time, memory and bytes of running processes."`
	Capacity      capacityCommand      `cmd:"" help:"Measure how a daemon's costs grow with the size of the system."`
	Questionnaire questionnaireCommand `cmd:"" help:"Write and check a questionnaire, and preview its configuration."`
	Config        configCommand        `cmd:"" help:"Show and change the configuration in force."`
	Deployment    deploymentCommand    `cmd:"" help:"Show deployments of the configuration in force."`
	Status        statusCommand        `cmd:"" help:"Show daemons, placements and the configuration version."`
	Addresses     addressesCommand     `cmd:"" help:"Ask a daemon which daemons to use, as callers do."`
	Explain       explainCommand       `cmd:"" help:"Show the history of one request from daemons' logs."`
	Replay        replayCommand        `cmd:"" help:"Replay recorded events and print the reducer's decisions."`
	Codes         codesCommand         `cmd:"" help:"List the result codes."`
	Emulate       emulateCommand       `cmd:"" help:"Measure placement policies on a seeded trace."`
	Version       versionCommand       `cmd:"" help:"Print the program's version."`
}

// A Runner runs one command line.
type Runner struct {
	Stdin  io.Reader
	Stdout io.Writer
	Stderr io.Writer
	// NewID returns a new change ID. If it is nil, change IDs are random UUIDs.
	NewID func() string

	settings Settings
}

// Run parses and runs a command line, given without the program name, and returns the exit code.
func (r *Runner) Run(ctx context.Context, args []string) int {
	var line commandLine
	exited := false
	parser, err := kong.New(
		&line,
		kong.Name(programName),
		kong.Description(description),
		kong.DefaultEnvars(environmentPrefix),
		kong.Writers(r.Stdout, r.Stderr),
		kong.Exit(func(int) { exited = true }),
		kong.BindTo(ctx, (*context.Context)(nil)),
	)
	if err != nil {
		return r.fail(fmt.Errorf("building command-line parser: %w", err))
	}
	parsed, err := parser.Parse(args)
	if exited {
		return ExitOK
	}
	r.settings = line.Settings
	if err != nil {
		return r.failUsage(err)
	}
	if err := r.settings.validate(); err != nil {
		return r.fail(err)
	}
	if err := parsed.Run(r); err != nil {
		return r.fail(err)
	}
	return ExitOK
}

// fail reports an error and returns the exit code.
func (r *Runner) fail(err error) int {
	f := newFailure(err)
	r.report(f)
	return f.ExitCode
}

// failUsage reports an error in the command line and returns the exit code.
func (r *Runner) failUsage(err error) int {
	f := failure{Error: err.Error() + " (see --help)", ExitCode: ExitUsage}
	r.report(f)
	return f.ExitCode
}

// report writes the failure to standard error in the format of --output.
func (r *Runner) report(f failure) {
	if r.settings.Output == outputJSON {
		_ = writeJSON(r.Stderr, f)
		return
	}
	_, _ = fmt.Fprintln(r.Stderr, f)
}

func (r *Runner) newID() string {
	if r.NewID == nil {
		return uuid.NewString()
	}
	return r.NewID()
}

// print writes the value as JSON, or the text with its tab-separated columns aligned, as set by --output.
func (r *Runner) print(value any, text func(w *strings.Builder)) error {
	if r.settings.Output == outputJSON {
		return writeJSON(r.Stdout, value)
	}
	var b strings.Builder
	text(&b)
	w := tabwriter.NewWriter(r.Stdout, 0, 0, 2, ' ', 0)
	if _, err := io.WriteString(w, b.String()); err != nil {
		return fmt.Errorf("writing output: %w", err)
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("writing output: %w", err)
	}
	return nil
}

// readInput returns the content of a file, or of standard input for "-".
func (r *Runner) readInput(file string) ([]byte, error) {
	if file == "-" {
		data, err := io.ReadAll(r.Stdin)
		if err != nil {
			return nil, fmt.Errorf("reading standard input: %w", err)
		}
		return data, nil
	}
	data, err := os.ReadFile(file)
	if errors.Is(err, os.ErrNotExist) {
		return nil, fmt.Errorf("reading %s: %w", file, errNotFound)
	}
	if err != nil {
		return nil, fmt.Errorf("reading file: %w", err)
	}
	return data, nil
}

// openVersioner returns a Versioner for the key-value service, and a function that closes its connections.
func (r *Runner) openVersioner() (v *versioner.Versioner, closeStore func(), err error) {
	if r.settings.StoreAddress == "" {
		return nil, nil, &SettingError{Name: "--store-address", Accepted: acceptedAddress}
	}
	client := &storer.Client{Address: r.settings.StoreAddress, Timeout: r.settings.StoreTimeout}
	return &versioner.Versioner{Store: versioner.NewStore(client)}, client.Close, nil
}

func writeJSON(w io.Writer, value any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(value); err != nil {
		return fmt.Errorf("writing output: %w", err)
	}
	return nil
}

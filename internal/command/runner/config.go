package runner

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"samphirewharf/internal/config/cataloger"
	"samphirewharf/internal/config/versioner"
)

const acceptedOperator = "your name, of up to 100 characters"

// A configCommand groups the subcommands that read and change the configuration.
type configCommand struct {
	Show    configShowCommand    `cmd:"" help:"Show the configuration in force, or an earlier version."`
	Apply   configApplyCommand   `cmd:"" help:"Generate a configuration from a questionnaire and bring it into force."`
	Diff    configDiffCommand    `cmd:"" help:"Show what differs between two versions or questionnaires."`
	History configHistoryCommand `cmd:"" help:"List the versions that are kept."`
}

type configShowCommand struct {
	ShowVersion int64 `default:"0" help:"The version to show; 0 for the one in force."`
}

// Run prints a summary of a version, or all of it as JSON.
func (c configShowCommand) Run(ctx context.Context, r *Runner) error {
	if c.ShowVersion < 0 {
		return &SettingError{Name: "--show-version", Value: strconv.FormatInt(c.ShowVersion, 10), Accepted: "a version number, or 0 for the one in force"}
	}
	snapshot, err := r.fetch(ctx, c.ShowVersion)
	if err != nil {
		return err
	}
	configuration := snapshot.Configuration
	return r.print(configuration, func(w *strings.Builder) {
		writeChange(w, snapshot.Change)
		fmt.Fprintf(w, "Weighting\t%s\n", configuration.Weighting)
		for _, z := range configuration.Zones {
			fmt.Fprintf(w, "Zone\t%s (region %s, %v one way)\n", z.Name, z.Region, z.OneWay.D())
		}
		for _, s := range configuration.Services {
			fmt.Fprintf(w, "Service\t%s (%s, %d deployments)\n", s.Name, s.Kind, countDeployments(configuration, s.Name))
		}
		l := configuration.Limits
		fmt.Fprintf(w, "RetryShare\t%v\n", l.RetryShare)
		fmt.Fprintf(w, "KeepAlive\t%v to %v, quantile %v\n", l.MinKeepAlive.D(), l.MaxKeepAlive.D(), l.KeepAliveQuantile)
		fmt.Fprintf(w, "AddressTimeToLive\t%v\n", l.AddressTimeToLive.D())
	})
}

type configApplyCommand struct {
	File          string `arg:""      help:"The questionnaire; - for standard input."`
	ExpectVersion int64  `help:"The version in force that the change is made for; 0 if there is none." required:""`
	Comment       string `help:"What the change is for, of up to 1000 characters."`
	Operator      string `help:"Your name, of up to 100 characters, for the history."                  required:""`
	ChangeID      string `help:"The change ID of an earlier attempt whose outcome is unknown, to resolve it."`
}

// Run applies the configuration and deletes the versions that are beyond the number to keep.
func (c configApplyCommand) Run(ctx context.Context, r *Runner) error {
	if err := c.validate(); err != nil {
		return err
	}
	configuration, _, err := r.generate(c.File)
	if err != nil {
		return err
	}
	v, closeStore, err := r.openVersioner()
	if err != nil {
		return err
	}
	defer closeStore()
	apply, id := v.Apply, r.newID()
	if c.ChangeID != "" {
		apply, id = v.Reapply, c.ChangeID
	}
	change, err := apply(ctx, configuration, c.ExpectVersion, id, c.Operator, c.Comment)
	if err != nil {
		return err
	}
	if err := v.Prune(ctx); err != nil {
		_, _ = fmt.Fprintln(r.Stderr, "warning: the version is in force, but old versions were not deleted:", err)
	}
	return r.print(change, func(w *strings.Builder) { writeChange(w, change) })
}

func (c configApplyCommand) validate() error {
	if c.ExpectVersion < 0 {
		return &SettingError{Name: "--expect-version", Value: strconv.FormatInt(c.ExpectVersion, 10), Accepted: "a version number, or 0 if there is none yet"}
	}
	if strings.TrimSpace(c.Operator) == "" || utf8.RuneCountInString(c.Operator) > maxOperatorLength {
		return &SettingError{Name: "--operator", Value: c.Operator, Accepted: acceptedOperator}
	}
	if n := utf8.RuneCountInString(c.Comment); n > maxCommentLength {
		return &SettingError{Name: "--comment", Value: fmt.Sprintf("of %d characters", n), Accepted: "up to 1000 characters"}
	}
	return nil
}

type configDiffCommand struct {
	From string `arg:"" help:"A version number, 'head' for the version in force, or a questionnaire file."`
	To   string `arg:"" help:"A version number, 'head' for the version in force, or a questionnaire file."`
}

// Run prints one line for each difference.
func (c configDiffCommand) Run(ctx context.Context, r *Runner) error {
	from, err := r.configuration(ctx, c.From)
	if err != nil {
		return err
	}
	to, err := r.configuration(ctx, c.To)
	if err != nil {
		return err
	}
	lines, err := versioner.Diff(from, to)
	if err != nil {
		return err
	}
	return r.print(struct{ Differences []string }{lines}, func(w *strings.Builder) {
		for _, line := range lines {
			fmt.Fprintln(w, line)
		}
	})
}

type configHistoryCommand struct{}

// Run prints the changes, newest first.
func (configHistoryCommand) Run(ctx context.Context, r *Runner) error {
	v, closeStore, err := r.openVersioner()
	if err != nil {
		return err
	}
	defer closeStore()
	changes, err := v.History(ctx)
	if err != nil {
		return err
	}
	return r.print(changes, func(w *strings.Builder) {
		fmt.Fprintln(w, "VERSION\tAPPLIED AT\tOPERATOR\tCHANGE ID\tCOMMENT")
		for _, c := range changes {
			fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\n", c.Version, c.AppliedAt.Format(time.RFC3339), c.Operator, c.ChangeID, c.Comment)
		}
	})
}

// configuration returns the configuration that an argument of config diff refers to: a version number,
// "head" or a file.
func (r *Runner) configuration(ctx context.Context, source string) (cataloger.Configuration, error) {
	version, err := strconv.ParseInt(source, 10, 64)
	if err != nil && source != "head" {
		configuration, _, err := r.generate(source)
		return configuration, err
	}
	snapshot, err := r.fetch(ctx, version)
	return snapshot.Configuration, err
}

// fetch reads a version from the store, or the one in force if version is 0.
func (r *Runner) fetch(ctx context.Context, version int64) (versioner.Snapshot, error) {
	v, closeStore, err := r.openVersioner()
	if err != nil {
		return versioner.Snapshot{}, err
	}
	defer closeStore()
	if version != 0 {
		return v.FetchVersion(ctx, version, nil)
	}
	return v.Fetch(ctx, nil)
}

// countDeployments returns how many deployments the service has.
func countDeployments(c cataloger.Configuration, service string) int {
	n := 0
	for _, d := range c.Deployments {
		if d.Service == service {
			n++
		}
	}
	return n
}

func writeChange(w *strings.Builder, c versioner.Change) {
	fmt.Fprintf(w, "Version\t%d\n", c.Version)
	fmt.Fprintf(w, "ChangeID\t%s\n", c.ChangeID)
	fmt.Fprintf(w, "Operator\t%s\n", c.Operator)
	fmt.Fprintf(w, "Comment\t%s\n", c.Comment)
	fmt.Fprintf(w, "AppliedAt\t%s\n", c.AppliedAt.Format(time.RFC3339))
}

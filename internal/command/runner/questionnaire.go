package runner

import (
	"fmt"
	"strings"

	"samphirewharf/internal/config/cataloger"
	"samphirewharf/internal/config/questioner"
)

// A questionnaireCommand groups the subcommands that handle questionnaires.
type questionnaireCommand struct {
	New      questionnaireNewCommand      `cmd:"" help:"Print a questionnaire with comments, to fill in."`
	Check    questionnaireCheckCommand    `cmd:"" help:"Report every mistake of a questionnaire."`
	Generate questionnaireGenerateCommand `cmd:"" help:"Show what a questionnaire generates, and why."`
}

type questionnaireNewCommand struct {
	TwoYears bool `help:"Print one of the size expected in two years, without comments, for measurements." env:"SAMPHIREWHARF_TWO_YEARS"`
}

// Run prints the template, or the large questionnaire if TwoYears is set.
func (c questionnaireNewCommand) Run(r *Runner) error {
	data := questioner.Template()
	if c.TwoYears {
		data = questioner.TwoYears()
	}
	if _, err := r.Stdout.Write(data); err != nil {
		return fmt.Errorf("writing output: %w", err)
	}
	return nil
}

type questionnaireCheckCommand struct {
	File string `arg:"" help:"The questionnaire; - for standard input."`
}

// Run reports every mistake of the questionnaire, or that there are none.
func (c questionnaireCheckCommand) Run(r *Runner) error {
	data, err := r.readInput(c.File)
	if err != nil {
		return err
	}
	if _, err := questioner.Parse(data); err != nil {
		return err
	}
	return r.print(struct{ Mistakes []questioner.Mistake }{}, func(w *strings.Builder) {
		fmt.Fprintln(w, "no mistakes")
	})
}

type questionnaireGenerateCommand struct {
	File string `arg:"" help:"The questionnaire; - for standard input."`
}

// generatedOutput is the output of questionnaire generate.
type generatedOutput struct {
	Configuration cataloger.Configuration
	Explanations  []questioner.Explanation
}

// Run prints one line for each derived value. As JSON it also prints the configuration.
func (c questionnaireGenerateCommand) Run(r *Runner) error {
	configuration, explanations, err := r.generate(c.File)
	if err != nil {
		return err
	}
	return r.print(generatedOutput{configuration, explanations}, func(w *strings.Builder) {
		fmt.Fprintln(w, "NAME\tVALUE\tREASON")
		for _, e := range explanations {
			fmt.Fprintf(w, "%s\t%s\t%s\n", e.Name, e.Value, e.Reason)
		}
	})
}

// generate reads a questionnaire from a file and returns the configuration generated from it.
func (r *Runner) generate(file string) (cataloger.Configuration, []questioner.Explanation, error) {
	data, err := r.readInput(file)
	if err != nil {
		return cataloger.Configuration{}, nil, err
	}
	q, err := questioner.Parse(data)
	if err != nil {
		return cataloger.Configuration{}, nil, err
	}
	configuration, explanations := questioner.Generate(q)
	return configuration, explanations, nil
}

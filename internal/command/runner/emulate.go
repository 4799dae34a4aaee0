package runner

import (
	"fmt"
	"strings"

	"samphirewharf/internal/config/questioner"
	"samphirewharf/internal/emulation/emulator"
	"samphirewharf/internal/emulation/tracer"
)

const maxEmulatedDays = 60

// An emulateCommand compares placement policies on seeded request traces.
type emulateCommand struct {
	File    string   `arg:""        help:"The questionnaire, or the name of an example: birlik or bellmouth."`
	Policy  []string `help:"Policies to run, all by default; keep-DURATION is a fixed keep-alive."`
	Seed    []uint64 `default:"1,2,3" help:"Seeds of the traces."`
	Days    int      `default:"2"     help:"Days of each trace, from 1 to 60."`
	Workers int      `default:"2"     help:"Number of concurrent runs."`
}

// Run prints one line for each policy, with the means over all seeds, and one for each run.
func (c emulateCommand) Run(r *Runner) error {
	if c.Days < 1 || c.Days > maxEmulatedDays {
		return &SettingError{Name: "--days", Value: fmt.Sprint(c.Days), Accepted: "a number from 1 to 60"}
	}
	policies, err := emulator.ParsePolicies(c.Policy)
	if err != nil {
		return &SettingError{Name: "--policy", Value: strings.Join(c.Policy, ","), Accepted: policyNames()}
	}
	q, err := r.readQuestionnaire(c.File)
	if err != nil {
		return err
	}
	t := tracer.Default()
	t.Days = c.Days
	m := emulator.Experiment{
		Emulator: emulator.Emulator{Questionnaire: q, Tracer: t},
		Policies: policies, Seeds: c.Seed, Workers: c.Workers,
	}
	report, err := m.Run()
	if err != nil {
		return err
	}
	return r.print(report, report.Write)
}

// readQuestionnaire reads the example questionnaire of that name, or a file if there is none.
func (r *Runner) readQuestionnaire(file string) (questioner.Questionnaire, error) {
	data, err := questioner.Example(file)
	if err != nil {
		data, err = r.readInput(file)
	}
	if err != nil {
		return questioner.Questionnaire{}, err
	}
	return questioner.Parse(data)
}

// policyNames returns the accepted values of --policy.
func policyNames() string {
	var names []string
	for _, p := range emulator.Policies() {
		names = append(names, p.Name)
	}
	return strings.Join(names, ", ") + ", keep-DURATION"
}

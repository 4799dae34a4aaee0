// Package prover_test runs the program as separate processes, controlled by scripts.
//
// Each script of testdata/scripts starts the stand-ins in one process and daemons in others, on free ports
// of the loopback interface. Scripts wait for conditions, never for fixed times. Besides the commands of
// testscript they can use those of the function commands.
package prover_test

import (
	"context"
	"os"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"samphirewharf/internal/command/runner"
	"samphirewharf/internal/config/cataloger"
	"samphirewharf/internal/config/questioner"
)

const (
	// scriptLimit bounds each script, so that a condition that never holds fails the script.
	scriptLimit = 2 * time.Minute
	// scriptsAtOnce is how many scripts run in parallel.
	scriptsAtOnce = 4
	pollInterval  = 20 * time.Millisecond
)

// A stage is the state of one script: its processes, their addresses and its requests.
type stage struct {
	// script is the script that runs the current command.
	script *testscript.TestScript
	// workDir is the script's directory; vars is the environment of the processes that it starts.
	workDir string
	vars    []string
	// ctx is canceled at the end of the script or at its time limit.
	ctx       context.Context //nolint:containedctx // It spans the script.
	processes map[string]*process
	// started contains all started processes, including those that a later one of the same name replaced.
	started []*process
	// servers contains the addresses of the stand-ins by name.
	servers map[string]string
	// loads contains the loads that run in the background, by label.
	loads map[string]*load
	// catalog is the configuration that demo.toml generates.
	catalog *cataloger.Catalog
}

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"samphirewharf": runProgram})
}

// runProgram is the program's main function.
func runProgram() {
	r := runner.Runner{Stdin: os.Stdin, Stdout: os.Stdout, Stderr: os.Stderr}
	os.Exit(r.Run(context.Background(), os.Args[1:]))
}

func TestScripts(t *testing.T) {
	questionnaire, err := questioner.Example("demo")
	if err != nil {
		t.Fatal(err)
	}
	slots := make(chan struct{}, scriptsAtOnce)
	params := testscript.Params{
		Dir: "testdata/scripts",
		Setup: func(env *testscript.Env) error {
			slots <- struct{}{}
			env.Defer(func() { <-slots })
			return newStage(env, questionnaire)
		},
		Cmds: make(map[string]func(*testscript.TestScript, bool, []string)),
	}
	for name, command := range commands() {
		params.Cmds[name] = func(ts *testscript.TestScript, negated bool, args []string) {
			if negated {
				ts.Fatalf("%s does not accept !", name)
			}
			s := ts.Value("stage").(*stage)
			s.script = ts
			if err := command(s, args); err != nil {
				s.logProcesses(ts.Logf)
				ts.Fatalf("%v", err)
			}
		}
	}
	testscript.Run(t, params)
}

// newStage sets up the environment of a script and writes the example questionnaire to demo.toml.
func newStage(env *testscript.Env, questionnaire []byte) error {
	q, err := questioner.Parse(questionnaire)
	if err != nil {
		return err
	}
	configuration, _ := questioner.Generate(q)
	ctx, cancel := context.WithTimeout(context.Background(), scriptLimit)
	s := &stage{
		workDir: env.WorkDir, vars: env.Vars, ctx: ctx, catalog: cataloger.NewCatalog(configuration),
		processes: make(map[string]*process), servers: make(map[string]string), loads: make(map[string]*load),
	}
	env.Defer(cancel)
	env.Defer(func() { s.endProcesses(env.T().Fatal) })
	env.Values["stage"] = s
	return os.WriteFile(env.WorkDir+"/demo.toml", questionnaire, 0o600)
}

// setenv sets a variable of the script and of the processes that it starts.
func (s *stage) setenv(name, value string) {
	s.script.Setenv(name, value)
	s.vars = append(s.vars, name+"="+value)
}

// commands returns the commands of scripts. Only until accepts "!" before a command, as its first argument.
func commands() map[string]func(*stage, []string) error {
	return map[string]func(*stage, []string) error{
		"agree":      (*stage).agree,
		"ask":        (*stage).ask,
		"begin":      (*stage).begin,
		"counts":     (*stage).compareCounts,
		"decided":    (*stage).decided,
		"edit":       (*stage).edit,
		"end":        (*stage).end,
		"exits":      (*stage).exits,
		"faults":     (*stage).setFaults,
		"freeze":     (*stage).freeze,
		"sigkill":    (*stage).sigkill,
		"logged":     (*stage).logged,
		"lookup":     (*stage).lookup,
		"placer":     (*stage).findPlacer,
		"registered": (*stage).registered,
		"start":      (*stage).start,
		"session":    (*stage).session,
		"shutdown":   (*stage).shutdown,
		"thaw":       (*stage).thaw,
		"until":      (*stage).until,
		"which":      (*stage).which,
	}
}

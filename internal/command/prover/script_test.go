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
	// scriptTimeout bounds each script, so that a condition that never holds fails the script.
	scriptTimeout = 2 * time.Minute
	// parallelScripts is how many scripts run in parallel.
	parallelScripts = 4
	pollInterval    = 20 * time.Millisecond
)

// A harness is the state of one script: its processes, their addresses and its requests.
type harness struct {
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
	// senders contains the senders that run in the background, by label.
	senders map[string]*sender
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
	slots := make(chan struct{}, parallelScripts)
	params := testscript.Params{
		Dir: "testdata/scripts",
		Setup: func(env *testscript.Env) error {
			slots <- struct{}{}
			env.Defer(func() { <-slots })
			return newHarness(env, questionnaire)
		},
		Cmds: make(map[string]func(*testscript.TestScript, bool, []string)),
	}
	for name, command := range commands() {
		params.Cmds[name] = func(ts *testscript.TestScript, negated bool, args []string) {
			if negated {
				ts.Fatalf("%s does not accept !", name)
			}
			h := ts.Value("stage").(*harness)
			h.script = ts
			if err := command(h, args); err != nil {
				h.logProcesses(ts.Logf)
				ts.Fatalf("%v", err)
			}
		}
	}
	testscript.Run(t, params)
}

// newHarness sets up the environment of a script and writes the example questionnaire to demo.toml.
func newHarness(env *testscript.Env, questionnaire []byte) error {
	q, err := questioner.Parse(questionnaire)
	if err != nil {
		return err
	}
	configuration, _ := questioner.Generate(q)
	ctx, cancel := context.WithTimeout(context.Background(), scriptTimeout)
	h := &harness{
		workDir: env.WorkDir, vars: env.Vars, ctx: ctx, catalog: cataloger.NewCatalog(configuration),
		processes: make(map[string]*process), servers: make(map[string]string), senders: make(map[string]*sender),
	}
	env.Defer(cancel)
	env.Defer(func() { h.endProcesses(env.T().Fatal) })
	env.Values["stage"] = h
	return os.WriteFile(env.WorkDir+"/demo.toml", questionnaire, 0o600)
}

// setenv sets a variable of the script and of the processes that it starts.
func (h *harness) setenv(name, value string) {
	h.script.Setenv(name, value)
	h.vars = append(h.vars, name+"="+value)
}

// commands returns the commands of scripts. Only until accepts "!" before a command, as its first argument.
func commands() map[string]func(*harness, []string) error {
	return map[string]func(*harness, []string) error{
		"agree":      (*harness).agree,
		"ask":        (*harness).ask,
		"begin":      (*harness).begin,
		"counts":     (*harness).compareCounts,
		"decided":    (*harness).decided,
		"edit":       (*harness).edit,
		"end":        (*harness).end,
		"exits":      (*harness).exits,
		"faults":     (*harness).setFaults,
		"freeze":     (*harness).freeze,
		"sigkill":    (*harness).sigkill,
		"logged":     (*harness).logged,
		"lookup":     (*harness).lookup,
		"placer":     (*harness).findPlacer,
		"registered": (*harness).registered,
		"start":      (*harness).start,
		"session":    (*harness).session,
		"shutdown":   (*harness).shutdown,
		"thaw":       (*harness).thaw,
		"until":      (*harness).until,
		"which":      (*harness).which,
	}
}

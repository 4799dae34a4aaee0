package prover_test

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

// scriptSeeds is the number of seeds that each script runs with.
const scriptSeeds = 10

// TestScripts runs the scripts of testdata/scripts in virtual time.
func TestScripts(t *testing.T) {
	for seed := range scriptSeeds {
		t.Run(fmt.Sprintf("seed %d", seed+1), func(t *testing.T) { runScripts(t, uint64(seed+1)) })
	}
}

func runScripts(t *testing.T, seed uint64) {
	params := testscript.Params{
		Dir: "testdata/scripts",
		Setup: func(env *testscript.Env) error {
			env.Values["world"] = &scriptState{seed: seed}
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){"world": startWorld},
	}
	for name := range commands {
		params.Cmds[name] = func(ts *testscript.TestScript, _ bool, args []string) {
			w := ts.Value("world").(*scriptState).world
			if w == nil {
				ts.Fatalf("no world: the script must start with the command world")
			}
			if err := w.do(append([]string{name}, args...)); err != nil {
				ts.Logf("%s", strings.Join(w.tail(80), "\n"))
				ts.Fatalf("%v", err)
			}
		}
	}
	testscript.Run(t, params)
}

// TestForgottenFence checks that an engine that lost its fencing token in a restart refuses an order meant for its
// former process.
func TestForgottenFence(t *testing.T) {
	log, err := runScript(readScript(t, "testdata/scripts/14-engine-forgets-its-fence.txtar"), mutation{})
	if err != nil {
		t.Errorf("%v\n%s", err, strings.Join(log, "\n"))
	}
}

// readScript returns the commands of a script, without comments.
func readScript(t *testing.T, file string) []string {
	t.Helper()
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	return slices.DeleteFunc(strings.Split(string(text), "\n"), func(line string) bool {
		return line == "" || strings.HasPrefix(line, "#")
	})
}

// A scriptState is the state of one script. Its world is nil until the command world.
type scriptState struct {
	seed  uint64
	world *World
}

// startWorld starts the world of a script: world [seed=N] [fencing=on] [daemons=N] [engines=N].
func startWorld(ts *testscript.TestScript, _ bool, args []string) {
	state := ts.Value("world").(*scriptState)
	w, err := parseWorld(state.seed, args)
	ts.Check(err)
	w.advance(startupTime)
	state.world = w
}

func parseWorld(seed uint64, args []string) (*World, error) {
	numbers := map[string]int{"daemons": 3, "engines": 3}
	fencing := false
	for _, arg := range args {
		name, value, _ := strings.Cut(arg, "=")
		if name == "fencing" {
			fencing = value == "on"
			continue
		}
		n, err := strconv.Atoi(value)
		if err != nil {
			return nil, err
		}
		numbers[name] = n
	}
	if numbers["seed"] > 0 {
		seed = uint64(numbers["seed"])
	}
	return newWorld(seed, fencing, numbers["daemons"], numbers["engines"]), nil
}

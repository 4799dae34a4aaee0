package prover_test

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

const (
	// shards is how many parts of the fuzzing run in parallel, each with its own cases.
	shards = 8
	// fuzzCases is the default number of cases of each shard, fuzzSeed the default seed. CI uses both; flags override them.
	fuzzCases = "250"
	fuzzSeed  = "20261203"
	// maxCommands bounds the drawn commands of one case.
	maxCommands = 30
)

// TestMain sets defaults for the fuzzer's seed and number of cases, so that runs without flags are reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	isSet := make(map[string]bool)
	flag.Visit(func(f *flag.Flag) { isSet[f.Name] = true })
	defaults := [][2]string{{"rapid.checks", fuzzCases}, {"rapid.seed", fuzzSeed}, {"rapid.nofailfile", "true"}}
	for _, setting := range defaults {
		if !isSet[setting[0]] {
			if err := flag.Set(setting[0], setting[1]); err != nil {
				fmt.Fprintln(os.Stderr, err)
				os.Exit(2)
			}
		}
	}
	os.Exit(m.Run())
}

// TestFuzz runs random scripts. It prints a failing one, so that it can be added to testdata/scripts.
func TestFuzz(t *testing.T) {
	for shard := range shards {
		t.Run(fmt.Sprintf("shard %d", shard), func(t *testing.T) {
			t.Parallel()
			rapid.Check(t, func(t *rapid.T) {
				for range shard {
					rapid.Bool().Draw(t, "shard")
				}
				script := drawScript(t)
				if log, err := runScript(script, mutation{}); err != nil {
					t.Logf("%s", strings.Join(log, "\n"))
					t.Fatalf("%v\nas a script:\n%s\n", err, strings.Join(script, "\n"))
				}
			})
		})
	}
}

// runScript runs a script with a mutation. If a command fails, it returns the end of the log and the error.
func runScript(script []string, m mutation) ([]string, error) {
	w, err := parseWorld(1, strings.Fields(script[0])[1:])
	if err != nil {
		return nil, err
	}
	w.mutation = m
	w.advance(startupTime)
	for _, line := range script[1:] {
		if err := w.do(strings.Fields(line)); err != nil {
			return w.tail(150), err
		}
	}
	return nil, nil
}

// drawScript draws the script of one case.
func drawScript(t *rapid.T) []string {
	f := &fuzzer{t: t, engines: rapid.IntRange(1, 3).Draw(t, "engines")}
	seed := rapid.Uint64Range(1, 1000).Draw(t, "seed")
	fencing := f.choose("fencing", "on", "off")
	script := []string{fmt.Sprintf("world seed=%d fencing=%s daemons=3 engines=%d", seed, fencing, f.engines)}
	for range rapid.IntRange(1, maxCommands).Draw(t, "commands") {
		script = append(script, f.command())
	}
	return append(script, "settle")
}

// A fuzzer draws random commands of the test language.
type fuzzer struct {
	t       *rapid.T
	engines int
	sent    int
}

func (f *fuzzer) choose(label string, choices ...string) string {
	return rapid.SampledFrom(choices).Draw(f.t, label)
}

func (f *fuzzer) daemon() string { return f.choose("daemon", "d1", "d2", "d3") }

func (f *fuzzer) engine() string {
	return fmt.Sprintf("e%d", rapid.IntRange(1, f.engines).Draw(f.t, "engine"))
}

func (f *fuzzer) server() string {
	if rapid.IntRange(0, 3).Draw(f.t, "plain") == 0 {
		return f.choose("server", "p1", "p2", "p3")
	}
	return f.engine()
}

func (f *fuzzer) command() string {
	switch kind := f.choose("kind", "send", "send", "send", "advance", "advance", "advance", "burst", "daemon", "server", "network", "store", "disturb", "other"); kind {
	case "send":
		return f.send()
	case "advance":
		return "advance " + f.choose("time", "1ms", "5ms", "20ms", "100ms", "300ms", "1s", "1s", "3s", "8s", "20s", "40s")
	case "burst":
		f.sent++
		return fmt.Sprintf("burst b%d %s %s", f.sent, f.choose("count", "3", "6", "12"), f.target())
	case "daemon":
		return f.choose("fault", "pause", "pause", "resume", "resume", "crash", "restart", "restart", "shutdown", "freeze-at") + " " + f.choose("daemon", "d1", "d2", "d3", "placer", "placer")
	case "server":
		return f.choose("fault", "break", "mend", "mend", "leave", "stay", "reclaim") + " " + f.server()
	case "network":
		if rapid.IntRange(0, 2).Draw(f.t, "heal") == 0 {
			return "heal"
		}
		return "cut " + f.daemon() + " " + f.choose("other", "d1", "d2", "d3", "store", "p1", f.engine())
	case "store":
		return "store " + f.choose("store", "up", "up", "down", "slow 1s", "slow 3s", "lose cells/", "lose claims/", "lose configuration/", "lose daemons/")
	case "disturb":
		return f.setFault()
	default:
		return f.choose("other", "configure op1", "configure op1 op2", "hosts lag 5s", "hosts lag 500ms", "hosts down", "hosts up", f.hangUp())
	}
}

func (f *fuzzer) hangUp() string {
	return fmt.Sprintf("hang-up f%d", rapid.IntRange(1, f.sent+1).Draw(f.t, "call"))
}

func (f *fuzzer) setFault() string {
	return "set " + f.choose("disturb", "order-delay 0s", "order-delay 5s", "order-delay 20s", "order-loss 0", "order-loss 50", "lateness 0s",
		"lateness 2s", "loss 0", "loss 30", "duplicates 30", "cut-answers 0", "cut-answers 30", "service-time 100ms", "service-time 4s",
		"load-lag 2s", "load-lag 100ms", "load-factor 10", "load-factor 1")
}

func (f *fuzzer) target() string {
	return f.choose("target", "m1", "m1", "m2", "m3", "m4", "m1a", "m1b", "m2c", "desk/stock")
}

func (f *fuzzer) send() string {
	f.sent++
	line := fmt.Sprintf("send f%d %s ", f.sent, f.daemon())
	if rapid.IntRange(0, 2).Draw(f.t, "booking") == 0 {
		return line + "desk/bookings key=" + f.choose("key", "A", "B", "C")
	}
	return line + f.target() + f.choose("options", "", "", " urgent", " stream", " stream urgent", " timeout=300ms", " timeout=60s", " poison")
}

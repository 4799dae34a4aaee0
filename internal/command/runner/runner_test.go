package runner

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"testing"

	"samphirewharf/internal/caller/refuser"
	"samphirewharf/internal/config/questioner"
	"samphirewharf/internal/standin/keeper"
)

var variablePattern = regexp.MustCompile(`SAMPHIREWHARF_[A-Z_]+`)

// A result is the exit code and output of a command line.
type result struct {
	exit           int
	stdout, stderr string
}

func run(t *testing.T, args ...string) result {
	t.Helper()
	return runWithInput(t, "", args...)
}

func runWithInput(t *testing.T, input string, args ...string) result {
	t.Helper()
	var stdout, stderr bytes.Buffer
	r := Runner{
		Stdin:  strings.NewReader(input),
		Stdout: &stdout,
		Stderr: &stderr,
		NewID:  func() string { return "change-of-" + flagValue(args, "--operator") },
	}
	exit := r.Run(t.Context(), args)
	return result{exit, stdout.String(), stderr.String()}
}

// flagValue returns the argument after a flag.
func flagValue(args []string, flag string) string {
	i := slices.Index(args, flag)
	return args[i+1]
}

func assertExit(t *testing.T, got result, want int) {
	t.Helper()
	if got.exit != want {
		t.Fatalf("got exit code %d with %q and %q, want %d", got.exit, got.stdout, got.stderr, want)
	}
}

func assertContains(t *testing.T, got string, wants ...string) {
	t.Helper()
	for _, want := range wants {
		if !strings.Contains(got, want) {
			t.Errorf("got %q, want it to contain %q", got, want)
		}
	}
}

func assertEqual[T any](t *testing.T, got, want T) {
	t.Helper()
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

func assertJSON[T any](t *testing.T, text string) T {
	t.Helper()
	var value T
	if err := json.Unmarshal([]byte(text), &value); err != nil {
		t.Fatalf("got %q, want JSON: %v", text, err)
	}
	return value
}

// startKeeper starts a stand-in of the key-value service and sets its address in the environment.
func startKeeper(t *testing.T) *keeper.KeyValueService {
	t.Helper()
	k := &keeper.KeyValueService{}
	if err := k.Start("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(k.Stop)
	t.Setenv("SAMPHIREWHARF_STORE_ADDRESS", k.Address())
	return k
}

// writeFile writes the template questionnaire with one text replaced, and returns its path.
func writeFile(t *testing.T, old, replacement string) string {
	t.Helper()
	name := filepath.Join(t.TempDir(), "questionnaire.toml")
	data := strings.Replace(string(questioner.Template()), old, replacement, 1)
	if err := os.WriteFile(name, []byte(data), 0o600); err != nil {
		t.Fatal(err)
	}
	return name
}

func TestSettings(t *testing.T) {
	tests := []struct {
		name, variable, value string
		wants                 []string
	}{
		{"output format", "SAMPHIREWHARF_OUTPUT", "xml", []string{"--output", "xml", `"text","json"`}},
		{"host name as address", "SAMPHIREWHARF_STORE_ADDRESS", "host:1", []string{"--store-address", "host:1", "an IP number and port"}},
		{"invalid duration", "SAMPHIREWHARF_STORE_TIMEOUT", "soon", []string{"--store-timeout", "soon", "duration"}},
		{"duration out of range", "SAMPHIREWHARF_STORE_TIMEOUT", "2m", []string{"--store-timeout", "2m", "from 10ms to 1m"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Setenv(test.variable, test.value)
			got := run(t, "codes")
			assertExit(t, got, ExitUsage)
			assertContains(t, got.stderr, test.wants...)
		})
	}
	t.Run("missing store address", func(t *testing.T) {
		got := run(t, "config", "history")
		assertExit(t, got, ExitUsage)
		assertContains(t, got.stderr, "error 5004 (InvalidSettings)", "--store-address")
	})
	t.Run("unknown command", func(t *testing.T) {
		assertExit(t, run(t, "confgi"), ExitUsage)
	})
}

// TestHelp checks that each flag has an environment variable, and that docs/CONFIGURATION.md lists it.
func TestHelp(t *testing.T) {
	documentation, err := os.ReadFile("../../../docs/CONFIGURATION.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, command := range []string{
		"questionnaire new", "questionnaire check", "questionnaire generate", "config show", "config apply",
		"config diff", "config history", "deployment list", "deployment show", "codes", "version", "load", "measure", "capacity", "emulate",
	} {
		t.Run(command, func(t *testing.T) {
			got := run(t, append(strings.Fields(command), "--help")...)
			assertExit(t, got, ExitOK)
			_, flags, _ := strings.Cut(got.stdout, "Flags:")
			variables := variablePattern.FindAllString(flags, -1)
			assertEqual(t, len(variables), strings.Count(flags, " --")-1)
			assertContains(t, string(documentation), variables...)
		})
	}
}

func TestVersion(t *testing.T) {
	got := run(t, "version", "--output", "json")
	assertExit(t, got, ExitOK)
	assertEqual(t, assertJSON[programVersion](t, got.stdout), newProgramVersion())
	assertContains(t, run(t, "version").stdout, "samphirewharf ", "go1.")
}

func TestCodes(t *testing.T) {
	t.Run("table", func(t *testing.T) {
		got := run(t, "codes")
		assertExit(t, got, ExitOK)
		assertContains(t, got.stdout, "5003  VersionConflict")
		assertEqual(t, strings.Count(got.stdout, "\n"), len(refuser.Codes())+1)
	})
	t.Run("JSON", func(t *testing.T) {
		got := assertJSON[[]codeRow](t, run(t, "codes", "--output", "json").stdout)
		assertEqual(t, got, codeRows())
	})
	t.Run("docs/RESULT-CODES.md", func(t *testing.T) {
		want, err := os.ReadFile("../../../docs/RESULT-CODES.md")
		if err != nil {
			t.Fatal(err)
		}
		if got := run(t, "codes", "--markdown").stdout; got != string(want) {
			t.Error("docs/RESULT-CODES.md is out of date; regenerate it with samphirewharf codes --markdown")
		}
	})
}

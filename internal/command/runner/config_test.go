package runner

import (
	"strings"
	"testing"

	"samphirewharf/internal/caller/refuser"
	"samphirewharf/internal/config/cataloger"
	"samphirewharf/internal/config/versioner"
	"samphirewharf/internal/standin/keeper"
)

// apply runs config apply with the given arguments.
func apply(t *testing.T, file, expected, operator string, more ...string) result {
	t.Helper()
	args := []string{"config", "apply", file, "--expect-version", expected, "--operator", operator}
	return run(t, append(args, more...)...)
}

func TestConfig(t *testing.T) {
	startKeeper(t)
	file := writeFile(t, "", "")
	assertExit(t, run(t, "config", "show"), ExitNotFound)
	assertExit(t, apply(t, file, "0", "ayse", "--comment", "first one"), ExitOK)
	changed := writeFile(t, `WeighsMore = "ColdStart"`, `WeighsMore = "IdleHours"`)
	t.Run("diff of the version in force and a file", func(t *testing.T) {
		got := run(t, "config", "diff", "head", changed)
		assertExit(t, got, ExitOK)
		assertContains(t, got.stdout, `~ Weighting: "ColdStart" -> "IdleHours"`)
	})
	t.Run("conflict", func(t *testing.T) {
		got := apply(t, changed, "0", "deniz", "--output", "json")
		assertExit(t, got, ExitConflict)
		f := assertJSON[failure](t, got.stderr)
		assertEqual(t, f.Code, refuser.CodeVersionConflict)
		assertContains(t, f.Error, "version 1", "change-of-ayse", `"ayse"`)
	})
	assertExit(t, apply(t, changed, "1", "deniz"), ExitOK)
	t.Run("show", func(t *testing.T) {
		assertContains(t, run(t, "config", "show").stdout, "IdleHours", "deniz", "assistant (Model, 4 deployments)")
		got := run(t, "config", "show", "--show-version", "1", "--output", "json")
		assertEqual(t, assertJSON[cataloger.Configuration](t, got.stdout).Weighting, cataloger.WeightColdStart)
		assertExit(t, run(t, "config", "show", "--show-version", "9"), ExitNotFound)
	})
	t.Run("history", func(t *testing.T) {
		got := assertJSON[[]versioner.Change](t, run(t, "config", "history", "--output", "json").stdout)
		assertEqual(t, len(got), 2)
		assertEqual(t, []string{got[0].Operator, got[1].Operator, got[1].Comment}, []string{"deniz", "ayse", "first one"})
		assertContains(t, run(t, "config", "history").stdout, "VERSION", "first one")
	})
	t.Run("diff of versions", func(t *testing.T) {
		assertContains(t, run(t, "config", "diff", "2", "1").stdout, `"IdleHours" -> "ColdStart"`)
		assertEqual(t, run(t, "config", "diff", "2", "2").stdout, "")
	})
}

func TestConfigApplyFaults(t *testing.T) {
	t.Run("lost answers", func(t *testing.T) {
		k := startKeeper(t)
		k.SetFaults(keeper.Faults{LoseAnswersNext: 3})
		assertExit(t, apply(t, writeFile(t, "", ""), "0", "ayse", "--store-timeout", "300ms"), ExitOK)
		got := assertJSON[[]versioner.Change](t, run(t, "config", "history", "--output", "json").stdout)
		assertEqual(t, len(got), 1)
	})
	t.Run("outage", func(t *testing.T) {
		k := startKeeper(t)
		k.Stop()
		got := apply(t, writeFile(t, "", ""), "0", "ayse")
		assertExit(t, got, ExitUnavailable)
		assertContains(t, got.stderr, "error 5002 (StoreUnavailable)")
	})
	t.Run("resolving an unknown outcome in an outage", func(t *testing.T) {
		k := startKeeper(t)
		k.Stop()
		got := apply(t, writeFile(t, "", ""), "0", "ayse", "--change-id", "earlier")
		assertExit(t, got, ExitUnknown)
		assertContains(t, got.stderr, "change earlier for version 0 may or may not take effect")
	})
	t.Run("resolving an unknown outcome", func(t *testing.T) {
		startKeeper(t)
		file := writeFile(t, "", "")
		assertExit(t, apply(t, file, "0", "ayse"), ExitOK)
		assertExit(t, apply(t, file, "0", "ayse", "--change-id", "change-of-ayse"), ExitOK)
	})
	t.Run("invalid settings", func(t *testing.T) {
		file := writeFile(t, "", "")
		got := run(t, "config", "apply", file, "--expect-version=-1", "--operator", "ayse")
		assertExit(t, got, ExitUsage)
		assertContains(t, got.stderr, `--expect-version is "-1"`)
		assertExit(t, apply(t, file, "0", " "), ExitUsage)
		assertExit(t, apply(t, file, "0", strings.Repeat("ş", 101)), ExitUsage)
		assertExit(t, apply(t, file, "0", "ayse", "--comment", strings.Repeat("ş", 1001)), ExitUsage)
	})
}

func TestDeployment(t *testing.T) {
	startKeeper(t)
	assertExit(t, apply(t, writeFile(t, "", ""), "0", "ayse"), ExitOK)
	t.Run("list", func(t *testing.T) {
		assertContains(t, run(t, "deployment", "list").stdout, "drafts", "lookups-3")
		got := assertJSON[[]cataloger.Deployment](t, run(t, "deployment", "list", "--service", "none", "--output", "json").stdout)
		assertEqual(t, got, []cataloger.Deployment{})
	})
	t.Run("show by adapter", func(t *testing.T) {
		got := run(t, "deployment", "show", "drafts-legal")
		assertExit(t, got, ExitOK)
		assertContains(t, got.stdout, "drafts", "14.1 GB, 1 adapter slots included")
	})
	t.Run("unknown deployment", func(t *testing.T) {
		got := run(t, "deployment", "show", "nothing")
		assertExit(t, got, ExitNotFound)
		assertContains(t, got.stderr, "nothing", "version 1")
	})
}

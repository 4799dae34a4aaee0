package runner

import (
	"testing"

	"samphirewharf/internal/config/questioner"
)

func TestQuestionnaire(t *testing.T) {
	template := run(t, "questionnaire", "new").stdout
	t.Run("template has no mistakes", func(t *testing.T) {
		got := runWithInput(t, template, "questionnaire", "check", "-")
		assertExit(t, got, ExitOK)
		assertEqual(t, got.stdout, "no mistakes\n")
	})
	t.Run("mistakes as text", func(t *testing.T) {
		got := run(t, "questionnaire", "check", writeFile(t, "Servers = 4", "Servers = -4\nColour = 1"))
		assertExit(t, got, ExitMistakes)
		assertContains(t, got.stderr, "Services[0].Servers is -4; accepted: a whole number", "Services[0].Colour is 1")
	})
	t.Run("mistakes as JSON", func(t *testing.T) {
		got := run(t, "questionnaire", "check", writeFile(t, "Servers = 4", "Servers = -4"), "--output", "json")
		assertExit(t, got, ExitMistakes)
		f := assertJSON[failure](t, got.stderr)
		assertEqual(t, len(f.Mistakes), 1)
		assertEqual(t, f.Mistakes[0].Name, "Services[0].Servers")
	})
	t.Run("missing file", func(t *testing.T) {
		assertExit(t, run(t, "questionnaire", "check", t.TempDir()+"/missing.toml"), ExitNotFound)
	})
	t.Run("generate as text", func(t *testing.T) {
		got := runWithInput(t, template, "questionnaire", "generate", "-")
		assertExit(t, got, ExitOK)
		assertContains(t, got.stdout, "Deployments.drafts.Load", "1.4s", "WeighsMore is ColdStart")
	})
	t.Run("generate as JSON", func(t *testing.T) {
		got := runWithInput(t, template, "questionnaire", "generate", "-", "--output", "json")
		assertExit(t, got, ExitOK)
		q, err := questioner.Parse([]byte(template))
		if err != nil {
			t.Fatal(err)
		}
		want, explanations := questioner.Generate(q)
		assertEqual(t, assertJSON[generatedOutput](t, got.stdout), generatedOutput{want, explanations})
	})
}

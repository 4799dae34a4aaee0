package runner

import "testing"

func TestQuestionnaireNewTwoYears(t *testing.T) {
	got := run(t, "questionnaire", "new", "--two-years")
	assertExit(t, got, ExitOK)
	assertExit(t, runWithInput(t, got.stdout, "questionnaire", "check", "-"), ExitOK)
	assertContains(t, got.stdout, `Name = "model-559"`)
}

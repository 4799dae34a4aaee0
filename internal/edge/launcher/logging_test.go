package launcher

import (
	"testing"

	"samphirewharf/internal/decision/conductor"
)

func TestFormatParts(t *testing.T) {
	got, want := formatParts([]conductor.PromptPart{{ID: 0xab, Tokens: 3}, {ID: 0x10, Tokens: 1}}), "ab 10"
	if got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}

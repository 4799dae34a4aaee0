package streamer

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"unicode/utf8"
)

// TestDetail guards against log lines as long as what a server sends.
func TestDetail(t *testing.T) {
	got := Detail(fmt.Errorf("a%s: %w", strings.Repeat("ü", maxDetailBytes), errors.ErrUnsupported))
	if len(got) > maxDetailBytes || !utf8.ValidString(got) {
		t.Errorf("got %d bytes of %q, want at most %d of valid text", len(got), got, maxDetailBytes)
	}
}

package retainer

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"samphirewharf/internal/decision/verifier"
)

func assertText(t *testing.T, got, want string) {
	t.Helper()
	if got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}

func TestDescribe(t *testing.T) {
	t.Run("nothing was sent", func(t *testing.T) {
		var s Sends
		assertText(t, s.Describe(time.Second, 0), "0 requests running")
	})
	t.Run("each send has what was known", func(t *testing.T) {
		var s Sends
		s.Add(Send{ID: "a", At: time.Second, Entry: 7})
		s.Add(Send{ID: "b", At: 2 * time.Second, Entry: 8, Proof: verifier.Proof{At: 1500 * time.Millisecond, Known: true, Source: "watch"}})
		assertText(t, s.Describe(3*time.Second, 1), "1 requests running; sent b 1000 ms ago by 8 (500 ms, watch), a 2000 ms ago by 7")
	})
	t.Run("the latest ones are described", func(t *testing.T) {
		var s Sends
		s.Add(Send{ID: "old"})
		for i := range maxSends {
			s.Add(Send{ID: "r" + strconv.Itoa(i), At: maxAge})
		}
		text := s.Describe(maxAge+time.Second, 0)
		if got := strings.Count(text, "ago"); got != maxSends || strings.Contains(text, "old") || !strings.Contains(text, "sent r31 1000 ms ago") {
			t.Errorf("got %d sends in %q, want the %d latest ones", got, text, maxSends)
		}
		assertText(t, s.Describe(2*maxAge+time.Second, 0), "0 requests running")
	})
}

package verifier

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

const (
	ms    = time.Millisecond
	bound = 1600 * ms
)

// newVerifier returns a verifier of one view with the bound, which was proved at 0.
func newVerifier(watching bool) *Verifier {
	v := &Verifier{MaxAges: map[string]time.Duration{"p/": bound}}
	v.SetWatching(watching)
	v.Proved("p/", 0, "watch")
	return v
}

// play calls Due whenever it says, until a time, and returns the reads. Outcome returns how each of them ends, and after which time.
func play(v *Verifier, until time.Duration, outcome func(r Read) (Outcome, time.Duration)) string {
	type end struct {
		at, sentAt time.Duration
		read       Read
		outcome    Outcome
	}
	var ends []end
	var reads []string
	for now := time.Duration(0); now <= until; now += 10 * ms {
		for _, e := range ends {
			if e.at != now {
				continue
			}
			if e.outcome == Answered {
				v.Proved(e.read.Prefix, e.sentAt, "read")
			}
			v.Ended(now, e.sentAt, e.read, e.outcome)
		}
		if now < v.NextAt() {
			continue
		}
		for _, r := range v.Due(now) {
			kind := map[bool]string{true: "list", false: "read"}[r.All]
			reads = append(reads, fmt.Sprintf("%s at %d", kind, now.Milliseconds()))
			o, after := outcome(r)
			ends = append(ends, end{at: now + after, sentAt: now, read: r, outcome: o})
		}
	}
	return strings.Join(reads, ", ")
}

func always(o Outcome, after time.Duration) func(Read) (Outcome, time.Duration) {
	return func(Read) (Outcome, time.Duration) { return o, after }
}

func assertReads(t *testing.T, got, want string) {
	t.Helper()
	if got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}

// Guards against views that grow older than their bound while the store answers, and against more reads than that takes.
func TestReads(t *testing.T) {
	t.Run("a daemon that watches reads at half the bound", func(t *testing.T) {
		assertReads(t, play(newVerifier(true), 1600*ms, always(Answered, 10*ms)), "read at 800, read at 1600")
	})
	t.Run("another one at three quarters", func(t *testing.T) {
		assertReads(t, play(newVerifier(false), 2400*ms, always(Answered, 10*ms)), "read at 1200, read at 2400")
	})
	t.Run("a read without an answer is followed by a list", func(t *testing.T) {
		lost := func(r Read) (Outcome, time.Duration) {
			if r.All {
				return Answered, 10 * ms
			}
			return Unanswered, 900 * ms
		}
		assertReads(t, play(newVerifier(false), 1500*ms, lost), "read at 1200, list at 1300")
	})
	t.Run("reads that fail don't put the list off", func(t *testing.T) {
		reset := func(r Read) (Outcome, time.Duration) {
			if r.All {
				return Answered, 10 * ms
			}
			return Unanswered, 10 * ms
		}
		assertReads(t, play(newVerifier(true), 1300*ms, reset), "read at 800, read at 1060, list at 1300")
	})
	t.Run("a refused read is tried again with backoff", func(t *testing.T) {
		assertReads(t, play(newVerifier(false), 4*time.Second, always(Refused, 10*ms)), "read at 1200, read at 1460, read at 1970, read at 2980, read at 3990")
	})
	t.Run("nothing is read while the store is silent", func(t *testing.T) {
		v := newVerifier(true)
		v.SetStore(Store{Lost: true, Silent: true})
		assertReads(t, play(v, 4*time.Second, always(Refused, 10*ms)), "")
	})
	t.Run("a store that is lost but answers is read though the view is recent", func(t *testing.T) {
		v := newVerifier(false)
		v.SetStore(Store{Lost: true})
		assertReads(t, play(v, 100*ms, always(Refused, 10*ms)), "read at 0")
	})
}

func TestTrust(t *testing.T) {
	v := newVerifier(false)
	for _, c := range []struct {
		age  time.Duration
		want bool
	}{{1400 * ms, true}, {1401 * ms, false}} {
		if got := v.Trusted(c.age, "p/"); got != c.want {
			t.Errorf("got trusted %v at %v, want %v", got, c.age, c.want)
		}
	}
	if v.Trusted(0, "unknown/") {
		t.Error("got a view that was never proved trusted, want it not")
	}
	if _, later := v.Proved("p/", 0, "other"); later || v.Proof("p/").Source != "watch" {
		t.Error("got an older proof recorded, want the later one kept")
	}
}

func TestWait(t *testing.T) {
	v := newVerifier(true)
	for age, want := range map[time.Duration]time.Duration{0: 600 * ms, 500 * ms: 100 * ms, 700 * ms: 0} {
		if got := v.Wait(age, "p/"); got != want {
			t.Errorf("got a wait of %v at the age of %v, want %v", got, age, want)
		}
	}
}

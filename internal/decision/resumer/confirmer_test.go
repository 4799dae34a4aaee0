package resumer

import (
	"slices"
	"testing"
	"time"

	"samphirewharf/internal/decision/reducer"
	"samphirewharf/internal/peer/messenger"
)

// A confirmingDaemon records what a Resumer asks and resolves.
type confirmingDaemon struct {
	Resumer
	asked    []messenger.VersionsInquiry
	names    [][]string
	resolved []reducer.RequestID
	reads    int
}

func newConfirmingDaemon(names ...string) *confirmingDaemon {
	d := &confirmingDaemon{}
	d.Self, d.Record, d.Read = names[0], func(Record) {}, func() { d.reads++ }
	d.Send = func(names []string, o messenger.Origins) {
		if o.Inquiry != nil {
			d.asked, d.names = append(d.asked, *o.Inquiry), append(d.names, names)
		}
	}
	d.Resolve = func(id reducer.RequestID) {
		d.resolved = append(d.resolved, id)
		d.StopAsking(id)
	}
	d.SetFleet(names, names)
	return d
}

// answer answers the last inquiry.
func (d *confirmingDaemon) answer(now time.Duration, fresh bool) {
	d.Answered(now, messenger.ServiceVersions{Inquiry: d.asked[len(d.asked)-1].Number, Service: "s", Fresh: fresh}, false)
}

func assertResolved(t *testing.T, d *confirmingDaemon, want ...reducer.RequestID) {
	t.Helper()
	if !slices.Equal(d.resolved, want) {
		t.Errorf("got requests %v resolved, want %v", d.resolved, want)
	}
}

// Guards against streams that go on unconfirmed, wait for more answers than are needed, or wait for nobody.
func TestConfirmations(t *testing.T) {
	const at = time.Second
	t.Run("two daemons that are up to date are enough", func(t *testing.T) {
		d := newConfirmingDaemon("a", "b", "c", "e", "f")
		d.Confirm(at, 1, "s", at, 2*at)
		d.answer(at+time.Millisecond, true)
		assertResolved(t, d)
		d.answer(at+time.Millisecond, true)
		assertResolved(t, d, 1)
	})
	t.Run("a request that comes after the inquiry waits for the next one", func(t *testing.T) {
		d := newConfirmingDaemon("a", "b")
		d.Confirm(at, 1, "s", at, 2*at)
		d.Confirm(at+time.Millisecond, 2, "s", at+time.Millisecond, 2*at)
		if len(d.asked) != 1 {
			t.Errorf("got %d inquiries, want one", len(d.asked))
		}
		d.answer(at+2*time.Millisecond, true)
		assertResolved(t, d, 1)
		d.answer(at+3*time.Millisecond, true)
		assertResolved(t, d, 1, 2)
	})
	t.Run("an answer to an earlier inquiry doesn't count", func(t *testing.T) {
		d := newConfirmingDaemon("a", "b")
		d.Confirm(at, 1, "s", at, 2*at)
		d.Answered(at, messenger.ServiceVersions{Inquiry: d.asked[0].Number + 1, Service: "s", Fresh: true}, false)
		assertResolved(t, d)
	})
	t.Run("without an answer other daemons are asked, and the store", func(t *testing.T) {
		d := newConfirmingDaemon("a", "b", "c", "e", "f", "g", "h")
		d.Confirm(at, 1, "s", at, 2*at)
		if _, waits := d.Unanswered(at+askInterval, 1); !waits {
			t.Error("got no wait, want one")
		}
		d.Tick(at+askInterval, nil)
		if len(d.names) != 2 || slices.ContainsFunc(d.names[1], func(name string) bool { return slices.Contains(d.names[0], name) }) || d.reads != 1 {
			t.Errorf("got %v asked and %d reads, want other daemons each time and one read", d.names, d.reads)
		}
		d.ReadEnded(at+askInterval, nil, true)
		assertResolved(t, d, 1)
	})
	t.Run("no answer at all ends the wait", func(t *testing.T) {
		d := newConfirmingDaemon("a", "b")
		d.Confirm(at, 1, "s", at, 10*at)
		now, waits := at, true
		for i := 0; waits && i < 10; i++ {
			now += askInterval
			_, waits = d.Unanswered(now, 1)
		}
		if waits || now > at+maxAsks*askInterval {
			t.Errorf("got a wait until %v, want an end after %v", now-at, maxAsks*askInterval)
		}
		assertResolved(t, d)
	})
	t.Run("the wait ends if no other daemon is left", func(t *testing.T) {
		d := newConfirmingDaemon("a", "b")
		d.Confirm(at, 1, "s", at, 2*at)
		d.SetFleet([]string{"a"}, []string{"a"})
		d.Unanswered(at+askInterval, 1)
		assertResolved(t, d, 1)
	})
}

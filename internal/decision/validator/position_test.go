package validator

import (
	"errors"
	"testing"

	"pgregory.net/rapid"
)

func numberedEvent(n int) Event { return Event{ID: n, HasID: true, HasData: true, HasIDField: true} }

// TestNumberedPosition guards against an event that is passed on although it doesn't follow what the caller has, over several attempts.
func TestNumberedPosition(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first := rapid.IntRange(0, 1).Draw(t, "first")
		p, due := Position{}.WithNumbers(first), first
		if rapid.Bool().Draw(t, "taken up") {
			due = rapid.IntRange(first, first+5).Draw(t, "due")
			p = p.WithLast(due - 1)
		}
		for range rapid.IntRange(1, 4).Draw(t, "attempts") {
			p = p.WithAttempt()
			for range rapid.IntRange(1, 8).Draw(t, "events") {
				e := numberedEvent(due + rapid.SampledFrom([]int{0, 0, 0, 0, -1, 1, -3, 2}).Draw(t, "offset"))
				switch rapid.IntRange(0, 9).Draw(t, "form") {
				case 0:
					e = Event{HasData: true}
				case 1:
					e = Event{}
				case 2:
					e.HasData = false
				}
				next, pass, err := p.Next(e)
				if pass && (!e.HasID || !e.HasData || e.ID != due) {
					t.Fatalf("got event %+v passed on, want %d", e, due)
				}
				if pass {
					due++
				}
				if err != nil {
					break
				}
				p = next
			}
		}
		if last, ok := p.Last(); ok && last != due-1 || !ok && due > first {
			t.Fatalf("got last event %d (%v), want %d", last, ok, due-1)
		}
	})
}

func TestPosition(t *testing.T) {
	numbers := Position{}.WithNumbers(1)
	for _, test := range []struct {
		name   string
		start  Position
		events []Event
		// passed is how many events are passed on before the error.
		passed int
		err    error
	}{
		{"numbers", numbers, []Event{numberedEvent(1), numberedEvent(2)}, 2, nil},
		{"a first event that isn't the first number", numbers, []Event{numberedEvent(2)}, 0, ErrGap},
		{"a first event before the first number", numbers, []Event{numberedEvent(0)}, 0, ErrOrder},
		{"an event again", numbers, []Event{numberedEvent(1), numberedEvent(1)}, 1, ErrOrder},
		{"a gap", numbers, []Event{numberedEvent(1), numberedEvent(3)}, 1, ErrGap},
		{"a gap within events that the caller has", numbers.WithLast(5), []Event{numberedEvent(1), numberedEvent(3)}, 0, ErrOrder},
		{"events that the caller has", numbers.WithLast(2), []Event{numberedEvent(1), numberedEvent(2), numberedEvent(3)}, 1, nil},
		{"an event without a number", numbers, []Event{numberedEvent(1), {HasData: true}}, 1, ErrUnnumbered},
		{"an event without data", numbers, []Event{numberedEvent(1), {ID: 2, HasID: true, HasIDField: true}}, 1, ErrNoData},
		{"comments", numbers, []Event{{}, numberedEvent(1), {}, numberedEvent(2)}, 2, nil},
		{"no numbers", Position{}, []Event{{HasData: true}, {}, {HasData: true}}, 3, nil},
		{"a number after events without", Position{}, []Event{{HasData: true}, numberedEvent(1)}, 1, ErrNumbered},
		{"numbers from the least first one", Position{}.WithFirst(0, 1), []Event{numberedEvent(0), numberedEvent(1)}, 2, nil},
		{"numbers from the largest first one", Position{}.WithFirst(0, 1), []Event{numberedEvent(1), numberedEvent(2)}, 2, nil},
		{"numbers after the largest first one", Position{}.WithFirst(0, 1), []Event{numberedEvent(2)}, 0, ErrGap},
		{"numbers before the least first one", Position{}.WithFirst(1, 1), []Event{numberedEvent(0)}, 0, ErrOrder},
		{"no numbers where some may be", Position{}.WithFirst(0, 1), []Event{{HasData: true}, {HasData: true}}, 2, nil},
		{"numbers that begin anywhere", Position{}, []Event{numberedEvent(40), numberedEvent(41), {HasData: true}}, 2, ErrUnnumbered},
	} {
		t.Run(test.name, func(t *testing.T) {
			p, passed := test.start.WithAttempt(), 0
			for _, e := range test.events {
				next, pass, err := p.Next(e)
				if err != nil {
					if !errors.Is(err, test.err) {
						t.Errorf("got error %v, want %v", err, test.err)
					}
					test.err = nil
					break
				}
				if pass {
					passed++
				}
				p = next
			}
			if passed != test.passed || test.err != nil {
				t.Errorf("got %d events passed on, want %d, and error %v", passed, test.passed, test.err)
			}
		})
	}
	t.Run("events without numbers aren't joined over two attempts", func(t *testing.T) {
		p, _, _ := Position{}.WithAttempt().Next(Event{HasData: true})
		if _, _, err := p.WithAttempt().Next(Event{HasData: true}); !errors.Is(err, ErrUnnumbered) {
			t.Errorf("got error %v, want %v", err, ErrUnnumbered)
		}
	})
}

// TestAttemptsThatBeginWithin guards against events that are lost between attempts that count from different first numbers.
func TestAttemptsThatBeginWithin(t *testing.T) {
	p := Position{}.WithFirst(0, 1)
	for n := range 3 {
		p, _, _ = p.Next(numberedEvent(n + 1))
	}
	for n, want := range []error{ErrOrder, nil, ErrOrder, ErrOrder, nil, ErrGap} {
		if _, _, err := p.WithAttempt().Next(numberedEvent(n)); !errors.Is(err, want) {
			t.Errorf("got error %v for event %d, want %v", err, n, want)
		}
	}
}

func TestDone(t *testing.T) {
	end, free := Event{HasData: true}, Position{}.WithFirst(0, 1)
	after := func(p Position, events ...Event) Position {
		p = p.WithAttempt()
		for _, e := range events {
			p, _, _ = p.Next(e)
		}
		return p
	}
	for _, test := range []struct {
		name string
		p    Position
		end  Event
		want error
	}{
		{"after numbers", after(free, numberedEvent(1)), end, nil},
		{"after events without numbers", after(free, end, end), end, nil},
		{"after an opaque ID", after(free, end), Event{HasData: true, HasIDField: true}, nil},
		{"before any event", after(free, Event{}), end, ErrNoEvents},
		{"with a number", after(free, numberedEvent(1)), numberedEvent(2), ErrNumberedEnd},
		{"with an ID that is no number", after(free, numberedEvent(1)), Event{HasData: true, HasIDField: true}, ErrNumberedEnd},
		{"at once in a numbered stream that is gone on with", after(after(free, numberedEvent(1))), end, nil},
		{"at once in another stream that is gone on with", after(after(free, end)), end, ErrUnnumbered},
		{"before an event that the caller has", after(after(free, numberedEvent(1), numberedEvent(2)), numberedEvent(1)), end, ErrShort},
		{"at once for a caller that has all", after(Position{}.WithNumbers(1).WithLast(4)), end, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			if err := test.p.Done(test.end); !errors.Is(err, test.want) {
				t.Errorf("got error %v, want %v", err, test.want)
			}
		})
	}
}

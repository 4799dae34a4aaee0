package sequencer

import "testing"

func TestRevision(t *testing.T) {
	t.Run("the first number of an epoch is above the last one of the epoch before", func(t *testing.T) {
		if got, before := NewRevision(2, 1), NewRevision(1, 1<<epochShift-1); got <= before {
			t.Errorf("got %d, want more than %d", got, before)
		}
	})
	t.Run("epoch and number are kept", func(t *testing.T) {
		revision := NewRevision(7, 412)
		if got, want := [2]int64{Epoch(revision), Number(revision)}, [2]int64{7, 412}; got != want {
			t.Errorf("got %v, want %v", got, want)
		}
	})
	t.Run("a service that is never restored has its own numbers", func(t *testing.T) {
		if got, want := NewRevision(0, 412), int64(412); got != want {
			t.Errorf("got %d, want %d", got, want)
		}
	})
}

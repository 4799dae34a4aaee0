package waker

import (
	"fmt"
	"testing"
	"time"
)

func TestQueue(t *testing.T) {
	newTimer := func(name string, number uint64) *Timer[string] { return &Timer[string]{Owner: name, Number: number} }
	drain := func(q *Queue[string], now time.Duration) string {
		var got []string
		for name, ok := q.PopDue(now); ok; name, ok = q.PopDue(now) {
			got = append(got, name)
		}
		return fmt.Sprint(got)
	}
	assert := func(t *testing.T, got, want string) {
		t.Helper()
		if got != want {
			t.Errorf("got %s, want %s", got, want)
		}
	}
	t.Run("ordered by time, then by number", func(t *testing.T) {
		var q Queue[string]
		q.Set(newTimer("c", 3), 20)
		q.Set(newTimer("b", 2), 10)
		q.Set(newTimer("a", 1), 20)
		assert(t, drain(&q, 15), "[b]")
		assert(t, drain(&q, 20), "[a c]")
	})
	t.Run("reset and removed", func(t *testing.T) {
		var q Queue[string]
		a, b := newTimer("a", 1), newTimer("b", 2)
		q.Set(a, 10)
		q.Set(b, 20)
		q.Set(a, 30)
		if next, ok := q.Next(); !ok || next != 20 {
			t.Errorf("got next %v, %v, want 20", next, ok)
		}
		q.Remove(b)
		q.Remove(b)
		assert(t, drain(&q, 100), "[a]")
		if _, ok := q.Next(); ok {
			t.Error("got a next timer, want none")
		}
	})
}

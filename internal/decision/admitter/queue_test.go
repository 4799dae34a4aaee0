package admitter

import (
	"cmp"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestPopForTakesFirstMatch(t *testing.T) {
	var q Queue
	for id := range uint64(100) {
		q.Push(Item{ID: id, Deadline: time.Duration(1000 - id)})
	}
	item, ok := q.PopMatching(func(i Item) bool { return i.ID%7 == 0 })
	assertItem(t, item, ok, 98)
	if _, ok := q.PopMatching(func(Item) bool { return false }); ok {
		t.Error("filter that matches nothing: got an item, want none")
	}
	if got, want := q.Len(), 99; got != want {
		t.Errorf("length: got %d, want %d", got, want)
	}
}

func TestExpiredGivesUpInTimeBehindUrgent(t *testing.T) {
	q := newQueue(t, Item{ID: 1, Deadline: 10 * time.Second}, Item{ID: 2, Urgent: true, Deadline: time.Minute})
	q.Margin = 2 * time.Second
	if got, _ := q.NextDeadline(); got != 8*time.Second {
		t.Errorf("next deadline: got %v, want 8s", got)
	}
	if got := q.PopExpired(8*time.Second - 1); len(got) != 0 {
		t.Errorf("before the margin: got %v, want none", got)
	}
	got := q.PopExpired(8 * time.Second)
	if len(got) != 1 || got[0].ID != 1 {
		t.Errorf("at the margin: got %v, want item 1", got)
	}
}

func TestQueueAgainstSortedSlice(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		q := Queue{Max: 12}
		var reference []Item
		for step := range rapid.IntRange(1, 80).Draw(rt, "steps") {
			id := uint64(rapid.IntRange(0, step).Draw(rt, "id"))
			switch rapid.IntRange(0, 3).Draw(rt, "action") {
			case 0, 1:
				deadline := time.Duration(rapid.IntRange(0, 30).Draw(rt, "deadline"))
				item := Item{ID: id, Urgent: rapid.Bool().Draw(rt, "urgent"), Deadline: deadline}
				displaced, ok := q.Push(item)
				var want *Item
				var wantOK bool
				reference, want, wantOK = push(reference, item, q.Max)
				if ok != wantOK || (displaced == nil) != (want == nil) || (want != nil && *displaced != *want) {
					rt.Fatalf("push %v: got %v and %v, want %v and %v", item, displaced, ok, want, wantOK)
				}
			case 2:
				got, ok := q.Pop()
				if ok != (len(reference) > 0) || (ok && got != reference[0]) {
					rt.Fatalf("pop: got %v and %v, want the first of %v", got, ok, reference)
				}
				reference = reference[min(1, len(reference)):]
			default:
				want := slices.ContainsFunc(reference, func(i Item) bool { return i.ID == id })
				reference = slices.DeleteFunc(reference, func(i Item) bool { return i.ID == id })
				if got := q.Remove(id); got != want {
					rt.Fatalf("remove %d: got %v, want %v", id, got, want)
				}
			}
			if got, want := q.Counts(), countsOf(reference); got != want {
				rt.Fatalf("counts: got %v, want %v", got, want)
			}
		}
	})
}

func TestEstimatorPredict(t *testing.T) {
	tests := []struct {
		name                  string
		ahead, slots, running int
		want                  time.Duration
	}{
		{"free slot", 0, 4, 3, 2 * time.Second},
		{"next slot", 0, 4, 4, 2500 * time.Millisecond},
		{"one turn ahead", 4, 4, 4, 4500 * time.Millisecond},
		{"no slots", 0, 0, 0, Never},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := Estimator{Prior: 2 * time.Second}
			if got := e.Predict(tt.ahead, tt.slots, tt.running); got != tt.want {
				t.Errorf("predicted finish: got %v, want %v", got, tt.want)
			}
		})
	}
}

func TestEstimatorFollowsCompletions(t *testing.T) {
	e := Estimator{Prior: 10 * time.Second}
	for range 60 {
		e.Observe(time.Second)
	}
	if got := e.ServiceTime(); got < time.Second || got > 1100*time.Millisecond {
		t.Errorf("service time: got %v, want about 1s", got)
	}
	if got, want := e.RetryAfter(0, 4, 0), MinRetryAfter; got != want {
		t.Errorf("retry after with free slots: got %v, want %v", got, want)
	}
	if got := e.RetryAfter(39, 4, 4); got < 9*time.Second || got > 12*time.Second {
		t.Errorf("retry after 39 others: got %v, want about 10s", got)
	}
}

func assertItem(t *testing.T, got Item, ok bool, want uint64) {
	t.Helper()
	if !ok || got.ID != want {
		t.Errorf("item: got %d (%v), want %d", got.ID, ok, want)
	}
}

func countsOf(items []Item) Counts {
	var c Counts
	for _, i := range items {
		if i.Urgent {
			c.Urgent++
		} else {
			c.CanWait++
		}
		if c.Urgent+c.CanWait == 1 || i.Deadline < c.EarliestDeadline {
			c.EarliestDeadline = i.Deadline
		}
	}
	return c
}

func newQueue(t *testing.T, items ...Item) *Queue {
	t.Helper()
	var q Queue
	for _, item := range items {
		if _, ok := q.Push(item); !ok {
			t.Fatalf("push %v: got refused, want accepted", item)
		}
	}
	return &q
}

// push is the reference implementation of Queue.Push, on a sorted slice.
func push(items []Item, item Item, limit int) (result []Item, displaced *Item, ok bool) {
	if slices.ContainsFunc(items, func(i Item) bool { return i.ID == item.ID }) {
		return items, nil, false
	}
	if last := len(items) - 1; len(items) == limit {
		if !item.Urgent || items[last].Urgent {
			return items, nil, false
		}
		displaced = &Item{}
		*displaced = items[last]
		items = items[:last]
	}
	items = append(items, item)
	slices.SortFunc(items, func(a, b Item) int {
		if a.Urgent != b.Urgent {
			return map[bool]int{true: -1, false: 1}[a.Urgent]
		}
		return cmp.Or(cmp.Compare(a.Deadline, b.Deadline), cmp.Compare(a.ID, b.ID))
	})
	return items, displaced, true
}

package bounder

import "testing"

func TestBudget(t *testing.T) {
	const free = 100
	budget := &Budget{Limit: 3 * holdStep}
	assertGrown := func(h *Hold, n int64, want bool) {
		t.Helper()
		if got := h.Grow(n); got != want {
			t.Errorf("got room for %d bytes %v, want %v", n, got, want)
		}
	}
	assertReserved := func(want int64) {
		t.Helper()
		if got := budget.Reserved(); got != want {
			t.Errorf("got %d bytes reserved, want %d", got, want)
		}
	}
	large, other := NewHold(budget, free), NewHold(budget, free)
	assertGrown(&large, free, true)
	assertReserved(0)
	assertGrown(&large, free+2*holdStep, true)
	assertReserved(2 * holdStep)
	assertGrown(&large, free+holdStep, true)
	assertReserved(2 * holdStep)
	assertGrown(&other, free+1, true)
	assertReserved(3 * holdStep)
	assertGrown(&other, free+holdStep+1, false)
	assertGrown(&other, free+holdStep, true)
	large.Release()
	assertReserved(holdStep)
	assertGrown(&other, free+holdStep+1, true)
	other.Release()
	other.Release()
	assertReserved(0)
}

package bounder

import (
	"cmp"
	"errors"
	"sync/atomic"
)

const (
	// DefaultBudget is the limit of a budget that sets none. The smallest hosts have 144 MB.
	DefaultBudget = 24 << 20
	// holdStep is the least that a Hold reserves at a time.
	holdStep = 16 << 10
)

// ErrNoRoom is returned if a budget has no room.
var ErrNoRoom = errors.New("no room for more bytes")

// A Budget bounds the memory that many holders take up together.
type Budget struct {
	// Limit is in bytes; zero means DefaultBudget.
	Limit int64

	reserved atomic.Int64
}

// Reserved returns the bytes that are reserved.
func (b *Budget) Reserved() int64 { return b.reserved.Load() }

func (b *Budget) reserve(n int64) bool {
	if b.reserved.Add(n) > cmp.Or(b.Limit, DefaultBudget) {
		b.reserved.Add(-n)
		return false
	}
	return true
}

// A Hold is the part of a Budget that one holder has. It isn't safe for concurrent use. The zero value belongs to no
// budget and has no bound.
type Hold struct {
	budget *Budget
	// free is how many bytes need no room in the budget, so that small holders have room whatever the large ones take up.
	free, reserved int64
}

// NewHold returns a hold of nothing. Its first free bytes need no room in the budget.
func NewHold(b *Budget, free int64) Hold { return Hold{budget: b, free: free} }

// Grow makes room for n bytes in all. It returns false if the budget has no room for them.
func (h *Hold) Grow(n int64) bool {
	missing := n - h.free - h.reserved
	if missing <= 0 || h.budget == nil {
		return true
	}
	missing = max(missing, holdStep)
	if !h.budget.reserve(missing) {
		return false
	}
	h.reserved += missing
	return true
}

// Release gives back what is held.
func (h *Hold) Release() {
	if h.reserved > 0 {
		h.budget.reserved.Add(-h.reserved)
		h.reserved = 0
	}
}

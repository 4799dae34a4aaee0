package admitter

import "container/heap"

// A node is an item and its indexes in the heaps that contain it.
type node struct {
	item        Item
	index       int
	latestIndex int
}

// A deadlineHeap is a heap of nodes ordered by deadline, then by ID.
type deadlineHeap struct {
	nodes []*node
	// latestFirst reverses the order. The indexes of nodes are then kept in latestIndex.
	latestFirst bool
}

// Len returns the number of nodes.
func (h *deadlineHeap) Len() int { return len(h.nodes) }

// Less reports whether node i comes before node j.
func (h *deadlineHeap) Less(i, j int) bool {
	if h.latestFirst {
		i, j = j, i
	}
	return expiresBefore(h.nodes[i], h.nodes[j])
}

// Pop removes the last node of the heap's slice.
func (h *deadlineHeap) Pop() any {
	last := len(h.nodes) - 1
	n := h.nodes[last]
	h.nodes[last] = nil
	h.nodes = h.nodes[:last]
	return n
}

// Push appends a node to the heap's slice.
func (h *deadlineHeap) Push(x any) {
	h.nodes = append(h.nodes, x.(*node))
	h.recordIndex(len(h.nodes) - 1)
}

// Swap swaps two nodes.
func (h *deadlineHeap) Swap(i, j int) {
	h.nodes[i], h.nodes[j] = h.nodes[j], h.nodes[i]
	h.recordIndex(i)
	h.recordIndex(j)
}

// firstMatching returns the first node in order whose item matches, or nil.
func (h *deadlineHeap) firstMatching(matches func(Item) bool) *node {
	if h.Len() == 0 {
		return nil
	}
	f := &frontier{nodes: h.nodes, positions: []int{0}}
	for f.Len() > 0 {
		at := heap.Pop(f).(int)
		if matches(h.nodes[at].item) {
			return h.nodes[at]
		}
		for _, child := range [2]int{2*at + 1, 2*at + 2} {
			if child < h.Len() {
				heap.Push(f, child)
			}
		}
	}
	return nil
}

func (h *deadlineHeap) recordIndex(i int) {
	if h.latestFirst {
		h.nodes[i].latestIndex = i
		return
	}
	h.nodes[i].index = i
}

// A frontier is a heap of positions in another heap. It serves to visit that heap's nodes in order.
type frontier struct {
	nodes     []*node
	positions []int
}

// Len returns the number of positions.
func (f *frontier) Len() int { return len(f.positions) }

// Less reports whether the node at position i comes before that at position j.
func (f *frontier) Less(i, j int) bool {
	return expiresBefore(f.nodes[f.positions[i]], f.nodes[f.positions[j]])
}

// Pop removes the last position of the heap's slice.
func (f *frontier) Pop() any {
	last := len(f.positions) - 1
	position := f.positions[last]
	f.positions = f.positions[:last]
	return position
}

// Push appends a position to the heap's slice.
func (f *frontier) Push(x any) { f.positions = append(f.positions, x.(int)) }

// Swap swaps two positions.
func (f *frontier) Swap(i, j int) {
	f.positions[i], f.positions[j] = f.positions[j], f.positions[i]
}

func expiresBefore(a, b *node) bool {
	if a.item.Deadline != b.item.Deadline {
		return a.item.Deadline < b.item.Deadline
	}
	return a.item.ID < b.item.ID
}

package admitter

import "container/heap"

// A node is an item and its positions in the heaps that hold it.
type node struct {
	item     Item
	at       int
	atLatest int
}

// An order is a heap of nodes by deadline, then by ID.
type order struct {
	nodes []*node
	// latest tells that the latest deadline comes first and positions are kept in atLatest.
	latest bool
}

// Len returns the number of nodes.
func (o *order) Len() int { return len(o.nodes) }

// Less reports whether node i comes before node j.
func (o *order) Less(i, j int) bool {
	if o.latest {
		i, j = j, i
	}
	return before(o.nodes[i], o.nodes[j])
}

// Pop removes the last node of the heap's slice.
func (o *order) Pop() any {
	last := len(o.nodes) - 1
	n := o.nodes[last]
	o.nodes[last] = nil
	o.nodes = o.nodes[:last]
	return n
}

// Push appends a node to the heap's slice.
func (o *order) Push(x any) {
	o.nodes = append(o.nodes, x.(*node))
	o.note(len(o.nodes) - 1)
}

// Swap swaps two nodes.
func (o *order) Swap(i, j int) {
	o.nodes[i], o.nodes[j] = o.nodes[j], o.nodes[i]
	o.note(i)
	o.note(j)
}

// first returns the first node in order whose item is taken, or nil.
func (o *order) first(takes func(Item) bool) *node {
	if o.Len() == 0 {
		return nil
	}
	f := &frontier{nodes: o.nodes, positions: []int{0}}
	for f.Len() > 0 {
		at := heap.Pop(f).(int)
		if takes(o.nodes[at].item) {
			return o.nodes[at]
		}
		for _, child := range [2]int{2*at + 1, 2*at + 2} {
			if child < o.Len() {
				heap.Push(f, child)
			}
		}
	}
	return nil
}

func (o *order) note(i int) {
	if o.latest {
		o.nodes[i].atLatest = i
		return
	}
	o.nodes[i].at = i
}

// A frontier is a heap of positions in another heap, for a walk of that heap in order.
type frontier struct {
	nodes     []*node
	positions []int
}

// Len returns the number of positions.
func (f *frontier) Len() int { return len(f.positions) }

// Less reports whether the node at position i comes before that at position j.
func (f *frontier) Less(i, j int) bool {
	return before(f.nodes[f.positions[i]], f.nodes[f.positions[j]])
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

func before(a, b *node) bool {
	if a.item.Deadline != b.item.Deadline {
		return a.item.Deadline < b.item.Deadline
	}
	return a.item.ID < b.item.ID
}

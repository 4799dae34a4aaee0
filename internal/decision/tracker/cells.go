package tracker

import (
	"slices"

	"samphirewharf/internal/decision/assigner"
)

// DaemonsPerCell is how many daemons serve a cell.
const DaemonsPerCell = 7

// A Cell is a group of backend servers that some of the daemons follow.
type Cell struct {
	Name string
	// Region restricts the cell to daemons of the region, unless it is empty.
	Region string
}

// A cellTable holds the daemons that serve each cell: the live ones of the cell's region that are
// not leaving, chosen by rendezvous hashing. If all are leaving, all are candidates.
type cellTable struct {
	cells []Cell
	// picks are the IDs for each cell, the heaviest first.
	picks map[string][]string
}

// join adds a live daemon. It costs O(cells), not O(daemons).
func (t *cellTable) join(d Daemon, leaving func(id string) bool, candidates func(region string) []string) {
	for _, c := range t.cells {
		if c.Region != "" && c.Region != d.Region {
			continue
		}
		picks := t.picks[c.Name]
		switch {
		case len(picks) < DaemonsPerCell || leaving(picks[0]):
			t.pick(c, candidates)
		case !d.Leaving:
			t.picks[c.Name] = assigner.Pick(c.Name, append(slices.Clone(picks), d.ID), DaemonsPerCell)
		}
	}
}

// leave removes a daemon that is no candidate any more. Only cells that it served are picked anew.
func (t *cellTable) leave(id string, candidates func(region string) []string) {
	for _, c := range t.cells {
		if slices.Contains(t.picks[c.Name], id) {
			t.pick(c, candidates)
		}
	}
}

func (t *cellTable) pick(c Cell, candidates func(region string) []string) {
	t.picks[c.Name] = assigner.Pick(c.Name, candidates(c.Region), DaemonsPerCell)
}

// reset replaces the cells.
func (t *cellTable) reset(cells []Cell, candidates func(region string) []string) {
	t.cells = slices.Clone(cells)
	t.picks = make(map[string][]string, len(cells))
	for _, c := range t.cells {
		t.pick(c, candidates)
	}
}

// shared returns the IDs of the daemons that serve a cell together with the daemon, sorted.
func (t *cellTable) shared(id string) []string {
	var shared []string
	for _, c := range t.cells {
		picks := t.picks[c.Name]
		if slices.Contains(picks, id) {
			shared = append(shared, picks...)
		}
	}
	slices.Sort(shared)
	shared = slices.Compact(shared)
	return slices.DeleteFunc(shared, func(other string) bool { return other == id })
}

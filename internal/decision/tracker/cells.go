package tracker

import (
	"maps"
	"slices"

	"samphirewharf/internal/decision/assigner"
)

// DaemonsPerCell is how many daemons serve a cell.
const DaemonsPerCell = 7

// A Cell is a group of backend servers that some of the daemons follow.
type Cell struct {
	Name string
	// Region restricts the cell to daemons of the region and those without one, unless it is empty.
	Region string
}

// A cellTable holds the daemons that serve each cell: of the live ones in the cell's region that are
// not leaving, or of all if all are leaving, evenly chosen by assigner.Spread. Cells of one region are
// spread together. It depends on the cells and the live daemons alone, not on the order of events.
type cellTable struct {
	cells []Cell
	// picks are the IDs for each cell, the heaviest first, unless stale.
	picks map[string][]string
	stale bool
}

// settle picks anew if that is due.
func (t *cellTable) settle(candidates func(region string) []string) {
	if !t.stale {
		return
	}
	t.stale = false
	names := make(map[string][]string)
	for _, c := range t.cells {
		names[c.Region] = append(names[c.Region], c.Name)
	}
	t.picks = make(map[string][]string, len(t.cells))
	for region, cells := range names {
		maps.Copy(t.picks, assigner.Spread(cells, candidates(region), DaemonsPerCell))
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

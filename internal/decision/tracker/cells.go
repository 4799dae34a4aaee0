package tracker

import (
	"maps"
	"slices"

	"samphirewharf/internal/decision/assigner"
)

// DaemonsPerCell is the number of daemons that serve a cell.
const DaemonsPerCell = 7

// A Cell is a group of backend servers that some of the daemons follow.
type Cell struct {
	Name string
	// Region restricts the cell to daemons of this region and those without a region. Empty means no restriction.
	Region string
}

// A cellTable assigns daemons to cells with assigner.Spread. Candidates are the live daemons in the cell's region that
// are not leaving, or all live ones there if all are leaving. Cells of one region are spread together. The table
// depends only on the cells and the live daemons, not on the order of events.
type cellTable struct {
	cells []Cell
	// assigned has the IDs of the daemons of each cell, the one with the highest weight first. It is out of date if
	// stale is true.
	assigned map[string][]string
	stale    bool
}

// recomputeIfStale recomputes the table if it is stale.
func (t *cellTable) recomputeIfStale(candidates func(region string) []string) {
	if !t.stale {
		return
	}
	t.stale = false
	names := make(map[string][]string)
	for _, c := range t.cells {
		names[c.Region] = append(names[c.Region], c.Name)
	}
	t.assigned = make(map[string][]string, len(t.cells))
	for region, cells := range names {
		maps.Copy(t.assigned, assigner.Spread(cells, candidates(region), DaemonsPerCell))
	}
}

// peersOf returns the sorted IDs of the other daemons that share a cell with the daemon.
func (t *cellTable) peersOf(id string) []string {
	var shared []string
	for _, c := range t.cells {
		daemons := t.assigned[c.Name]
		if slices.Contains(daemons, id) {
			shared = append(shared, daemons...)
		}
	}
	slices.Sort(shared)
	shared = slices.Compact(shared)
	return slices.DeleteFunc(shared, func(other string) bool { return other == id })
}

package emulator

import (
	"slices"

	"samphirewharf/internal/config/cataloger"
)

// A tier is a least-recently-used cache of checkpoints.
type tier struct {
	capacityBytes int64
	// checkpoints are the cached checkpoints, the most recently used last.
	checkpoints []*cataloger.Deployment
}

// contains reports whether the deployment's checkpoint is in the tier.
func (t *tier) contains(d *cataloger.Deployment) bool { return slices.Contains(t.checkpoints, d) }

// touch adds a checkpoint or marks it as used, and evicts those that no longer fit.
func (t *tier) touch(d *cataloger.Deployment) {
	t.checkpoints = slices.DeleteFunc(t.checkpoints, func(other *cataloger.Deployment) bool { return other == d })
	t.checkpoints = append(t.checkpoints, d)
	sum := int64(0)
	for i := len(t.checkpoints) - 1; i >= 0; i-- {
		sum += t.checkpoints[i].Bytes
		if sum > t.capacityBytes {
			t.checkpoints = slices.Clone(t.checkpoints[i+1:])
			return
		}
	}
}

func (t *tier) names() []string {
	names := make([]string, 0, len(t.checkpoints))
	for _, d := range t.checkpoints {
		names = append(names, d.Name)
	}
	slices.Sort(names)
	return names
}

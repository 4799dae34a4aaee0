package emulator

import (
	"slices"

	"samphirewharf/internal/config/cataloger"
)

// A tier holds the checkpoints that were used last, as far as its bytes go.
type tier struct {
	bytes int64
	// held are the checkpoints, the one used last at the end.
	held []*cataloger.Deployment
}

// holds reports whether the deployment's checkpoint is in the tier.
func (t *tier) holds(d *cataloger.Deployment) bool { return slices.Contains(t.held, d) }

// keep adds a checkpoint or notes its use, and drops the ones that don't fit any more.
func (t *tier) keep(d *cataloger.Deployment) {
	t.held = slices.DeleteFunc(t.held, func(other *cataloger.Deployment) bool { return other == d })
	t.held = append(t.held, d)
	sum := int64(0)
	for i := len(t.held) - 1; i >= 0; i-- {
		sum += t.held[i].Bytes
		if sum > t.bytes {
			t.held = slices.Clone(t.held[i+1:])
			return
		}
	}
}

func (t *tier) names() []string {
	names := make([]string, 0, len(t.held))
	for _, d := range t.held {
		names = append(names, d.Name)
	}
	slices.Sort(names)
	return names
}

package inferrer

import (
	"slices"

	"samphirewharf/internal/backend/orderer"
)

// A checkpoint is the weights of one version of a deployment.
type checkpoint struct {
	deployment string
	version    string
}

// checkpoints are the weights that the server caches in memory and on disk.
type checkpoints struct {
	// version increases with each change of the cached checkpoints.
	version int64
	memory  lru[checkpoint]
	disk    lru[checkpoint]
}

// add caches a checkpoint on disk and, if inMemory is set, in memory.
func (c *checkpoints) add(cp checkpoint, inMemory bool, memorySize, diskSize int) {
	if !c.disk.contains(cp) || inMemory && !c.memory.contains(cp) {
		c.version++
	}
	c.disk.touch(cp, diskSize)
	if inMemory {
		c.memory.touch(cp, memorySize)
	}
}

// clearMemory evicts all checkpoints from memory.
func (c *checkpoints) clearMemory() {
	c.memory = lru[checkpoint]{}
	c.version++
}

// fastestSource returns the index into Order.LoadMilliseconds of the fastest source that has the checkpoint.
func (c *checkpoints) fastestSource(cp checkpoint) int {
	switch {
	case c.memory.contains(cp):
		return sourceMemory
	case c.disk.contains(cp):
		return sourceDisk
	}
	return sourceStore
}

func (c *checkpoints) report() *orderer.Checkpoints {
	return &orderer.Checkpoints{Memory: deploymentNames(c.memory.keys), Disk: deploymentNames(c.disk.keys)}
}

func deploymentNames(checkpoints []checkpoint) []string {
	var deployments []string
	for _, cp := range checkpoints {
		deployments = append(deployments, cp.deployment)
	}
	slices.Sort(deployments)
	return slices.Compact(deployments)
}

package reducer

import (
	"strconv"

	"samphirewharf/internal/decision/assigner"
	"samphirewharf/internal/decision/claimer"
	"samphirewharf/internal/decision/observer"
)

// partitionOwner returns the daemon that owns a claim partition, "" if there is none.
func (c *cell) partitionOwner(partition int) string {
	return c.partitionOwners[c.partitionKey(partition)]
}

func (c *cell) partitionKey(partition int) string {
	return "claims/" + c.name + "/" + strconv.Itoa(partition)
}

// assignPartitions assigns the claim partitions evenly to the cell's daemons.
func (c *cell) assignPartitions() {
	keys := make([]string, 0, claimer.DefaultPartitions)
	for p := range claimer.DefaultPartitions {
		keys = append(keys, c.partitionKey(p))
	}
	c.partitionOwners = assignOwners(keys, c.daemons)
}

// assignServers assigns the cell's servers evenly to its daemons.
func (c *cell) assignServers(servers []*observer.Server) {
	keys := make([]string, 0, len(servers))
	for _, s := range servers {
		keys = append(keys, s.Host.Server)
	}
	c.serverOwners = assignOwners(keys, c.daemons)
}

// assignOwners returns one daemon for each key, evenly distributed.
func assignOwners(keys, daemons []string) map[string]string {
	ownerByKey := make(map[string]string, len(keys))
	for key, owners := range assigner.Spread(keys, daemons, 1) {
		ownerByKey[key] = owners[0]
	}
	return ownerByKey
}

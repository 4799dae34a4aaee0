package reducer

import (
	"strconv"

	"samphirewharf/internal/decision/assigner"
	"samphirewharf/internal/decision/claimer"
	"samphirewharf/internal/decision/observer"
)

// claimOwner returns the daemon that owns a claim partition, "" if there is none.
func (c *cell) claimOwner(partition int) string { return c.partitions[c.claimKey(partition)] }

func (c *cell) claimKey(partition int) string {
	return "claims/" + c.name + "/" + strconv.Itoa(partition)
}

// spreadPartitions shares the claim partitions evenly among the cell's daemons.
func (c *cell) spreadPartitions() {
	keys := make([]string, 0, claimer.DefaultPartitions)
	for p := range claimer.DefaultPartitions {
		keys = append(keys, c.claimKey(p))
	}
	c.partitions = owners(keys, c.daemons)
}

// spreadServers shares the cell's servers evenly among its daemons.
func (c *cell) spreadServers(servers []*observer.Server) {
	keys := make([]string, 0, len(servers))
	for _, s := range servers {
		keys = append(keys, s.Host.Server)
	}
	c.servers = owners(keys, c.daemons)
}

// owners returns one daemon for each key, evenly chosen.
func owners(keys, daemons []string) map[string]string {
	table := make(map[string]string, len(keys))
	for key, picked := range assigner.Spread(keys, daemons, 1) {
		table[key] = picked[0]
	}
	return table
}

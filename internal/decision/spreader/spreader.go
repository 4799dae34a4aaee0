// Package spreader chooses hosts so that they are spread over availability zones.
package spreader

import "slices"

// enoughLocalHosts is the number of hosts in a zone that makes hosts of other zones unnecessary.
const enoughLocalHosts = 2

// NearZone returns the hosts of a zone. If there is only one, a host of another zone is added, so that there is an alternative when one
// ends. If there is none, all hosts are returned.
func NearZone[H any](list []H, zone string, zoneOf func(H) string) []H {
	var local, remote []H
	for _, h := range list {
		if zoneOf(h) == zone {
			local = append(local, h)
		} else {
			remote = append(remote, h)
		}
	}
	switch {
	case len(local) >= enoughLocalHosts:
		return local
	case len(local) == 0:
		return remote
	case len(remote) == 0:
		return local
	}
	// One more is enough as an alternative. Which one it is differs between zones.
	return append(local, remote[len(zone)%len(remote)])
}

// OverZones returns at most want of a list, taking the best one of each zone in turn. Compare orders two of one zone, the better first.
func OverZones[H any](list []H, want int, zoneOf func(H) string, compare func(a, b H) int) []H {
	byZone := make(map[string][]H)
	var zones []string
	for _, h := range list {
		zone := zoneOf(h)
		if _, ok := byZone[zone]; !ok {
			zones = append(zones, zone)
		}
		byZone[zone] = append(byZone[zone], h)
	}
	slices.Sort(zones)
	for _, hosts := range byZone {
		slices.SortFunc(hosts, compare)
	}
	want = min(len(list), want)
	var chosen []H
	for position := 0; len(chosen) < want; position++ {
		for _, zone := range zones {
			if position < len(byZone[zone]) && len(chosen) < want {
				chosen = append(chosen, byZone[zone][position])
			}
		}
	}
	return chosen
}

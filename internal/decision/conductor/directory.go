package conductor

// enoughLocalDaemons is the number of daemons in the caller's zone that makes daemons of other zones unnecessary.
const enoughLocalDaemons = 2

// Addresses returns the addresses to which callers in a zone connect. Daemons of the zone come first, as they cause no
// traffic between zones. If there is only one, a daemon of another zone is added, so that callers have an alternative
// when one ends. If there is none, all daemons are returned.
func Addresses(daemons []Daemon, zone string) []string {
	var local, remote []string
	for _, d := range daemons {
		if d.Zone == zone {
			local = append(local, d.CallerAddress)
		} else {
			remote = append(remote, d.CallerAddress)
		}
	}
	if len(local) >= enoughLocalDaemons {
		return local
	}
	if len(local) == 0 {
		return remote
	}
	// One more is enough as an alternative. Which one it is differs between zones.
	return append(local, remote[len(zone)%max(len(remote), 1):min(len(zone)%max(len(remote), 1)+1, len(remote))]...)
}

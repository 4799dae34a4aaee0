package conductor

// enoughNear is how many daemons of a caller's zone make others needless in an answer.
const enoughLocalDaemons = 2

// Addresses returns where callers in a zone connect: the zone's daemons, which cost no traffic between zones, and with
// too few of these all others as well, so that the end of one daemon leaves a choice.
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
	// One more is enough for a choice, and it differs between zones.
	return append(local, remote[len(zone)%max(len(remote), 1):min(len(zone)%max(len(remote), 1)+1, len(remote))]...)
}

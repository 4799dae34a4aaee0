package conductor

// enoughNear is how many daemons of a caller's zone make others needless in an answer.
const enoughNear = 2

// Addresses returns where callers in a zone connect: the zone's daemons, which cost no traffic between zones, and with
// too few of these all others as well, so that the end of one daemon leaves a choice.
func Addresses(daemons []Daemon, zone string) []string {
	var near, far []string
	for _, d := range daemons {
		if d.Zone == zone {
			near = append(near, d.CallerAddress)
		} else {
			far = append(far, d.CallerAddress)
		}
	}
	if len(near) >= enoughNear {
		return near
	}
	if len(near) == 0 {
		return far
	}
	// One more is enough for a choice, and it differs between zones.
	return append(near, far[len(zone)%max(len(far), 1):min(len(zone)%max(len(far), 1)+1, len(far))]...)
}

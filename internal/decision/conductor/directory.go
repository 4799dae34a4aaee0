package conductor

import "samphirewharf/internal/decision/spreader"

// Addresses returns the addresses to which callers in a zone connect, near ones as they cause no traffic between zones.
func Addresses(daemons []Daemon, zone string) []string {
	var list []string
	for _, d := range spreader.NearZone(daemons, zone, func(d Daemon) string { return d.Zone }) {
		list = append(list, d.CallerAddress)
	}
	return list
}

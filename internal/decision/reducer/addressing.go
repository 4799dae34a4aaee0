package reducer

import (
	"time"

	"samphirewharf/internal/caller/refuser"
	"samphirewharf/internal/decision/resolver"
)

// handleAddressLookup returns the daemons that a caller should use for a target.
func (m *Machine) handleAddressLookup(e AddressesAsked) {
	service, code := m.serviceOf(e.Target)
	if code != refuser.CodeOK {
		m.emit(Refuse{Request: e.Request, Refusal: refuser.Refusal{Code: code, Detail: e.Target}})
		return
	}
	var daemons []resolver.Daemon
	for _, d := range m.cellMembers(service) {
		daemons = append(daemons, resolver.Daemon{ID: d.ID, Address: d.Address, Zone: d.Zone, Leaving: d.Leaving})
	}
	r := resolver.Resolver{Distance: m.oneWayDelay, TimeToLive: m.catalog.Configuration.Limits.AddressTimeToLive.D()}
	answer := r.Resolve(daemons, e.Zone, m.rng)
	effect := Addresses{Request: e.Request, TimeToLive: answer.TimeToLive}
	for _, d := range answer.Daemons {
		effect.Addresses = append(effect.Addresses, Address{Address: d.Address, Zone: d.Zone})
	}
	m.emit(effect)
}

// serviceOf returns the service that a deployment, adapter or service name belongs to.
func (m *Machine) serviceOf(name string) (string, refuser.Code) {
	if m.catalog == nil {
		return "", refuser.CodeNoConfiguration
	}
	if _, ok := m.catalog.Service(name); ok {
		return name, refuser.CodeOK
	}
	if target, ok := m.catalog.Target(name); ok {
		return target.Deployment.Service, refuser.CodeOK
	}
	return "", refuser.CodeUnknownDeployment
}

// oneWayDelay returns the one-way network delay between two availability zones.
func (m *Machine) oneWayDelay(from, to string) time.Duration {
	if from == to {
		return 0
	}
	var a, b *zoneInfo
	for _, z := range m.catalog.Configuration.Zones {
		if z.Name == from {
			a = &zoneInfo{z.Region, z.OneWay.D()}
		}
		if z.Name == to {
			b = &zoneInfo{z.Region, z.OneWay.D()}
		}
	}
	if a == nil || b == nil || a.region != b.region {
		return interRegionDelay
	}
	return max(a.oneWay, b.oneWay)
}

// interRegionDelay is the network delay assumed between zones of different regions.
const interRegionDelay = 100 * time.Millisecond

type zoneInfo struct {
	region string
	oneWay time.Duration
}

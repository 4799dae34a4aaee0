package questioner

import (
	"fmt"
	"time"

	"samphirewharf/internal/config/cataloger"
)

// Limits of the whole system that don't depend on the answers.
const (
	retryShare        = 0.1
	addressTimeToLive = 5 * time.Second
)

// A load from disk or memory takes the time of a load from the weight store divided by these.
const (
	diskLoadDivisor   = 3
	memoryLoadDivisor = 10
)

// Concurrent requests of one replica, by the size of its model.
const (
	smallModelBytes     = 8_000_000_000
	mediumModelBytes    = 32_000_000_000
	smallModelInFlight  = 32
	mediumModelInFlight = 16
	largeModelInFlight  = 8
)

// Bounds of a deployment's queue at one daemon. queuePerSlot is the queue length for each request that its
// replicas can run concurrently.
const (
	queuePerSlot = 4
	minQueue     = 32
	maxQueue     = 1024
)

// A policy holds the values that follow from a weighting.
type policy struct {
	// minKeepAlive and maxKeepAlive bound the keep-alive. The lower bound is raised to minKeepAliveLoads
	// times the longest load, but to no more than maxKeepAlive.
	minKeepAlive      time.Duration
	minKeepAliveLoads int
	maxKeepAlive      time.Duration
	keepAliveQuantile float64
	// A deployment has at most the servers of its service, divided by replicaDivisor and rounded up, as replicas.
	replicaDivisor int
	// adapterSlots bounds the adapter slots of a replica.
	adapterSlots int
}

var policies = map[cataloger.Weighting]policy{
	cataloger.WeightColdStart: {
		minKeepAlive:      5 * time.Hour,
		maxKeepAlive:      12 * time.Hour,
		keepAliveQuantile: 0.999,
		replicaDivisor:    2,
		adapterSlots:      8,
	},
	cataloger.WeightIdleHours: {
		minKeepAliveLoads: 40,
		maxKeepAlive:      2 * time.Minute,
		keepAliveQuantile: 0.8,
		replicaDivisor:    4,
		adapterSlots:      4,
	},
}

// An Explanation describes how a value of the configuration was derived.
type Explanation struct {
	// Name is the path of the value, such as "Limits.RetryShare" or "Deployments.NAME.Load".
	Name string
	// Value is the derived value as text.
	Value string
	// Reason names the answers that the value was derived from.
	Reason string
}

// String returns the explanation as one line of text.
func (e Explanation) String() string { return e.Name + " = " + e.Value + ": " + e.Reason }

// A generator derives one configuration and collects its explanations.
type generator struct {
	questionnaire Questionnaire
	policy        policy
	explanations  []Explanation
}

// Generate derives the configuration from a checked questionnaire, with one explanation for
// each derived value; models of one group share theirs. The result is deterministic. Version and
// ChangeID are left unset; they are set when the configuration is applied.
func Generate(q Questionnaire) (cataloger.Configuration, []Explanation) {
	g := generator{questionnaire: q, policy: policies[q.WeighsMore]}
	c := cataloger.Configuration{Weighting: q.WeighsMore}
	for _, z := range q.Zones {
		c.Zones = append(c.Zones, cataloger.Zone{Name: z.Name, Region: z.Region, OneWay: cataloger.Duration(z.OneWay)})
	}
	services := make(map[string]Service, len(q.Services))
	for _, s := range q.Services {
		services[s.Name] = s
		c.Services = append(c.Services, g.service(s))
	}
	for _, group := range q.Models {
		c.Deployments = append(c.Deployments, g.deployments(group, services[group.Service])...)
	}
	c.Limits = g.limits(longestLoad(c.Deployments))
	return c, g.explanations
}

// adapterSlots returns the adapter slots of a replica of the group and the size of one slot.
func (g *generator) adapterSlots(group ModelGroup, s Service) (slots int, slotBytes int64) {
	count := 0
	for _, a := range group.Adapters {
		count += a.Count
		slotBytes = max(slotBytes, a.Size)
	}
	if slotBytes == 0 {
		return 0, 0
	}
	fitting := (s.Memory - group.Size) / slotBytes
	return int(min(int64(count), int64(g.policy.adapterSlots), fitting)), slotBytes
}

// deployments returns one deployment for each model of a group.
func (g *generator) deployments(group ModelGroup, s Service) []cataloger.Deployment {
	d := g.deployment(group, s)
	var deployments []cataloger.Deployment
	for _, model := range group.names() {
		d.Name = model
		d.Adapters = nil
		for _, a := range group.Adapters {
			for _, name := range a.names(model) {
				d.Adapters = append(d.Adapters, cataloger.Adapter{Name: name, Bytes: a.Size})
			}
		}
		deployments = append(deployments, d)
	}
	return deployments
}

// deployment returns the deployment that all models of a group share, without name and adapters.
func (g *generator) deployment(group ModelGroup, s Service) cataloger.Deployment {
	load := loadTime(group.Size, s.WeightStore.LoadSpeed)
	slots, slotBytes := g.adapterSlots(group, s)
	d := cataloger.Deployment{
		Service:         s.Name,
		ModelVersion:    group.Version,
		Bytes:           group.Size,
		Load:            cataloger.Duration(load),
		LoadFromDisk:    cataloger.Duration(truncateToMilliseconds(load / diskLoadDivisor)),
		LoadFromMemory:  cataloger.Duration(truncateToMilliseconds(load / memoryLoadDivisor)),
		MaxInFlight:     maxInFlightForSize(group.Size),
		AdapterSlots:    slots,
		AdapterBytes:    slotBytes,
		UrgentDeadline:  cataloger.Duration(g.questionnaire.UrgentAnswers),
		CanWaitDeadline: cataloger.Duration(g.questionnaire.CanWaitAnswers),
	}
	if slots == 0 {
		d.AdapterBytes = 0
	}
	perServer := int(s.Memory / max(d.ReplicaBytes(), 1))
	serverLimit := (s.Servers + g.policy.replicaDivisor - 1) / g.policy.replicaDivisor
	d.MaxReplicas = min(serverLimit, s.Servers*perServer)
	d.MaxQueue = min(max(queuePerSlot*d.MaxInFlight*d.MaxReplicas, minQueue), maxQueue)
	g.explainDeployment(group, s, d)
	return d
}

// explain adds the explanation of one value.
func (g *generator) explain(name string, value any, format string, args ...any) {
	g.explanations = append(g.explanations, Explanation{
		Name:   name,
		Value:  fmt.Sprint(value),
		Reason: fmt.Sprintf(format, args...),
	})
}

func (g *generator) explainDeployment(group ModelGroup, s Service, d cataloger.Deployment) {
	name := func(field string) string { return "Deployments." + group.Name + "." + field }
	size := formatSize(group.Size)
	weighting := g.questionnaire.WeighsMore
	g.explain(name("Load"), d.Load.D(), "Size %s at LoadSpeed %s a second of service %s", size, formatSize(s.WeightStore.LoadSpeed), s.Name)
	g.explain(name("LoadFromDisk"), d.LoadFromDisk.D(), "1/%d of Load", diskLoadDivisor)
	g.explain(name("LoadFromMemory"), d.LoadFromMemory.D(), "1/%d of Load", memoryLoadDivisor)
	g.explain(name("MaxInFlight"), d.MaxInFlight, "Size %s: %d below %s, %d below %s, else %d", size,
		smallModelInFlight, formatSize(smallModelBytes), mediumModelInFlight, formatSize(mediumModelBytes), largeModelInFlight)
	g.explain(name("MaxReplicas"), d.MaxReplicas, "1/%d of the %d servers of %s, rounded up, because WeighsMore is %s",
		g.policy.replicaDivisor, s.Servers, s.Name, weighting)
	g.explain(name("MaxQueue"), d.MaxQueue, "%d for each request that runs at once on MaxReplicas, from %d to %d",
		queuePerSlot, minQueue, maxQueue)
	g.explain(name("UrgentDeadline"), d.UrgentDeadline.D(), "UrgentAnswers")
	g.explain(name("CanWaitDeadline"), d.CanWaitDeadline.D(), "CanWaitAnswers")
	if len(group.Adapters) == 0 {
		return
	}
	g.explain(name("AdapterSlots"), d.AdapterSlots, "the adapters of the model, at most %d because WeighsMore is %s, and what Memory %s leaves",
		g.policy.adapterSlots, weighting, formatSize(s.Memory))
	g.explain(name("AdapterBytes"), d.AdapterBytes, "the largest adapter of the model")
}

// limits returns the limits of the whole system.
func (g *generator) limits(maxLoadTime time.Duration) cataloger.Limits {
	weighting := g.questionnaire.WeighsMore
	minKeepAlive := max(g.policy.minKeepAlive, time.Duration(g.policy.minKeepAliveLoads)*maxLoadTime)
	l := cataloger.Limits{
		RetryShare:        retryShare,
		MinKeepAlive:      cataloger.Duration(min(minKeepAlive, g.policy.maxKeepAlive)),
		MaxKeepAlive:      cataloger.Duration(g.policy.maxKeepAlive),
		KeepAliveQuantile: g.policy.keepAliveQuantile,
		AddressTimeToLive: cataloger.Duration(addressTimeToLive),
	}
	g.explain("Limits.RetryShare", l.RetryShare, "the same for every organisation")
	g.explain("Limits.MinKeepAlive", l.MinKeepAlive.D(), "the longer of %v and %d times the longest Load, at most MaxKeepAlive, because WeighsMore is %s",
		g.policy.minKeepAlive, g.policy.minKeepAliveLoads, weighting)
	g.explain("Limits.MaxKeepAlive", l.MaxKeepAlive.D(), "WeighsMore is %s", weighting)
	g.explain("Limits.KeepAliveQuantile", l.KeepAliveQuantile, "WeighsMore is %s", weighting)
	g.explain("Limits.AddressTimeToLive", l.AddressTimeToLive.D(), "the same for every organisation")
	return l
}

// service returns the configuration of a service.
func (g *generator) service(s Service) cataloger.Service {
	name := func(field string) string { return "Services." + s.Name + "." + field }
	c := cataloger.Service{Name: s.Name, Kind: s.Kind}
	if s.Kind == cataloger.KindModel {
		c.ChecksFencing = s.ChecksFencing
		c.Store = cataloger.WeightStore{
			LoadsPerSecond:    s.WeightStore.LoadsPerSecond,
			FullSpeedLoads:    s.WeightStore.FullSpeedLoads,
			FullSpeedAdapters: s.WeightStore.FullSpeedAdapters,
			AdapterLoad:       cataloger.Duration(s.WeightStore.AdapterLoad),
		}
		return c
	}
	c.NonIdempotent = s.NeverRepeat
	c.IdentityHeader = s.IdentityHeader
	c.ClaimRetention = cataloger.Duration(s.KeysRememberedFor)
	c.MaxInFlight = s.InFlight
	c.Deadline = cataloger.Duration(g.questionnaire.UrgentAnswers)
	g.explain(name("Deadline"), c.Deadline.D(), "UrgentAnswers")
	if len(s.NeverRepeat) > 0 {
		g.explain(name("ClaimRetention"), c.ClaimRetention.D(), "KeysRememberedFor")
	}
	return c
}

// maxInFlightForSize returns how many requests a replica of the size runs concurrently.
func maxInFlightForSize(bytes int64) int {
	switch {
	case bytes < smallModelBytes:
		return smallModelInFlight
	case bytes < mediumModelBytes:
		return mediumModelInFlight
	default:
		return largeModelInFlight
	}
}

// loadTime returns the time to load the bytes at a speed in bytes per second, in whole milliseconds and at
// least one.
func loadTime(bytes, speed int64) time.Duration {
	if speed <= 0 {
		return time.Millisecond
	}
	return truncateToMilliseconds(time.Duration(float64(bytes) / float64(speed) * float64(time.Second)))
}

// truncateToMilliseconds rounds down to whole milliseconds, the resolution of an order, but to at least one.
func truncateToMilliseconds(d time.Duration) time.Duration {
	return max(d.Truncate(time.Millisecond), time.Millisecond)
}

func longestLoad(deployments []cataloger.Deployment) time.Duration {
	longest := time.Duration(0)
	for _, d := range deployments {
		longest = max(longest, d.Load.D())
	}
	return longest
}

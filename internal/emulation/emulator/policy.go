package emulator

import (
	"math/rand/v2"
	"time"

	"samphirewharf/internal/config/cataloger"
	"samphirewharf/internal/decision/warmer"
)

// unlimitedKeepAlive is a keep-alive that is longer than any trace.
const unlimitedKeepAlive = 1000 * 24 * time.Hour

// A Policy decides which replicas stay loaded and where replicas are placed. If a function field is nil, the
// product's own policy decides.
type Policy struct {
	Name string
	// Weighting is the weighting for which the configuration is generated; empty means the questionnaire's.
	Weighting cataloger.Weighting
	// Baseline is true if the policy is one to compare the product's own policies against.
	Baseline bool
	// Preload is true if checkpoints are loaded into servers' memory before requests need them.
	Preload bool
	// KeepPreloaded is true if preloaded replicas stay loaded for their keep-alive, as used ones do.
	KeepPreloaded bool
	// KeepAlive returns how long an idle replica stays loaded.
	KeepAlive func(w *warmer.Warmer, d *cataloger.Deployment) time.Duration
	// EvictionScore returns the cost of evicting an idle replica of a deployment that was last used at a time.
	EvictionScore func(lastUse time.Duration) float64
	// Rank returns the rank of a server with free memory; the server with the lowest one is chosen.
	Rank func(c Candidate) time.Duration
}

// A Candidate is a server with enough free memory for a load.
type Candidate struct {
	// Index is the server's position in the order of names, ServerCount the number of servers.
	Index       int
	ServerCount int
	// PriorLoads is the number of loads that were decided before.
	PriorLoads int
	// Predicted is the predicted duration of the load, including penalties.
	Predicted time.Duration
	Random    *rand.Rand
}

// Policies returns the baselines, followed by the product's own policies.
func Policies() []Policy {
	return []Policy{
		{Name: "on-demand-lru", Baseline: true, KeepAlive: fixedKeepAlive(unlimitedKeepAlive), EvictionScore: scoreLastUse},
		{Name: "keep-10m", Baseline: true, KeepAlive: fixedKeepAlive(10 * time.Minute), EvictionScore: scoreLastUse},
		{Name: "keep-30m", Baseline: true, KeepAlive: fixedKeepAlive(30 * time.Minute), EvictionScore: scoreLastUse},
		{Name: "random-10m", Baseline: true, KeepAlive: fixedKeepAlive(10 * time.Minute), EvictionScore: scoreLastUse, Rank: rankRandomly},
		{Name: "round-robin-10m", Baseline: true, KeepAlive: fixedKeepAlive(10 * time.Minute), EvictionScore: scoreLastUse, Rank: rankRoundRobin},
		{Name: "cold-start", Weighting: cataloger.WeightColdStart, Preload: true, KeepPreloaded: true},
		{Name: "idle-hours", Weighting: cataloger.WeightIdleHours, Preload: true},
	}
}

// fixedKeepAlive returns a function that returns the same keep-alive for all deployments.
func fixedKeepAlive(d time.Duration) func(*warmer.Warmer, *cataloger.Deployment) time.Duration {
	return func(*warmer.Warmer, *cataloger.Deployment) time.Duration { return d }
}

func rankRoundRobin(c Candidate) time.Duration {
	return time.Duration((c.Index - c.PriorLoads%c.ServerCount + c.ServerCount) % c.ServerCount)
}

func scoreLastUse(lastUse time.Duration) float64 { return lastUse.Seconds() }

func rankRandomly(c Candidate) time.Duration { return time.Duration(c.Random.Int64N(int64(time.Hour))) }

package emulator

import (
	"math/rand/v2"
	"time"

	"samphirewharf/internal/config/cataloger"
	"samphirewharf/internal/decision/warmer"
)

// forever is a keep-alive that is longer than any trace.
const forever = 1000 * 24 * time.Hour

// A Policy decides what stays loaded and where replicas are placed. Function fields that are nil mean the
// product's own decision.
type Policy struct {
	Name string
	// Weighting is what the configuration is generated for; empty means the questionnaire's.
	Weighting cataloger.Weighting
	// Baseline tells that the policy is compared against.
	Baseline bool
	// Preload tells that far checkpoints are brought near ahead of use.
	Preload bool
	// HoldPreloaded tells that these loads are kept like used ones.
	KeepPreloaded bool
	// KeepAlive returns how long an idle replica stays loaded.
	KeepAlive func(w *warmer.Warmer, d *cataloger.Deployment) time.Duration
	// EvictionScore returns what is lost with an idle replica of a deployment that was last used at a time.
	EvictionScore func(lastUse time.Duration) float64
	// Rank orders the servers with free memory; the lowest is chosen.
	Rank func(c Candidate) time.Duration
}

// A Candidate is a server that may be chosen for a load.
type Candidate struct {
	// Index is the server's place in the order of names, Servers how many there are.
	Index       int
	ServerCount int
	// Loads is how many loads were decided before.
	PriorLoads int
	// Predicted is how long the load would take, with penalties.
	Predicted time.Duration
	Random    *rand.Rand
}

// Policies returns the baselines and then the product's own policies.
func Policies() []Policy {
	return []Policy{
		{Name: "on-demand-lru", Baseline: true, KeepAlive: keep(forever), EvictionScore: leastRecent},
		{Name: "keep-10m", Baseline: true, KeepAlive: keep(10 * time.Minute), EvictionScore: leastRecent},
		{Name: "keep-30m", Baseline: true, KeepAlive: keep(30 * time.Minute), EvictionScore: leastRecent},
		{Name: "random-10m", Baseline: true, KeepAlive: keep(10 * time.Minute), EvictionScore: leastRecent, Rank: randomly},
		{Name: "round-robin-10m", Baseline: true, KeepAlive: keep(10 * time.Minute), EvictionScore: leastRecent, Rank: inTurn},
		{Name: "cold-start", Weighting: cataloger.WeightColdStart, Preload: true, KeepPreloaded: true},
		{Name: "idle-hours", Weighting: cataloger.WeightIdleHours, Preload: true},
	}
}

// keep returns the policy of a fixed keep-alive.
func keep(d time.Duration) func(*warmer.Warmer, *cataloger.Deployment) time.Duration {
	return func(*warmer.Warmer, *cataloger.Deployment) time.Duration { return d }
}

func inTurn(c Candidate) time.Duration {
	return time.Duration((c.Index - c.PriorLoads%c.ServerCount + c.ServerCount) % c.ServerCount)
}

func leastRecent(lastUse time.Duration) float64 { return lastUse.Seconds() }

func randomly(c Candidate) time.Duration { return time.Duration(c.Random.Int64N(int64(time.Hour))) }
